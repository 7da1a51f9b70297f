package replication

import (
	"math/rand/v2"
	"sort"

	"cairnfront/internal/sim/faults"
)

const (
	scriptStream = 0x1ed9e4 // separates a script's random numbers from others drawn from the same seed

	// diskLossIntervalSeconds is the time between two routers that are lost with their disks: what
	// it takes to find out, to wait and to copy.
	diskLossIntervalSeconds = 16.0
	quietSeconds            = 20 // at the end of a script, without faults
)

// GenerateScript makes a script that shards of three replicas have to bear. Routers are lost with
// their disks one at a time, with time between to copy what they held. Losses of power, pauses,
// cuts and bad networks come on top, and the last seconds are quiet.
func GenerateScript(seed uint64, routers int, until float64) faults.Script {
	rnd := rand.New(rand.NewPCG(seed, scriptStream))
	script := faults.Script{Seed: seed, Processes: routers, Duration: until}
	end := until - quietSeconds
	for at := 4 + 3*rnd.Float64(); at < end; at += diskLossIntervalSeconds * (0.9 + 0.4*rnd.Float64()) {
		script.Faults = append(script.Faults, faults.Fault{
			Kind:  faults.Wipe,
			Start: at,
			End:   at + 1 + 4*rnd.Float64(),
			From:  []int{rnd.IntN(routers)},
		})
	}
	for range 2 + rnd.IntN(5) {
		if act := generateAct(rnd, routers, end); act.End > act.Start {
			script.Faults = append(script.Faults, act)
		}
	}
	sort.SliceStable(script.Faults, func(i, j int) bool { return script.Faults[i].Start < script.Faults[j].Start })
	return script
}

// generateAct makes a fault other than the loss of a disk.
func generateAct(rnd *rand.Rand, routers int, end float64) faults.Fault {
	act := faults.Fault{Start: 3 + rnd.Float64()*(end-6)}
	act.End = min(act.Start+0.3+rnd.ExpFloat64()*2, end)
	switch rnd.IntN(6) {
	case 0, 1:
		act.Kind = faults.Kill
		act.From = []int{rnd.IntN(routers)}
	case 2:
		act.Kind = faults.Pause
		act.From = []int{rnd.IntN(routers)}
	case 3:
		act.Kind = faults.Cut
		act.BothWays = rnd.IntN(3) > 0
		act.From, act.To = generateSides(rnd, routers)
	case 4:
		act.Kind = faults.Loss
		act.Share = 0.3 * rnd.Float64()
	default:
		act.Kind = faults.Delay
		act.Seconds = 0.15 * rnd.Float64()
	}
	return act
}

// generateSides makes the two sides of a cut, about a third of the routers on one.
func generateSides(rnd *rand.Rand, routers int) (from, to []int) {
	for router := range routers {
		if rnd.IntN(3) == 0 {
			from = append(from, router)
		} else {
			to = append(to, router)
		}
	}
	if len(from) == 0 || len(to) == 0 {
		return []int{0}, []int{1}
	}
	return from, to
}
