package routing

import "slices"

// chunk is a part of an object that is cached and requested by itself.
type chunk struct {
	index             int
	averageGapSeconds float64 // s between requests, as of the last one
	lastRequestAt     float64
	requested         bool
	filledByParent    bool        // since its last purge
	holders           []*endpoint // caches of the zone that are known to have it, by id
}

// object is what is known of a requested object.
type object struct {
	id              string
	group           int
	chunks          []*chunk // by index
	lastRequestAt   float64
	caches, parents hashOrder
}

// limiter bounds what this router has in flight at an endpoint, on a link or on the path to the origin. The limit
// grows with answers in time, by one each up to what is proven, and shrinks with late and refused ones.
type limiter struct {
	limit       float64
	provenLimit float64 // limit in use when the last decrease ended
	inFlight    float64
	decreasedAt float64
	pausedUntil float64
	minLimit    float64
	growthStep  float64   // what an answer in time adds
	lateSamples []float64 // the last few answers, 1 for a late one
}

// workSample is work sent to a cold endpoint, in seconds of sending.
type workSample struct{ at, seconds float64 }

// role is what an endpoint is to this router.
type role int

const (
	otherZone role = iota // an edge cache of another zone
	edgeCache
	parentCache
	originServer
)

// strictness says which endpoints a request may use. Limits and cold budgets hold at each level; see usable.
type strictness int

const (
	untried    strictness = iota // not used by this request, and not ejected
	retryable                    // not failed for this request just now, and not ejected
	anyAllowed                   // as before; ejected ones too if there is no other
	strictnessLevels
)

// endpoint is what this router knows of an endpoint.
type endpoint struct {
	Endpoint
	limiter              limiter
	role                 role
	listed               listing
	zonesAway            float64
	routersSharing       float64   // routers that send to it
	heardAt              []float64 // times of the last few
	recentFailures       []float64 // the last few results, 1 for a failure
	ejectedUntil         float64
	removedAt            float64 // when the list first said so, 0 if it does not
	retryBudgetExhausted bool
	suspectedUntil       float64 // by other routers
	ejections            int     // since it last worked at its proven limit
	recentWork           []workSample
	cached               map[*chunk]*cachedChunk
	byGap                []*cachedChunk // largest gap first
	idleSeconds          []float64      // s, idle times of chunks before they were missed
}

// Router decides for one instance. Its zero value is of no use: see New.
type Router struct {
	settings             Settings
	randomState          uint64
	now                  float64
	actions              []Action
	numbers              map[SettingName]float64 // settings read as numbers
	classes              map[ClassIndex]*class
	endpoints            []*endpoint  // by id
	removed              []*endpoint  // of these, removed from the list and not forgotten
	caches               endpointList // of this zone
	parents              endpointList
	origins              endpointList
	zoneLink             limiter // the link into the zone
	requests             map[RequestID]*request
	requestsByToken      map[uint64]*request
	queue                []*request // highest priority a KB first
	sequence             uint64
	objects              map[string]*object
	sweptAt              float64
	purges               map[purgeKey]float64 // time of the newest of each
	purgesForgottenUntil float64
	slownessSamples      []float64 // the last durations over those after which attempts are suspected
	unansweredSamples    []float64 // the last attempts slower than any of those, 1 for one that was given up
	missSamples          []float64 // the last attempts expected to miss, 1 for one that was filled
}

// nextRandom is the next number of a permuted congruential generator, from 0 up to 1.
func (r *Router) nextRandom() float64 {
	old := r.randomState
	r.randomState = old*6364136223846793005 + 1442695040888963407
	shifted := uint32((old>>18 ^ old) >> 27)
	rotation := uint32(old >> 59)
	return float64(shifted>>rotation|shifted<<(-rotation&31)) / (1 << 32)
}

// workSince adds up what was sent to an endpoint after a time, and forgets the rest.
func (e *endpoint) workSince(since float64) (seconds float64) {
	e.recentWork = slices.DeleteFunc(e.recentWork, func(s workSample) bool { return s.at <= since })
	for _, s := range e.recentWork {
		seconds += s.seconds
	}
	return seconds
}

// greatestSlowness is that of the last attempts that had an answer, 1 at least.
func (r *Router) greatestSlowness() float64 {
	greatest := 1.0
	for _, slowness := range r.slownessSamples {
		greatest = max(greatest, slowness)
	}
	return greatest
}

func (e *endpoint) recordHeard(now float64) {
	e.heardAt = appendSample(e.heardAt, now, maxHeardTimes)
}

// lastHeardAt is the time of the last sign of life, 0 for none.
func (e *endpoint) lastHeardAt() float64 {
	if len(e.heardAt) == 0 {
		return 0
	}
	return e.heardAt[len(e.heardAt)-1]
}

// heardIntervalSeconds is the mean time between the last few signs of life, 0 if there are fewer than two.
func (e *endpoint) heardIntervalSeconds() float64 {
	if len(e.heardAt) < 2 {
		return 0
	}
	return (e.lastHeardAt() - e.heardAt[0]) / float64(len(e.heardAt)-1)
}

// appendSample appends to the last samples, of which it keeps a number at most.
func appendSample[S any](samples []S, sample S, most int) []S {
	if len(samples) >= most {
		samples = append(samples[:0], samples[len(samples)-most+1:]...)
	}
	return append(samples, sample)
}

// meanIfEnough is the mean of samples once there are so many of them.
func meanIfEnough(samples []float64, enough int, otherwise float64) float64 {
	if len(samples) < enough {
		return otherwise
	}
	return mean(samples)
}

func mean(samples []float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		sum += sample
	}
	return sum / float64(len(samples))
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
