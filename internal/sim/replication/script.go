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
// their disks one at a time, with time between to copy what they stored. Losses of power, pauses,
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
		if fault := generateFault(rnd, routers, end); fault.End > fault.Start {
			script.Faults = append(script.Faults, fault)
		}
	}
	sort.SliceStable(script.Faults, func(i, j int) bool { return script.Faults[i].Start < script.Faults[j].Start })
	return script
}

// generateFault makes a fault other than the loss of a disk.
func generateFault(rnd *rand.Rand, routers int, end float64) faults.Fault {
	fault := faults.Fault{Start: 3 + rnd.Float64()*(end-6)}
	fault.End = min(fault.Start+0.3+rnd.ExpFloat64()*2, end)
	switch rnd.IntN(6) {
	case 0, 1:
		fault.Kind = faults.Kill
		fault.From = []int{rnd.IntN(routers)}
	case 2:
		fault.Kind = faults.Pause
		fault.From = []int{rnd.IntN(routers)}
	case 3:
		fault.Kind = faults.Cut
		fault.BothWays = rnd.IntN(3) > 0
		fault.From, fault.To = generateSides(rnd, routers)
	case 4:
		fault.Kind = faults.Loss
		fault.Share = 0.3 * rnd.Float64()
	default:
		fault.Kind = faults.Delay
		fault.Seconds = 0.15 * rnd.Float64()
	}
	return fault
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
