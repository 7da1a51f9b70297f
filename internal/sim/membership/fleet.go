// Package fleet plays the cores of many peers on virtual time, with the same fault scripts that the laboratory plays between
// processes: thousands of instances in one process, one seed, the same events each time.
package membership

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"

	"cairnfront/internal/membership/partition"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/clock"
	"cairnfront/internal/sim/faults"
)

// Sizes of datagrams, bytes, as measured on the wire's codec with names of eight letters; a test holds them to it.
const (
	headBytes   = 118
	claimBytes  = 160
	chargeBytes = 120
	rowBytes    = 27
	latency     = 0.0005 // s one way on loopback or in a data center
	jitter      = 0.001
	buffered    = 512               // datagrams that wait for a process that is stopped
	settle      = 12.0              // s after the start before anything is judged
	lifeBefore  = 1_600_000_000_000 // Unix ms, of those who have long been running
	blameFor    = 4.0               // s after a cut or a stop in which a drop that it caused may still come
)

// Plan is what is played.
type Config struct {
	Script           faults.Script
	SWIM             swim.Config
	Hostile          []int // those who lie in every way that their own signature allows
	MeasureAgreement bool  // time how long it takes to agree after the last act
	Preloaded        bool  // all know each other from the start: a fleet that has long been running
}

// Result is what came of it.
type Result struct {
	Members                    int
	FalseFailures              int       // drops of a peer that ran, was not cut off from who dropped it and did not stand still
	FalseFailureDetails        []string  // the first few of them
	DetectionSeconds           []float64 // s from a kill until each of the others held it failed, one entry an observer
	FullDetectionSeconds       []float64 // s from a kill until all that ran knew
	AgreementSeconds           float64   // s from the end of the last act until all see just those who run; -1: never
	DatagramsPerSecond         []float64 // a second an instance, second by second
	BytesPerSecond             float64   // a second an instance, over the whole time after settling
	MaxQueueLength             int       // longest queue of things to hand on
	Resurrected                int       // changes from failed to there without a higher incarnation
	WrongPartitionStateSeconds float64   // s an instance in which a standing was not that of the truth
	Refutations                int       // claims beyond the first
	TraceHash                  uint64    // of all changes in their order: two runs of a plan have the same
	Suspicions                 int
	NameConflicts              int
	FinalPresent               []int
	Restarts                   int
	events                     int
	standingWhen               float64
}

// node is one instance.
type node struct {
	id       int
	core     *swim.Core
	stand    *partition.Tracker
	up       bool
	paused   bool
	stuck    bool
	hostile  bool
	waiting  []func()
	tick     uint64 // of the tick that is set; older ones do nothing
	down     float64
	knows    map[int]bool // of the current kills
	lastStop float64      // when it was last stopped or cut
	clock    float64
}

// player is a run.
type player struct {
	w      *clock.Scheduler
	plan   Config
	nodes  []*node
	marks  []uint64
	births []uint64 // of those who know each other from the start
	r      *Result
	hash   interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	kills     map[int]float64 // when each that is down went down
	bytes     int
	datagrams int
	rnd       *rand.Rand
	highest   map[[2]int]swim.Incarnation // at which an observer dropped a peer
}

// Play plays a plan.
func Run(p Config) (*Result, error) {
	if err := p.Script.Validate(); err != nil {
		return nil, err
	}
	h := fnv.New64a()
	x := &player{w: clock.New(p.Script.Seed, 7, 0), plan: p, r: &Result{Members: p.Script.Processes, AgreementSeconds: -1}, hash: h, kills: map[int]float64{},
		rnd: rand.New(rand.NewPCG(p.Script.Seed, 8)), highest: map[[2]int]swim.Incarnation{}}
	for i := range p.Script.Processes {
		x.marks = append(x.marks, swim.NameHash(fmt.Sprintf("n%d", i)))
		x.nodes = append(x.nodes, &node{id: i, hostile: slices.Contains(p.Hostile, i)})
	}
	for _, n := range x.nodes {
		if p.Preloaded {
			x.births = append(x.births, x.rnd.Uint64())
		}
		x.w.After(0.05*x.rnd.Float64(), func() { x.start(n) })
	}
	for _, m := range p.Script.Transitions() {
		x.w.At(m.Time, func() { x.moment(m) })
	}
	over := p.Script.Duration
	var settledBytes int
	x.w.At(min(settle, over), func() { settledBytes = x.bytes })
	for s := 1.0; s <= over; s++ {
		at := 0
		x.w.At(s-1, func() { at = x.datagrams })
		x.w.At(s-1e-9, func() {
			x.r.DatagramsPerSecond = append(x.r.DatagramsPerSecond, float64(x.datagrams-at)/float64(len(x.nodes)))
		})
	}
	if p.MeasureAgreement {
		x.w.At(lastOf(p.Script)+0.001, func() { x.watch(lastOf(p.Script)) })
	}
	x.w.RunUntil(over)
	x.r.BytesPerSecond = float64(x.bytes-settledBytes) / float64(len(x.nodes)) / max(over-settle, 1)
	x.r.TraceHash = h.Sum64()
	x.r.WrongPartitionStateSeconds /= float64(len(x.nodes))
	for _, n := range x.nodes {
		if n.up {
			there, _, _ := n.core.Counts()
			x.r.FinalPresent = append(x.r.FinalPresent, there)
		}
	}
	sort.Float64s(x.r.DetectionSeconds)
	return x.r, nil
}

