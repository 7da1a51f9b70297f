package routing

import "slices"

// localRefusalSeconds is the time within which only the cache itself can have refused a fill: answers of sources take
// longer.
const localRefusalSeconds = 0.004

// attemptEnded handles the end of an attempt: it processes the outcome, then plans the request, then the first requests
// of the queue.
func (r *Router) attemptEnded(end AttemptEnded) {
	req, a := r.findAttempt(end.Request, end.Attempt)
	if a == nil || !a.move(attemptEnded) {
		return
	}
	a.result, a.endedAt = end.Result, r.now
	a.target.limiter.release(r.now, 1, end.ElapsedSeconds, true)
	for _, l := range a.fillLimiters {
		l.release(r.now, a.expectedFills, end.ElapsedSeconds, !end.answeredFromCache())
	}
	r.processOutcome(req, a, end)
	if end.RequestDone {
		r.moveRequest(req, requestEnded)
	}
	r.plan(req)
	r.planQueue()
}

// planQueue plans the first requests of the queue, and besides them the first ones whose endpoints are paused for them.
//
// It guards against requests that wait, although there is capacity for them, behind others that cannot use it.
func (r *Router) planQueue() {
	var ready, paused []*request
	for _, queued := range r.queue {
		kind := &ready
		if r.now < queued.pausedUntil {
			kind = &paused
		}
		if len(*kind) < maxQueuePlans {
			*kind = append(*kind, queued)
		} else if len(ready)+len(paused) == 2*maxQueuePlans {
			break
		}
	}
	for _, queued := range slices.Concat(ready, paused) {
		r.plan(queued)
	}
}

// processOutcome updates the state of the attempt's target, its source and the paths between them from its outcome.
func (r *Router) processOutcome(req *request, a *attempt, end AttemptEnded) {
	slowness := a.slowness(end.ElapsedSeconds) // 0 for an attempt presumed lost
	r.recordSlowest(slowness, end.Result)
	if end.Result.isAnswer() {
		a.target.recordResponse(r.now)
	}
	switch end.Result {
	case Completed:
		r.processSuccess(req, a, end, slowness)
	case ServerError, Overloaded:
		r.processFailure(req, a, end)
	case CacheMiss:
		if a.fill == fillFromPeer {
			a.source.removeCached(req.chunk, true)
		}
	case ConnectFailed, ConnectionBroken:
		r.recordResult(a.target, true)
	case TimedOut, Cancelled, NotSent: // these results say nothing about the endpoints
	}
}

// processSuccess records a completed attempt and the unexplained failures of earlier attempts of its request. These
// count only now: a request that cannot be served fails at every endpoint, and would eject one endpoint after another
// if each failure counted immediately. The slowness of an attempt that was presumed lost is 0: its late answer is
// counted as a sample but raises no maximum.
func (r *Router) processSuccess(req *request, a *attempt, end AttemptEnded, slowness float64) {
	for _, earlier := range req.attempts {
		if earlier.possibleFault != noFault {
			r.recordResult(earlier.target, true)
		}
		if earlier.possibleFault == targetAndSourceFault {
			r.recordResult(earlier.source, true)
		}
	}
	r.recordResult(a.target, false)
	r.recordSlowness(slowness)
	filled := !end.answeredFromCache()
	if filled && a.hasSource() {
		a.source.recordResponse(r.now)
		r.recordResult(a.source, false)
	}
	req.chunk.filledSincePurge = req.chunk.filledSincePurge || filled && a.fill != fillFromPeer
	if a.fill == fillExpected && a.target.role == edgeCache {
		r.missSamples = appendSample(r.missSamples, indicator(filled), maxMissSamples)
	}
	r.recordCached(req, a, filled)
	r.observeSendTime(req, end)
	r.adjustLimits(req, a, end, filled)
}

// processFailure attributes a server error or a refusal to the endpoint or path at fault.
func (r *Router) processFailure(req *request, a *attempt, end AttemptEnded) {
	switch end.Detail {
	case SourceRefused, SourceUnreachable, OriginFailed:
		if originFailed(a, end.Detail) {
			a.source.recordResponse(r.now)
			r.originLimiter().decrease(r.now, true)
			return
		}
		a.source.limiter.decrease(r.now, true)
		if end.Detail == SourceUnreachable {
			r.recordResult(a.source, true)
		}
		return
	case SourceCacheMiss:
		a.source.recordResponse(r.now)
		a.source.removeCached(req.chunk, true)
		return
	case NoDetail, CacheHit, Filled, FilledByOrigin, JoinedFill, StaleHit, FillSlotsExhausted:
	}
	r.processUnexplainedFailure(a, end)
}

// originFailed reports whether a fill failed at the origin rather than at its source. A source that responded after the
// attempt was sent is reachable, so an unreachable endpoint is the origin.
func originFailed(a *attempt, detail ResultDetail) bool {
	respondedSince := a.originLimiter != nil && a.source.lastResponseAt() > a.sentAt
	return detail == OriginFailed || (detail == SourceUnreachable && respondedSince)
}

// processUnexplainedFailure handles a failure whose details name no fault of the source. Where not all details are
// reported, the source may still be at fault. A refusal after localRefusalSeconds or more then counts as a failure of
// the source: a source that is down behind a cache is visible only as refusals of that cache.
func (r *Router) processUnexplainedFailure(a *attempt, end AttemptEnded) {
	refused := end.Result == Overloaded
	sourceMayBeAtFault := a.fill.expectsMiss() && a.hasSource() && !r.reportsAllDetails()
	refusedFill := refused && sourceMayBeAtFault
	switch {
	case end.Detail == FillSlotsExhausted || refusedFill && end.ElapsedSeconds < localRefusalSeconds:
		r.zoneLink.decrease(r.now, true) // concurrent fills occupy all fill slots of the cache
	case refusedFill:
		a.source.limiter.decrease(r.now, true)
		r.recordResult(a.source, true)
	case refused:
		a.target.limiter.decrease(r.now, true)
	case sourceMayBeAtFault:
		a.possibleFault = targetAndSourceFault
	default:
		a.possibleFault = targetFault
	}
}
