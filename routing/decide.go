package routing

// Router decides for one instance. Its zero value is of no use: see New.
type Router struct {
	settings    Settings
	numbers     map[SettingName]float64 // settings read as numbers
	classes     map[ClassIndex]*class
	randomState uint64
	now         float64
	actions     []Action

	endpoints []*endpoint  // by id
	removed   []*endpoint  // of these, removed from the list and not forgotten
	caches    endpointList // of this zone
	parents   endpointList
	origins   endpointList
	zoneLink  limiter // the link into the zone

	requests        map[RequestID]*request
	requestsByToken map[uint64]*request
	queue           []*request // highest priority a KB first
	sequence        uint64

	objects              map[string]*object
	sweptAt              float64              // when idle objects were last searched for
	purges               map[purgeKey]float64 // time of the newest of each
	purgesForgottenUntil float64

	slownessSamples   []float64 // the last durations over those after which attempts are suspected
	unansweredSamples []float64 // the last attempts slower than any of those, 1 for one without an answer
	missSamples       []float64 // the last attempts expected to miss, 1 for one that was filled
}

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

// Decide takes one event at the time now, in seconds, and returns what is to be done, in order. The list is valid
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

// The parameters of the linear congruential generator under the permuted one (PCG-XSH-RR, 64 bits of state).
const (
	randomMultiplier = 6364136223846793005
	randomIncrement  = 1442695040888963407
)

// nextRandom is the next number of a permuted congruential generator, from 0 up to 1.
func (r *Router) nextRandom() float64 {
	old := r.randomState
	r.randomState = old*randomMultiplier + randomIncrement
	shifted := uint32((old>>18 ^ old) >> 27)
	rotation := uint32(old >> 59)
	return float64(shifted>>rotation|shifted<<(-rotation&31)) / (1 << 32)
}
