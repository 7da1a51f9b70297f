package routing

import "cmp"

const (
	deadlineMarginSeconds = 0.006 // time before the deadline at which a request is given up: a few ticks of the clock
	queueShare            = 0.8   // share of the objective by which a queued request's attempt has to end
	queuedSendTimes       = 2.0   // sending times that a queued request's attempt needs: the paths are full then
	queueRecheckSeconds   = 0.1   // time between plans of a queued request that nothing else wakes
	maxQueueRetries       = 12    // queued requests planned after each end of an attempt: bounds its work
	unknownSizeKB         = 1.0   // size of a chunk where sizes are not known: chunks are counted then
)

// updateEndpoints takes news of the endpoints. One that started again is empty, cold and without results.
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
	sizeKnown := arrived.SizeKB > 0
	arrived.SizeKB = cmp.Or(max(arrived.SizeKB, 0), unknownSizeKB)
	req := &request{RequestArrived: arrived, arrivedAt: r.now}
	r.setSendTime(req, sizeKnown)
	req.priorityPerKB = r.class(arrived.Class).priority / arrived.SizeKB
	r.forgetIdleObjects()
	r.addRequest(req)
	r.plan(req)
}

// plan decides what is wanted for a request now and reconciles it with what is under way.
func (r *Router) plan(req *request) {
	var final Action
	if req.state != requestEnded {
		final = r.updateWanted(req)
	}
	r.reconcile(req, final)
}

// updateWanted decides what a request gets next: it adds its next attempt, moves it into the queue or out of it and
// sets its wake time. It returns the final action of a request that is given up.
func (r *Router) updateWanted(req *request) Action {
	req.wakeAt = answerBy(req)
	step, next := r.chooseNextStep(req)
	switch step {
	case awaitAttempts:
		r.moveRequest(req, requestOpen)
	case sendAttempt:
		r.moveRequest(req, requestOpen)
		r.addAttempt(req, next)
	case queueRequest:
		r.moveRequest(req, requestQueued)
		req.wakeAt = min(req.wakeAt, max(queueUntil(req), r.now+queueRecheckSeconds))
	case giveUp:
		r.penalizeUnanswered(req)
		return r.chooseFinalAction(req)
	}
	return nil
}

// nextStep is what a request gets next.
type nextStep int

const (
	awaitAttempts nextStep = iota // nothing but the ends of its attempts
	sendAttempt                   // an attempt more
	queueRequest                  // a place in the queue, until an endpoint has room
	giveUp                        // a final action without a response
)

// chooseNextStep decides what a request gets next, and its attempt where that is one. A request is given up when its
// time is over, or when nothing is in flight for it and no attempt may follow or could still be in time.
func (r *Router) chooseNextStep(req *request) (nextStep, *attempt) {
	if r.now >= answerBy(req) {
		return giveUp, nil
	}
	inFlight, awaited := r.reviewAttempts(req)
	if awaited || (inFlight && !r.settings.Bool(SettingHedging)) {
		return awaitAttempts, nil
	}
	retry := r.mayRetry(req)
	if retry {
		if next := r.chooseAttempt(req); next != nil {
			return sendAttempt, next
		}
	}
	switch {
	case retry && (inFlight || r.worthQueueing(req)):
		return queueRequest, nil
	case inFlight:
		return awaitAttempts, nil
	}
	return giveUp, nil
}

// answerBy is when a request is given up, so that its final action is out before the client's deadline.
func answerBy(req *request) float64 { return req.Deadline - deadlineMarginSeconds }

// queueUntil is until when an attempt on full paths that begins then is still in time.
func queueUntil(req *request) float64 {
	return req.arrivedAt + queueShare*req.objectiveSeconds - queuedSendTimes*req.sendSeconds
}

// worthQueueing says whether a request that no endpoint has room for may wait for room. It guards against attempts that
// are sent too late to be of use and fill the paths of others, which show as late answers after a burst is over. Until
// queueUntil an attempt that takes as long as on full paths is still in time.
func (r *Router) worthQueueing(req *request) bool {
	return r.now < queueUntil(req) && len(r.caches.endpoints) > 0
}

// addAttempt adds an attempt to a request, with how old its copy may be and whether a filled one is stored.
func (r *Router) addAttempt(req *request, next *attempt) {
	if next.target.role == edgeCache && r.shouldStore(req, next.target) {
		next.retentionRank = storedRank
	}
	if len(req.attempts) == 0 {
		r.updateGap(req, next.target)
	}
	next.maxAgeSeconds = r.maxCopyAge(req, next)
	next.suspectAt = suspectTime(r.now, r.class(req.Class).objectiveSeconds, req.sendSeconds)
	req.attempts = append(req.attempts, next)
	req.wakeAt = min(req.wakeAt, next.suspectAt)
}

// reconcile emits the difference between what is wanted for a request and what is under way, and the final action of a
// request that is given up. Each request ends once, so it gets one final action at most.
func (r *Router) reconcile(req *request, final Action) {
	ended := req.state == requestEnded || final != nil
	for i, a := range req.attempts {
		cancel := (ended || a.state == attemptAbandoned) && a.mayMove(attemptCancelled)
		if cancel && r.settings.Bool(SettingCancellation) {
			a.move(attemptCancelled)
			r.actions = append(r.actions, CancelAttempt{Request: req.Request, Attempt: i})
		}
		if a.state == attemptPlanned && !ended {
			r.startAttempt(req, a)
		}
	}
	if final != nil {
		r.moveRequest(req, requestEnded)
		r.actions = append(r.actions, final)
	}
	if ended {
		r.removeUnlessInFlight(req)
	} else if req.timerAt == 0 || req.wakeAt < req.timerAt {
		req.timerAt = req.wakeAt
		r.actions = append(r.actions, SetTimer{AfterSeconds: max(req.wakeAt-r.now, 0), Token: req.token})
	}
}

// startAttempt emits an attempt and counts it at the limiters and at the cold endpoints that it loads.
func (r *Router) startAttempt(req *request, a *attempt) {
	a.move(attemptAwaited)
	a.sentAt = r.now
	a.sendBefore = r.sendBefore(req)
	join, revalidate := r.settings.Bool(SettingFillJoining), r.class(req.Class).freshSeconds > 0
	r.actions = append(r.actions, a.startAction(req, join, revalidate))
	a.target.limiter.inFlight++
	for _, l := range a.fillLimiters {
		l.inFlight += a.expectedFills
	}
	r.recordColdWork(req, a)
}

// reviewAttempts reviews the attempts of a request. It tells whether any is in flight, and whether the request still
// waits for one: attempts that this review or an earlier one took for lost are in flight and not awaited.
func (r *Router) reviewAttempts(req *request) (inFlight, awaited bool) {
	for _, a := range req.attempts {
		if !a.state.inFlight() {
			continue
		}
		inFlight = true
		r.reviewAttempt(req, a)
		if a.state == attemptAwaited { // none is stalled after its review
			awaited = true
			req.wakeAt = min(req.wakeAt, max(a.suspectAt, r.now+suspectRecheckSeconds))
		}
	}
	return inFlight, awaited
}

// reviewAttempt takes an attempt in flight for lost if it is stalled, or if it is suspected by now and found lost.
func (r *Router) reviewAttempt(req *request, a *attempt) {
	suspected := a.state == attemptAwaited && r.now >= a.suspectAt
	if a.state == attemptStalled || (suspected && r.reviewSuspected(a)) {
		a.move(r.stateOfLost(req))
	}
}
