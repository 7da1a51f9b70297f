// Package reservation decides whether a router may send an attempt of an idempotency-keyed request.
//
// An attempt is allowed once the key's shard has recorded the group of endpoints in which it may
// run. If an earlier attempt of the key is recorded in another group, the attempt is denied and
// that group is reported to the routing module. Requests without an idempotency key do not use this
// package.
//
// The package owns the pending reservations and a bounded cache of the known locations of earlier
// attempts. It does no I/O and has no clock: commands are returned as actions, results are passed
// in as events, and the caller's event loop never blocks. A router alone ensures only for its own
// attempts that no request runs twice; this package also accounts for the attempts of other
// routers.
package reservation

import (
	"math/rand/v2"
	"slices"

	"cairnfront/internal/replication/statemachine"
)

// Config configures a Core.
type Config struct {
	MaxPending int // maximum number of reservations without a result
	// ProceedWhenUnavailable allows attempts without a reservation while no replica can be reached.
	// A request may then run twice if a router fails in that time.
	ProceedWhenUnavailable bool
}

const (
	// attemptSeconds is the time that an attempt needs before its request's deadline.
	attemptSeconds = 0.15
	// reservationNumberBits is how far the start count is shifted left in reservation numbers. The
	// numbers of two runs of a router differ if no run uses more than 2^20 of them.
	reservationNumberBits = 20
	// rndStream separates the core's random numbers from others drawn from the same seed.
	rndStream = 0xc1a1
)

// Core manages a router's reservations. It is not safe for concurrent use. A pending reservation
// takes about 300 bytes, a remembered key 120 and an abandoned reservation 100.
type Core struct {
	config     Config
	router     string
	rnd        *rand.Rand
	lastNumber uint64
	reachable  bool

	pending      map[uint64]*pendingReservation
	pendingByKey map[string]*pendingReservation // at most one per key; later attempts in its group join it
	// abandoned has the reservations that were abandoned without a result. If one is granted later,
	// it is settled as not executed.
	abandoned map[uint64]keyGroup

	locations     map[string]location
	locationOrder []string // keys of locations, in insertion order; may list removed keys, and a key twice

	actions []Action

	// Counters for operators.
	Granted         int // reservations on which an attempt was allowed
	AlreadyReserved int // reservations denied because the key is reserved for another group, or completed
	Denied          int // denied attempts
	Shed            int // reservations rejected or displaced because too many were pending
	Expired         int // reservations whose deadline passed before an attempt was allowed
}

// New returns the core of a router. The start count makes the numbers of its reservations differ
// from those of the router's earlier runs.
func New(config Config, router string, seed, startCount uint64) *Core {
	return &Core{
		config:       config,
		router:       router,
		rnd:          rand.New(rand.NewPCG(seed, rndStream)),
		lastNumber:   startCount << reservationNumberBits,
		pending:      map[uint64]*pendingReservation{},
		pendingByKey: map[string]*pendingReservation{},
		abandoned:    map[uint64]keyGroup{},
		locations:    map[string]location{},
	}
}

// takeActions returns the actions emitted since the last call.
func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// SetReachable sets whether replicas can be reached: the partition state allows it, and a replica
// is connected.
func (c *Core) SetReachable(now float64, reachable bool) []Action {
	if c.reachable == reachable {
		return nil
	}
	c.reachable = reachable
	if reachable {
		for _, p := range c.pendingInOrder() {
			c.submit(now, p)
		}
	}
	return c.takeActions()
}

// hasTimeForAttempt reports whether an attempt that is sent now can be answered before its
// request's deadline.
func hasTimeForAttempt(now, deadline float64) bool { return now+attemptSeconds <= deadline }

// RequestAttempt requests permission for an attempt that the routing module wants to send. The
// attempt is allowed or denied either immediately or by later actions.
func (c *Core) RequestAttempt(now float64, attempt Attempt) []Action {
	switch {
	case c.decideByLocation(now, attempt):
	case c.joinPending(now, attempt):
	case !c.reachable && c.config.ProceedWhenUnavailable:
		c.emit(AllowAttempt{attempt.RequestID, attempt.Index})
	case !c.reachable:
		c.rejectAttempt(attempt, ReasonUnreachable)
	case !hasTimeForAttempt(now, attempt.Deadline):
		c.rejectAttempt(attempt, ReasonTooLittleTime)
	default:
		c.reserve(now, attempt)
	}
	return c.takeActions()
}

// decideByLocation allows or denies an attempt if the location of its key is sufficient to decide,
// and reports whether it did.
func (c *Core) decideByLocation(now float64, attempt Attempt) bool {
	known, ok := c.locations[attempt.Key]
	if !ok {
		return false
	}
	switch decideKnownLocation(now, known, attempt.Group) {
	case allowByLocation:
		c.addUser(attempt.Key, known, attempt.RequestID)
		c.emit(AllowAttempt{attempt.RequestID, attempt.Index})
		return true
	case denyByLocation:
		c.deny(attempt.RequestID, attempt.Index)
		c.emit(ReportLocation{attempt.RequestID, known.group, known.expiresAt, known.completed})
		return true
	case askShard:
	}
	return false
}

