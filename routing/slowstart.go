package routing

import "slices"

const (
	slowStartLimit = 2.0 // initial limit in slow start, in attempts in flight; a recovery ramp if below the threshold
	slowStartShare = 1.0 // used share of the capacity during slow start: a multiple of it overloads the endpoint
)

// workSample is the work of one attempt sent to an endpoint in slow start, in seconds of sending.
type workSample struct{ at, seconds float64 }

// startingLimit returns the initial limit of an endpoint with a current share of its capacity, given its limit at full
// capacity. Both limits are numbers of attempts in flight.
func startingLimit(fullLimit, capacityShare float64) float64 {
	if capacityShare < 1 {
		return slowStartLimit
	}
	return fullLimit
}

// capacityShare returns the share of its capacity that an endpoint is certain to have: it grows linearly from the
// initial share to 1 during the warm-up.
func (r *Router) capacityShare(e *endpoint) float64 {
	if e.StartedAt <= 0 || e.role == originServer {
		return 1
	}
	floor, warmUp := r.slowStartParameters(e)
	if warmUp <= 0 || r.now >= e.StartedAt+warmUp {
		return 1
	}
	return floor + (1-floor)*max(r.now-e.StartedAt, 0)/warmUp
}

// workOf returns the seconds of sending that an attempt counts as: the mean of its class, whatever its own size.
func (r *Router) workOf(req *request) float64 { return r.class(req.Class).meanSendSeconds() }

// recordSlowStartWork charges an attempt to its target, and a fill to a separate source, during their slow start.
func (r *Router) recordSlowStartWork(req *request, a *attempt) {
	r.chargeDuringSlowStart(req, a.target)
	if a.hasSource() && a.fill.expectsMiss() {
		r.chargeDuringSlowStart(req, a.source)
	}
}

// chargeDuringSlowStart charges an attempt of a request to an endpoint that is in slow start.
func (r *Router) chargeDuringSlowStart(req *request, e *endpoint) {
	if r.capacityShare(e) < 1 {
		e.recentWork = append(e.recentWork, workSample{at: r.now, seconds: r.workOf(req)})
	}
}

// withinSlowStartBudget reports whether an endpoint in slow start can take another attempt (rule 4). In any overload
// window, this router sends at most its even share of the endpoint's current capacity, where fills from the endpoint
// count as well as attempts at it. It guards against an endpoint that restarts, gets its usual load while its cache is
// cold and fails again, visible as repeated restarts in the endpoint list. The shares of all routers add up to at most
// the capacity, so the shares of idle routers are wasted.
func (r *Router) withinSlowStartBudget(req *request, e *endpoint) bool {
	warm, window := r.capacityShare(e), r.number(SettingOverloadWindow, 1)
	return warm >= 1 ||
		r.workOf(req)+e.workSince(r.now-window) <= slowStartShare*warm*e.Weight*window/e.routersSharing
}

// workSince returns the sum of the work sent to an endpoint after a time, and drops older samples.
func (e *endpoint) workSince(since float64) (seconds float64) {
	e.recentWork = slices.DeleteFunc(e.recentWork, func(s workSample) bool { return s.at <= since })
	for _, s := range e.recentWork {
		seconds += s.seconds
	}
	return seconds
}
