package telemetry

import "fmt"

// RequestReceived counts a received request and adds it to the open requests.
func (m *Metrics) RequestReceived(class string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[RequestsReceived.With(Class(class)).series]++
	m.values[RequestsOpen.series]++
}

// RequestAnswered counts the final response to an open request, by its result and reason.
func (m *Metrics) RequestAnswered(class string, result, reason fmt.Stringer) {
	m.requestEnded(RequestsAnswered.With(Class(class), result, reason))
}

// RequestCancelled counts an open request that was cancelled or whose client disconnected.
func (m *Metrics) RequestCancelled(class string, reason fmt.Stringer) {
	m.requestEnded(RequestsCancelled.With(Class(class), reason))
}

// requestEnded increments the counter of how a request ended, and removes the request from the open requests.
func (m *Metrics) requestEnded(end Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[end.series]++
	m.values[RequestsOpen.series]--
}
