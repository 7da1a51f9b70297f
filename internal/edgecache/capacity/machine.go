// Package machine plays a machine by numbers, without I/O: cores that work, a link that carries, a cold start. The
// laboratory's boxes are slowed down by it, so that what a real one bears shows on a loopback.
package capacity

const (
	mostQueue = 0.25 // s of work that may wait for the cores; over it a txn is turned away
	kilobyte  = 1024
)

// Numbers are what is played; zero values play nothing.
type Params struct {
	Cores, WorkSeconds float64 // Work: s of one core a txn
	LinkKBps           float64 // KB/s, shared by all answers in their order
	LatencySeconds     float64 // s before each answer
	ColdShare          float64 // of the cores at the start
	ColdSeconds        float64 // s until all are there
}

// Machine is one. Started is when it began, Unix s.
type Model struct {
	Params
	StartedAt float64

	core, link float64 // when each is free again
}

// Warmth is the share of its cores that it has.
func (m *Model) WarmShare(now float64) float64 {
	if m.ColdSeconds <= 0 || now >= m.StartedAt+m.ColdSeconds {
		return 1
	}
	return m.ColdShare + (1-m.ColdShare)*max(now-m.StartedAt, 0)/m.ColdSeconds
}

// Do takes a txn and says when its work is done, or that there is too much.
func (m *Model) Process(now float64) (done float64, ok bool) {
	if m.Cores <= 0 || m.Params.WorkSeconds <= 0 {
		return now, true
	}
	if m.core-now > mostQueue {
		return 0, false
	}
	m.core = max(m.core, now) + m.Params.WorkSeconds/(m.Cores*max(m.WarmShare(now), 0.01))
	return m.core, true
}

// Send says when an answer of so many bytes is out whose work is done at a time.
func (m *Model) Transmit(done float64, bytes int) float64 {
	if m.LinkKBps > 0 {
		m.link = max(m.link, done) + float64(bytes)/kilobyte/m.LinkKBps
		done = m.link
	}
	return done + m.LatencySeconds
}

// Busy is how full the cores' queue is, 0 to 1.
func (m *Model) Utilization(now float64) float64 { return min(max(m.core-now, 0)/mostQueue, 1) }
