// Package capacity models the capacity of a machine: cores that work, a link that carries responses, and a cold start.
// The lab slows its edge caches down with it, so that what a real machine bears shows on loopback.
//
// A model decides when work would be done. It does no I/O, does not sleep and has no clock: every call passes the time
// in, in Unix seconds.
package capacity

const (
	// maxQueueSeconds is the work that may wait for the cores; above it requests are rejected.
	maxQueueSeconds = 0.25
	bytesPerKB      = 1024
	// minWarmShare avoids a division by zero at a cold start without any core.
	minWarmShare = 0.01
)

// Params are the parameters of a model. What is zero is not modelled.
type Params struct {
	Cores          float64
	WorkSeconds    float64 // of one core for each request
	LinkKBps       float64 // KB/s, shared by all responses in their order
	LatencySeconds float64 // before each response
	ColdShare      float64 // share of the cores available at the start
	ColdSeconds    float64 // until all cores are available
}

// Model is the model of one machine. It is not safe for concurrent use.
type Model struct {
	Params
	StartedAt float64

	coresFreeAt float64
	linkFreeAt  float64
}

// WarmShare returns the share of the cores that is available.
func (m *Model) WarmShare(now float64) float64 {
	if m.ColdSeconds <= 0 || now >= m.StartedAt+m.ColdSeconds {
		return 1
	}
	return m.ColdShare + (1-m.ColdShare)*max(now-m.StartedAt, 0)/m.ColdSeconds
}

// Process takes a request and returns when its work is done; accepted is false if too much work waits.
func (m *Model) Process(now float64) (doneAt float64, accepted bool) {
	if m.Cores <= 0 || m.WorkSeconds <= 0 {
		return now, true
	}
	if m.coresFreeAt-now > maxQueueSeconds {
		return 0, false
	}
	m.coresFreeAt = max(m.coresFreeAt, now) + m.WorkSeconds/(m.Cores*max(m.WarmShare(now), minWarmShare))
	return m.coresFreeAt, true
}

// Transmit returns when a response of so many bytes is sent whose work is done at a time.
func (m *Model) Transmit(doneAt float64, bytes int) float64 {
	if m.LinkKBps > 0 {
		m.linkFreeAt = max(m.linkFreeAt, doneAt) + float64(bytes)/bytesPerKB/m.LinkKBps
		doneAt = m.linkFreeAt
	}
	return doneAt + m.LatencySeconds
}

// Utilization returns how full the queue for the cores is, 0 to 1.
func (m *Model) Utilization(now float64) float64 {
	return min(max(m.coresFreeAt-now, 0)/maxQueueSeconds, 1)
}
