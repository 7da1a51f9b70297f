package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// soakObjects is how many objects the soak's clients request.
const soakObjects = 40

func soakObject(number int) string { return fmt.Sprintf("%016x", number) }

// soakRequest is a request as its client saw it, with the attempts that caches received of it.
type soakRequest struct {
	id, class, object string
	deadline          time.Duration
	sendingAt         time.Time // before its last bytes were written
	sentAt            time.Time // after that; zero where they were not
	cancelledAt       time.Time
	answeredAt        time.Time
	code              byte
	answers           int
	connectionEndedAt time.Time // without an answer
	strayFrom         [soakCaches + 1]bool
	attempts          []*soakAttempt
}

// soakAttempt is an attempt as a cache received it completely.
type soakAttempt struct {
	cache      int
	receivedAt time.Time
	maxMillis  int
	accept     int
	mayHaveRun bool
	overAt     time.Time // answered, cancelled or its connection ended; zero for not
	overBy     string
	delayed    bool // its cache read late
}

// soakPurge is when an object was purged, and when the router was notified.
type soakPurge struct{ purgedAt, notifiedAt time.Time }

// soakJournal has what clients, caches and the script recorded.
type soakJournal struct {
	mu       sync.Mutex
	requests map[string]*soakRequest
	purges   map[string]soakPurge // the last one, by object
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

// at records something under the journal's lock.
func (j *soakJournal) at(record func(now time.Time)) { j.atAsOf(time.Time{}, record) }

// atAsOf records something as of a time, zero for now.
func (j *soakJournal) atAsOf(asOf time.Time, record func(now time.Time)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if asOf.IsZero() {
		asOf = time.Now()
	}
	record(asOf)
}

func (j *soakJournal) sending(r *soakRequest) { j.at(func(now time.Time) { r.sendingAt = now }) }

func (j *soakJournal) sent(r *soakRequest) { j.at(func(now time.Time) { r.sentAt = now }) }

func (j *soakJournal) cancelled(r *soakRequest) { j.at(func(now time.Time) { r.cancelledAt = now }) }

func (j *soakJournal) connectionEnded(r *soakRequest) {
	j.at(func(now time.Time) { r.connectionEndedAt = now })
}

func (j *soakJournal) answered(r *soakRequest, code byte) {
	j.at(func(now time.Time) {
		r.answeredAt, r.code = now, code
		r.answers++
	})
}

func (j *soakJournal) drain(c *soakCache) {
	j.at(func(now time.Time) {
		if j.drains[c.index].IsZero() {
			j.drains[c.index] = now
		}
	})
}

func (j *soakJournal) purge(object string, purgedAt time.Time) {
	j.at(func(now time.Time) { j.purges[object] = soakPurge{purgedAt, now} })
}

// received checks an attempt against what holds at its arrival, and records it. What a cache reads late is checked as
// of when it stopped reading, zero for an attempt that was read in time.
func (j *soakJournal) received(id string, a *soakAttempt, asOf time.Time) {
	j.atAsOf(asOf, func(now time.Time) {
		a.receivedAt = now
		a.delayed = !asOf.IsZero()
		r := j.requests[id]
		if r == nil {
			j.problem("an attempt of an unknown request %s", id)
			return
		}
		if r.strayFrom[a.cache] {
			a.delayed = true // its cache has answered it before
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
	left := r.deadline - now.Sub(r.sendingAt)
	if time.Duration(a.maxMillis-deadlineSlackMs)*time.Millisecond > left+verifySlack {
		j.problem("%s %s: max %d ms with %v left", r.class, r.id, a.maxMillis, left)
	}
	if !r.cancelledAt.IsZero() && now.Sub(r.cancelledAt) > cancelGrace+verifySlack {
		j.problem("%s %s: an attempt %v after its client left", r.class, r.id, now.Sub(r.cancelledAt))
	}
	if !r.answeredAt.IsZero() && now.Sub(r.answeredAt) > verifySlack {
		j.problem("%s %s: an attempt %v after its answer", r.class, r.id, now.Sub(r.answeredAt))
	}
	if drainedAt := j.drains[a.cache]; !drainedAt.IsZero() && now.Sub(drainedAt) > drainGrace+verifySlack {
		j.problem("%s %s: cache %d drains since %v", r.class, r.id, a.cache, now.Sub(drainedAt))
	}
	purge := j.purges[r.object]
	if !purge.notifiedAt.IsZero() && now.Sub(purge.notifiedAt) > purgeGrace && r.class == "page" {
		since := time.Since(purge.purgedAt) // the age is as of the write, which was not after this
		if a.accept == 0 || time.Duration(a.accept)*time.Millisecond > since+verifySlack {
			j.problem("%s %s: accept %d ms, purged %v ago", r.class, r.id, a.accept, since)
		}
	}
}

func (j *soakJournal) checkRepeat(r *soakRequest, earlier *soakAttempt, now time.Time) {
	if !earlier.mayHaveRun {
		return
	}
	if r.class == "order" {
		j.problem("order %s: a second attempt although one may have run", r.id)
	}
	if r.class == "write" && now.Sub(earlier.receivedAt) > idempotencySpanS*time.Second {
		j.problem("write %s: an attempt after the window", r.id)
	}
}

// over records that an attempt is out no more, as of a time, zero for now.
func (j *soakJournal) over(a *soakAttempt, by string, asOf time.Time) {
	j.atAsOf(asOf, func(now time.Time) {
		if a.overAt.IsZero() {
			a.overAt, a.overBy = now, by
		}
	})
}

func (j *soakJournal) problem(format string, arguments ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, arguments...))
}

// completedShares has, by class, how many of the requests that were not cancelled were completed.
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

// verify returns the problems of the run, at most maxSoakProblems of them.
func (j *soakJournal) verify() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		j.verifyRequest(r)
	}
	if len(j.requests) < 100 || len(j.requests) == 0 {
		j.problem("only %d requests", len(j.requests))
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
	case r.connectionEndedAt.IsZero(), r.connectionEndedAt.Sub(r.sentAt) > crossingTime:
		j.problem("%s %s: no answer, its connection ended %v after it was sent", r.class, r.id,
			r.connectionEndedAt.Sub(r.sentAt))
	}
}

// verifyOverlap checks that two attempts were not out at the same time. A cache may read the cancel of one up to
// verifySlack after another cache has received the next.
func (j *soakJournal) verifyOverlap(r *soakRequest, earlier, a *soakAttempt) {
	if earlier.delayed || a.delayed { // which was sent first is not known
		return
	}
	if earlier.overAt.IsZero() || earlier.overAt.Sub(a.receivedAt) > verifySlack {
		j.problem("%s %s: two attempts are out: at %d %v after the request, over %v later (%s); at %d %v after it",
			r.class, r.id, earlier.cache, earlier.receivedAt.Sub(r.sendingAt), earlier.overAt.Sub(earlier.receivedAt),
			earlier.overBy, a.cache, a.receivedAt.Sub(r.sendingAt))
	}
}
