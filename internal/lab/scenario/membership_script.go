package scenario

import (
	"slices"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/sim/faults"
)

// Numbers of hostile peers. In the script their indices follow those of the routers.
const (
	hostilePeersSmall = 1
	hostilePeersFull  = 3
)

// scriptBuilder builds a script of consecutive groups of faults.
type scriptBuilder struct {
	script faults.Script
	at     float64 // start time of the next group, in seconds
}

// membershipScript returns the faults that the routers must tolerate: at small size one kill, one cut and one pause, at
// full size all difficult cases.
func membershipScript(options Options) faults.Script {
	victim := int(options.Seed) % 7 // the seed selects which router has a fault
	if options.Full {
		return fullMembershipScript(options.Seed, victim)
	}
	processes := cluster.RouterCount + hostilePeersSmall
	return faults.Script{
		Seed:      options.Seed,
		Processes: processes,
		Duration:  20,
		Faults: []faults.Fault{
			{
				Kind:  faults.Kill,
				Start: 1,
				End:   6,
				From:  []int{10 + victim},
			},
			{
				Kind:     faults.Cut,
				Start:    8,
				End:      13,
				From:     indices(0, 7),
				To:       indices(7, processes),
				BothWays: true,
			},
			{
				Kind:  faults.Pause,
				Start: 9,
				End:   9.5,
				From:  []int{8 + victim},
			},
		},
	}
}

func fullMembershipScript(seed uint64, victim int) faults.Script {
	b := scriptBuilder{
		script: faults.Script{Seed: seed, Processes: cluster.RouterCount + hostilePeersFull},
		at:     1,
	}
	for i := range 5 {
		b.add(6, 5, kill((3*i+victim)%cluster.RouterCount))
	}
	b.addCuts(victim)
	b.addNetworkFaults()
	for _, duration := range []float64{0.3, 1, 2.5, 5} {
		b.add(duration, 1, faults.Fault{Kind: faults.Pause, From: []int{9 + victim}})
	}
	b.add(5, 6, faults.Fault{Kind: faults.Stall, From: []int{4}})
	b.addClockSkews()
	b.add(0.6, 6, kill(11, 13)) // they restart while their failure is still being disseminated
	b.add(6, 6, kill(12))
	for i := 0; i < cluster.RouterCount; i += 2 { // a tenth of the routers at a time
		b.add(1, 3, faults.Fault{Kind: faults.Wipe, From: []int{i, i + 1}})
	}
	b.add(12, 10, kill(indices(0, 14)...)) // 70% of the routers at once
	b.script.Duration = b.at + 2
	return b.script
}

// addCuts adds partitions into two and three parts, and cuts that only some routers notice.
func (b *scriptBuilder) addCuts(victim int) {
	all := b.script.Processes
	b.add(10, 8, cut(indices(0, 10), indices(10, all)))
	b.add(10, 8, cut(indices(0, 7), indices(7, all)))
	b.add(10, 8, cut(indices(0, 6), indices(6, all)), cut(indices(6, 12), indices(12, all)))
	// A one-way cut between two routers.
	b.add(8, 6, faults.Fault{Kind: faults.Cut, From: []int{victim}, To: []int{victim + 1}})
	// One router whose datagrams no other router receives.
	others := slices.Delete(indices(0, all), victim, victim+1)
	b.add(8, 6, faults.Fault{Kind: faults.Cut, From: []int{victim}, To: others})
	// Two pairs of routers that can reach each other only through other routers.
	b.add(8, 6, cut([]int{0}, []int{2}), cut([]int{5}, []int{7}))
}

// addNetworkFaults adds loss, delay, and a combination of duplication, reordering and corruption, on all links.
func (b *scriptBuilder) addNetworkFaults() {
	b.add(20, 6, faults.Fault{Kind: faults.Loss, Share: 0.3})
	b.add(20, 6, faults.Fault{Kind: faults.Delay, Seconds: 0.4})
	b.add(
		10, 4,
		faults.Fault{Kind: faults.Duplicate, Share: 0.3},
		faults.Fault{Kind: faults.Reorder, Share: 0.5, Seconds: 0.3},
		faults.Fault{Kind: faults.Corrupt, Share: 0.1},
	)
}

// addClockSkews sets the clocks of three routers wrong during the next groups. A skew takes effect at a router's next
// start.
func (b *scriptBuilder) addClockSkews() {
	const hour, duration = 3600, 20
	skew := faults.Fault{Kind: faults.ClockSkew, Start: b.at, End: b.at + duration}
	slow, fast := skew, skew
	slow.From, slow.Seconds = []int{11, 12}, -hour
	fast.From, fast.Seconds = []int{13}, hour
	b.script.Faults = append(b.script.Faults, slow, fast)
}

// add appends faults that begin together and last for some seconds. The next group begins after a further pause.
func (b *scriptBuilder) add(duration, pause float64, group ...faults.Fault) {
	for _, fault := range group {
		fault.Start, fault.End = b.at, b.at+duration
		b.script.Faults = append(b.script.Faults, fault)
	}
	b.at += duration + pause
}

func kill(routers ...int) faults.Fault { return faults.Fault{Kind: faults.Kill, From: routers} }

// cut returns a two-way cut between two groups.
func cut(from, to []int) faults.Fault {
	return faults.Fault{
		Kind:     faults.Cut,
		From:     from,
		To:       to,
		BothWays: true,
	}
}

// indices returns the numbers from one number up to, but excluding, another.
func indices(from, to int) []int {
	var list []int
	for i := from; i < to; i++ {
		list = append(list, i)
	}
	return list
}
