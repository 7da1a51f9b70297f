package swim

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// traceReasons assigns numbers to the reasons of state changes, so that the trace does not depend on their texts.
var traceReasons = map[Reason]int{
	ReasonNotInRoster:    1,
	ReasonProbesFailed:   2,
	ReasonManyAccusers:   3,
	ReasonFailureMessage: 4,
	ReasonNoAck:          5,
	ReasonAccused:        6,
	ReasonAcked:          7,
	ReasonRefuted:        8,
	ReasonNewerRecord:    9,
	ReasonLeft:           10,
	ReasonStuck:          11,
	ReasonEventLoop:      12,
	ReasonLeaving:        13,
	ReasonPreloaded:      14,
}

const (
	traceMembers          = 8     // instances; the last one joins late
	traceSeconds          = 150.0 // duration of the simulation, s
	traceRosterGrowthAt   = 40.0  // time at which the last instance is added to the roster, s
	traceByzantine        = 6     // the instance that sends false accusations
	traceFirstStartMillis = 1_000_000
)

// traceDelivery is a message in flight.
type traceDelivery struct {
	at       float64
	order    int
	from, to MemberID
	message  Message
}

// traceRun simulates several cores with message loss, partitions, kills, pauses and a byzantine instance, all drawn
// from a seed, and hashes every action that any core returns.
type traceRun struct {
	t                *testing.T
	config           Config
	random           *rand.Rand
	cores            []*Core
	running          []bool
	pausedUntil      []float64 // end of the pause of each instance
	partitionedUntil float64   // end of the partition between even and odd instances
	inFlight         []traceDelivery
	order            int
	now              float64
	log              strings.Builder
	events           int
	kinds            map[MessageKind]int
	reasons          map[int]int
}

func traceRoster(n int) (out []uint64) {
	for i := range n {
		out = append(out, NameHash(fmt.Sprint("router-", i)))
	}
	return out
}

func newTraceRun(t *testing.T, config Config, seed uint64) *traceRun {
	t.Helper()
	p := &traceRun{
		t:           t,
		config:      config,
		random:      rand.New(rand.NewPCG(seed, 99)),
		cores:       make([]*Core, traceMembers),
		running:     make([]bool, traceMembers),
		pausedUntil: make([]float64, traceMembers),
		kinds:       map[MessageKind]int{},
		reasons:     map[int]int{},
	}
	for i := range traceMembers - 1 {
		p.start(i, traceMembers-1)
	}
	return p
}

func (p *traceRun) start(i, roster int) {
	first := uint64(traceFirstStartMillis + p.now*1000)
	p.cores[i] = New(p.config, MemberID(i), traceRoster(roster), uint64(i)+5, first, p.random.Uint64(), p.now)
	p.running[i], p.pausedUntil[i] = true, 0
}

func (p *traceRun) emit(i int, actions []Action) {
	for _, a := range actions {
		fmt.Fprintf(&p.log, "%.9f %d %s\n", p.now, i, p.text(a))
		send, ok := a.(Send)
		if !ok {
			continue
		}
		p.order++
		lost := p.random.Float64() < 0.1
		delay := 0.001 + 0.03*p.random.Float64()
		if lost || p.now < p.partitionedUntil && i%2 != int(send.To)%2 {
			continue
		}
		p.inFlight = append(p.inFlight, traceDelivery{p.now + delay, p.order, MemberID(i), send.To, send.Message})
	}
}

func (p *traceRun) text(a Action) string {
	switch a := a.(type) {
	case Send:
		p.kinds[a.Kind]++
		var b strings.Builder
		fmt.Fprintf(&b, "S %d %d %d %d %d %d", a.To, a.Kind, a.Nonce, a.Requester, a.Target, a.ViewHash)
		for _, r := range a.Records {
			at := r.Incarnation
			fmt.Fprintf(&b, " R%d,%d,%d,%d,%d", r.Member, at.StartMillis, at.Refutations, r.InstanceID, r.State)
		}
		for _, x := range a.Accusations {
			at := x.Incarnation
			fmt.Fprintf(&b, " A%d,%d,%d,%d", x.Accuser, x.Member, at.StartMillis, at.Refutations)
			fmt.Fprintf(&b, ",%t,%t", x.Dead, x.FromPushPull)
		}
		for _, e := range a.Entries {
			fmt.Fprintf(&b, " E%d,%d,%d,%d", e.Member, e.Incarnation.StartMillis, e.Incarnation.Refutations, e.State)
		}
		return b.String()
	case StateChange:
		reason := traceReasons[a.Reason]
		require.NotZero(p.t, reason, "reason is missing in traceReasons: %v", a.Reason)
		p.reasons[reason]++
		at := a.Incarnation
		return fmt.Sprintf("C %d %d %d %d %d %d %.9f",
			a.Member, a.From, a.To, reason, at.StartMillis, at.Refutations, a.SuspectedSeconds)
	case NameConflict:
		return fmt.Sprintf("N %d", a.InstanceID)
	}
	p.t.Fatalf("unsupported action type: %T", a)
	return ""
}

