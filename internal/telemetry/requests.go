package telemetry

// RequestReceived counts a request that is open from now on.
func (m *Metrics) RequestReceived(class string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[RequestsReceived]++
	m.values[RequestsReceivedByClass.With(class)]++
	m.values[RequestsOpen]++
}

// RequestAnswered counts the final response to an open request.
func (m *Metrics) RequestAnswered(class, code, reason string) {
	m.requestEnded(RequestsAnswered, RequestsAnsweredByCode.With(class, code, reason))
}

// RequestCancelled counts an open request whose client does not wait any more.
func (m *Metrics) RequestCancelled(class, reason string) {
	m.requestEnded(RequestsCancelled, RequestsCancelledByClass.With(class, reason))
}

// requestEnded counts a request that is not open any more, in total and by its kind of end.
func (m *Metrics) requestEnded(total, byKind Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[total]++
	m.values[byKind]++
	m.values[RequestsOpen]--
}
