package routing

// Router makes the routing decisions of one router instance. Use New to create one; the zero value is not usable.
type Router struct {
	settings    Settings
	numbers     map[SettingName]float64 // cache of settings parsed as numbers
	classes     map[ClassIndex]*class
	randomState uint64
	now         float64
	actions     []Action

	endpoints []*endpoint  // sorted by ID
	removed   []*endpoint  // entries of the field endpoints that were removed from the list and have not expired
	caches    endpointList // ready edge caches of this zone
	parents   endpointList // ready parent caches
	origins   endpointList // ready origins
	zoneLink  limiter      // limiter of the link into the zone

	requests        map[RequestID]*request
	requestsByToken map[uint64]*request
	queue           []*request // sorted by priority per KB, highest first
	sequence        uint64

	objects            map[string]*object
	chunkCount         int                    // number of chunks of all objects
	maxObjects         int                    // limits the number of objects, and that of chunks
	maxPurges          int                    // limits the number of purges
	sweptAt            float64                // time of the last sweep for idle objects
	endedIDs           map[RequestID]struct{} // of endedRequests
	endedRequests      []RequestID            // oldest first
	purges             map[purgeKey]float64   // time of the latest purge of each key
	purgesDroppedUntil float64

	slownessSamples   []float64 // slowness of recent completed or lost attempts, see attempt.slowness and maxSlowness
	usualSlowness     float64   // quantile of slownessSamples, 0 if they have changed since it was computed
	unansweredSamples []float64 // recent attempts slower than all slownessSamples, 1 if timed out or cancelled
	missSamples       []float64 // recent attempts that expected a miss, 1 for one that was filled
}

// New returns a router without endpoints. The seed determines its random numbers.
func New(seed uint64, settings Settings) *Router {
	return &Router{
		settings:        settings,
		randomState:     seed,
		numbers:         map[SettingName]float64{},
		classes:         map[ClassIndex]*class{},
		requests:        map[RequestID]*request{},
		requestsByToken: map[uint64]*request{},
		objects:         map[string]*object{},
		endedIDs:        map[RequestID]struct{}{},
		purges:          map[purgeKey]float64{},
		maxObjects:      maxObjects,
		maxPurges:       maxPurges,
	}
}

// Upper estimates of the memory in bytes for an object with one chunk that two caches have, and for a purge.
const (
	ObjectBytes = 768
	PurgeBytes  = 128
)

// LimitMemory lowers the numbers of objects, of chunks and of purges that the router remembers, if the given numbers
// are lower than the present ones. It must be called before the first event.
func (r *Router) LimitMemory(objects, purges int) {
	r.maxObjects = min(r.maxObjects, objects)
	r.maxPurges = min(r.maxPurges, purges)
}

// Decide handles one event at the time now, in seconds, and returns the actions to carry out in order. The slice is
// valid until the next call. Probe results have no effect.
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

// Parameters of the permuted congruential generator's LCG (PCG-XSH-RR, 64 bits of state).
const (
	randomMultiplier = 6364136223846793005
	randomIncrement  = 1442695040888963407
)

// nextRandom returns the next number of a permuted congruential generator, in the range [0, 1).
func (r *Router) nextRandom() float64 {
	old := r.randomState
	r.randomState = old*randomMultiplier + randomIncrement
	shifted := uint32((old>>18 ^ old) >> 27)
	rotation := uint32(old >> 59)
	return float64(shifted>>rotation|shifted<<(-rotation&31)) / (1 << 32)
}
