package routing_test

import "cairnfront/routing"

// condition is the temporary behavior of an endpoint.
type condition int

const (
	healthy condition = iota
	failing
	overloaded
	slow
	silent
	refusingConnections
	conditionCount
)

// traceEndpoint is a simulated endpoint of the synthetic deployment.
type traceEndpoint struct {
	routing.Endpoint
	condition condition
	inFlight  int
	cached    map[string]bool
	order     []string // cached chunks, oldest first
}

// simulateAttempt returns the result of an attempt at its endpoint and its duration.
func (w *simulation) simulateAttempt(
	request *traceRequest, attempt *traceAttempt,
) (routing.AttemptResult, routing.ResultDetail, float64) {
	e := attempt.endpoint
	roundTrip := 0.001 + 0.004*w.random.Float64()
	transfer := (request.sizeKB/1000 + 0.01) * max(1, float64(e.inFlight)/max(e.Weight, 4))
	switch e.condition {
	case healthy, conditionCount:
	case failing:
		if w.random.IntN(5) > 0 {
			return routing.ServerError, routing.NoDetail, roundTrip
		}
	case overloaded:
		return routing.Overloaded, routing.NoDetail, roundTrip
	case slow:
		transfer *= 4
	case silent:
		return routing.TimedOut, routing.NoDetail, 0
	case refusingConnections:
		if w.random.IntN(2) == 0 {
			return routing.ConnectFailed, routing.NoDetail, roundTrip
		}
		return routing.ConnectionBroken, routing.NoDetail, transfer
	}
	if float64(e.inFlight) > 4*max(e.Weight, 4) {
		return routing.Overloaded, routing.NoDetail, roundTrip
	}
	if w.random.IntN(200) == 0 {
		return routing.NotSent, routing.NoDetail, 0
	}
	if e.Kind == 0 {
		return w.simulateCache(request, attempt, roundTrip, transfer)
	}
	return routing.Completed, w.reported(routing.CacheHit), roundTrip + 0.02 + transfer
}

// simulateCache returns the result of an attempt at a cache: an answer from the cache, or a fill from the source.
func (w *simulation) simulateCache(
	request *traceRequest, attempt *traceAttempt, roundTrip, transfer float64,
) (routing.AttemptResult, routing.ResultDetail, float64) {
	e, source := attempt.endpoint, attempt.source
	if e.cached[request.chunk] {
		if w.random.IntN(15) == 0 {
			return routing.Completed, w.reported(routing.StaleHit), roundTrip + transfer
		}
		return routing.Completed, w.reported(routing.CacheHit), roundTrip + transfer
	}
	if source == e || (attempt.CacheOnly && source.Kind == 0 && !source.cached[request.chunk]) {
		return routing.CacheMiss, routing.NoDetail, roundTrip
	}
	if attempt.CacheOnly && w.random.IntN(2) == 0 {
		return routing.Overloaded, w.reported(routing.SourceCacheMiss), roundTrip + 0.01
	}
	if result, detail, took, failed := w.sourceFailure(source); failed {
		return result, detail, took + roundTrip
	}
	if attempt.RetentionRank > 0 {
		e.store(request.chunk)
	}
	if source.condition == slow {
		transfer *= 5
	}
	details := []routing.ResultDetail{routing.Filled, routing.Filled, routing.FilledByOrigin, routing.JoinedFill}
	return routing.Completed, w.reported(details[w.random.IntN(len(details))]), roundTrip + 0.03 + 1.5*transfer
}

// sourceFailure returns the result of a failed fill at its source, and whether the fill fails.
func (w *simulation) sourceFailure(source *traceEndpoint) (routing.AttemptResult, routing.ResultDetail, float64, bool) {
	switch source.condition {
	case healthy, slow, conditionCount: // a slow source only takes longer
	case failing:
		return routing.ServerError, w.reported(routing.OriginFailed), 0.03, true
	case overloaded:
		return routing.Overloaded, w.reported(routing.SourceRefused), 0.02, true
	case silent:
		return routing.ServerError, w.reported(routing.SourceUnreachable), 0.25, true
	case refusingConnections:
		return routing.Overloaded, w.reported(routing.FillSlotsExhausted), 0.001, true
	}
	return 0, 0, 0, false
}

// reported returns a detail if the deployment reports it, otherwise NoDetail.
func (w *simulation) reported(detail routing.ResultDetail) routing.ResultDetail {
	switch w.scenario.settings[routing.SettingResultDetails] {
	case routing.DetailsOfAll:
		return detail
	case routing.DetailsOfHits:
		if detail <= routing.StaleHit {
			return detail
		}
	}
	return routing.NoDetail
}

func (e *traceEndpoint) store(chunk string) {
	e.cached[chunk] = true
	if e.order = append(e.order, chunk); len(e.order) > cachedChunks {
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
}
