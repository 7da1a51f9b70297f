package routing

// role is what an endpoint is to this router.
type role int

const (
	otherZone role = iota // an edge cache of another zone
	edgeCache             // of this zone
	parentCache
	originServer
)

// endpoint is what this router knows of an endpoint in the list.
type endpoint struct {
	Endpoint
	limiter              limiter
	role                 role
	listed               listing
	zonesAway            float64 // parent zones on the way to it
	routersSharing       float64 // number of routers that send to it
	retryBudgetExhausted bool
	removedAt            float64 // when the list first said so, 0 if it does not

	heardAt        []float64 // the last few times at which it was heard
	recentFailures []float64 // the last few results, 1 for a failure
	ejections      int       // since an answer at its proven limit or above
	ejectedUntil   float64
	suspectedUntil float64 // by other routers

	recentWork  []workSample // sent to it while it is cold
	cached      map[*chunk]*cachedChunk
	byGap       []*cachedChunk // largest gap first
	idleSeconds []float64      // idle times of chunks before they were missed, the last few
}

// recordHeard notes that an endpoint was heard: it answered, or an answer through it shows that it did.
func (e *endpoint) recordHeard(now float64) {
	e.heardAt = appendSample(e.heardAt, now, maxHeardTimes)
}

// lastHeardAt is when an endpoint was last heard, 0 for never.
func (e *endpoint) lastHeardAt() float64 {
	if len(e.heardAt) == 0 {
		return 0
	}
	return e.heardAt[len(e.heardAt)-1]
}

// quietFactor is how many times as long as the mean of the others an interval between answers is that tells of a
// pause in the traffic.
const quietFactor = 10.0

// heardIntervalSeconds is the mean time between the last few times that an endpoint was heard, and 0 if there are fewer
// than two. A pause in the traffic does not count, which shows once maxHeardTimes of them are known.
//
// It guards against an endpoint that hangs soon after a quiet time: with the pause counted, it would be silent only
// after several times the pause's share. That shows as requests that wait for their deadlines.
func (e *endpoint) heardIntervalSeconds() float64 {
	if len(e.heardAt) < 2 {
		return 0
	}
	sum, longest, count := e.lastHeardAt()-e.heardAt[0], 0.0, float64(len(e.heardAt)-1)
	for i, at := range e.heardAt[1:] {
		longest = max(longest, at-e.heardAt[i])
	}
	others := sum - longest
	if len(e.heardAt) == maxHeardTimes && longest*(count-1) > quietFactor*others {
		return others / (count - 1)
	}
	return sum / count
}
