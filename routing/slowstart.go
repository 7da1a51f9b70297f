package routing

import "slices"

const (
	coldLimit       = 2.0 // attempts in flight at an endpoint that has just started, in a recovery ramp
	coldBudgetShare = 1.0 // share of a cold endpoint's capacity that is used: a multiple of it brings it down
)

// workSample is work sent to a cold endpoint at a time, in seconds of sending.
type workSample struct{ at, seconds float64 }

// startingLimit is the limit of an endpoint that starts with some share of its capacity, given the limit that it has
// once it is warm. Both are numbers of attempts in flight.
func startingLimit(warmLimit, warmShare float64) float64 {
	if warmShare < 1 {
		return coldLimit
	}
	return warmLimit
}

// warmShare is the share of its capacity that an endpoint surely has: linear from the cold share to 1.
func (r *Router) warmShare(e *endpoint) float64 {
	if e.StartedAt <= 0 || e.role == originServer {
		return 1
	}
	floor, warmUp := r.coldCapacity(e)
	if warmUp <= 0 || r.now >= e.StartedAt+warmUp {
		return 1
	}
	return floor + (1-floor)*max(r.now-e.StartedAt, 0)/warmUp
}

// workOf is the seconds of sending that an attempt counts for: its class's mean, at a parent its own if more.
func (r *Router) workOf(req *request, e *endpoint) float64 {
	class := r.class(req.Class)
	usual := meanIfEnough(class.sendSecondsSamples, minSendSamples, max(req.sendSeconds, class.objectiveSeconds))
	if e.role == parentCache {
		return max(usual, req.sendSeconds)
	}
	return usual
}

// recordColdWork charges an attempt to its target, and a fill to the source that it has beside, while they are cold.
func (r *Router) recordColdWork(req *request, a *attempt) {
	r.chargeWhileCold(req, a.target)
	if a.hasSource() && a.fill.missExpected() {
		r.chargeWhileCold(req, a.source)
	}
}

// chargeWhileCold charges an attempt of a request to an endpoint if that is cold.
func (r *Router) chargeWhileCold(req *request, e *endpoint) {
	if r.warmShare(e) < 1 {
		e.recentWork = append(e.recentWork, workSample{at: r.now, seconds: r.workOf(req, e)})
	}
}

// withinColdBudget protects cold endpoints (rule 4): in any window this router sends no more than its even share of
// what a cache, or a parent with its fills, can do then. It guards against an endpoint that starts, is sent its usual
// load while it is cold and goes down again, which shows as repeated starts in the endpoint list. The shares of all
// routers together stay within the capacity, which is wasted where other routers are idle.
func (r *Router) withinColdBudget(req *request, e *endpoint) bool {
	warm, window := r.warmShare(e), r.number(SettingOverloadWindow, 1)
	return warm >= 1 ||
		r.workOf(req, e)+e.workSince(r.now-window) <= coldBudgetShare*warm*e.Weight*window/e.routersSharing
}

// workSince adds up what was sent to an endpoint after a time, and forgets the rest.
func (e *endpoint) workSince(since float64) (seconds float64) {
	e.recentWork = slices.DeleteFunc(e.recentWork, func(s workSample) bool { return s.at <= since })
	for _, s := range e.recentWork {
		seconds += s.seconds
	}
	return seconds
}
