package routing

// New returns a router that knows nothing but its settings. Its random numbers follow from the seed.
func New(seed uint64, settings Settings) *Router {
	return &Router{
		settings:        settings,
		randomState:     seed,
		numbers:         map[SettingName]float64{},
		classes:         map[ClassIndex]*class{},
		requests:        map[RequestID]*request{},
		requestsByToken: map[uint64]*request{},
		objects:         map[string]*object{},
		purges:          map[purgeKey]float64{},
	}
}

// Decide takes one event at the time now, in seconds, and returns what is to be done, in order. The slice is valid
// until the next call. The result of a probe changes nothing.
func (r *Router) Decide(now float64, event Event) []Action {
	r.now = now
	r.actions = r.actions[:0]
	switch ev := event.(type) {
	case EndpointUpdate:
		r.updateEndpoints(ev)
	case RequestArrived:
		r.requestArrived(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case ClientDisconnected:
		if req := r.requests[ev.Request]; req != nil {
			r.moveRequest(req, requestEnded)
			r.reconcile(req, nil)
		}
	case TimerFired:
		if req := r.requestsByToken[ev.Token]; req != nil {
			req.timerAt = 0
			r.plan(req)
		}
	case Purge:
		r.recordPurge(ev)
	case AttemptStalled:
		if req, a := r.findAttempt(ev.Request, ev.Attempt); a != nil {
			a.move(attemptStalled)
			r.plan(req)
		}
	case HealthObservation:
		r.healthObserved(ev)
	case RetryBudgetChanged:
		r.retryBudgetChanged(ev)
	}
	return r.actions
}
