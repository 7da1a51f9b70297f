package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// soakObjects is the number of distinct objects that clients of the soak test request.
const soakObjects = 40

func soakObject(number int) string { return fmt.Sprintf("%016x", number) }

// soakRequest is a request as recorded by its client, with the attempts that caches received for it.
type soakRequest struct {
	id, class, object string
	deadline          time.Duration
	sendingAt         time.Time // before the last bytes of the request were written
	sentAt            time.Time // after the last bytes were written; zero if writing failed
	cancelledAt       time.Time
	answeredAt        time.Time
	code              byte
	answers           int
	connectionEndedAt time.Time // when the connection ended before the answer; zero if it did not
	unsolicitedFrom   [soakCaches + 1]bool
	attempts          []*soakAttempt
}

// soakAttempt is an attempt that a cache received completely.
type soakAttempt struct {
	cache      int
	receivedAt time.Time
	maxMillis  int
	accept     int
	mayHaveRun bool
	endedAt    time.Time // when it was answered or cancelled, or its connection ended; zero if open
	endedBy    string
	delayed    bool // the cache read it late, so its order relative to other attempts is unknown
}

// soakPurge has the time of a purge and the time when the router was notified of it.
type soakPurge struct{ purgedAt, notifiedAt time.Time }

// soakJournal collects the events that clients, caches and the test script record. It is safe for concurrent use.
type soakJournal struct {
	mu       sync.Mutex
	requests map[string]*soakRequest
	purges   map[string]soakPurge // latest purge, by object
	drains   [soakCaches + 1]time.Time
	number   int
	problems []string
}

func (j *soakJournal) newRequest(class, object string, deadline time.Duration) *soakRequest {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.number++
	r := &soakRequest{id: fmt.Sprintf("%016x", j.number), class: class, object: object, deadline: deadline}
	j.requests[r.id] = r
	return r
}

// recordNow calls record with the current time, under the journal's lock.
func (j *soakJournal) recordNow(record func(now time.Time)) { j.recordAsOf(time.Time{}, record) }

// recordAsOf calls record with the given time, or the current time if it is zero, under the journal's lock.
func (j *soakJournal) recordAsOf(asOf time.Time, record func(now time.Time)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if asOf.IsZero() {
		asOf = time.Now()
	}
	record(asOf)
}

func (j *soakJournal) sending(r *soakRequest) { j.recordNow(func(now time.Time) { r.sendingAt = now }) }

func (j *soakJournal) sent(r *soakRequest) { j.recordNow(func(now time.Time) { r.sentAt = now }) }

func (j *soakJournal) cancelled(r *soakRequest) {
	j.recordNow(func(now time.Time) { r.cancelledAt = now })
}

func (j *soakJournal) connectionEnded(r *soakRequest) {
	j.recordNow(func(now time.Time) { r.connectionEndedAt = now })
}

func (j *soakJournal) answered(r *soakRequest, code byte) {
	j.recordNow(func(now time.Time) {
		r.answeredAt, r.code = now, code
		r.answers++
	})
}

func (j *soakJournal) drain(c *soakCache) {
	j.recordNow(func(now time.Time) {
		if j.drains[c.index].IsZero() {
			j.drains[c.index] = now
		}
	})
}

func (j *soakJournal) purge(object string, purgedAt time.Time) {
	j.recordNow(func(now time.Time) { j.purges[object] = soakPurge{purgedAt, now} })
}

// received checks an attempt at its arrival and records it. If the cache read it late, asOf is the time when the cache
// stopped reading, and the attempt is checked as of that time. asOf is zero if the attempt was read in time.
func (j *soakJournal) received(id string, a *soakAttempt, asOf time.Time) {
	j.recordAsOf(asOf, func(now time.Time) {
		a.receivedAt = now
		a.delayed = !asOf.IsZero()
		r := j.requests[id]
		if r == nil {
			j.problem("attempt for unknown request %s", id)
			return
		}
		if r.unsolicitedFrom[a.cache] {
			a.delayed = true // the cache sent an unsolicited response to it earlier
		} else {
			j.checkArrival(r, a, now)
		}
		for _, earlier := range r.attempts {
			j.checkRepeat(r, earlier, now)
		}
		r.attempts = append(r.attempts, a)
	})
}

