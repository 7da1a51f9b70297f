package reservation

import (
	"fmt"
	"testing"

	"cairnfront/internal/replication/statemachine"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func reachableCore() *Core {
	c := New(Config{MaxPending: 100}, "r1", 1, 5)
	c.SetReachable(0, true)
	return c
}

// attemptOf returns an attempt of key "k".
func attemptOf(request RequestID, index int, group string) Attempt {
	return Attempt{
		RequestID:      request,
		Index:          index,
		Key:            "k",
		Group:          group,
		WindowSeconds:  6,
		Deadline:       3,
		PriorityWeight: 1,
	}
}

// submitted returns the first submitted command in a list of actions.
func submitted(t *testing.T, actions []Action) SubmitCommand {
	t.Helper()
	for _, action := range actions {
		if command, ok := action.(SubmitCommand); ok {
			return command
		}
	}
	t.Fatalf("no command in %v", actions)
	return SubmitCommand{}
}

func granted(group string) statemachine.Result {
	return statemachine.Result{
		Granted:          true,
		Reservation:      statemachine.Reservation{Group: group, CreatedAt: 50, ExpiresAt: 56},
		RemainingSeconds: 6,
	}
}

func reservedElsewhere(group string) statemachine.Result {
	result := granted(group)
	result.Granted = false
	return result
}

// TestAttemptIsAllowedOnceItsLocationIsReserved runs a request from its first attempt to its end.
// An attempt that is sent before its location is reserved may run a second time elsewhere. Each
// attempt must wait for a grant, further attempts in the same group need no second grant, and
// another group is denied.
func TestAttemptIsAllowedOnceItsLocationIsReserved(t *testing.T) {
	c := reachableCore()
	first := submitted(t, c.RequestAttempt(0, attemptOf("t", 0, "g")))
	assert.Equal(t, statemachine.OpReserve, first.Command.Op)
	assert.Equal(t, []Action{AllowAttempt{"t", 0}}, c.HandleResult(0.01, first.Number, granted("g")))
	assert.Empty(t, c.HandleResult(0.02, first.Number, granted("g")), "a duplicate result has no effect")
	assert.Equal(t, []Action{AllowAttempt{"t", 1}}, c.RequestAttempt(0.5, attemptOf("t", 1, "g")),
		"a further attempt in the same group needs no second reservation")
	actions := c.RequestAttempt(0.6, attemptOf("t", 2, "other"))
	assert.Contains(t, actions, DenyAttempt{"t", 2})
	settled := submitted(t, c.RequestEnded("t", "k", OutcomeCompleted))
	assert.Equal(t, statemachine.OpSettle, settled.Command.Op)
	assert.Equal(t, statemachine.StatusCompleted, settled.Command.Status)
	assert.Equal(t, first.Number, settled.Command.RequestNumber)
	assert.Contains(t, c.RequestAttempt(1.5, attemptOf("u", 0, "g")), Action(ReportLocation{"u", "g", 6.01, true}))
}

// TestEarlierAttemptInAnotherGroupIsReported requests a key that another router reserved for
// another group. The attempt would run the request a second time. It must be denied, and the
// reserved group must be reported.
func TestEarlierAttemptInAnotherGroupIsReported(t *testing.T) {
	c := reachableCore()
	first := submitted(t, c.RequestAttempt(0, attemptOf("t", 0, "g2")))
	actions := c.HandleResult(0.1, first.Number, reservedElsewhere("g1"))
	assert.Equal(t, []Action{DenyAttempt{"t", 0}, ReportLocation{"t", "g1", 6.1, false}}, actions)
	first = submitted(t, c.RequestAttempt(0.1, attemptOf("t", 1, "g1")))
	assert.Equal(t, []Action{AllowAttempt{"t", 1}}, c.HandleResult(0.2, first.Number, granted("g1")))
}

// TestSecondRequestOfAKeyJoinsThePendingReservation sends two requests with the same key while the
// reservation is pending. Two reservations would double the load during a retry storm. The second
// request must wait for the result of the first one.
func TestSecondRequestOfAKeyJoinsThePendingReservation(t *testing.T) {
	c := reachableCore()
	first := submitted(t, c.RequestAttempt(0, attemptOf("t", 0, "g")))
	assert.Equal(t, []Action{DenyAttempt{"u", 0}, ReportLocation{"u", "g", 6.1, false}},
		c.RequestAttempt(0.1, attemptOf("u", 0, "other")))
	assert.Empty(t, c.RequestAttempt(0.1, attemptOf("u", 1, "g")))
	actions := c.HandleResult(0.2, first.Number, granted("g"))
	assert.Equal(t, []Action{AllowAttempt{"t", 0}, AllowAttempt{"u", 1}}, actions)
}

// TestSharedReservationIsSettledOnceBothRequestsWereNotExecuted ends two requests that share a
// reservation. If it were settled after the first request, the key would be free while the other
// request's attempt may have run. It must be settled only after both.
func TestSharedReservationIsSettledOnceBothRequestsWereNotExecuted(t *testing.T) {
	c := reachableCore()
	first := submitted(t, c.RequestAttempt(0, attemptOf("t", 0, "g")))
	c.RequestAttempt(0.1, attemptOf("u", 0, "g"))
	c.HandleResult(0.2, first.Number, granted("g"))
	assert.Empty(t, c.RequestEnded("t", "k", OutcomeNotExecuted), "the other request's attempt may have run")
	settled := submitted(t, c.RequestEnded("u", "k", OutcomeNotExecuted))
	assert.Equal(t, statemachine.StatusNotExecuted, settled.Command.Status)
}

// TestAttemptIsDeniedWhileUnreachable requests an attempt while no replica can be reached. An
// attempt without a reservation may run twice; an error without a retry time would make all clients
// retry at the same time. The attempt must be denied with a retry time, unless
// ProceedWhenUnavailable is set.
func TestAttemptIsDeniedWhileUnreachable(t *testing.T) {
	c := reachableCore()
	c.SetReachable(0, false)
	actions := c.RequestAttempt(0, attemptOf("t", 0, "g"))
	require.Len(t, actions, 2)
	assert.Equal(t, DenyAttempt{"t", 0}, actions[0])
	rejected, ok := actions[1].(RejectRequest)
	require.True(t, ok)
	assert.Equal(t, ReasonUnreachable, rejected.Reason)
	assert.GreaterOrEqual(t, rejected.RetryAfterSeconds, minRetryAfterSeconds)
	assert.LessOrEqual(t, rejected.RetryAfterSeconds, maxRetryAfterSeconds)
	c.config.ProceedWhenUnavailable = true
	assert.Equal(t, []Action{AllowAttempt{"t", 0}}, c.RequestAttempt(0, attemptOf("t", 0, "g")),
		"ProceedWhenUnavailable allows the attempt")
}

// TestReservationWithoutResultIsResubmittedAndThenAbandoned loses the result of a reservation.
// Otherwise the client would wait past its deadline, and a late grant would reserve the key
// although no attempt was sent. The command must be resubmitted unchanged and then abandoned, and a
// late grant settled as not executed.
func TestReservationWithoutResultIsResubmittedAndThenAbandoned(t *testing.T) {
	c := reachableCore()
	first := submitted(t, c.RequestAttempt(0, attemptOf("t", 0, "g")))
	second := submitted(t, c.Tick(0.4))
	assert.Equal(t, first.Command, second.Command, "a resubmission repeats the same command")
	assert.Equal(t, 1, second.Retry)
	actions := c.Tick(2.9)
	assert.Contains(t, actions, Action(DenyAttempt{"t", 0}))
	assert.Zero(t, c.PendingCount())
	settled := submitted(t, c.HandleResult(2.95, first.Number, granted("g")))
	assert.Equal(t, statemachine.StatusNotExecuted, settled.Command.Status, "granted, but no attempt was sent")
	assert.Empty(t, c.HandleResult(2.96, first.Number, granted("g")))
}

// TestReservationOfCancelledRequestIsSettledAsNotExecuted cancels a request while its reservation
// is pending. Without a settlement the key would stay reserved for the full window although no
// attempt ran.
func TestReservationOfCancelledRequestIsSettledAsNotExecuted(t *testing.T) {
	c := reachableCore()
	first := submitted(t, c.RequestAttempt(0, attemptOf("t", 0, "g")))
	c.RequestEnded("t", "k", OutcomeNotExecuted)
	actions := c.HandleResult(0.2, first.Number, granted("g"))
	assert.NotContains(t, actions, Action(AllowAttempt{"t", 0}))
	assert.Equal(t, statemachine.StatusNotExecuted, submitted(t, actions).Command.Status)
}

// TestReservationOfLeastWeightIsDisplaced reaches the limit of pending reservations. If new
// reservations were always rejected, important requests would fail because of less important ones.
// The reservation of the lowest weight must be displaced, and the limit must not be exceeded.
func TestReservationOfLeastWeightIsDisplaced(t *testing.T) {
	c := New(Config{MaxPending: 2}, "r", 1, 1)
	c.SetReachable(0, true)
	request := func(i int, weight float64) []Action {
		attempt := attemptOf(RequestID(fmt.Sprint("t", i)), 0, "g")
		attempt.Key = fmt.Sprint("k", i)
		attempt.PriorityWeight = weight
		return c.RequestAttempt(0, attempt)
	}
	request(0, 1)
	request(1, 2)
	assert.Contains(t, request(2, 3), Action(DenyAttempt{"t0", 0}), "the reservation of the lowest weight is displaced")
	assert.Contains(t, request(3, 1), Action(DenyAttempt{"t3", 0}))
	assert.Equal(t, 2, c.PendingCount())
}

// reservationModel runs a core against the state machine and checks each action.
type reservationModel struct {
	t         *rapid.T
	core      *Core
	state     *statemachine.State
	now       float64
	revision  uint64
	submitted []SubmitCommand
	attempted map[uint64]bool // reservations on which an attempt was allowed
	lastGrant uint64          // number of the last reservation whose grant the core received
}

func (m *reservationModel) check(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case SubmitCommand:
			command := action.Command
			notExecuted := command.Op == statemachine.OpSettle && command.Status == statemachine.StatusNotExecuted
			if notExecuted && m.attempted[command.RequestNumber] {
				m.t.Fatalf("reservation %d settled as not executed, but its attempt was allowed", command.RequestNumber)
			}
			m.submitted = append(m.submitted, action)
		case AllowAttempt:
			location, ok := m.state.Get(statemachine.KindAttemptLocation, "k")
			if !ok || m.lastGrant == 0 {
				m.t.Fatalf("an attempt was allowed without a reservation: %+v", location)
			}
			m.attempted[m.lastGrant] = true
		}
	}
}

