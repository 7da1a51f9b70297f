// Package reservation decides what a router has to know before it sends an attempt of an
// idempotency-keyed request.
//
// An attempt is allowed once the key's shard has recorded in which group of endpoints it may run.
// Where an earlier attempt of the key is recorded in another group, the attempt is denied and the
// routing decisions hear of that group. Requests without an idempotency key never come here.
//
// The package owns the pending reservations and a bounded memory of what became of earlier ones. It
// does no I/O and has no clock: commands go out as actions, results come back as events, and the
// caller's event loop never waits. A router keeps the rule that no request runs twice for its own
// attempts alone; this package adds what the attempts of other routers may have done.
package reservation

import (
	"math/rand/v2"
	"slices"

	"cairnfront/internal/replication/statemachine"
)

// Config is what an installation may change.
type Config struct {
	MaxPending int // reservations that may wait for a result
	// ProceedWhenUnavailable sends attempts without a reservation while no replica can be reached.
	// The price is that a request may run twice if a router is lost meanwhile.
	ProceedWhenUnavailable bool
}

const (
	// attemptSeconds is what an attempt needs before its request's deadline.
	attemptSeconds = 0.15
	// startCountNumberBits is how far the start count is shifted, so that the numbers of two runs of a
	// router differ.
	startCountNumberBits = 20
	// rndStream separates the core's random numbers from others drawn from the same seed.
	rndStream = 0xc1a1
)

// Core holds a router's reservations. It belongs to one goroutine. A pending reservation takes
// about 300 bytes, a remembered key 120 and an abandoned reservation 100.
type Core struct {
	config     Config
	router     string
	rnd        *rand.Rand
	lastNumber uint64
	reachable  bool

	pending      map[uint64]*pendingReservation
	pendingByKey map[string]*pendingReservation // at most one a key; later attempts of the key join it
	// abandoned holds those given up without a result. One that is granted later is settled as not executed.
	abandoned map[uint64]keyGroup

	locations     map[string]location
	locationOrder []string // keys of locations, oldest first

	actions []Action

	// Counters for operators.
	Granted         int // reservations on which an attempt was allowed
	AlreadyReserved int // reservations that met an earlier one in another group, or a completed one
	Denied          int // attempts
	Shed            int // reservations refused or displaced as too many were pending
	Expired         int // reservations whose deadline passed first
}

// New makes the core of a router. By the start count its reservations differ from those of the
// router's earlier runs.
func New(config Config, router string, seed, startCount uint64) *Core {
	return &Core{
		config:       config,
		router:       router,
		rnd:          rand.New(rand.NewPCG(seed, rndStream)),
		lastNumber:   startCount << startCountNumberBits,
		pending:      map[uint64]*pendingReservation{},
		pendingByKey: map[string]*pendingReservation{},
		abandoned:    map[uint64]keyGroup{},
		locations:    map[string]location{},
	}
}

// takeActions hands out the actions gathered since the last call.
func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// SetReachable says whether replicas can be asked: the partition state allows it, and a replica is
// connected.
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

// leavesTime says whether an attempt that is sent now can be answered before its request's deadline.
func leavesTime(now, deadline float64) bool { return now+attemptSeconds <= deadline }

// RequestAttempt takes an attempt that the routing decisions want to send. It is allowed or denied
// at once, or later.
func (c *Core) RequestAttempt(now float64, attempt Attempt) []Action {
	switch {
	case c.decideByLocation(now, attempt):
	case c.joinPending(now, attempt):
	case !c.reachable && c.config.ProceedWhenUnavailable:
		c.emit(AllowAttempt{attempt.RequestID, attempt.Index})
	case !c.reachable:
		c.rejectAttempt(attempt, ReasonUnreachable)
	case !leavesTime(now, attempt.Deadline):
		c.rejectAttempt(attempt, ReasonTooLittleTime)
	default:
		c.reserve(now, attempt)
	}
	return c.takeActions()
}

// decideByLocation decides an attempt whose key's location is known, and says whether it did.
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

// joinPending lets an attempt wait for a pending reservation of its key, or denies it where that is
// for another group. It says whether there is one.
func (c *Core) joinPending(now float64, attempt Attempt) bool {
	p := c.pendingByKey[attempt.Key]
	if p == nil {
		return false
	}
	if p.Group == attempt.Group {
		p.waiters = append(p.waiters, waiterOf(attempt))
		return true
	}
	c.deny(attempt.RequestID, attempt.Index)
	c.emit(ReportLocation{attempt.RequestID, p.Group, now + p.WindowSeconds, false})
	return true
}

// HandleResult takes the result of a submitted reservation. A reservation that was submitted twice
// may have two results.
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

// settleAbandoned settles a reservation that was granted after it was given up: no attempt was sent
// on it, and none will be. Without this the key would be held for its group until its window ends,
// and a retry of the client at another group would be denied.
func (c *Core) settleAbandoned(number uint64, result statemachine.Result) {
	reserved, ok := c.abandoned[number]
	if !ok || !result.Granted {
		return
	}
	delete(c.abandoned, number)
	c.settle(reserved, number, statemachine.StatusNotExecuted)
}

// allowWaiters lets the attempts go that waited for a granted reservation, except those whose
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
		if !leavesTime(now, w.deadline) {
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

// denyWaiters denies the attempts whose reservation met an earlier one, and reports its group once
// a request.
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

// remainingSeconds is what was left of the reservation's window when the leader looked. Only the
// leader's clock counts, so the span is used and not the end's time.
func remainingSeconds(result statemachine.Result) float64 { return max(result.RemainingSeconds, 0) }

// RequestEnded takes the outcome of a keyed request. An outcome of OutcomeNotExecuted speaks for
// all attempts that were allowed.
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

// Tick submits reservations again that have no result, and abandons those whose deadline is too near.
func (c *Core) Tick(now float64) []Action {
	for _, p := range c.pendingInOrder() {
		switch {
		case !leavesTime(now, p.Deadline):
			c.Expired++
			c.abandon(p)
			c.rejectWaiters(p.waiters, ReasonNoResult)
		case now >= p.resubmitAt && c.reachable:
			c.submit(now, p)
		}
	}
	return c.takeActions()
}

// NextTick is when Tick has to be called next, 0 for never.
func (c *Core) NextTick() (at float64) {
	for _, p := range c.pending {
		due := min(p.resubmitAt, p.Deadline-attemptSeconds)
		if at == 0 || due < at {
			at = due
		}
	}
	return at
}

// PendingCount is the number of reservations without a result.
func (c *Core) PendingCount() int { return len(c.pending) }
