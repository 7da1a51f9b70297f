package routing

import "math"

// attempt is one attempt to serve a request at an endpoint.
type attempt struct {
	target        *endpoint
	source        *endpoint  // endpoint that fills a cache miss; equal to target if there is none, see hasSource
	fillLimiters  []*limiter // limiters of the fill path behind the target
	originLimiter *limiter   // limiter of the origin, set if the fill probably reaches it
	expectedFills float64    // load at the fill limiters: the probability of a fill
	fill          fillPlan
	state         attemptState
	retentionRank int
	maxAgeSeconds float64
	sentAt        float64
	sendBefore    float64 // the attempt must not be sent at or after this time
	suspectAt     float64 // when the attempt becomes suspected; +Inf once lost, which makes its slowness 0
	endedAt       float64
	result        AttemptResult
	possibleFault possibleFault
}

// attemptState is the state of an attempt between its selection and its end. The table lists all transitions; only
// attempt.move makes them:
//
//	from       to         when
//	planned    awaited    the attempt is sent
//	awaited    stalled    the connection is silent while the endpoint responds on others
//	awaited    lost       the endpoint is unresponsive, or recent attempts as slow as this one got no answer
//	awaited    abandoned  as for lost, and the attempt must not stay in flight beside a retry
//	stalled    lost       the attempt is reviewed
//	stalled    abandoned  the attempt is reviewed, and must not stay in flight beside a retry
//	awaited    cancelled  the request has ended
//	stalled    cancelled  the request has ended
//	lost       cancelled  the request has ended
//	abandoned  cancelled  immediately, if cancellation is allowed
//	awaited    ended      the AttemptEnded event arrives
//	stalled    ended      the AttemptEnded event arrives
//	lost       ended      the AttemptEnded event arrives: a late answer still completes the request
//	abandoned  ended      the AttemptEnded event arrives, if cancellation is not allowed
//	cancelled  ended      the AttemptEnded event arrives: cancelled, or answered before the cancel took effect
type attemptState uint8

const (
	attemptPlanned   attemptState = iota // selected and not sent yet
	attemptAwaited                       // sent; the request waits for its result
	attemptStalled                       // connection stalled; the next review marks it lost or abandoned
	attemptLost                          // presumed lost and in flight; an answer still counts
	attemptAbandoned                     // presumed lost and in flight; to be cancelled
	attemptCancelled                     // cancelled and in flight until its AttemptEnded event
	attemptEnded                         // the AttemptEnded event has arrived
	attemptStateCount
)

// attemptTransitions[from][to] reports whether an attempt may move between the two states.
var attemptTransitions = [attemptStateCount][attemptStateCount]bool{
	attemptPlanned: {attemptAwaited: true},
	attemptAwaited: {
		attemptStalled: true, attemptLost: true, attemptAbandoned: true, attemptCancelled: true, attemptEnded: true,
	},
	attemptStalled:   {attemptLost: true, attemptAbandoned: true, attemptCancelled: true, attemptEnded: true},
	attemptLost:      {attemptCancelled: true, attemptEnded: true},
	attemptAbandoned: {attemptCancelled: true, attemptEnded: true},
	attemptCancelled: {attemptEnded: true},
}

// move sets the state of an attempt if the table allows the transition, and reports whether it did. A late event,
// such as AttemptStalled for an attempt that is lost, abandoned, cancelled or ended, requests a transition that is not
// in the table.
func (a *attempt) move(to attemptState) bool {
	if !a.mayMove(to) {
		return false
	}
	a.state = to
	if to == attemptLost || to == attemptAbandoned {
		a.suspectAt = math.Inf(1)
	}
	return true
}

// mayMove reports whether the table allows a transition from the current state.
func (a *attempt) mayMove(to attemptState) bool { return attemptTransitions[a.state][to] }

// inFlight reports whether an attempt was sent and has not ended.
func (s attemptState) inFlight() bool { return s != attemptPlanned && s != attemptEnded }

// inFlightNotLost reports whether an attempt is in flight and neither presumed lost nor cancelled. This includes a
// stalled attempt, which the next review marks lost.
func (s attemptState) inFlightNotLost() bool { return s == attemptAwaited || s == attemptStalled }

// hasSource reports whether an endpoint other than the target fills a cache miss.
func (a *attempt) hasSource() bool { return a.source != a.target }

// fillPlan is how an attempt obtains a chunk that its target may not have cached.
type fillPlan uint8

const (
	hitExpected     fillPlan = iota // the target is known to have a copy; the source fills on a miss
	fillExpected                    // the source fills, or a target that is not an edge cache serves the chunk
	fillFromPeer                    // a peer cache serves the chunk from its cache
	targetCacheOnly                 // the target serves the chunk from its cache only, without a fill
	sourceCacheOnly                 // the source, a parent cache, serves the chunk from its cache only
)

// expectsMiss reports whether the target is expected to have no copy, so that the source serves the chunk.
func (f fillPlan) expectsMiss() bool {
	return f == fillExpected || f == fillFromPeer || f == sourceCacheOnly
}

// cacheOnly reports whether an attempt must not fill past its target or its source, because the path behind is at its
// limit or the target has no usable source.
func (f fillPlan) cacheOnly() bool { return f == targetCacheOnly || f == sourceCacheOnly }

// possibleFault is the set of endpoints that may have caused an unexplained failure. The failure counts against them
// once another attempt of the request completes.
type possibleFault uint8

const (
	noFault possibleFault = iota
	targetFault
	targetAndSourceFault
)

// usedFunc reports whether an attempt has used an endpoint in a given role, as target or as source.
type usedFunc func(*attempt, *endpoint) bool

func usedAsTarget(a *attempt, e *endpoint) bool { return a.target == e && !a.fill.cacheOnly() }

func usedAsSource(a *attempt, e *endpoint) bool {
	return a.source == e && a.fill != fillFromPeer && !a.fill.cacheOnly()
}

func isCacheOnly(a *attempt) bool { return a.fill.cacheOnly() }
func isFromPeer(a *attempt) bool  { return a.fill == fillFromPeer }
func isInFlight(a *attempt) bool  { return a.state.inFlight() }

// startAction returns the action that starts an attempt of a request.
func (a *attempt) startAction(req *request, join, revalidate bool) StartAttempt {
	return StartAttempt{
		Request:       req.Request,
		Endpoint:      a.target.ID,
		Deadline:      req.Deadline,
		SendBefore:    a.sendBefore,
		Source:        a.source.ID,
		RetentionRank: a.retentionRank,
		MaxAgeSeconds: a.maxAgeSeconds,
		JoinFill:      join,
		CacheOnly:     a.fill == fillFromPeer || a.fill.cacheOnly(),
		Revalidate:    revalidate,
	}
}