// apply applies one of the submitted commands. At random it retains the command to apply it again,
// or drops its result.
func (m *reservationModel) apply() {
	if len(m.submitted) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.submitted)-1).Draw(m.t, "command")
	command := m.submitted[i]
	if rapid.Bool().Draw(m.t, "carried out once") {
		m.submitted = append(m.submitted[:i:i], m.submitted[i+1:]...)
	}
	m.revision++
	command.Command.Now = 1000 + m.now
	result := m.state.Apply(m.revision, command.Command)
	if command.Command.Op != statemachine.OpReserve || !rapid.Bool().Draw(m.t, "result arrives") {
		return
	}
	if result.Granted && m.core.pending[command.Number] != nil {
		m.lastGrant = command.Number
	}
	m.check(m.core.HandleResult(m.now, command.Number, result))
}

func (m *reservationModel) step(i int) {
	request := RequestID(fmt.Sprint("t", i%5))
	switch rapid.IntRange(0, 4).Draw(m.t, "event") {
	case 0, 1:
		m.check(m.core.RequestAttempt(m.now, Attempt{
			RequestID:     request,
			Index:         i,
			Key:           "k",
			Group:         fmt.Sprint("g", rapid.IntRange(0, 1).Draw(m.t, "group")),
			WindowSeconds: 6,
			Deadline:      m.now + 2,
		}))
	case 2:
		m.apply()
	case 3:
		m.check(m.core.Tick(m.now))
	case 4:
		m.check(m.core.RequestEnded(request, "k", OutcomeUnknown))
	}
}

