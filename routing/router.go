package routing

import "slices"

const (
	deadlineMarginSeconds = 0.006 // margin before the deadline for giving up a request: a few clock ticks
	queueRecheckSeconds   = 0.1   // interval between plans of a queued request from queueUntil on, without other events
	maxQueuePlans         = 12    // queued requests of each kind planned after an attempt's end: bounds the work
	unknownSizeKB         = 1.0   // assumed size of a chunk of unknown size: all chunks count the same

	// minQueuedSendTimes is how many sending times the attempt of a queued request takes at least: its paths are at
	// their limits, so that as many attempts share each transfer of capacity.
	minQueuedSendTimes = limitPerCapacity
	minSlownessSamples = 8   // slownessSamples required before their quantile is used
	usualSlownessShare = 0.9 // share of the recent attempts that were at most as slow as a queued one is expected to be
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
		req.wakeAt = min(req.wakeAt, max(r.queueUntil(req), r.now+queueRecheckSeconds))
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

// queueUntil returns the latest time at which the attempt of a queued request can start and still end within the
// latency objective of the settings, and within the client's time.
func (r *Router) queueUntil(req *request) float64 {
	return min(req.arrivedAt+req.objectiveSeconds, giveUpTime(req)) - r.queuedAttemptSeconds(req)
}

// queuedAttemptSeconds returns how long the attempt of a queued request is expected to take, on paths at their limits:
// as long, for its size, as the slower ones of the recent attempts.
func (r *Router) queuedAttemptSeconds(req *request) float64 {
	least := minQueuedSendTimes * req.sendSeconds
	if len(r.slownessSamples) < minSlownessSamples {
		return least
	}
	if r.usualSlowness == 0 { // the samples have changed
		sorted := slices.Sorted(slices.Values(r.slownessSamples))
		r.usualSlowness = sorted[int(usualSlownessShare*float64(len(sorted)))]
	}
	suspectSeconds := suspectTime(0, r.class(req.Class).objectiveSeconds, req.sendSeconds)
	return max(least, r.usualSlowness*suspectSeconds)
}

// worthQueueing reports whether a request may wait in the queue for capacity. It guards against attempts that are sent
// too late to be useful and take capacity from other requests, visible as late answers after a burst has ended; and
// against rejections that come when the client's time is nearly over, though it was known before that no attempt could
// be in time. Until queueUntil one is. Without a ready edge cache in the zone no
// request waits.
func (r *Router) worthQueueing(req *request) bool {
	return r.now < r.queueUntil(req) && len(r.caches.endpoints) > 0
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