// joinPending adds an attempt to the pending reservation of its key, or denies it if that
// reservation is for another group. It reports whether the key has a pending reservation.
func (c *Core) joinPending(now float64, attempt Attempt) bool {
	p := c.pendingByKey[attempt.Key]
	if p == nil {
		return false
	}
	if p.Group == attempt.Group {
		p.waiters = append(p.waiters, newWaiter(attempt))
		return true
	}
	c.deny(attempt.RequestID, attempt.Index)
	c.emit(ReportLocation{attempt.RequestID, p.Group, now + p.WindowSeconds, false})
	return true
}

// HandleResult processes the result of a submitted reservation. A reservation that was submitted
// twice may have two results.
func (c *Core) HandleResult(now float64, number uint64, result statemachine.Result) []Action {
	p := c.pending[number]
	switch {
	case p == nil:
		c.settleAbandoned(number, result)
	case result.Granted:
		c.removePending(p)
		c.allowWaiters(now, p, result)
	default:
		c.removePending(p)
		c.denyWaiters(now, p, result)
	}
	return c.takeActions()
}

// settleAbandoned settles a reservation that was granted after it was abandoned. No attempt was or
// will be sent on it. Without this, the key would stay reserved for its group until its window
// ends, and a retry of the client in another group would be denied.
func (c *Core) settleAbandoned(number uint64, result statemachine.Result) {
	reserved, ok := c.abandoned[number]
	if !ok || !result.Granted {
		return
	}
	delete(c.abandoned, number)
	c.settle(reserved, number, statemachine.StatusNotExecuted)
}

// allowWaiters allows the attempts that waited for a granted reservation, except those whose
// deadline is too near.
func (c *Core) allowWaiters(now float64, p *pendingReservation, result statemachine.Result) {
	granted := location{
		group:      p.Group,
		expiresAt:  now + remainingSeconds(result),
		number:     p.number,
		recordedAt: now,
	}
	var late []waiter
	for _, w := range p.waiters {
		if !hasTimeForAttempt(now, w.deadline) {
			late = append(late, w)
			continue
		}
		if !slices.Contains(granted.users, w.requestID) {
			granted.users = append(granted.users, w.requestID)
		}
		c.emit(AllowAttempt{w.requestID, w.index})
	}
	c.rejectWaiters(late, ReasonResultTooLate)
	if len(granted.users) == 0 {
		c.Expired++
		c.settle(keyGroup{p.Key, p.Group}, p.number, statemachine.StatusNotExecuted)
		return
	}
	c.Granted++
	c.remember(p.Key, granted)
}

// denyWaiters denies the attempts of a reservation that an earlier one blocked, and reports the
// group of the earlier one once per request.
func (c *Core) denyWaiters(now float64, p *pendingReservation, result statemachine.Result) {
	c.AlreadyReserved++
	earlier := result.Reservation
	completed := earlier.Status == statemachine.StatusCompleted
	windowEnd := now + remainingSeconds(result)
	c.remember(p.Key, location{
		group:      earlier.Group,
		expiresAt:  windowEnd + statemachine.RetentionSeconds,
		completed:  completed,
		recordedAt: now,
	})
	reported := map[RequestID]bool{}
	for _, w := range p.waiters {
		c.deny(w.requestID, w.index)
		if !reported[w.requestID] {
			reported[w.requestID] = true
			c.emit(ReportLocation{w.requestID, earlier.Group, windowEnd, completed})
		}
	}
}

// remainingSeconds returns the rest of the reservation's window when the leader computed the
// result. Only the leader's clock is valid for it, so the duration is used and not the time of its
// end.
func remainingSeconds(result statemachine.Result) float64 { return max(result.RemainingSeconds, 0) }

// RequestEnded processes the outcome of a keyed request. OutcomeNotExecuted applies to all attempts
// that were allowed.
func (c *Core) RequestEnded(request RequestID, key string, outcome Outcome) []Action {
	c.removeWaiters(request, key)
	known, ok := c.locations[key]
	if !ok || !known.isOwn() {
		return c.takeActions()
	}
	switch outcome {
	case OutcomeUnknown: // the reservation stays until its window ends
	case OutcomeCompleted:
		known.completed = true
		c.locations[key] = known
		c.settle(keyGroup{key, known.group}, known.number, statemachine.StatusCompleted)
	case OutcomeNotExecuted:
		c.removeUser(key, known, request)
	}
	return c.takeActions()
}

// Tick resubmits reservations without a result, and abandons those whose deadline is too near.
func (c *Core) Tick(now float64) []Action {
	for _, p := range c.pendingInOrder() {
		switch {
		case !hasTimeForAttempt(now, p.Deadline):
			c.Expired++
			c.abandon(p)
			c.rejectWaiters(p.waiters, ReasonNoResult)
		case now >= p.resubmitAt && c.reachable:
			c.submit(now, p)
		}
	}
	return c.takeActions()
}

// NextTick returns the time at which Tick must be called next, or 0 if no reservation is pending.
func (c *Core) NextTick() (at float64) {
	for _, p := range c.pending {
		due := min(p.resubmitAt, p.Deadline-attemptSeconds)
		if at == 0 || due < at {
			at = due
		}
	}
	return at
}

// PendingCount returns the number of reservations without a result.
func (c *Core) PendingCount() int { return len(c.pending) }