func lastOf(s faults.Script) float64 {
	end := 0.0
	for _, a := range s.Faults {
		end = max(end, a.Start, a.End)
	}
	return end
}

func (x *player) start(n *node) {
	now := x.w.Now()
	n.up, n.waiting = true, nil
	start := uint64((1_700_000_000 + now + n.clock) * 1000)
	n.core = swim.New(x.plan.SWIM, swim.MemberID(n.id), x.marks, x.plan.Script.Seed*1000+uint64(n.id), start, x.rnd.Uint64(), now)
	if x.births != nil && now < 1 {
		var claims []swim.MemberRecord
		for i, birth := range x.births {
			claims = append(claims, swim.MemberRecord{Member: swim.MemberID(i), Incarnation: swim.Incarnation{StartMillis: lifeBefore}, InstanceID: birth, State: swim.Alive})
		}
		n.core = swim.New(x.plan.SWIM, swim.MemberID(n.id), x.marks, x.plan.Script.Seed*1000+uint64(n.id), lifeBefore, x.births[n.id], now)
		n.core.Preload(now, claims)
	}
	n.stand = partition.New(x.plan.SWIM.MaxByzantine, now)
	delete(x.kills, n.id)
	x.step(n)
}

// step lets an instance act and sets its next tick.
func (x *player) step(n *node) {
	if !n.up || n.paused {
		return
	}
	x.act(n, n.core.Tick(x.w.Now()))
	x.set(n)
}

func (x *player) set(n *node) {
	n.tick++
	mine := n.tick
	x.w.At(max(n.core.NextDeadline(), x.w.Now()+0.001), func() {
		if n.tick != mine {
			return
		}
		if n.paused {
			n.waiting = append([]func(){func() { x.step(n) }}, n.waiting...)
			return
		}
		x.step(n)
	})
}

// act carries out what a core asks for.
func (x *player) act(n *node, actions []swim.Action) {
	now := x.w.Now()
	for _, a := range actions {
		switch a := a.(type) {
		case swim.Send:
			if n.hostile {
				x.lie(n, &a)
			}
			x.send(n, a)
		case swim.StateChange:
			x.changed(n, a)
		case swim.NameConflict:
			x.r.NameConflicts++
		}
	}
	x.r.MaxQueueLength = max(x.r.MaxQueueLength, n.core.QueueLength())
	there, roster, stuck := n.core.Counts()
	n.stand.Update(now, partition.View{Roster: roster, Present: there, Stuck: stuck})
}

// lie makes a message as bad as its sender's own signature allows: it charges whom it can, shows a table in which all others
// have failed, and says that it sees nobody.
func (x *player) lie(n *node, a *swim.Send) {
	a.ViewHash = x.rnd.Uint64()
	a.Accusations = a.Accusations[:0]
	for len(a.Accusations) < 3 {
		p := swim.MemberID(x.rnd.IntN(len(x.nodes)))
		_, cl := n.core.Lookup(p)
		a.Accusations = append(a.Accusations, swim.Accusation{Accuser: swim.MemberID(n.id), Member: p, Incarnation: cl.Incarnation, Dead: x.plan.SWIM.PublishedSWIM}) // SWIM has a word for it
	}
	if a.Kind == swim.PushPullRequest || a.Kind == swim.PushPullReply {
		for i := range a.Entries {
			a.Entries[i].State = swim.Failed
		}
	}
	if a.Kind == swim.IndirectAck || a.Kind == swim.Ack && a.Requester != swim.MemberID(n.id) && x.rnd.IntN(2) == 0 {
		a.Kind = swim.Push // it keeps answers from those who asked it to look
	}
}

