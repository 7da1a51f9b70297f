package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var names = []uint64{NameHash("a"), NameHash("b"), NameHash("c"), NameHash("d"), NameHash("e")}

// core makes a view that holds all of n peers for alive.
func core(n int, t Config) *Core {
	c := New(t, 0, names[:n], 1, 100, 7, 0)
	for p := 1; p < n; p++ {
		c.HandleMessage(0, MemberID(p), Message{Kind: Push, Records: []MemberRecord{{Member: MemberID(p), Incarnation: Incarnation{StartMillis: 100}, InstanceID: uint64(p), State: Alive}}})
	}
	return c
}

func charge(by, of MemberID) Accusation {
	return Accusation{Accuser: by, Member: of, Incarnation: Incarnation{StartMillis: 100}}
}

func stateOf(c *Core, p MemberID) State { s, _ := c.Lookup(p); return s }

// quiet lets time pass without an answer from anybody; answering replies to every question of some.
func pass(c *Core, from, to float64, answers func(Send) bool) (all []Action) {
	now := from
	for now < to {
		for _, a := range c.Tick(now) {
			all = append(all, a)
			if s, ok := a.(Send); ok && s.Kind == Ping && s.Requester == c.me && answers(s) {
				all = append(all, c.HandleMessage(now+0.001, s.To, Message{Kind: Ack, Nonce: s.Nonce, Requester: c.me})...)
			}
		}
		now = min(max(c.NextDeadline(), now+0.002), now+0.1)
	}
	return all
}

func TestLiarsWordDropsNobodyWhoAnswers(t *testing.T) {
	c := core(5, Config{MaxByzantine: 1})
	now := 1.0
	for range 50 {
		for _, of := range []MemberID{1, 2, 3} {
			c.HandleMessage(now, 4, Message{Kind: Push, Accusations: []Accusation{charge(4, of)}})
		}
		pass(c, now, now+0.5, func(Send) bool { return true })
		now += 0.5
	}
	for _, p := range []MemberID{1, 2, 3} {
		assert.True(t, stateOf(c, p).Present(), "peer %d is %v", p, stateOf(c, p))
	}
	_, _, silenced := c.Reputation(4)
	assert.True(t, silenced, "who is wrong that often is not listened to")
	c.HandleMessage(now, 4, Message{Kind: Push, Accusations: []Accusation{charge(4, 1)}})
	assert.NotEqual(t, Suspect, stateOf(c, 1))
}

func TestSilentPeerIsDroppedAndOnlyANewIncarnationBringsItBack(t *testing.T) {
	c := core(4, Config{MaxByzantine: 1})
	acts := pass(c, 0.1, 12, func(s Send) bool { return s.To != 2 })
	require.Equal(t, Failed, stateOf(c, 2))
	assert.True(t, stateOf(c, 1).Present() && stateOf(c, 3).Present())
	asked := 0
	for _, a := range acts {
		if s, ok := a.(Send); ok && s.Kind == IndirectPing && s.Target == 2 {
			asked++
		}
	}
	assert.Positive(t, asked, "others were asked to look")
	c.HandleMessage(13, 2, Message{Kind: Ack, Nonce: 1, Requester: 0})
	c.HandleMessage(13, 1, Message{Kind: Push, Records: []MemberRecord{{Member: 2, Incarnation: Incarnation{StartMillis: 100}, State: Alive}}})
	assert.Equal(t, Failed, stateOf(c, 2), "an old claim does not raise it")
	c.HandleMessage(13, 1, Message{Kind: Push, Records: []MemberRecord{{Member: 2, Incarnation: Incarnation{StartMillis: 100, Refutations: 1}, State: Alive}}})
	assert.Equal(t, Alive, stateOf(c, 2))
}

func TestLateAnswerEndsASuspicion(t *testing.T) {
	c := core(3, Config{})
	var asked Send
	for now := 0.0; now < 1.2 && stateOf(c, 1) != Suspect; now += 0.02 {
		for _, a := range c.Tick(now) {
			if s, ok := a.(Send); ok && s.Kind == Ping && s.To == 1 {
				asked = s
			}
		}
	}
	require.Equal(t, Suspect, stateOf(c, 1))
	c.HandleMessage(1.3, 1, Message{Kind: Ack, Nonce: asked.Nonce, Requester: 0})
	assert.Equal(t, Alive, stateOf(c, 1))
}

