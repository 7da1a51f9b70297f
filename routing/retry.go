package routing

import (
	"math"
	"slices"
)

const (
	idempotencyMargin = 0.25 // s kept free of an idempotency key's window for the way to the endpoint
	sendMargin        = 0.05 // s before an attempt may not be begun any more: for the way to the socket
	retryAfterMean    = 1.5  // s that a rejected client is told to wait: congestion lasts seconds
)

// provesNotRun says whether the request can't have had its effect at the endpoint.
func (a AttemptResult) provesNotRun() bool {
	return a == Overloaded || a == ConnectFailed || a == NotSent || a == CacheMiss
}

// mayHaveRun says whether an attempt may have had its effect.
func (a *attempt) mayHaveRun() bool { return a.started && (a.inFlight || !a.result.provesNotRun()) }

// mayRetry allows a further attempt if it can't run a request twice (rule 2), or only within the window of
// its idempotency key, and if the class's retry budget is not spent.
func (r *Router) mayRetry(req *request) bool {
	class := r.class(req.Class)
	spent := class.retryBudgetSpent && len(req.attempts) > 0
	if spent || float64(len(req.attempts)) >= r.number(SettingMaxAttempts, 1) {
		return false
	}
	return class.effect == Idempotent || !slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		windowEnd := a.sentAt + class.idempotencyWindow - idempotencyMargin
		return a.mayHaveRun() && (class.effect != WithIdempotencyKey || r.now > windowEnd)
	})
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
			latest = min(latest, a.sentAt+class.idempotencyWindow)
		}
	}
	return max(latest-sendMargin, r.now)
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

// giveUp answers at once: rejected where the client may safely repeat the request, else aborted (rule 2).
func (r *Router) giveUp(req *request) {
	class := r.class(req.Class)
	recognized := class.effect == WithIdempotencyKey && class.deduplicationScope == AnyScope
	if class.effect != Idempotent && !recognized && slices.ContainsFunc(req.attempts, (*attempt).mayHaveRun) {
		req.finalAction = AbortRequest{Request: req.Request}
		return
	}
	retryAfter := indicator(r.settings.Bool(SettingRetryAfterAllowed)) * retryAfterMean * (0.5 + r.nextRandom())
	retryAfter = min(retryAfter, r.number(SettingMaxRetryAfter, 0))
	req.finalAction = RejectRequest{Request: req.Request, RetryAfterSeconds: retryAfter}
}