// advance runs the simulation until a given time: deliveries and ticks in the order of their times.
func (p *traceRun) advance(until float64) {
	for {
		at, instance, deliveryIndex := until, -1, -1
		for i, c := range p.cores {
			if c != nil && p.running[i] {
				if due := max(c.NextDeadline(), p.pausedUntil[i], p.now+0.0005); due < at {
					at, instance = due, i
				}
			}
		}
		for i, d := range p.inFlight {
			if d.at < at || d.at == at && deliveryIndex >= 0 && d.order < p.inFlight[deliveryIndex].order {
				at, instance, deliveryIndex = d.at, -1, i
			}
		}
		p.now = max(p.now, at)
		switch {
		case deliveryIndex >= 0:
			d := p.inFlight[deliveryIndex]
			p.inFlight = slices.Delete(p.inFlight, deliveryIndex, deliveryIndex+1)
			p.deliver(d)
		case instance >= 0:
			p.events++
			p.emit(instance, p.cores[instance].Tick(p.now))
		default:
			return
		}
	}
}

func (p *traceRun) deliver(d traceDelivery) {
	c := p.cores[d.to]
	if c == nil || !p.running[d.to] || p.now < p.pausedUntil[d.to] {
		return
	}
	p.events++
	p.emit(int(d.to), c.HandleMessage(p.now, d.from, d.message))
}

// randomFault executes one random fault or call.
func (p *traceRun) randomFault() {
	i := p.random.IntN(traceMembers)
	c := p.cores[i]
	if c == nil {
		return
	}
	switch p.random.IntN(8) {
	case 0:
		p.running[i] = !p.running[i]
		if p.running[i] {
			p.start(i, len(c.Snapshot(p.now)))
		}
	case 1:
		p.pausedUntil[i] = p.now + 2*p.random.Float64()
	case 2:
		p.partitionedUntil = p.now + 12*p.random.Float64()
	case 3, 4:
		if p.running[i] {
			p.emit(i, c.SetEventLoopWorking(p.now, p.random.IntN(2) == 0))
		}
	case 5:
		p.sendFalseAccusations(i)
	case 6:
		if p.running[i] && p.random.IntN(4) == 0 {
			p.emit(i, c.Leave(p.now))
		}
	case 7:
		removed := MemberID(p.random.IntN(traceMembers - 1))
		p.emit(i, c.SetRemoved(p.now, removed, true))
		p.emit(i, c.SetRemoved(p.now+0.5, removed, false))
	}
}

// sendFalseAccusations makes the byzantine instance accuse every member in the view of another instance and,
// occasionally, forge a record of that instance from a later start.
func (p *traceRun) sendFalseAccusations(to int) {
	if to == traceByzantine || !p.running[to] {
		return
	}
	m := Message{Kind: Push}
	for member := range MemberID(len(p.cores[to].Snapshot(p.now))) {
		_, record := p.cores[to].Lookup(member)
		m.Accusations = append(m.Accusations, Accusation{
			Accuser:     traceByzantine,
			Member:      member,
			Incarnation: record.Incarnation,
			Dead:        p.config.PublishedSWIM,
		})
	}
	if p.random.IntN(12) == 0 {
		start := uint64(traceFirstStartMillis + 2000*p.now)
		m.Records = append(m.Records, MemberRecord{
			Member:      MemberID(to),
			Incarnation: Incarnation{StartMillis: start},
			InstanceID:  1,
			State:       Alive,
		})
	}
	p.emit(to, p.cores[to].HandleMessage(p.now, traceByzantine, m))
}

func (p *traceRun) run() string {
	grown := false
	for p.now < traceSeconds {
		if !grown && p.now >= traceRosterGrowthAt {
			grown = true
			for _, c := range p.cores[:traceMembers-1] {
				c.Grow(traceRoster(traceMembers))
			}
			p.start(traceMembers-1, traceMembers)
			p.emit(traceMembers-1, p.cores[traceMembers-1].Preload(p.now, []MemberRecord{p.cores[0].SelfRecord()}))
		}
		p.advance(p.now + 2*p.random.Float64())
		p.randomFault()
	}
	for i, c := range p.cores {
		for _, m := range c.Snapshot(p.now) {
			fmt.Fprintf(&p.log, "V %d %d %d %d %v %d %.9f %.9f %t %t\n",
				i, m.Member, m.State, m.Incarnation.Refutations, m.Accusers, m.FailedProbes,
				m.RefutedAccusations, m.ConfirmedAccusations, m.Silenced, m.ViewDiffers)
		}
	}
	return fmt.Sprintf("%x", sha256.Sum256([]byte(p.log.String())))
}

// TestActionsMatchRecordedTrace compares every action of a simulation of several cores with a hash recorded from the
// code before its files were restructured. It also checks that the simulation covers each kind of message and the
// reasons of state changes.
func TestActionsMatchRecordedTrace(t *testing.T) {
	for name, config := range map[string]Config{
		"one-byzantine":  {MaxByzantine: 1},
		"none-byzantine": {},
		"published-swim": {MaxByzantine: 1, PublishedSWIM: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTraceRun(t, config, 7)
			got := p.run()
			t.Logf("%d events, messages %v, reasons %v", p.events, p.kinds, p.reasons)
			assert.Greater(t, p.events, 4000)
			assert.Len(t, p.kinds, 8)
			assert.GreaterOrEqual(t, len(p.reasons), 10)
			golden.Compare(t, "trace-"+name+".sha256", got+"\n")
		})
	}
}
