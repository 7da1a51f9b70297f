package faults

import (
	"math/rand/v2"
	"slices"
	"sort"
)

// Bounds of generated faults, in seconds unless a constant is a stream or a share.
const (
	scriptRandomStream = 0xfa017 // random number stream
	faultFreeStart     = 3.0     // without faults at the start of a script
	faultFreeEnd       = 15.0    // without faults at the end of a script
	lastStartMargin    = 30.0    // latest start of a fault, counted from the end of the script
	minFaultDuration   = 0.3
	meanFaultDuration  = 4.0 // added to minFaultDuration
	minShare           = 0.05
	shareRange         = 0.4
	delayShare         = 0.3
	minDelay           = 0.05
	delayRange         = 0.4
)

// generator generates the faults of one script. The order in which it draws random numbers must not change, so that a
// seed gives the same script in every version.
type generator struct {
	rnd       *rand.Rand
	processes int
	duration  float64
}

// Generate generates a random script with the given number of faults, which may overlap. The last fault ends at least
// faultFreeEnd seconds before the script does, if the script is long enough.
func Generate(seed uint64, processes, faults int, duration float64) Script {
	g := generator{
		rnd:       rand.New(rand.NewPCG(seed, scriptRandomStream)),
		processes: processes,
		duration:  duration,
	}
	script := Script{Seed: seed, Processes: processes, Duration: duration}
	for range faults {
		script.Faults = append(script.Faults, g.fault())
	}
	sort.SliceStable(script.Faults, func(i, j int) bool { return script.Faults[i].Start < script.Faults[j].Start })
	return script
}

func (g *generator) fault() Fault {
	fault := Fault{
		Kind:  kinds[g.rnd.IntN(len(kinds)-1)], // all kinds except the last, ClockSkew
		Start: faultFreeStart + g.rnd.Float64()*max(g.duration-lastStartMargin, 1),
	}
	end := fault.Start + minFaultDuration + g.rnd.ExpFloat64()*meanFaultDuration
	fault.End = max(min(end, g.duration-faultFreeEnd), fault.Start+minFaultDuration)
	switch fault.Kind {
	case Cut:
		g.chooseCutSides(&fault)
	case Loss, Duplicate, Corrupt:
		fault.Share = minShare + shareRange*g.rnd.Float64()
	case Delay, Reorder:
		fault.Share = delayShare
		fault.Seconds = minDelay + delayRange*g.rnd.Float64()
	case Kill, Wipe, Pause, Stall:
		fault.From = g.randomProcesses(g.processes / 3)
	case ClockSkew: // not generated
	}
	return fault
}

// chooseCutSides chooses the processes on the two sides of a cut at random. Some processes may be on neither side.
func (g *generator) chooseCutSides(fault *Fault) {
	fault.From = g.randomProcesses(g.processes / 2)
	fault.BothWays = g.rnd.IntN(3) > 0
	for process := range g.processes {
		if !slices.Contains(fault.From, process) && g.rnd.IntN(4) > 0 {
			fault.To = append(fault.To, process)
		}
	}
	if len(fault.To) == 0 {
		fault.To = []int{(fault.From[0] + 1) % g.processes}
	}
}

// randomProcesses chooses between one and maximum distinct processes at random, and sorts them.
func (g *generator) randomProcesses(maximum int) []int {
	order := g.rnd.Perm(g.processes)
	list := order[:1+g.rnd.IntN(max(maximum, 1))]
	sort.Ints(list)
	return list
}
