package reservation

import (
	"cmp"
	"slices"

	"cairnfront/internal/replication/statemachine"
)

const (
	resubmitSeconds      = 0.25 // before the first resubmission; a failed leader is replaced after 0.3 to 1.5 s
	maxResubmitSeconds   = 1.0  // upper limit, before jitter, of the wait, which doubles at each resubmission
	maxResubmitDoublings = 4    // bounds the shift in resubmitWait; the wait reaches its limit after two doublings
	resubmitJitterMin    = 0.75 // smallest factor applied to the wait
	resubmitJitterRange  = 0.5  // range of the random factor above the smallest
	minRetryAfterSeconds = 0.5  // shortest wait asked of a rejected client: the shortest time before an election
	maxRetryAfterSeconds = 2.0  // longest wait asked of a rejected client
	maxAbandoned         = 4096 // abandoned reservations whose result may still arrive, 100 bytes each
)

// pendingReservation is a submitted reservation without a result.
type pendingReservation struct {
	Attempt    // the attempt for which the reservation was made
	number     uint64
	resubmitAt float64
	retries    int
	waiters    []waiter // attempts that wait for the result, also of other requests with this key and group
}

// waiter is an attempt that waits for the result of a reservation.
type waiter struct {
	requestID RequestID
	index     int
	deadline  float64
}

func newWaiter(attempt Attempt) waiter {
	return waiter{attempt.RequestID, attempt.Index, attempt.Deadline}
}

// reserve submits a reservation for an attempt, unless the limit of pending reservations is reached
// and none can be displaced.
func (c *Core) reserve(now float64, attempt Attempt) {
	c.lastNumber++
	p := &pendingReservation{
		Attempt: attempt,
		number:  c.lastNumber,
		waiters: []waiter{newWaiter(attempt)},
	}
	if len(c.pending) >= c.config.MaxPending && !c.displaceFor(attempt) {
		return
	}
	c.pending[p.number] = p
	c.pendingByKey[attempt.Key] = p
	c.submit(now, p)
}

// displaceFor abandons the newest reservation of the lowest weight to admit an attempt. If no
// reservation has a lower weight than the attempt, it rejects the attempt and returns false.
func (c *Core) displaceFor(attempt Attempt) bool {
	var least *pendingReservation
	for _, p := range c.pending {
		if least == nil || comparePriority(p, least) < 0 {
			least = p
		}
	}
	c.Shed++
	if least == nil || !mayDisplace(attempt.PriorityWeight, least.PriorityWeight) {
		c.rejectAttempt(attempt, ReasonTooManyPending)
		return false
	}
	c.abandon(least)
	c.rejectWaiters(least.waiters, ReasonDisplaced)
	return true
}

// mayDisplace reports whether an attempt displaces the pending reservation of the lowest weight. If
// the weights are equal, the older one stays, because it is closer to its result.
func mayDisplace(weight, leastPending float64) bool { return leastPending < weight }

// comparePriority orders reservations by ascending weight, and newer ones before older ones.
func comparePriority(a, b *pendingReservation) int {
	return cmp.Or(cmp.Compare(a.PriorityWeight, b.PriorityWeight), cmp.Compare(b.number, a.number))
}

// pendingInOrder returns the pending reservations, oldest first.
func (c *Core) pendingInOrder() []*pendingReservation {
	list := make([]*pendingReservation, 0, len(c.pending))
	for _, p := range c.pending {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pendingReservation) int { return cmp.Compare(a.number, b.number) })
	return list
}

// submit proposes a reservation. A resubmission repeats the same command. Until the reservation is
// settled, the repeated command adds no grant and does not extend the window.
func (c *Core) submit(now float64, p *pendingReservation) {
	p.resubmitAt = now + resubmitWait(p.retries, c.rnd.Float64())
	c.emit(SubmitCommand{
		Number: p.number,
		Retry:  p.retries,
		Command: statemachine.Command{
			Op:              statemachine.OpReserve,
			Key:             p.Key,
			Group:           p.Group,
			LifetimeSeconds: p.WindowSeconds,
			Requester:       c.router,
			RequestNumber:   p.number,
		},
	})
	p.retries++
}

// resubmitWait returns the time until a reservation is resubmitted, in seconds. random is between 0
// and 1 and adds jitter, so that reservations made at the same time are not resubmitted at the same
// time.
func resubmitWait(retries int, random float64) float64 {
	doublings := min(retries, maxResubmitDoublings)
	wait := min(resubmitSeconds*float64(int(1)<<doublings), maxResubmitSeconds)
	return wait * (resubmitJitterMin + resubmitJitterRange*random)
}

// settle records the outcome of the attempts on a reservation of this router.
func (c *Core) settle(reserved keyGroup, number uint64, status statemachine.Status) {
	c.emit(SubmitCommand{Command: statemachine.Command{
		Op:            statemachine.OpSettle,
		Key:           reserved.key,
		Group:         reserved.group,
		Status:        status,
		Requester:     c.router,
		RequestNumber: number,
	}})
}

func (c *Core) removePending(p *pendingReservation) {
	delete(c.pending, p.number)
	if c.pendingByKey[p.Key] == p {
		delete(c.pendingByKey, p.Key)
	}
}

// abandon removes a reservation without a result. None of its attempts is sent.
func (c *Core) abandon(p *pendingReservation) {
	c.removePending(p)
	if len(c.abandoned) >= maxAbandoned {
		clear(c.abandoned) // those that are granted later stay reserved until their windows end
	}
	c.abandoned[p.number] = keyGroup{p.Key, p.Group}
}

// removeWaiters removes the attempts of an ended request from the pending reservation of its key.
func (c *Core) removeWaiters(request RequestID, key string) {
	p := c.pendingByKey[key]
	if p == nil {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool { return w.requestID == request })
	if len(p.waiters) == 0 {
		c.abandon(p)
	}
}

func (c *Core) deny(request RequestID, index int) {
	c.Denied++
	c.emit(DenyAttempt{request, index})
}

func (c *Core) reject(request RequestID, reason RejectReason) {
	c.emit(RejectRequest{request, retryAfter(c.rnd.Float64()), reason})
}

// retryAfter returns the time that a rejected client is asked to wait, in seconds. random is
// between 0 and 1 and adds jitter, so that clients rejected at the same time do not retry at the
// same time.
func retryAfter(random float64) float64 {
	return minRetryAfterSeconds + (maxRetryAfterSeconds-minRetryAfterSeconds)*random
}

func (c *Core) rejectAttempt(attempt Attempt, reason RejectReason) {
	c.deny(attempt.RequestID, attempt.Index)
	c.reject(attempt.RequestID, reason)
}

// rejectWaiters denies attempts and rejects each of their requests once.
func (c *Core) rejectWaiters(waiters []waiter, reason RejectReason) {
	rejected := map[RequestID]bool{}
	for _, w := range waiters {
		c.deny(w.requestID, w.index)
		if !rejected[w.requestID] {
			rejected[w.requestID] = true
			c.reject(w.requestID, reason)
		}
	}
}
