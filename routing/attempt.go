package routing

import "math"

// attempt is one try of a request at an endpoint.
type attempt struct {
	target        *endpoint
	source        *endpoint  // who fills a miss; the target for nobody, as on the wire: see hasSource
	fillLimiters  []*limiter // of the paths behind the target
	originLimiter *limiter   // of an attempt that the origin probably gets
	expectedFills float64    // load at the fill limiters: how likely a fill is
	fill          fillPlan
	state         attemptState
	retentionRank int
	maxAgeSeconds float64
	sentAt        float64
	sendBefore    float64 // from when it may not be begun any more
	suspectAt     float64 // when it is suspected; +Inf once it was taken for lost, which makes its slowness 0
	endedAt       float64
	result        AttemptResult
	blame         blame
}

// attemptState is where an attempt is between its choice and its end. These are all transitions; attempt.move makes
// them and no other:
//
//	from       to         when
//	planned    awaited    it is sent
//	awaited    stalled    its connection is silent though its endpoint is not
//	awaited    lost       its endpoint is silent, or nothing as slow was answered of late
//	awaited    abandoned  likewise, and it must not stay in flight beside its successor
//	stalled    lost       it is reviewed
//	stalled    abandoned  it is reviewed, and it must not stay in flight beside its successor
//	awaited    cancelled  its request has ended
//	stalled    cancelled  its request has ended
//	lost       cancelled  its request has ended
//	abandoned  cancelled  at once, where attempts may be cancelled
//	awaited    ended      its end was heard
//	stalled    ended      its end was heard
//	lost       ended      its end was heard: an answer counts though it was not waited for
//	abandoned  ended      its end was heard, where attempts may not be cancelled
//	cancelled  ended      its end was heard: the cancel was carried out, or the answer was faster
type attemptState uint8

const (
	attemptPlanned   attemptState = iota // chosen and not sent yet
	attemptAwaited                       // sent; the request waits for its end
	attemptStalled                       // awaited, and to be taken for lost at the next review
	attemptLost                          // taken for lost and in flight; its answer still counts
	attemptAbandoned                     // taken for lost and in flight; it is to be cancelled
	attemptCancelled                     // cancelled and in flight until its end is heard
	attemptEnded                         // its end was heard
	attemptStateCount
)

// attemptTransitions has, by its state, the states that an attempt may take next.
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

// move takes an attempt to another state where the table has the transition, and says whether it did. An event that
// comes late, of an attempt that has ended or was given up meanwhile, asks for a transition that is not in the table.
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

// mayMove says whether the table has a transition from an attempt's state.
func (a *attempt) mayMove(to attemptState) bool { return attemptTransitions[a.state][to] }

// inFlight says whether an attempt was sent and its end was not heard.
func (s attemptState) inFlight() bool { return s != attemptPlanned && s != attemptEnded }

// inFlightNotLost says whether an attempt is in flight and was neither taken for lost nor cancelled. That includes a
// stalled one, which the next review takes for lost.
func (s attemptState) inFlightNotLost() bool { return s == attemptAwaited || s == attemptStalled }

// hasSource says whether an endpoint other than the target fills a miss.
func (a *attempt) hasSource() bool { return a.source != a.target }

// fillPlan is what an attempt does about a copy that its target lacks.
type fillPlan uint8

const (
	expectHit    fillPlan = iota // the target is known to have a copy; its source fills if not
	expectFill                   // the source, or a target that is no edge cache, fetches the chunk
	fillFromPeer                 // a peer cache gives what it has cached
	targetOnly                   // the target answers from its cache or not at all
	sourceOnly                   // the source, a parent, gives what it has cached
)

// missExpected says whether the target is thought to have no copy, so that what it sends comes from its source.
func (f fillPlan) missExpected() bool { return f == expectFill || f == fillFromPeer || f == sourceOnly }

// cacheOnly says whether an attempt must not use the path behind its target or its source because that is full.
func (f fillPlan) cacheOnly() bool { return f == targetOnly || f == sourceOnly }

// blame is whose fault an unexplained failure may be. It counts once another attempt of the request completes.
type blame uint8

const (
	noBlame blame = iota
	blameTarget
	blameTargetAndSource
)

// usedFunc tells whether an attempt has used an endpoint in one of its places.
type usedFunc func(*attempt, *endpoint) bool

func wasTarget(a *attempt, e *endpoint) bool { return a.target == e && !a.fill.cacheOnly() }

func wasSource(a *attempt, e *endpoint) bool {
	return a.source == e && a.fill != fillFromPeer && !a.fill.cacheOnly()
}

func isCacheOnly(a *attempt) bool { return a.fill.cacheOnly() }
func isFromPeer(a *attempt) bool  { return a.fill == fillFromPeer }
func isInFlight(a *attempt) bool  { return a.state.inFlight() }

// startAction is the action that starts an attempt of a request.
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