func (j *soakJournal) checkArrival(r *soakRequest, a *soakAttempt, now time.Time) {
	remaining := r.deadline - now.Sub(r.sendingAt)
	if time.Duration(a.maxMillis-deadlineSlackMs)*time.Millisecond > remaining+verifySlack {
		j.problem("%s %s: attempt may take %d ms, request has %v left", r.class, r.id, a.maxMillis, remaining)
	}
	if !r.cancelledAt.IsZero() && now.Sub(r.cancelledAt) > cancelGrace+verifySlack {
		j.problem("%s %s: attempt sent %v after the client cancelled", r.class, r.id, now.Sub(r.cancelledAt))
	}
	if !r.answeredAt.IsZero() && now.Sub(r.answeredAt) > verifySlack {
		j.problem("%s %s: attempt sent %v after the request was answered", r.class, r.id, now.Sub(r.answeredAt))
	}
	if drainedAt := j.drains[a.cache]; !drainedAt.IsZero() && now.Sub(drainedAt) > drainGrace+verifySlack {
		j.problem("%s %s: attempt to cache %d, draining for %v", r.class, r.id, a.cache, now.Sub(drainedAt))
	}
	purge := j.purges[r.object]
	if !purge.notifiedAt.IsZero() && now.Sub(purge.notifiedAt) > purgeGrace && r.class == "page" {
		since := time.Since(purge.purgedAt) // the router computed accept earlier, so it is at most this
		if a.accept == 0 || time.Duration(a.accept)*time.Millisecond > since+verifySlack {
			j.problem("%s %s: attempt accepts copies up to %d ms old, purged %v ago", r.class, r.id, a.accept, since)
		}
	}
}

func (j *soakJournal) checkRepeat(r *soakRequest, earlier *soakAttempt, now time.Time) {
	if !earlier.mayHaveRun {
		return
	}
	if r.class == "order" {
		j.problem("order %s: second attempt although an earlier one may have run", r.id)
	}
	if r.class == "write" && now.Sub(earlier.receivedAt) > idempotencySpanS*time.Second {
		j.problem("write %s: attempt after the end of the idempotency window", r.id)
	}
}

// attemptEnded records the end of an attempt at the given time, or at the current time if it is zero.
func (j *soakJournal) attemptEnded(a *soakAttempt, by string, asOf time.Time) {
	j.recordAsOf(asOf, func(now time.Time) {
		if a.endedAt.IsZero() {
			a.endedAt, a.endedBy = now, by
		}
	})
}

func (j *soakJournal) problem(format string, arguments ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, arguments...))
}

// completedShares returns, for each class, how many of the requests that were not cancelled were completed.
func (j *soakJournal) completedShares() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	completed, sent := map[string]int{}, map[string]int{}
	for _, r := range j.requests {
		if !r.cancelledAt.IsZero() {
			continue
		}
		sent[r.class]++
		if r.answers > 0 && r.code == codeCompleted {
			completed[r.class]++
		}
	}
	var shares []string
	for _, class := range slices.Sorted(maps.Keys(sent)) {
		shares = append(shares, fmt.Sprintf("%s %d of %d", class, completed[class], sent[class]))
	}
	return strings.Join(shares, ", ")
}

// verify checks all requests and returns at most maxSoakProblems problems of the run.
func (j *soakJournal) verify() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		j.verifyRequest(r)
	}
	if len(j.requests) < 100 || len(j.requests) == 0 {
		j.problem("only %d requests were sent", len(j.requests))
	}
	if len(j.problems) > maxSoakProblems {
		more := fmt.Sprintf("and %d more problems", len(j.problems)-maxSoakProblems)
		return append(j.problems[:maxSoakProblems:maxSoakProblems], more)
	}
	return j.problems
}

func (j *soakJournal) verifyRequest(r *soakRequest) {
	ran := false
	for i, a := range r.attempts {
		ran = ran || a.mayHaveRun
		if i > 0 {
			j.verifyOverlap(r, r.attempts[i-1], a)
		}
	}
	switch {
	case r.answers > 1:
		j.problem("%s %s: %d answers", r.class, r.id, r.answers)
	case r.answers == 1 && r.code == 0 && r.class == "order" && ran:
		j.problem("order %s: rejected although an attempt may have run", r.id)
	case r.answers == 1:
		if late := r.answeredAt.Sub(r.sentAt) - r.deadline; late > answerGrace {
			j.problem("%s %s: answered %v late", r.class, r.id, late)
		}
	case r.sentAt.IsZero(), !r.cancelledAt.IsZero():
	case r.connectionEndedAt.IsZero(), r.connectionEndedAt.Sub(r.sentAt) > closeCrossingWindow:
		j.problem("%s %s: no answer, and the connection ended %v after the request was sent", r.class, r.id,
			r.connectionEndedAt.Sub(r.sentAt))
	}
}

// verifyOverlap checks that two attempts for a request were not open at the same time. A cache may read the cancel of
// the earlier attempt up to verifySlack after another cache received the later one.
func (j *soakJournal) verifyOverlap(r *soakRequest, earlier, a *soakAttempt) {
	if earlier.delayed || a.delayed { // the order in which they were sent is unknown
		return
	}
	if earlier.endedAt.IsZero() || earlier.endedAt.Sub(a.receivedAt) > verifySlack {
		j.problem("%s %s: two open attempts: cache %d %v after the request, ended %v later (%s); cache %d %v after it",
			r.class, r.id, earlier.cache, earlier.receivedAt.Sub(r.sendingAt), earlier.endedAt.Sub(earlier.receivedAt),
			earlier.endedBy, a.cache, a.receivedAt.Sub(r.sendingAt))
	}
}
