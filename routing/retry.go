package routing

import (
	"math"
	"slices"
)

const (
	idempotencyMarginSeconds = 0.25 // time before the end of an idempotency key's window: for the way to the endpoint
	sendMarginSeconds        = 0.05 // time before an attempt may not be begun any more: for the way to the socket
	endpointPauseSeconds     = 0.1  // time after an attempt's end in which its request leaves that endpoint alone
	retryAfterMeanSeconds    = 1.5  // mean time that a rejected client should stay away: congestion lasts seconds
	retryAfterLeastShare     = 0.5  // least share of the mean; up to once the mean is drawn on top
)

// provesNotRun says whether the request cannot have had its effect at the endpoint.
func (a AttemptResult) provesNotRun() bool {
	return a == Overloaded || a == ConnectFailed || a == NotSent || a == CacheMiss
}

// mayHaveRun says whether an attempt may have had its effect.
func (a *attempt) mayHaveRun() bool {
	return a.state.inFlight() || (a.state == attemptEnded && !a.result.provesNotRun())
}

// mayRetry allows a further attempt within the limits of attempts and budget if it cannot run a request twice (rule 2).
func (r *Router) mayRetry(req *request) bool {
	class := r.class(req.Class)
	for _, a := range req.attempts {
		if r.barsRetry(class, a) {
			return false
		}
	}
	return r.hasRetriesLeft(class, len(req.attempts))
}

// hasRetriesLeft says whether a request of a class that had some attempts may have one more.
func (r *Router) hasRetriesLeft(class *class, attempts int) bool {
	exhausted := class.retryBudgetExhausted && attempts > 0
	return !exhausted && float64(attempts) < r.number(SettingMaxAttempts, 1)
}

// barsRetry says whether another run beside an attempt would do harm: both may have their effect, and no idempotency
// key that endpoints still recognize makes them one.
func (r *Router) barsRetry(class *class, a *attempt) bool {
	if class.effect == Idempotent || !a.mayHaveRun() {
		return false
	}
	windowEnd := a.sentAt + class.idempotencyWindowSeconds - idempotencyMarginSeconds
	return class.effect != WithIdempotencyKey || r.now > windowEnd
}

// barredByRetryBudget says whether a request that had some attempts may not go to an endpoint, whose budget of retries
// is exhausted. It guards against retries that keep an endpoint down which fails under load: attempts then grow while
// requests do not. First attempts pass, so an endpoint that works again is found.
func barredByRetryBudget(e *endpoint, attempts int) bool {
	return e.retryBudgetExhausted && attempts > 0
}

// triedAlready says whether a request has used an endpoint: at all at the first fallback level, just now at the
// others. It guards against a request that uses up its attempts within milliseconds at one endpoint that refuses at
// once. Used tells whether an attempt has used it as target, or as source. An attempt in flight bars nothing at the
// other levels: where there is a further attempt beside it, it was taken for lost, and its endpoint may be the only
// one.
func triedAlready(req *request, e *endpoint, level fallbackLevel, now float64, used usedFunc) bool {
	for _, a := range req.attempts {
		if used(a, e) && (level == untriedOnly || now < a.endedAt+endpointPauseSeconds) {
			return true
		}
	}
	return false
}

// sendBefore is when an attempt that is decided now may not be begun any more. A connection that comes up late, or
// whose socket takes nothing, must not carry it past the grace of a drain (rule 3) or of a purge (rule 5) that is heard
// of meanwhile, nor past the window of its idempotency key (rule 2).
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

// inDeduplicationScope keeps a request that may have run where its idempotency key is recognized (rule 2).
func (r *Router) inDeduplicationScope(req *request, e *endpoint) bool {
	class := r.class(req.Class)
	return class.effect != WithIdempotencyKey || !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		outside := class.deduplicationScope == ZoneScope && a.target.Zone != e.Zone ||
			class.deduplicationScope == CellScope && a.target.Cell != e.Cell
		return outside && a.mayHaveRun()
	})
}

// chooseFinalAction is the answer to a request that is given up: rejected where the client may safely repeat it, else
// aborted (rule 2).
func (r *Router) chooseFinalAction(req *request) Action {
	class := r.class(req.Class)
	recognized := class.effect == WithIdempotencyKey && class.deduplicationScope == AnyScope
	if class.effect != Idempotent && !recognized && slices.ContainsFunc(req.attempts, (*attempt).mayHaveRun) {
		return AbortRequest{Request: req.Request}
	}
	return RejectRequest{Request: req.Request, RetryAfterSeconds: r.retryAfterSeconds()}
}

// retryAfterSeconds is how long a rejected client should stay away, 0 for no advice. It is drawn, so that clients that
// were rejected together do not return together.
func (r *Router) retryAfterSeconds() float64 {
	drawn := retryAfterMeanSeconds * (retryAfterLeastShare + r.nextRandom())
	if !r.settings.Bool(SettingRetryAfterAllowed) {
		drawn = 0 // after the draw, so that the settings do not change the sequence of random numbers
	}
	return min(drawn, r.number(SettingMaxRetryAfter, 0))
}

// retryBudgetChanged notes whether there are retries left for an endpoint, or for a class where none is named.
func (r *Router) retryBudgetChanged(ev RetryBudgetChanged) {
	if e := r.findEndpoint(ev.Endpoint); e != nil {
		e.retryBudgetExhausted = !ev.Available
	} else if ev.Endpoint == "" {
		r.class(ev.Class).retryBudgetExhausted = !ev.Available
	}
}
