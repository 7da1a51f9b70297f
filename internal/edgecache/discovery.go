package edgecache

import (
	"strconv"
	"sync"

	"cairnfront/internal/clock"
	"cairnfront/internal/discovery"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/telemetry"
)

// validityTracker decides whether cached copies are still valid. The disk cache implements it; a server without a disk
// cache uses a memoryTracker.
type validityTracker interface {
	Evaluate(validity.Copy) validity.Verdict
	Epoch() uint16
	ResumeAfter() uint64
	Position() (number uint64, continuous bool)
	StreamOpened()
	Apply(validity.Event) (reconnect bool)
}

// Evaluate implements handler.Environment.
func (s *Server) Evaluate(c validity.Copy) validity.Verdict { return s.validity.Evaluate(c) }

// Epoch implements handler.Environment.
func (s *Server) Epoch() uint16 { return s.validity.Epoch() }

// OnDisk implements handler.Environment.
func (s *Server) OnDisk(key eviction.Key) bool { return s.Disk != nil && s.Disk.Contains(key) }

// startRevision returns the revision after which the discovery service is to send events. After a process start it is
// 0, which requests all events, because the endpoint list is not stored on disk. On a later reconnection it makes the
// service repeat the last applied event.
func (s *Server) startRevision() uint64 {
	s.validity.StreamOpened()
	if s.needEndpointSnapshot.Load() {
		return 0
	}
	return s.validity.ResumeAfter()
}

// handleDiscoveryEvent applies the endpoints and the purge of a discovery event.
func (s *Server) handleDiscoveryEvent(ev discovery.Event) error {
	if len(ev.Endpoints) > 0 {
		s.post(endpointsChanged{ev})
	}
	heartbeat := ev.Kind == discovery.Heartbeat
	if heartbeat {
		s.needEndpointSnapshot.Store(false)
	}
	if number, continuous := s.validity.Position(); !continuous && !heartbeat && ev.Revision < number {
		return nil // already applied before the process started; only its endpoints were needed
	}
	event := validityEvent(ev)
	if s.validity.Apply(event) { // the discovery service numbers its events from the start again
		s.Telemetry.Inc(telemetry.CacheDiscoveryRestarts)
		s.Telemetry.Log.Warn("discovery revisions restarted", "revision", ev.Revision)
		return discovery.ErrRevisionGap
	}
	if event.Purge {
		s.Telemetry.Inc(telemetry.CachePurges)
	}
	return nil
}

func validityEvent(ev discovery.Event) validity.Event {
	event := validity.Event{
		Number:    ev.Revision,
		Checksum:  ev.Checksum,
		Heartbeat: ev.Kind == discovery.Heartbeat,
		Purge:     ev.IsPurge(),
		ByGroup:   ev.Kind == discovery.PurgeGroup,
		Group:     uint16(ev.Purge.Group),
		PurgedAt:  int64(ev.Purge.PurgedAt*msPerSecond + 0.5),
	}
	if event.Purge && !event.ByGroup {
		event.Object, _ = strconv.ParseUint(ev.Purge.Object, 16, 64) // valid hex, set by the discovery decoder
	}
	return event
}

// memoryTracker is a validityTracker for a server without a disk cache. It is safe for concurrent use.
type memoryTracker struct {
	mu      sync.Mutex
	tracker *validity.Tracker
	now     func() clock.Instant
}

func newMemoryTracker(now func() clock.Instant) *memoryTracker {
	return &memoryTracker{tracker: validity.NewTracker(0), now: now}
}

func (m *memoryTracker) Evaluate(c validity.Copy) validity.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Evaluate(m.now().UnixMillis(), c)
}

func (m *memoryTracker) Epoch() uint16 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Epoch()
}

func (m *memoryTracker) ResumeAfter() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.ResumeAfter()
}

func (m *memoryTracker) Position() (number uint64, continuous bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Position()
}

func (m *memoryTracker) StreamOpened() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.StreamOpened()
}

func (m *memoryTracker) Apply(event validity.Event) (reconnect bool) {
	const anyCopy = 1 // memory may hold a copy that a missed purge affects, so a gap in the events matters
	m.mu.Lock()
	defer m.mu.Unlock()
	_, reconnect = m.tracker.Apply(m.now().UnixMillis(), anyCopy, event)
	return reconnect
}