// TestNoAttemptWithoutAGrant runs random events in random order. An attempt may be allowed only in
// a group for which a reservation of this router was granted, and no reservation on which an
// attempt was allowed may be settled as not executed.
func TestNoAttemptWithoutAGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &reservationModel{
			t:         t,
			core:      reachableCore(),
			state:     statemachine.New(),
			attempted: map[uint64]bool{},
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "events") {
			model.now += rapid.Float64Range(0, 0.5).Draw(t, "step")
			model.step(i)
		}
	})
}

// TestKnownLocationDecidesAttempt checks that only a recent grant of this router for the same group
// allows an attempt, and that a completed key or another group denies it until the location
// expires.
func TestKnownLocationDecidesAttempt(t *testing.T) {
	own := location{group: "a", expiresAt: 10, number: 7, recordedAt: 0}
	others := location{group: "a", expiresAt: 10}
	completed := location{group: "a", expiresAt: 10, number: 7, completed: true}
	for _, test := range []struct {
		now   float64
		known location
		group string
		want  locationDecision
	}{
		{1, own, "a", allowByLocation},
		{ownGrantSeconds, own, "a", askShard},
		{1, own, "b", denyByLocation},
		{1, others, "a", askShard},
		{1, others, "b", denyByLocation},
		{1, completed, "a", denyByLocation},
		{10, completed, "a", askShard},
		{10, own, "b", askShard},
	} {
		got := decideKnownLocation(test.now, test.known, test.group)
		assert.Equal(t, test.want, got, "%+v at %g s for group %s", test.known, test.now, test.group)
	}
}
