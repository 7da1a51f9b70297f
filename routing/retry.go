package routing

import (
	"math"
	"slices"
)

const (
	idempotencyMarginSeconds = 0.25 // margin before the end of the idempotency window: travel time to the endpoint
	sendMarginSeconds        = 0.05 // margin before the latest time of sending: time until the socket is written
	endpointPauseSeconds     = 0.1  // delay after an attempt's end before its request uses that endpoint again
	retryAfterMinShare       = 0.5  // minimum as a share of the mean; a random part of up to the mean is added

	maxRepeatables = 4096 // ended requests that are remembered: bounds the memory
)

// rememberEnded remembers a request that has ended, if it may have run and endpoints would run it again.
func (r *Router) rememberEnded(req *request) {
	if !r.runsAgain(req) || !slices.ContainsFunc(req.attempts, (*attempt).mayHaveRun) {
		return
	}
	if _, known := r.endedIDs[req.Request]; known {
		return
	}
	r.endedIDs[req.Request] = struct{}{}
	r.endedRequests = append(r.endedRequests, req.Request)
	r.expireEnded()
}

// runsAgain reports whether a repeat of a request may run although the request did: it has no idempotency key that
// all endpoints recognize.
func (r *Router) runsAgain(req *request) bool {
	class := r.class(req.Class)
	recognized := class.effect == WithIdempotencyKey && class.deduplicationScope == AnyScope
	return class.effect != Idempotent && !recognized
}

// expireEnded forgets the oldest ended requests if there are too many. They are not forgotten by their age: an id is
// new with every request, so one that comes again is a repeat, however late.
func (r *Router) expireEnded() {
	expired := max(len(r.endedRequests)-maxRepeatables, 0)
	for _, ended := range r.endedRequests[:expired] {
		delete(r.endedIDs, ended)
	}
	clear(r.endedRequests[:expired]) // their ids are not referred to any more
	r.endedRequests = r.endedRequests[expired:]
}

// repeatsEnded reports whether an arriving request has the id of one that has ended, may have run, and would run again
// (rule 2).
//
// It guards against a client that leaves before the answer and sends the same request on a new connection.
func (r *Router) repeatsEnded(arrived RequestArrived) bool {
	_, known := r.endedIDs[arrived.Request]
	return known
}

// provesNotRun reports whether the result proves that the request had no effect at the endpoint.
func (a AttemptResult) provesNotRun() bool {
	return a == Overloaded || a == ConnectFailed || a == NotSent || a == CacheMiss
}

// mayHaveRun reports whether an attempt may have had its effect.
func (a *attempt) mayHaveRun() bool {
	return a.state.inFlight() || (a.state == attemptEnded && !a.result.provesNotRun())
}

// mayRetry reports whether a request may have another attempt: within its limits of attempts and retry budget, and
// without the risk of running twice (rule 2).
func (r *Router) mayRetry(req *request) bool {
	class := r.class(req.Class)
	for _, a := range req.attempts {
		if r.preventsRetry(class, a) {
			return false
		}
	}
	return r.hasRetriesLeft(class, len(req.attempts))
}

// hasRetriesLeft reports whether a request of a class may have another attempt after a number of attempts.
func (r *Router) hasRetriesLeft(class *class, attempts int) bool {
	exhausted := class.retryBudgetExhausted && attempts > 0
	return !exhausted && float64(attempts) < r.number(SettingMaxAttempts, 1)
}

// preventsRetry reports whether an attempt rules out a retry: both may take effect, and no idempotency key that
// endpoints still recognize deduplicates them.
func (r *Router) preventsRetry(class *class, a *attempt) bool {
	if class.effect == Idempotent || !a.mayHaveRun() {
		return false
	}
	windowEnd := a.sentAt + class.idempotencyWindowSeconds - idempotencyMarginSeconds
	return class.effect != WithIdempotencyKey || r.now > windowEnd
}

// excludedByRetryBudget reports whether an endpoint is excluded for a request with earlier attempts because its retry
// budget is exhausted. It guards against retry storms that prevent an overloaded endpoint from recovering: attempts
// then grow while requests do not. First attempts are not excluded, so a recovered endpoint is detected.
func excludedByRetryBudget(e *endpoint, attempts int) bool {
	return e.retryBudgetExhausted && attempts > 0
}

