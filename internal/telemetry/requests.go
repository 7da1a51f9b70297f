package telemetry

import "fmt"

// RequestReceived counts a request that is open from now on.
func (m *Metrics) RequestReceived(class string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[RequestsReceived.With(Class(class)).series]++
	m.values[RequestsOpen.series]++
}

// RequestAnswered counts the final response to an open request, which has a result for a reason.
func (m *Metrics) RequestAnswered(class string, result, reason fmt.Stringer) {
	m.requestEnded(RequestsAnswered.With(Class(class), result, reason))
}

// RequestCancelled counts an open request whose client stopped waiting.
func (m *Metrics) RequestCancelled(class string, reason fmt.Stringer) {
	m.requestEnded(RequestsCancelled.With(Class(class), reason))
}

// requestEnded counts a request that is not open any more by its kind of end.
func (m *Metrics) requestEnded(end Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[end.series]++
	m.values[RequestsOpen.series]--
}
