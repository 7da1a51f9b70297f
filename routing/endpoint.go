package routing

// role is the role of an endpoint relative to this router.
type role int

const (
	otherZone role = iota // edge cache of another zone
	edgeCache             // edge cache of this zone
	parentCache
	originServer
)

// endpoint is the state that this router tracks for an endpoint of the list.
type endpoint struct {
	Endpoint
	limiter              limiter
	role                 role
	listed               listEntry
	zonesAway            float64 // ring distance of a parent cache from this zone's parent zone; 0 for other endpoints
	routersSharing       float64 // number of routers that send attempts to it
	retryBudgetExhausted bool
	removedAt            float64 // time of its removal from the list, 0 if listed

	respondedAt    []float64 // times of recent responses
	failureSamples []float64 // recent results, 1 for a failure
	ejections      int       // ejections since the last success outside of a recovery ramp
	ejectedUntil   float64
	suspectedUntil float64 // end of the suspicion reported by other routers

	recentWork  []workSample // work sent to it during slow start
	cached      map[*chunk]*cachedChunk
	byGap       []*cachedChunk // sorted by request gap, largest first
	idleSeconds []float64      // recent idle times of chunks before they were evicted
}

// recordResponse records a response of an endpoint: its own answer, or an answer through a cache that used it as
// source.
func (e *endpoint) recordResponse(now float64) {
	e.respondedAt = appendSample(e.respondedAt, now, maxResponseSamples)
}

// lastResponseAt returns the time of the last response of an endpoint, 0 if there was none.
func (e *endpoint) lastResponseAt() float64 {
	if len(e.respondedAt) == 0 {
		return 0
	}
	return e.respondedAt[len(e.respondedAt)-1]
}

// trafficPauseFactor is the ratio of an interval between responses to the mean of the others above which the interval
// is a pause in the traffic.
const trafficPauseFactor = 10.0

// responseIntervalSeconds returns the mean interval between the recent responses of an endpoint, 0 for fewer than two
// responses. The longest interval is excluded if it is a pause in the traffic, which is determined once
// maxResponseSamples responses are known.
//
// Excluding it guards against an endpoint that hangs soon after a pause in the traffic: with the pause included, the
// endpoint would be found unresponsive only after several times the mean, and requests would wait for their deadlines.
func (e *endpoint) responseIntervalSeconds() float64 {
	if len(e.respondedAt) < 2 {
		return 0
	}
	sum, longest, count := e.lastResponseAt()-e.respondedAt[0], 0.0, float64(len(e.respondedAt)-1)
	for i, at := range e.respondedAt[1:] {
		longest = max(longest, at-e.respondedAt[i])
	}
	others := sum - longest
	if len(e.respondedAt) == maxResponseSamples && longest*(count-1) > trafficPauseFactor*others {
		return others / (count - 1)
	}
	return sum / count
}