func TestOneWhoWasStoppedBlamesNobody(t *testing.T) {
	c := core(4, Config{})
	pass(c, 0.1, 1, func(Send) bool { return true })
	c.Tick(1.1)
	c.Tick(60) // a minute later
	for p := MemberID(1); p < 4; p++ {
		assert.Equal(t, Alive, stateOf(c, p))
	}
	assert.Positive(t, c.HealthScore(), "and it judges others more slowly for a while")
}

func TestChargedPeerRefutesNotTooOften(t *testing.T) {
	c := core(3, Config{})
	for i := range 10 {
		c.HandleMessage(0.1+float64(i)*0.01, 1, Message{Kind: Push, Accusations: []Accusation{{Accuser: 1, Member: 0, Incarnation: c.SelfRecord().Incarnation}}})
	}
	assert.EqualValues(t, 1, c.SelfRecord().Incarnation.Refutations)
	c.HandleMessage(5, 1, Message{Kind: Push, Accusations: []Accusation{{Accuser: 1, Member: 0, Incarnation: Incarnation{StartMillis: 100, Refutations: 4_000_000}}}})
	assert.EqualValues(t, 1, c.SelfRecord().Incarnation.Refutations, "a beat that it never made is not answered")
}

func TestTwinFallsSilentAfterOneTry(t *testing.T) {
	c := core(3, Config{})
	c.HandleMessage(1, 1, Message{Kind: Push, Records: []MemberRecord{{Member: 0, Incarnation: Incarnation{StartMillis: 200}, InstanceID: 9, State: Alive}}})
	assert.Equal(t, Incarnation{StartMillis: 201}, c.SelfRecord().Incarnation, "it may be its own earlier life, by a clock that went back")
	acts := c.HandleMessage(2, 1, Message{Kind: Push, Records: []MemberRecord{{Member: 0, Incarnation: Incarnation{StartMillis: 300}, InstanceID: 9, State: Alive}}})
	assert.Contains(t, acts, NameConflict{9})
	assert.Empty(t, c.Tick(10))
}

func TestStuckAndLeavingAreSaidByThePeerItself(t *testing.T) {
	c := core(3, Config{})
	c.HandleMessage(1, 1, Message{Kind: Push, Records: []MemberRecord{{Member: 2, Incarnation: Incarnation{StartMillis: 100, Refutations: 1}, State: Stuck}}})
	there, roster, stuck := c.Counts()
	assert.Equal(t, []int{3, 3, 1}, []int{there, roster, stuck})
	c.HandleMessage(1, 1, Message{Kind: Push, Records: []MemberRecord{{Member: 2, Incarnation: Incarnation{StartMillis: 100, Refutations: 2}, State: Left}}})
	there, roster, stuck = c.Counts()
	assert.Equal(t, []int{2, 2, 0}, []int{there, roster, stuck})
	c.HandleMessage(2, 1, Message{Kind: Push, Accusations: []Accusation{{Accuser: 1, Member: 2, Incarnation: Incarnation{StartMillis: 100, Refutations: 2}}}})
	assert.Equal(t, Left, stateOf(c, 2), "who left is not suspected")
	acts := c.Leave(3)
	assert.Equal(t, Left, c.SelfRecord().State)
	assert.NotEmpty(t, acts)
}

// TestQueuesAreBounded: however much is said, what waits is bounded by the roster.
func TestQueuesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := core(5, Config{MaxByzantine: 1})
		now := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += rapid.Float64Range(0, 0.4).Draw(t, "step")
			from := MemberID(rapid.IntRange(1, 4).Draw(t, "from"))
			at := Incarnation{StartMillis: uint64(rapid.IntRange(90, 110).Draw(t, "start")), Refutations: uint32(rapid.IntRange(0, 3).Draw(t, "beat"))}
			of := MemberID(rapid.IntRange(0, 4).Draw(t, "of"))
			m := Message{Kind: MessageKind(rapid.IntRange(0, 9).Draw(t, "kind")), Nonce: rapid.Uint64().Draw(t, "nonce"), Requester: of, Target: of,
				Accusations: []Accusation{{Accuser: from, Member: of, Incarnation: at}}, Entries: []PushPullEntry{{of, at, State(rapid.IntRange(0, 5).Draw(t, "state"))}}}
			if of != 0 {
				m.Records = []MemberRecord{{Member: of, Incarnation: at, State: Alive}}
			}
			c.HandleMessage(now, from, m)
			for _, a := range c.Tick(now) {
				if s, ok := a.(Send); ok && (len(s.Records) > mostClaims+1 || len(s.Accusations) > mostCharges+1 || len(s.Entries) > mostRows) {
					t.Fatalf("a message over its bounds: %+v", s)
				}
			}
			if n := c.QueueLength(); n > 5*(1+maxAccusers+1) || len(c.checks) > mostChecks || len(c.targets) > mostTargets || len(c.late) > mostChecks {
				t.Fatalf("%d waiting, %d checks", n, len(c.checks))
			}
		}
	})
}

