package reservation

import (
	"fmt"
	"testing"

	"cairnfront/internal/replication/statemachine"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func core() *Core {
	c := New(Terms{Most: 100}, "r1", 1, 5)
	c.Reach(0, true)
	return c
}

func want(txn string, hop int, group string) Want {
	return Want{Txn: txn, Hop: hop, Key: "k", Group: group, Window: 6, Limit: 3, Importance: 1}
}

func asked(t *testing.T, acts []Action) Ask {
	t.Helper()
	for _, a := range acts {
		if x, ok := a.(Ask); ok {
			return x
		}
	}
	t.Fatalf("no question in %v", acts)
	return Ask{}
}

func granted(g string) statemachine.Result {
	return statemachine.Result{Granted: true, Promise: statemachine.Promise{Group: g, First: 50, Until: 56}, Left: 6}
}

func TestHopGoesOnceItsWhereaboutsAreHeld(t *testing.T) {
	c := core()
	a := asked(t, c.Hop(0, want("t", 0, "g")))
	assert.Equal(t, statemachine.OpClaim, a.Command.Op)
	assert.Equal(t, []Action{Go{"t", 0}}, c.Answered(0.01, a.No, granted("g")))
	assert.Empty(t, c.Answered(0.02, a.No, granted("g")), "an answer that comes twice")
	assert.Equal(t, []Action{Go{"t", 1}}, c.Hop(0.5, want("t", 1, "g")), "a further hop into the same group needs no second claim")
	acts := c.Hop(0.6, want("t", 2, "other"))
	assert.Contains(t, acts, Deny{"t", 2})
	s := asked(t, c.Ended(1, "t", "k", true, false))
	assert.Equal(t, []any{statemachine.OpSettle, statemachine.Completed, a.No}, []any{s.Command.Op, s.Command.State, s.Command.Ask})
	assert.Contains(t, c.Hop(1.5, want("u", 0, "g")), Action(Known{"u", "g", 6.01, true}))
}

func TestEarlierHopElsewhereIsTold(t *testing.T) {
	c := core()
	a := asked(t, c.Hop(0, want("t", 0, "g2")))
	acts := c.Answered(0.1, a.No, statemachine.Result{Promise: statemachine.Promise{Group: "g1", First: 50, Until: 56}, Left: 6})
	assert.Equal(t, []Action{Deny{"t", 0}, Known{"t", "g1", 6.1, false}}, acts)
	a = asked(t, c.Hop(0.1, want("t", 1, "g1")))
	assert.Equal(t, []Action{Go{"t", 1}}, c.Answered(0.2, a.No, granted("g1")))
}

func TestSecondTxnOfAKeyHereFollowsTheFirst(t *testing.T) {
	c := core()
	a := asked(t, c.Hop(0, want("t", 0, "g")))
	assert.Equal(t, []Action{Deny{"u", 0}, Known{"u", "g", 6.1, false}}, c.Hop(0.1, want("u", 0, "other")))
	assert.Empty(t, c.Hop(0.1, want("u", 1, "g")))
	assert.Equal(t, []Action{Go{"t", 0}, Go{"u", 1}}, c.Answered(0.2, a.No, granted("g")))
}

func TestClaimOfTwoIsHarmlessOnlyWhenBothAre(t *testing.T) {
	c := core()
	a := asked(t, c.Hop(0, want("t", 0, "g")))
	c.Hop(0.1, want("u", 0, "g"))
	c.Answered(0.2, a.No, granted("g"))
	assert.Empty(t, c.Ended(0.5, "t", "k", false, true), "the other's hop may have run")
	assert.Equal(t, statemachine.Harmless, asked(t, c.Ended(0.6, "u", "k", false, true)).Command.State)
}

func TestWithoutTheLedgerNothingGoes(t *testing.T) {
	c := core()
	c.Reach(0, false)
	acts := c.Hop(0, want("t", 0, "g"))
	require.Len(t, acts, 2)
	assert.Equal(t, Deny{"t", 0}, acts[0])
	again := acts[1].(Reject).Again
	assert.True(t, again >= againLeast && again <= againMost)
	c.terms.GoAlone = true
	assert.Equal(t, []Action{Go{"t", 0}}, c.Hop(0, want("t", 0, "g")), "an installation may prefer it")
}

func TestUnansweredClaimIsAskedAgainAndThenGivenUp(t *testing.T) {
	c := core()
	a := asked(t, c.Hop(0, want("t", 0, "g")))
	b := asked(t, c.Tick(0.4))
	assert.Equal(t, a.Command, b.Command, "the same command: it is carried out once")
	assert.Equal(t, 1, b.Try)
	acts := c.Tick(2.9)
	assert.Contains(t, acts, Action(Deny{"t", 0}))
	assert.Zero(t, c.Waiting())
	s := asked(t, c.Answered(2.95, a.No, granted("g")))
	assert.Equal(t, statemachine.Harmless, s.Command.State, "it was granted after all, and nothing went")
	assert.Empty(t, c.Answered(2.96, a.No, granted("g")))
}

func TestClientThatLeavesTakesItsClaimAlong(t *testing.T) {
	c := core()
	a := asked(t, c.Hop(0, want("t", 0, "g")))
	c.Ended(0.1, "t", "k", false, true)
	acts := c.Answered(0.2, a.No, granted("g"))
	assert.NotContains(t, acts, Action(Go{"t", 0}))
	assert.Equal(t, statemachine.Harmless, asked(t, acts).Command.State)
}

func TestImportantClaimsComeFirst(t *testing.T) {
	c := New(Terms{Most: 2}, "r", 1, 1)
	c.Reach(0, true)
	hop := func(i int, importance float64) []Action {
		return c.Hop(0, Want{Txn: fmt.Sprint("t", i), Key: fmt.Sprint("k", i), Group: "g", Window: 6, Limit: 3, Importance: importance})
	}
	hop(0, 1)
	hop(1, 2)
	assert.Contains(t, hop(2, 3), Action(Deny{"t0", 0}), "the least goes")
	assert.Contains(t, hop(3, 1), Action(Deny{"t3", 0}))
	assert.Equal(t, 2, c.Waiting())
}

// TestNoHopWithoutAGrant: whatever comes in whatever order, a hop goes only in a group that a claim of this router was granted in,
// and no claim is settled as harmless on which one went.
func TestNoHopWithoutAGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := core()
		state := statemachine.New()
		now, rev := 0.0, uint64(0)
		type question struct {
			no  uint64
			cmd statemachine.Command
		}
		var out []question
		went := map[uint64]bool{}
		lastGrant := map[string]uint64{}
		take := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Ask:
					if a.Command.Op == statemachine.OpSettle && a.Command.State == statemachine.Harmless && went[a.Command.Ask] {
						t.Fatalf("claim %d is called harmless, a hop went on it", a.Command.Ask)
					}
					out = append(out, question{a.No, a.Command})
				case Go:
					p, ok := state.Get(statemachine.Whereabouts, "k")
					if !ok || lastGrant["k"] == 0 {
						t.Fatalf("a hop went without a claim: %+v", p)
					}
					went[lastGrant["k"]] = true
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "events") {
			now += rapid.Float64Range(0, 0.5).Draw(t, "step")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				g := fmt.Sprint("g", rapid.IntRange(0, 1).Draw(t, "group"))
				take(c.Hop(now, Want{Txn: fmt.Sprint("t", i%5), Hop: i, Key: "k", Group: g, Window: 6, Limit: now + 2}))
			case 2:
				if len(out) > 0 {
					j := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					q := out[j]
					if rapid.Bool().Draw(t, "gone") {
						out = append(out[:j:j], out[j+1:]...)
					}
					rev++
					q.cmd.Now = 1000 + now
					r := state.Apply(rev, q.cmd)
					if q.cmd.Op == statemachine.OpClaim && rapid.Bool().Draw(t, "told") {
						if r.Granted && c.open[q.no] != nil {
							lastGrant["k"] = q.no
						}
						take(c.Answered(now, q.no, r))
					}
				}
			case 3:
				take(c.Tick(now))
			case 4:
				take(c.Ended(now, fmt.Sprint("t", i%5), "k", false, false))
			}
		}
	})
}