func (x *player) send(n *node, a swim.Send) {
	size := headBytes + claimBytes*len(a.Records) + chargeBytes*len(a.Accusations) + rowBytes*len(a.Entries)
	x.bytes += size
	x.datagrams++
	way := x.plan.Script.LinkAt(n.id, int(a.To), x.w.Now())
	delays, spoilt := way.Deliver(x.w.Rand)
	if spoilt {
		return // its signature does not hold
	}
	for i, d := range delays {
		if i > 0 {
			continue // its counter was seen
		}
		x.w.After(d+latency+jitter*x.w.Rand.Float64(), func() { x.arrive(x.nodes[a.To], n, a) })
	}
}

func (x *player) arrive(to, from *node, a swim.Send) {
	if !to.up {
		return
	}
	if to.paused {
		if len(to.waiting) < buffered {
			to.waiting = append(to.waiting, func() { x.arrive(to, from, a) })
		}
		return
	}
	now := x.w.Now()
	x.act(to, to.core.HandleMessage(now, swim.MemberID(from.id), a.Message))
	if s, _ := to.core.Lookup(swim.MemberID(from.id)); s.Present() {
		to.stand.RecordViewComparison(now, swim.MemberID(from.id), to.core.ViewDiffers(now, swim.MemberID(from.id)))
	}
	if to.core.NextDeadline() < now+0.3 {
		x.set(to)
	}
}

// changed judges a change by what is true.
func (x *player) changed(n *node, c swim.StateChange) {
	fmt.Fprintf(x.hash, "%.6f %d %d %d %d\n", x.w.Now(), n.id, c.Member, c.From, c.To)
	now, of := x.w.Now(), x.nodes[c.Member]
	key := [2]int{n.id, int(c.Member)}
	switch {
	case c.To == swim.Suspect:
		x.r.Suspicions++
	case c.To == swim.Failed:
		x.highest[key] = c.Incarnation
		if at, down := x.kills[int(c.Member)]; down {
			if !n.knows[int(c.Member)] && !n.hostile {
				if n.knows == nil {
					n.knows = map[int]bool{}
				}
				n.knows[int(c.Member)] = true
				x.r.DetectionSeconds = append(x.r.DetectionSeconds, now-at)
				x.allKnow(int(c.Member), at)
			}
		} else if !n.hostile && !of.hostile && now > settle && !x.plan.Script.ExplainsUnreachable(n.id, of.id, now, blameFor) {
			x.r.FalseFailures++
			if len(x.r.FalseFailureDetails) < 10 {
				x.r.FalseFailureDetails = append(x.r.FalseFailureDetails, fmt.Sprintf("%.2f s: %d dropped %d: %s", now, n.id, c.Member, c.Reason))
			}
		}
	case c.From == swim.Failed && c.To.Present():
		if !x.highest[key].Less(c.Incarnation) {
			x.r.Resurrected++
		}
		delete(n.knows, int(c.Member))
	}
}

func (x *player) allKnow(p int, at float64) {
	for _, o := range x.nodes {
		if o.up && !o.hostile && o.id != p && !o.knows[p] {
			return
		}
	}
	x.r.FullDetectionSeconds = append(x.r.FullDetectionSeconds, x.w.Now()-at)
}

// moment begins or ends a fault of processes; those of ways go by the time alone.
func (x *player) moment(m faults.Transition) {
	for _, i := range m.Fault.From {
		n := x.nodes[i]
		switch m.Fault.Kind {
		case faults.Kill, faults.Wipe:
			if m.IsEnd {
				if !n.up {
					x.r.Restarts++
					x.start(n)
				}
				continue
			}
			if n.up {
				n.up, n.paused = false, false
				n.tick++
				x.kills[i] = x.w.Now()
				for _, o := range x.nodes {
					delete(o.knows, i)
				}
			}
		case faults.Pause:
			if !m.IsEnd {
				n.paused = true
				continue
			}
			n.paused = false
			held := n.waiting
			n.waiting = nil
			if n.up {
				x.step(n)
				for _, f := range held {
					f()
				}
			}
		case faults.Stall:
			n.stuck = !m.IsEnd
			if n.up && !n.paused {
				x.act(n, n.core.SetWorking(x.w.Now(), m.IsEnd))
			}
		case faults.ClockSkew:
			n.clock = m.Fault.Seconds
		}
	}
}

// watch looks until all that run see just those who run.
func (x *player) watch(from float64) {
	truth, agree := 0, true
	for _, n := range x.nodes {
		if n.up {
			truth++
		}
	}
	for _, n := range x.nodes {
		if !n.up || n.hostile {
			continue
		}
		for _, o := range x.nodes {
			if s, _ := n.core.Lookup(swim.MemberID(o.id)); s.Present() != o.up && !o.hostile {
				agree = false
			}
		}
	}
	if agree {
		x.r.AgreementSeconds = x.w.Now() - from
		return
	}
	x.w.After(0.05, func() { x.watch(from) })
}
