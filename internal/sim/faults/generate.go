package faults

import (
	"math/rand/v2"
	"slices"
	"sort"
)

// Bounds of generated faults, in seconds unless said otherwise.
const (
	generateStream    = 0xfa017 // stream of randomness
	quietStart        = 3.0     // before the first fault
	quietEnd          = 15.0    // after the last fault
	startMargin       = 30.0    // faults start this long before the end of the script
	minFaultDuration  = 0.3
	meanFaultDuration = 4.0 // above the least
	minShare          = 0.05
	shareRange        = 0.4
	delayShare        = 0.3
	minDelay          = 0.05
	delayRange        = 0.4
)

// generator draws the faults of one script. The order of its draws is part of the scripts' meaning: a seed gives the
// same script in every version.
type generator struct {
	rnd       *rand.Rand
	processes int
	duration  float64
}

// Generate draws a script with a number of faults, which may overlap. The last of them ends some seconds before the
// script does.
func Generate(seed uint64, processes, faults int, duration float64) Script {
	g := generator{
		rnd:       rand.New(rand.NewPCG(seed, generateStream)),
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
		Kind:  kinds[g.rnd.IntN(len(kinds)-1)], // all but ClockSkew, the last
		Start: quietStart + g.rnd.Float64()*max(g.duration-startMargin, 1),
	}
	end := fault.Start + minFaultDuration + g.rnd.ExpFloat64()*meanFaultDuration
	fault.End = max(min(end, g.duration-quietEnd), fault.Start+minFaultDuration)
	switch fault.Kind {
	case Cut:
		g.cutSides(&fault)
	case Loss, Duplicate, Corrupt:
		fault.Share = minShare + shareRange*g.rnd.Float64()
	case Delay, Reorder:
		fault.Share = delayShare
		fault.Seconds = minDelay + delayRange*g.rnd.Float64()
	case Kill, Wipe, Pause, Stall:
		fault.From = g.someProcesses(g.processes / 3)
	case ClockSkew: // is not drawn
	}
	return fault
}

// cutSides draws the processes on both sides of a cut. Some processes may be on neither.
func (g *generator) cutSides(fault *Fault) {
	fault.From = g.someProcesses(g.processes / 2)
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

// someProcesses draws from one to maximum different processes, in order.
func (g *generator) someProcesses(maximum int) []int {
	order := g.rnd.Perm(g.processes)
	list := order[:1+g.rnd.IntN(max(maximum, 1))]
	sort.Ints(list)
	return list
}