// alreadyTried reports whether a request has used an endpoint. At the first fallback level any earlier attempt counts,
// at the others only one that ended within endpointPauseSeconds. It guards against a request that uses up its attempts
// within milliseconds at an endpoint that refuses immediately. The function used selects the role, target or source;
// cache-only attempts do not count. At the other levels an attempt in flight does not exclude its endpoint: a further
// attempt beside it means that it is presumed lost, and its endpoint may be the only one.
func alreadyTried(req *request, e *endpoint, level fallbackLevel, now float64, used usedFunc) bool {
	for _, a := range req.attempts {
		if used(a, e) && (level == untriedOnly || now < a.endedAt+endpointPauseSeconds) {
			return true
		}
	}
	return false
}

// pauseEnd returns when all endpoints that a request has used may be used again, 0 if it has used none.
func pauseEnd(req *request) float64 {
	end := 0.0
	for _, a := range req.attempts {
		if a.state == attemptEnded {
			end = max(end, a.endedAt+endpointPauseSeconds)
		}
	}
	return end
}

// sendBefore returns the time from which an attempt decided now must not be sent any more. A connection that is
// established late, or whose socket blocks, must not delay the attempt past the grace period of a drain (rule 3) or a
// purge (rule 5) received meanwhile, nor past its idempotency window (rule 2).
func (r *Router) sendBefore(req *request) float64 {
	grace := min(r.number(SettingDrainGrace, math.Inf(1)), r.number(SettingPurgeGrace, math.Inf(1)))
	latest := min(req.Deadline, r.now+grace)
	class := r.class(req.Class)
	for _, a := range req.attempts {
		if class.effect == WithIdempotencyKey && a.sentAt < r.now && a.mayHaveRun() {
			latest = min(latest, a.sentAt+class.idempotencyWindowSeconds)
		}
	}
	return max(latest-sendMarginSeconds, r.now)
}

// inDeduplicationScope reports whether an endpoint recognizes the idempotency key of a request that may have run at
// other endpoints, or at a former process of this one (rule 2).
func (r *Router) inDeduplicationScope(req *request, e *endpoint) bool {
	class := r.class(req.Class)
	return class.effect != WithIdempotencyKey || !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		outside := class.deduplicationScope == ZoneScope && a.target.Zone != e.Zone ||
			class.deduplicationScope == CellScope && a.target.Cell != e.Cell
		return outside && a.mayHaveRun() || class.deduplicationScope != AnyScope && a.mayHaveBeenReplaced(e)
	})
}

// mayHaveBeenReplaced reports whether an attempt has shown that another process may be at the address of an endpoint:
// the connection broke that the attempt was sent on.
//
// It guards against a request that runs again in another cell or zone, as the endpoint list tells of a new process at
// the address of one that has gone only later. It also prevents a retry at an endpoint that only lost a connection;
// others in its scope are used.
func (a *attempt) mayHaveBeenReplaced(e *endpoint) bool {
	return a.target == e && a.state == attemptEnded && a.result == ConnectionBroken
}

// chooseFinalAction returns the final action for a request that is given up: a rejection if the client may safely
// repeat it, otherwise an abort (rule 2).
func (r *Router) chooseFinalAction(req *request) Action {
	class := r.class(req.Class)
	recognized := class.effect == WithIdempotencyKey && class.deduplicationScope == AnyScope
	if class.effect != Idempotent && !recognized && slices.ContainsFunc(req.attempts, (*attempt).mayHaveRun) {
		return AbortRequest{Request: req.Request}
	}
	return RejectRequest{Request: req.Request, RetryAfterSeconds: r.retryAfterSeconds(req)}
}

// retryAfterSeconds returns the delay before the client of a rejected request retries, 0 if unset. Its mean is the
// latency objective: by then the attempts are to have ended that took the capacity. The delay is random, so that
// clients that were rejected together do not retry together.
func (r *Router) retryAfterSeconds(req *request) float64 {
	drawn := req.objectiveSeconds * (retryAfterMinShare + r.nextRandom())
	if !r.settings.Bool(SettingRetryAfterAllowed) {
		drawn = 0 // after the draw, so that settings do not change the random sequence
	}
	return min(drawn, r.number(SettingMaxRetryAfter, 0))
}

// retryBudgetChanged records whether the retry budget of an endpoint, or of a class if no endpoint is named, is
// exhausted.
func (r *Router) retryBudgetChanged(ev RetryBudgetChanged) {
	if e := r.findEndpoint(ev.Endpoint); e != nil {
		e.retryBudgetExhausted = !ev.Available
	} else if ev.Endpoint == "" {
		r.class(ev.Class).retryBudgetExhausted = !ev.Available
	}
}
