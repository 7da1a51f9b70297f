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
	c := New(Config{MaxPending: 100}, "r1", 1, 5)
	c.SetReachable(0, true)
	return c
}

func want(txn string, hop int, group string) Attempt {
	return Attempt{RequestID: txn, Index: hop, Key: "k", Group: group, WindowSeconds: 6, Deadline: 3, PriorityWeight: 1}
}

func asked(t *testing.T, acts []Action) SubmitCommand {
	t.Helper()
	for _, a := range acts {
		if x, ok := a.(SubmitCommand); ok {
			return x
		}
	}
	t.Fatalf("no question in %v", acts)
	return SubmitCommand{}
}

func granted(g string) statemachine.Result {
	return statemachine.Result{Granted: true, Reservation: statemachine.Reservation{Group: g, CreatedAt: 50, ExpiresAt: 56}, RemainingSeconds: 6}
}

func TestHopGoesOnceItsWhereaboutsAreHeld(t *testing.T) {
	c := core()
	a := asked(t, c.RequestAttempt(0, want("t", 0, "g")))
	assert.Equal(t, statemachine.OpReserve, a.Command.Op)
	assert.Equal(t, []Action{AllowAttempt{"t", 0}}, c.HandleResult(0.01, a.Number, granted("g")))
	assert.Empty(t, c.HandleResult(0.02, a.Number, granted("g")), "an answer that comes twice")
	assert.Equal(t, []Action{AllowAttempt{"t", 1}}, c.RequestAttempt(0.5, want("t", 1, "g")), "a further hop into the same group needs no second claim")
	acts := c.RequestAttempt(0.6, want("t", 2, "other"))
	assert.Contains(t, acts, DenyAttempt{"t", 2})
	s := asked(t, c.RequestEnded(1, "t", "k", true, false))
	assert.Equal(t, []any{statemachine.OpSettle, statemachine.StatusCompleted, a.Number}, []any{s.Command.Op, s.Command.Status, s.Command.RequestNumber})
	assert.Contains(t, c.RequestAttempt(1.5, want("u", 0, "g")), Action(ReportLocation{"u", "g", 6.01, true}))
}

func TestEarlierHopElsewhereIsTold(t *testing.T) {
	c := core()
	a := asked(t, c.RequestAttempt(0, want("t", 0, "g2")))
	acts := c.HandleResult(0.1, a.Number, statemachine.Result{Reservation: statemachine.Reservation{Group: "g1", CreatedAt: 50, ExpiresAt: 56}, RemainingSeconds: 6})
	assert.Equal(t, []Action{DenyAttempt{"t", 0}, ReportLocation{"t", "g1", 6.1, false}}, acts)
	a = asked(t, c.RequestAttempt(0.1, want("t", 1, "g1")))
	assert.Equal(t, []Action{AllowAttempt{"t", 1}}, c.HandleResult(0.2, a.Number, granted("g1")))
}

func TestSecondTxnOfAKeyHereFollowsTheFirst(t *testing.T) {
	c := core()
	a := asked(t, c.RequestAttempt(0, want("t", 0, "g")))
	assert.Equal(t, []Action{DenyAttempt{"u", 0}, ReportLocation{"u", "g", 6.1, false}}, c.RequestAttempt(0.1, want("u", 0, "other")))
	assert.Empty(t, c.RequestAttempt(0.1, want("u", 1, "g")))
	assert.Equal(t, []Action{AllowAttempt{"t", 0}, AllowAttempt{"u", 1}}, c.HandleResult(0.2, a.Number, granted("g")))
}

func TestClaimOfTwoIsHarmlessOnlyWhenBothAre(t *testing.T) {
	c := core()
	a := asked(t, c.RequestAttempt(0, want("t", 0, "g")))
	c.RequestAttempt(0.1, want("u", 0, "g"))
	c.HandleResult(0.2, a.Number, granted("g"))
	assert.Empty(t, c.RequestEnded(0.5, "t", "k", false, true), "the other's hop may have run")
	assert.Equal(t, statemachine.StatusNotExecuted, asked(t, c.RequestEnded(0.6, "u", "k", false, true)).Command.Status)
}

