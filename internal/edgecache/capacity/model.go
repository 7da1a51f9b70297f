// Package capacity models the limited capacity of a machine: cores that process requests, a link that transmits
// responses, and reduced capacity after a cold start. The lab uses it to slow down its edge caches, so that overload of
// a real machine can be reproduced on loopback.
//
// A model only computes when work would be done. It does no I/O, does not sleep and has no clock: every call passes in
// the current time in Unix seconds.
package capacity

const (
	// maxQueueSeconds is the limit on work queued for the cores, in seconds; above it requests are rejected.
	maxQueueSeconds = 0.25
	bytesPerKB      = 1024
	// minCoreShare avoids a division by zero if no core is available at a cold start.
	minCoreShare = 0.01
)

// Params are the parameters of a model. A parameter of zero disables the limit or delay that it sets.
type Params struct {
	Cores            float64
	WorkSeconds      float64 // time that each request uses one core
	LinkKBps         float64 // KB/s; responses are transmitted one after another
	LatencySeconds   float64 // added to each response
	InitialCoreShare float64 // fraction of the cores available at the start
	WarmUpSeconds    float64 // time after the start until all cores are available
}

// Model models the capacity of one machine. It is not safe for concurrent use.
type Model struct {
	Params
	StartedAt float64

	coresFreeAt float64
	linkFreeAt  float64
}

// AvailableCoreShare returns the fraction of the cores that is available, 0 to 1. It grows linearly after the start.
func (m *Model) AvailableCoreShare(now float64) float64 {
	if m.WarmUpSeconds <= 0 || now >= m.StartedAt+m.WarmUpSeconds {
		return 1
	}
	return m.InitialCoreShare + (1-m.InitialCoreShare)*max(now-m.StartedAt, 0)/m.WarmUpSeconds
}

// Process queues a request's work and returns when it will be done. accepted is false if too much work is queued, or if
// the work would end after the request's deadline: it is then refused before it uses a core for nothing.
func (m *Model) Process(now, deadline float64) (doneAt float64, accepted bool) {
	if m.Cores <= 0 || m.WorkSeconds <= 0 {
		return now, true
	}
	if m.coresFreeAt-now > maxQueueSeconds {
		return 0, false
	}
	doneAt = max(m.coresFreeAt, now) + m.WorkSeconds/(m.Cores*max(m.AvailableCoreShare(now), minCoreShare))
	if doneAt > deadline {
		return 0, false
	}
	m.coresFreeAt = doneAt
	return doneAt, true
}

// Transmit returns when a response of the given size, whose work is done at doneAt, will have been transmitted.
func (m *Model) Transmit(doneAt float64, bytes int) float64 {
	if m.LinkKBps > 0 {
		m.linkFreeAt = max(m.linkFreeAt, doneAt) + float64(bytes)/bytesPerKB/m.LinkKBps
		doneAt = m.linkFreeAt
	}
	return doneAt + m.LatencySeconds
}

// Utilization returns the fill level of the queue for the cores, 0 to 1.
func (m *Model) Utilization(now float64) float64 {
	return min(max(m.coresFreeAt-now, 0)/maxQueueSeconds, 1)
}
