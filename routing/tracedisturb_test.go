package routing_test

import (
	"fmt"

	"cairnfront/routing"
)

// changeCondition makes one endpoint misbehave; most endpoints recover soon.
func (w *simulation) changeCondition() {
	e := w.endpoints[w.random.IntN(len(w.endpoints))]
	e.condition = condition(w.random.IntN(int(conditionCount)))
	w.after(w.scenario.conditionSeconds+0.5+4*w.random.Float64(), func() { e.condition = healthy })
}

// sendRandomEvent sends one random event that does not concern a request.
func (w *simulation) sendRandomEvent() {
	e := w.endpoints[w.random.IntN(len(w.endpoints))]
	switch w.random.IntN(12) {
	case 0, 1:
		w.restart(e)
	case 2:
		w.drain(e)
	case 3:
		w.decide(routing.EndpointUpdate{Kind: routing.Snapshot, Endpoints: w.listed()})
	case 4:
		w.decide(routing.EndpointUpdate{Kind: routing.Unavailable})
	case 5, 6:
		w.observeHealth(e)
	case 7, 8:
		w.exhaustRetryBudget(e)
	case 9:
		w.decide(routing.Purge{AgeSeconds: w.random.Float64(), ObjectGroup: w.random.IntN(traceGroups)})
	case 10:
		object := fmt.Sprint("object-", w.random.IntN(traceObjects/8))
		w.decide(routing.Purge{AgeSeconds: w.random.Float64(), Object: object})
	case 11:
		w.sendUnknownEvents(e)
	}
}

// sendHealthObservation sends a health observation of a random endpoint.
func (w *simulation) sendHealthObservation() {
	w.observeHealth(w.endpoints[w.random.IntN(len(w.endpoints))])
}

func (w *simulation) observeHealth(e *traceEndpoint) {
	w.decide(routing.HealthObservation{
		Endpoint:     e.ID,
		Suspicion:    w.random.Float64(),
		ValidSeconds: 3 * w.random.Float64(),
	})
}

func (w *simulation) restart(e *traceEndpoint) {
	e.Status = routing.Ready
	e.StartedAt = w.now - 0.5*w.random.Float64()
	e.cached, e.order = map[string]bool{}, nil
	w.decide(routing.EndpointUpdate{Endpoints: []routing.Endpoint{e.Endpoint}})
}

func (w *simulation) drain(e *traceEndpoint) {
	e.Status = routing.Draining
	w.decide(routing.EndpointUpdate{Endpoints: []routing.Endpoint{e.Endpoint}})
	w.after(1, func() {
		e.Status = routing.Removed
		w.decide(routing.EndpointUpdate{Endpoints: []routing.Endpoint{e.Endpoint}})
	})
	w.after(2+2*w.random.Float64(), func() { w.restart(e) })
}

func (w *simulation) exhaustRetryBudget(e *traceEndpoint) {
	change := routing.RetryBudgetChanged{Class: routing.ClassIndex(w.random.IntN(traceClasses))}
	if w.random.IntN(2) == 0 {
		change.Endpoint = e.ID
	}
	w.decide(change)
	change.Available = true
	w.after(2*w.random.Float64(), func() { w.decide(change) })
}

// sendUnknownEvents sends events for requests, attempts and endpoints that the router does not know or ignores.
func (w *simulation) sendUnknownEvents(e *traceEndpoint) {
	w.decide(routing.ProbeResult{Endpoint: e.ID, Result: routing.Completed})
	w.decide(routing.AttemptEnded{Request: "unknown", Endpoint: e.ID})
	w.decide(routing.AttemptStalled{Request: "unknown"})
	w.decide(routing.HealthObservation{Endpoint: "unknown", Suspicion: 1, ValidSeconds: 1})
	w.decide(routing.RetryBudgetChanged{Endpoint: "unknown"})
	w.decide(routing.TimerFired{Token: 1 << 40})
}

// purgeMany sends more purges than the router remembers.
func (w *simulation) purgeMany() {
	for i := range w.scenario.purges {
		age := 2 - 2*float64(i)/float64(w.scenario.purges)
		w.decide(routing.Purge{AgeSeconds: age, Object: fmt.Sprint("purged-", i)})
	}
}