func TestWithoutTheLedgerNothingGoes(t *testing.T) {
	c := core()
	c.SetReachable(0, false)
	acts := c.RequestAttempt(0, want("t", 0, "g"))
	require.Len(t, acts, 2)
	assert.Equal(t, DenyAttempt{"t", 0}, acts[0])
	again := acts[1].(RejectRequest).RetryAfterSeconds
	assert.True(t, again >= minRetryAfterSeconds && again <= maxRetryAfterSeconds)
	c.config.ProceedWhenUnavailable = true
	assert.Equal(t, []Action{AllowAttempt{"t", 0}}, c.RequestAttempt(0, want("t", 0, "g")), "an installation may prefer it")
}

func TestUnansweredClaimIsAskedAgainAndThenGivenUp(t *testing.T) {
	c := core()
	a := asked(t, c.RequestAttempt(0, want("t", 0, "g")))
	b := asked(t, c.Tick(0.4))
	assert.Equal(t, a.Command, b.Command, "the same command: it is carried out once")
	assert.Equal(t, 1, b.Retry)
	acts := c.Tick(2.9)
	assert.Contains(t, acts, Action(DenyAttempt{"t", 0}))
	assert.Zero(t, c.PendingCount())
	s := asked(t, c.HandleResult(2.95, a.Number, granted("g")))
	assert.Equal(t, statemachine.StatusNotExecuted, s.Command.Status, "it was granted after all, and nothing went")
	assert.Empty(t, c.HandleResult(2.96, a.Number, granted("g")))
}

func TestClientThatLeavesTakesItsClaimAlong(t *testing.T) {
	c := core()
	a := asked(t, c.RequestAttempt(0, want("t", 0, "g")))
	c.RequestEnded(0.1, "t", "k", false, true)
	acts := c.HandleResult(0.2, a.Number, granted("g"))
	assert.NotContains(t, acts, Action(AllowAttempt{"t", 0}))
	assert.Equal(t, statemachine.StatusNotExecuted, asked(t, acts).Command.Status)
}

func TestImportantClaimsComeFirst(t *testing.T) {
	c := New(Config{MaxPending: 2}, "r", 1, 1)
	c.SetReachable(0, true)
	hop := func(i int, importance float64) []Action {
		return c.RequestAttempt(0, Attempt{RequestID: fmt.Sprint("t", i), Key: fmt.Sprint("k", i), Group: "g", WindowSeconds: 6, Deadline: 3, PriorityWeight: importance})
	}
	hop(0, 1)
	hop(1, 2)
	assert.Contains(t, hop(2, 3), Action(DenyAttempt{"t0", 0}), "the least goes")
	assert.Contains(t, hop(3, 1), Action(DenyAttempt{"t3", 0}))
	assert.Equal(t, 2, c.PendingCount())
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
				case SubmitCommand:
					if a.Command.Op == statemachine.OpSettle && a.Command.Status == statemachine.StatusNotExecuted && went[a.Command.RequestNumber] {
						t.Fatalf("claim %d is called harmless, a hop went on it", a.Command.RequestNumber)
					}
					out = append(out, question{a.Number, a.Command})
				case AllowAttempt:
					p, ok := state.Get(statemachine.KindAttemptLocation, "k")
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
				take(c.RequestAttempt(now, Attempt{RequestID: fmt.Sprint("t", i%5), Index: i, Key: "k", Group: g, WindowSeconds: 6, Deadline: now + 2}))
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
					if q.cmd.Op == statemachine.OpReserve && rapid.Bool().Draw(t, "told") {
						if r.Granted && c.pending[q.no] != nil {
							lastGrant["k"] = q.no
						}
						take(c.HandleResult(now, q.no, r))
					}
				}
			case 3:
				take(c.Tick(now))
			case 4:
				take(c.RequestEnded(now, fmt.Sprint("t", i%5), "k", false, false))
			}
		}
	})
}
