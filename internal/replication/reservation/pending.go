package reservation

import (
	"cmp"
	"slices"

	"cairnfront/internal/replication/statemachine"
)

const (
	resubmitSeconds      = 0.25 // until a second submission; an election takes 0.3 to 1.5 s
	maxResubmitSeconds   = 1.0  // between two submissions, as the wait doubles
	maxResubmitDoublings = 4    // of the wait between submissions
	resubmitJitterMin    = 0.75 // of the wait
	resubmitJitterRange  = 0.5  // of the wait
	minRetryAfterSeconds = 0.5  // that a rejected client is asked to wait: an election
	maxRetryAfterSeconds = 2.0  // the same, at most
	maxAbandoned         = 4096 // abandoned reservations whose result may still come, 100 bytes each
)

// pendingReservation is a submitted reservation without a result.
type pendingReservation struct {
	Attempt    // the attempt that it was made for
	number     uint64
	resubmitAt float64
	retries    int
	waiters    []waiter // attempts that it will allow or deny, also of other requests with its key and group
}

// waiter is an attempt that waits for a reservation.
type waiter struct {
	requestID RequestID
	index     int
	deadline  float64
}

func waiterOf(attempt Attempt) waiter {
	return waiter{attempt.RequestID, attempt.Index, attempt.Deadline}
}

// reserve begins a reservation for an attempt, where there is room or room can be made.
func (c *Core) reserve(now float64, attempt Attempt) {
	c.lastNumber++
	p := &pendingReservation{
		Attempt: attempt,
		number:  c.lastNumber,
		waiters: []waiter{waiterOf(attempt)},
	}
	if len(c.pending) >= c.config.MaxPending && !c.displaceFor(attempt) {
		return
	}
	c.pending[p.number] = p
	c.pendingByKey[attempt.Key] = p
	c.submit(now, p)
}

// displaceFor makes room for an attempt by abandoning the youngest reservation of the least weight,
// or rejects the attempt where none has less weight.
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

// mayDisplace says whether an attempt takes the place of a pending reservation of the least weight.
// Of equal weights the older one stays: it is nearer to its result.
func mayDisplace(weight, leastPending float64) bool { return leastPending < weight }

// comparePriority orders reservations by weight, and the younger before the older.
func comparePriority(a, b *pendingReservation) int {
	return cmp.Or(cmp.Compare(a.PriorityWeight, b.PriorityWeight), cmp.Compare(b.number, a.number))
}

// pendingInOrder gives the pending reservations, oldest first.
func (c *Core) pendingInOrder() []*pendingReservation {
	list := make([]*pendingReservation, 0, len(c.pending))
	for _, p := range c.pending {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pendingReservation) int { return cmp.Compare(a.number, b.number) })
	return list
}

// submit proposes a reservation. A repeated submission is the same command, which the shard carries
// out once.
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

// resubmitWait is the time until a reservation is submitted again, in seconds. random is from 0 to 1
// and spreads the wait, so that reservations made at the same time are not submitted together again.
func resubmitWait(retries int, random float64) float64 {
	doublings := min(retries, maxResubmitDoublings)
	wait := min(resubmitSeconds*float64(int(1)<<doublings), maxResubmitSeconds)
	return wait * (resubmitJitterMin + resubmitJitterRange*random)
}

// settle records how the attempts on an own reservation ended.
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

// abandon gives up a reservation without a result. None of its attempts is sent.
func (c *Core) abandon(p *pendingReservation) {
	c.removePending(p)
	if len(c.abandoned) >= maxAbandoned {
		clear(c.abandoned) // those that are granted later stay until their windows end
	}
	c.abandoned[p.number] = keyGroup{p.Key, p.Group}
}

// removeWaiters takes the attempts of an ended request off the pending reservation of its key.
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

// retryAfter is for how long a rejected client is asked to wait, in seconds. random is from 0 to 1, so
// that clients that were rejected together do not come back together.
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
