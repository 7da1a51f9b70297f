package routing

import (
	"cmp"
	"math"
)

const (
	deadlineMargin  = 0.006 // s before the deadline at which a request is given up: a few ticks of the clock
	queuedSendTimes = 2.0   // sending times that a queued request's attempt needs: the paths are full then
	maxQueueRetries = 12    // queued requests planned after each end of an attempt: bounds the work
)

// updateEndpoints takes news of the endpoints. One that started again is empty, cold and unjudged.
func (r *Router) updateEndpoints(update EndpointUpdate) {
	if update.Kind == Unavailable || (update.Kind == Restored && r.subscribesOnRequest()) {
		r.actions = append(r.actions, SubscribeEndpoints{})
	}
	for _, started := range r.mergeEndpoints(update) {
		r.setStartingLimit(started)
	}
	if r.zoneLink.limit == 0 {
		r.setSharedLimits()
	}
}

// requestArrived takes a request and decides its first attempt.
func (r *Router) requestArrived(arrived RequestArrived) {
	arrived.SizeKB = cmp.Or(max(arrived.SizeKB, 0), 1) // where sizes are not known chunks are counted
	class := r.class(arrived.Class)
	req := &request{RequestArrived: arrived, arrivedAt: r.now}
	if pace := r.number(SettingTransferRate, 0); pace > 0 {
		req.sendSeconds = arrived.SizeKB / pace
	}
	req.objective = class.objective + req.sendSeconds*class.objectiveStretch
	req.priorityPerKB = class.priority / arrived.SizeKB
	class.sendSamples = appendSample(class.sendSamples, req.sendSeconds, longSamples)
	r.forgetIdleObjects()
	r.addRequest(req)
	r.plan(req)
}

// plan decides what is wanted for a request now and reconciles it with what is under way.
func (r *Router) plan(req *request) {
	if !req.done && req.finalAction == nil {
		r.updateWanted(req)
	}
	r.reconcile(req)
}

// updateWanted sets a request's wanted attempts, final action, place in the queue and wake time.
func (r *Router) updateWanted(req *request) {
	req.queued = false
	req.wakeAt = req.Deadline - deadlineMargin
	if r.now >= req.wakeAt {
		r.penalizeUnanswered(req)
		r.giveUp(req)
		return
	}
	inFlight, waiting := r.reviewAttempts(req)
	if waiting || (inFlight && !r.settings.Bool(SettingHedging)) {
		return
	}
	if !r.mayRetry(req) {
		if !inFlight {
			r.giveUp(req)
		}
		return
	}
	if next := r.chooseAttempt(req); next != nil {
		r.addAttempt(req, next)
		return
	}
	r.queueOrGiveUp(req, inFlight)
}

// addAttempt wants another attempt and decides how old its copy may be and whether a filled one is kept.
func (r *Router) addAttempt(req *request, next *attempt) {
	if next.target.role == edgeCache && r.shouldStore(req, next.target) {
		next.retentionRank = storedRank
	}
	if len(req.attempts) == 0 {
		r.updateGap(req, next.target)
	}
	next.maxAge = r.maxCopyAge(req, next)
	next.wanted = true
	next.suspectAt = r.now + suspectShare*r.class(req.Class).objective + suspectSendTimes*req.sendSeconds
	req.attempts = append(req.attempts, next)
	req.wakeAt = min(req.wakeAt, next.suspectAt)
}

// queueOrGiveUp queues a request that nobody has room for while an attempt on full paths could still be in
// time. One sent later would only fill the paths of others.
func (r *Router) queueOrGiveUp(req *request, inFlight bool) {
	giveUpAt := req.arrivedAt + timelyShare*req.objective - queuedSendTimes*req.sendSeconds
	if !inFlight && (r.now >= giveUpAt || len(r.caches.members) == 0) {
		r.giveUp(req)
		return
	}
	req.queued = true
	req.wakeAt = min(req.wakeAt, max(giveUpAt, r.now+recheckInterval))
}

// reconcile emits the difference between what is wanted for a request and what is under way.
func (r *Router) reconcile(req *request) {
	ended := req.done || req.finalAction != nil
	for i, a := range req.attempts {
		if a.inFlight && (ended || !a.wanted) && !a.cancelled && r.settings.Bool(SettingCancellation) {
			a.cancelled = true
			r.actions = append(r.actions, CancelAttempt{Request: req.Request, Attempt: i})
		}
		if a.wanted && !a.started && !ended {
			r.startAttempt(req, a)
		}
	}
	r.setQueued(req, req.queued && !ended)
	if req.finalAction != nil && !req.done {
		req.done = true
		r.actions = append(r.actions, req.finalAction)
	}
	if req.done {
		r.removeUnlessInFlight(req)
	} else if req.timerAt == 0 || req.wakeAt < req.timerAt {
		req.timerAt = req.wakeAt
		r.actions = append(r.actions, SetTimer{AfterSeconds: max(req.wakeAt-r.now, 0), Token: req.token})
	}
}

// startAttempt emits an attempt and counts it at the limiters and at the cold endpoints that it loads.
func (r *Router) startAttempt(req *request, a *attempt) {
	a.started, a.inFlight, a.sentAt = true, true, r.now
	a.sendBefore = r.sendBefore(req)
	join, revalidate := r.settings.Bool(SettingFillJoining), r.class(req.Class).freshSeconds > 0
	r.actions = append(r.actions, a.startAction(req, join, revalidate))
	a.target.inFlight++
	for _, l := range a.fillLimiters {
		l.inFlight += a.expectedFills
	}
	for _, e := range [2]*endpoint{a.target, a.source} {
		if r.warmShare(e) < 1 && (e == a.target || a.expectMiss) {
			e.recentWork = append(e.recentWork, workSample{at: r.now, seconds: r.workOf(req, e)})
		}
	}
}

// reviewAttempts finds lost attempts and tells whether any is in flight, and whether one is waited for. A
// lost one stays wanted beside its successor where two may run, and where a second run would do harm.
func (r *Router) reviewAttempts(req *request) (inFlight, waiting bool) {
	for _, a := range req.attempts {
		if !a.inFlight {
			continue
		}
		inFlight = true
		if a.wanted && (a.stalled || (r.now >= a.suspectAt && r.isSilent(a))) {
			a.wanted = r.settings.Bool(SettingHedging) || r.class(req.Class).effect == NonIdempotent
			a.suspectAt, a.stalled = math.Inf(1), false
		}
		if a.wanted && !math.IsInf(a.suspectAt, 1) {
			waiting = true
			req.wakeAt = min(req.wakeAt, max(a.suspectAt, r.now+recheckInterval))
		}
	}
	return inFlight, waiting
}
