package routing

const (
	deadlineMarginSeconds = 0.006 // margin before the deadline for giving up a request: a few clock ticks
	queueShare            = 0.8   // share of the objective within which a queued request's attempt has to end
	queuedSendTimes       = 2.0   // sending times expected for a queued request's attempt: its paths are full
	queueRecheckSeconds   = 0.1   // interval between plans of a queued request from queueUntil on, without other events
	maxQueuePlans         = 12    // queued requests of each kind planned after an attempt's end: bounds the work
	unknownSizeKB         = 1.0   // assumed size of a chunk of unknown size: all chunks count the same
)

// updateEndpoints applies an endpoint update. An endpoint that has restarted is empty, in slow start and without
// results.
func (r *Router) updateEndpoints(update EndpointUpdate) {
	if update.Kind == Unavailable || (update.Kind == Restored && r.mustSubscribe()) {
		r.actions = append(r.actions, SubscribeEndpoints{})
	}
	for _, started := range r.mergeEndpoints(update) {
		r.setStartingLimit(started)
	}
	if r.zoneLink.limit == 0 {
		r.setSharedLimits()
	}
}

// requestArrived registers a request and decides its first attempt.
func (r *Router) requestArrived(arrived RequestArrived) {
	if r.repeatsEnded(arrived) {
		r.actions = append(r.actions, AbortRequest{Request: arrived.Request})
		return
	}
	req := &request{RequestArrived: arrived, arrivedAt: r.now}
	r.evictIdleObjects()
	r.addRequest(req)
	r.setSize(req)
	r.setSendTime(req)
	req.priorityPerKB = r.class(req.Class).priority / req.SizeKB
	r.plan(req)
}

// plan computes the desired state of a request and reconciles it with the current state.
func (r *Router) plan(req *request) {
	var final Action
	if req.state != requestEnded {
		final = r.updateDesiredState(req)
	}
	r.reconcile(req, final)
}

// updateDesiredState decides the next step of a request: it adds its next attempt, moves it into or out of the queue
// and sets its wake time. It returns the final action of a request that is given up.
func (r *Router) updateDesiredState(req *request) Action {
	req.wakeAt = giveUpTime(req)
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
		req.pausedUntil = pauseEnd(req)
		if req.pausedUntil > r.now {
			req.wakeAt = min(req.wakeAt, req.pausedUntil)
		}
	case giveUp:
		r.penalizeUnanswered(req)
		return r.chooseFinalAction(req)
	}
	return nil
}

// nextStep is the next step of a request.
type nextStep int

const (
	awaitAttempts nextStep = iota // wait for the attempts in flight
	sendAttempt                   // send another attempt
	queueRequest                  // wait in the queue until an endpoint has capacity
	giveUp                        // emit a final action without a response
)

// chooseNextStep returns the next step of a request, with the attempt to send for sendAttempt. A request is given up at
// giveUpTime, shortly before its deadline. It is given up earlier if no attempt is in flight and none may follow: no
// further attempt is allowed, or none can be sent now and the request is not worth queueing.
func (r *Router) chooseNextStep(req *request) (nextStep, *attempt) {
	if r.now >= giveUpTime(req) {
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

// giveUpTime returns when a request is given up, so that its final action precedes the client's deadline.
func giveUpTime(req *request) float64 { return req.Deadline - deadlineMarginSeconds }

// queueUntil returns the latest time at which an attempt on paths at their limits can start and still be in time.
func queueUntil(req *request) float64 {
	return req.arrivedAt + queueShare*req.objectiveSeconds - queuedSendTimes*req.sendSeconds
}

// worthQueueing reports whether a request may wait in the queue for capacity. It guards against attempts that are sent
// too late to be useful and take capacity from other requests, visible as late answers after a burst has ended. Until
// queueUntil, an attempt on paths at their limits still ends in time. Without a ready edge cache in the zone no request
// waits.
func (r *Router) worthQueueing(req *request) bool {
	return r.now < queueUntil(req) && len(r.caches.endpoints) > 0
}

// addAttempt adds an attempt to a request and sets its retention rank, maximum copy age and suspicion time.
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

// reconcile emits the difference between the desired and the current state of a request, and the final action if it is
// given up. A request ends once, so it gets at most one final action.
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
		r.actions = append(r.actions, SetTimer{
			AfterSeconds: max(req.wakeAt-r.now, 0),
			Token:        req.token,
			Request:      req.Request,
		})
	}
}

// startAttempt emits the action that sends an attempt and adds its load to the limiters and to endpoints in slow start.
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
	r.recordSlowStartWork(req, a)
}

// reviewAttempts reviews the attempts of a request. It reports whether any is in flight, and whether the request waits
// for one: attempts presumed lost are in flight and not awaited.
func (r *Router) reviewAttempts(req *request) (inFlight, awaited bool) {
	for _, a := range req.attempts {
		if !a.state.inFlight() {
			continue
		}
		inFlight = true
		r.reviewAttempt(req, a)
		if a.state == attemptAwaited { // no attempt is stalled after its review
			awaited = true
			req.wakeAt = min(req.wakeAt, max(a.suspectAt, r.now+suspectRecheckSeconds))
		}
	}
	return inFlight, awaited
}

// reviewAttempt marks an attempt in flight as presumed lost if it is stalled, or if it is suspected and its review
// finds it lost.
func (r *Router) reviewAttempt(req *request, a *attempt) {
	suspected := a.state == attemptAwaited && r.now >= a.suspectAt
	if a.state == attemptStalled || (suspected && r.reviewSuspected(a)) {
		a.move(r.lostAttemptState(req))
	}
}
