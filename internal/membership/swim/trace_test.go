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

// traceReasons numbers the reasons of state changes, so that the trace does not depend on their texts.
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
	ReasonOwnWork:        12,
	ReasonLeaving:        13,
	ReasonPreloaded:      14,
}

const (
	traceMembers   = 8     // instances; the last one joins late
	traceLasts     = 150.0 // s of the played time
	traceGrowAt    = 40.0  // s at which the roster grows by the last instance
	traceByzantine = 6     // the instance that accuses others without a reason
	traceFirstRun  = 1_000_000
)

// traceDelivery is a message under way.
type traceDelivery struct {
	at       float64
	order    int
	from, to MemberID
	message  Message
}

// tracePlay plays several cores against each other with losses, cuts, kills, stops and a lying instance, all drawn
// from a seed, and hashes every action that any core asks for.
type tracePlay struct {
	t       *testing.T
	config  Config
	random  *rand.Rand
	cores   []*Core
	running []bool
	stopped []float64 // until when an instance does not run
	cut     float64   // until when even and odd instances do not hear each other
	flight  []traceDelivery
	order   int
	now     float64
	log     strings.Builder
	events  int
	kinds   map[MessageKind]int
	reasons map[int]int
}

func traceRoster(n int) (out []uint64) {
	for i := range n {
		out = append(out, NameHash(fmt.Sprint("router-", i)))
	}
	return out
}

func newTracePlay(t *testing.T, config Config, seed uint64) *tracePlay {
	t.Helper()
	p := &tracePlay{
		t:       t,
		config:  config,
		random:  rand.New(rand.NewPCG(seed, 99)),
		cores:   make([]*Core, traceMembers),
		running: make([]bool, traceMembers),
		stopped: make([]float64, traceMembers),
		kinds:   map[MessageKind]int{},
		reasons: map[int]int{},
	}
	for i := range traceMembers - 1 {
		p.start(i, traceMembers-1)
	}
	return p
}

func (p *tracePlay) start(i, roster int) {
	first := uint64(traceFirstRun + p.now*1000)
	p.cores[i] = New(p.config, MemberID(i), traceRoster(roster), uint64(i)+5, first, p.random.Uint64(), p.now)
	p.running[i], p.stopped[i] = true, 0
}

func (p *tracePlay) emit(i int, actions []Action) {
	for _, a := range actions {
		fmt.Fprintf(&p.log, "%.9f %d %s\n", p.now, i, p.text(a))
		send, ok := a.(Send)
		if !ok {
			continue
		}
		p.order++
		lost := p.random.Float64() < 0.1
		delay := 0.001 + 0.03*p.random.Float64()
		if lost || p.now < p.cut && i%2 != int(send.To)%2 {
			continue
		}
		p.flight = append(p.flight, traceDelivery{p.now + delay, p.order, MemberID(i), send.To, send.Message})
	}
}

func (p *tracePlay) text(a Action) string {
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
		require.NotZero(p.t, reason, "a reason that the trace does not know: %v", a.Reason)
		p.reasons[reason]++
		at := a.Incarnation
		return fmt.Sprintf("C %d %d %d %d %d %d %.9f",
			a.Member, a.From, a.To, reason, at.StartMillis, at.Refutations, a.SuspectedSeconds)
	case NameConflict:
		return fmt.Sprintf("N %d", a.InstanceID)
	}
	p.t.Fatalf("an action that the trace does not know: %T", a)
	return ""
}

// advance lets time pass until a given time: deliveries and ticks in the order of their times.
func (p *tracePlay) advance(until float64) {
	for {
		at, instance, flight := until, -1, -1
		for i, c := range p.cores {
			if c != nil && p.running[i] {
				if due := max(c.NextDeadline(), p.stopped[i], p.now+0.0005); due < at {
					at, instance = due, i
				}
			}
		}
		for i, d := range p.flight {
			if d.at < at || d.at == at && flight >= 0 && d.order < p.flight[flight].order {
				at, instance, flight = d.at, -1, i
			}
		}
		p.now = max(p.now, at)
		switch {
		case flight >= 0:
			d := p.flight[flight]
			p.flight = slices.Delete(p.flight, flight, flight+1)
			p.deliver(d)
		case instance >= 0:
			p.events++
			p.emit(instance, p.cores[instance].Tick(p.now))
		default:
			return
		}
	}
}

func (p *tracePlay) deliver(d traceDelivery) {
	c := p.cores[d.to]
	if c == nil || !p.running[d.to] || p.now < p.stopped[d.to] {
		return
	}
	p.events++
	p.emit(int(d.to), c.HandleMessage(p.now, d.from, d.message))
}

// act is one drawn act of the script.
func (p *tracePlay) act() {
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
		p.stopped[i] = p.now + 2*p.random.Float64()
	case 2:
		p.cut = p.now + 12*p.random.Float64()
	case 3, 4:
		if p.running[i] {
			p.emit(i, c.SetWorking(p.now, p.random.IntN(2) == 0))
		}
	case 5:
		p.lie(i)
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

// lie makes the lying instance accuse every member that another instance holds, and at times forge a record of that
// instance from a later start.
func (p *tracePlay) lie(to int) {
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
		start := uint64(traceFirstRun + 2000*p.now)
		m.Records = append(m.Records, MemberRecord{
			Member:      MemberID(to),
			Incarnation: Incarnation{StartMillis: start},
			InstanceID:  1,
			State:       Alive,
		})
	}
	p.emit(to, p.cores[to].HandleMessage(p.now, traceByzantine, m))
}

func (p *tracePlay) play() string {
	grown := false
	for p.now < traceLasts {
		if !grown && p.now >= traceGrowAt {
			grown = true
			for _, c := range p.cores[:traceMembers-1] {
				c.Grow(traceRoster(traceMembers))
			}
			p.start(traceMembers-1, traceMembers)
			p.emit(traceMembers-1, p.cores[traceMembers-1].Preload(p.now, []MemberRecord{p.cores[0].SelfRecord()}))
		}
		p.advance(p.now + 2*p.random.Float64())
		p.act()
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

// TestActionsMatchRecordedTrace compares every action of a drawn play of several cores with the hash recorded from
// the code before its files were reshaped. The play itself is checked to reach each kind of message and the reasons
// of changes.
func TestActionsMatchRecordedTrace(t *testing.T) {
	for name, config := range map[string]Config{
		"one-byzantine":  {MaxByzantine: 1},
		"none-byzantine": {},
		"published-swim": {MaxByzantine: 1, PublishedSWIM: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTracePlay(t, config, 7)
			got := p.play()
			t.Logf("%d events, messages %v, reasons %v", p.events, p.kinds, p.reasons)
			assert.Greater(t, p.events, 4000)
			assert.Len(t, p.kinds, 8)
			assert.GreaterOrEqual(t, len(p.reasons), 10)
			golden.Compare(t, "trace-"+name+".sha256", got+"\n")
		})
	}
}
