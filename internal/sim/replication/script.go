package replication

import (
	"math/rand/v2"
	"sort"

	"cairnfront/internal/sim/faults"
)

const (
	scriptRandomStream = 0x1ed9e4 // random number stream of scripts, separate from other streams of the same seed

	// diskLossIntervalSeconds is the approximate time between two disk losses. It allows for detecting the failure,
	// waiting before the replacement, and copying the data.
	diskLossIntervalSeconds = 16.0
	faultFreeEndSeconds     = 20 // seconds without faults at the end of a script
)

// GenerateScript generates a script of faults that shards with three replicas must tolerate. Routers lose their disks
// one at a time, with enough time in between to copy the lost replicas. Power losses, pauses, network partitions,
// datagram loss and delays are added independently. The last seconds have no faults.
func GenerateScript(seed uint64, routers int, until float64) faults.Script {
	rnd := rand.New(rand.NewPCG(seed, scriptRandomStream))
	script := faults.Script{Seed: seed, Processes: routers, Duration: until}
	end := until - faultFreeEndSeconds
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

// generateFault generates a fault other than a disk loss.
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
		fault.From, fault.To = generatePartition(rnd, routers)
	case 4:
		fault.Kind = faults.Loss
		fault.Share = 0.3 * rnd.Float64()
	default:
		fault.Kind = faults.Delay
		fault.Seconds = 0.15 * rnd.Float64()
	}
	return fault
}

// generatePartition generates the two sides of a network partition, with about a third of the routers on the first.
func generatePartition(rnd *rand.Rand, routers int) (from, to []int) {
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