// world is three cores and what is under way between them, for walking all interleavings.
type world struct {
	cores   [3]*Core
	now     float64
	wires   [][]Send // by sender
	dead    int      // who runs no more, -1 for nobody
	lives   []Incarnation
	dropped bool
}

// TestAllInterleavings walks every order in which messages of three peers arrive or are lost, with one of them killed at any
// moment, to a depth of six choices, from the start and from just before the first drop of a peer that is cut off. It holds in
// each: a failed peer comes back only by a higher incarnation, and nobody is dropped but on own failed looks.
func TestAllInterleavings(t *testing.T) {
	const depth = 6
	brink := 0
	for w := begin(t, 0); !w.dropped; brink++ {
		w = begin(t, brink+1)
	}
	require.Greater(t, brink, 3)
	for _, rounds := range []int{0, brink - 2} {
		walked, drops := 0, 0
		var play func(choices []int)
		play = func(choices []int) {
			w := begin(t, rounds)
			for _, ch := range choices {
				if !w.step(t, ch) {
					return // nothing came of the last choice: the walk without it is another one
				}
			}
			walked++
			if w.dropped {
				drops++
			}
			if len(choices) < depth {
				for ch := range 8 {
					play(append(choices[:len(choices):len(choices)], ch))
				}
			}
		}
		play(nil)
		t.Logf("after %d rounds of a cut: %d walks, %d with a drop", rounds, walked, drops)
		assert.Greater(t, walked, 2_000)
		assert.Equal(t, rounds > 0, drops > 0)
	}
}

// begin makes three peers that know each other, and cuts the third off for some rounds.
func begin(t *testing.T, rounds int) *world {
	w := &world{dead: -1, wires: make([][]Send, 3), lives: make([]Incarnation, 3)}
	for i := range w.cores {
		w.cores[i] = New(Config{MaxByzantine: 0}, MemberID(i), names[:3], uint64(i), 100, uint64(i), 0)
		for p := range 3 {
			if p != i {
				w.cores[i].HandleMessage(0, MemberID(p), Message{Kind: Push, Records: []MemberRecord{{Member: MemberID(p), Incarnation: Incarnation{StartMillis: 100}, InstanceID: uint64(p), State: Alive}}})
			}
		}
	}
	for range rounds {
		w.step(t, 0)
		for n := 0; n < 30 && len(w.wires[0])+len(w.wires[1])+len(w.wires[2]) > 0; n++ {
			for i := range 3 {
				if len(w.wires[i]) == 0 {
					continue
				}
				if m := w.wires[i][0]; i == 2 || m.To == 2 {
					w.step(t, 2+2*i)
				} else {
					w.step(t, 1+2*i)
				}
			}
		}
	}
	return w
}

// step is one choice: time passes for all; the oldest message of a peer arrives or is lost; the third peer dies.
func (w *world) step(t *testing.T, choice int) bool {
	switch {
	case choice == 0:
		w.now += 0.2
		for i, c := range w.cores {
			if i != w.dead {
				w.out(t, i, c.Tick(w.now))
			}
		}
	case choice < 7:
		i := (choice - 1) / 2
		if len(w.wires[i]) == 0 {
			return false
		}
		m := w.wires[i][0]
		w.wires[i] = w.wires[i][1:]
		if choice%2 == 0 || int(m.To) == w.dead {
			return true // lost
		}
		w.out(t, int(m.To), w.cores[m.To].HandleMessage(w.now, MemberID(i), m.Message))
	case w.dead < 0:
		w.dead = 2
	default:
		return false
	}
	return true
}

func (w *world) out(t *testing.T, from int, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			w.wires[from] = append(w.wires[from], a)
		case StateChange:
			if a.To == Failed {
				w.lives[from], w.dropped = a.Incarnation, true
				if c := w.cores[from].peers[a.Member]; c.sus != nil && c.sus.own < ownFails {
					t.Fatalf("%d dropped %d on others' word", from, a.Member)
				}
			}
			if a.From == Failed && a.To.Present() && !w.lives[from].Less(a.Incarnation) {
				t.Fatalf("%d took %d back without a higher incarnation", from, a.Member)
			}
		}
	}
	if n := w.cores[from].QueueLength(); n > 3*(1+maxAccusers+1) {
		t.Fatalf("%d waiting", n)
	}
}
