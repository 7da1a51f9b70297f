// Package address selects the address used to connect to an endpoint. It determines the dial order of an endpoint's
// addresses, when a second dial starts concurrently with the first, when an address is in cooldown, when it is probed,
// and when it is used again. It tracks failures of an address separately from those of its endpoint. It does no I/O and
// has no clock: every call passes the current time in monotonic seconds.
//
// It makes no decisions about attempts. An attempt is written once, on one connection; this package only selects the
// connection for an attempt that is not written yet.
package address

import (
	"slices"

	"cairnfront/routing"
)

const (
	// defaultDialDelaySeconds is the delay between two dials if no connect time was measured. It is the delay
	// recommended by RFC 8305, section 5.
	defaultDialDelaySeconds = 0.25

	// minDialDelaySeconds is the minimum delay between two dials (RFC 8305, section 5).
	minDialDelaySeconds = 0.01

	// dialDelayFactor is the multiple of the mean connect time after which the next dial starts. Few dials take longer,
	// so second dials are rare.
	dialDelayFactor = 4.0

	// slowerFactor and slowerMarginSeconds define by how much an address must connect more slowly than the next one to
	// be ranked behind it. Smaller differences are noise.
	slowerFactor        = 2.0
	slowerMarginSeconds = 0.005
)

// Selector holds the state of all endpoints' addresses. It is not safe for concurrent use.
type Selector struct {
	HealthChecksAllowed bool // whether the deployment allows health checks

	randomState uint64
	now         float64 // monotonic seconds; the latest time passed by any call
	endpoints   map[routing.EndpointID]*endpoint
	sortedIDs   []routing.EndpointID
	idsChanged  bool // sortedIDs is out of date
}

// endpoint is an endpoint with its addresses, sorted by sortAddrs. A restarted endpoint is treated as a new one: no
// state of its addresses carries over.
type endpoint struct {
	startedAt        float64 // Unix seconds, from the endpoint list
	addresses        []*address
	lastPlanned      float64 // monotonic seconds at which a connection was last planned
	needsHealthCheck bool    // an address became silent, and it is unknown whether the endpoint is silent too
}

// address is the state of one address.
type address struct {
	Addr
	condition           Condition
	changedAt           float64 // monotonic seconds at which the condition was set
	cooldownUntil       float64 // monotonic seconds; not used for attempts before this time
	lastCooldownSeconds float64 // duration of the latest cooldown; 0 after a reset
	healthySince        float64 // monotonic seconds; start of responses without a failure, 0 if none
	probedAt            float64 // monotonic seconds at which the latest probe started
	probing             bool
	respondedAt         float64 // monotonic seconds at which the latest response arrived
	inTrial             bool    // Silent, and one attempt is testing whether it responds

	connectSeconds  samples
	responseSeconds samples // response times, as passed to ResponseReceived
}

// PlannedDial is one dial of a plan. It starts DelaySeconds after the plan does, or as soon as the previous dial has
// failed.
type PlannedDial struct {
	Addr         Addr
	DelaySeconds float64
}

// New returns a selector without endpoints. The seed initializes the random numbers for the cooldowns' jitter.
func New(seed uint64) *Selector {
	return &Selector{randomState: seed, endpoints: map[routing.EndpointID]*endpoint{}}
}

// advance moves the clock forward. A time before the current one is ignored.
func (s *Selector) advance(now float64) { s.now = max(s.now, now) }

// SetAddresses sets an endpoint's addresses, in any order. The state of addresses that remain is retained, unless the
// endpoint was restarted.
func (s *Selector) SetAddresses(now float64, id routing.EndpointID, startedAt float64, addrs []Addr) {
	s.advance(now)
	e := s.endpoints[id]
	if e == nil || e.startedAt != startedAt { // lastPlanned stays 0: an unused endpoint needs no spare connection
		e = &endpoint{startedAt: startedAt}
		s.endpoints[id] = e
		s.idsChanged = true
	}
	var next []*address
	for _, addr := range sortAddrs(addrs) {
		a := e.find(addr)
		if a == nil {
			a = &address{Addr: addr, changedAt: s.now}
		}
		next = append(next, a)
	}
	e.addresses = next
}

// RemoveEndpoint deletes an endpoint.
func (s *Selector) RemoveEndpoint(id routing.EndpointID) {
	delete(s.endpoints, id)
	s.idsChanged = true
}

// HasAlternatives reports whether an endpoint has more than one address. An endpoint's only address has no cooldowns:
// its failures are failures of the endpoint.
func (s *Selector) HasAlternatives(id routing.EndpointID) bool {
	e := s.endpoints[id]
	return e != nil && e.hasAlternatives()
}

// hasAlternatives reports whether the endpoint has more than one address.
func (e *endpoint) hasAlternatives() bool { return len(e.addresses) > 1 }

// Plan returns the addresses to dial for a new connection, in order. It is empty if the endpoint has several addresses
// and none is usable, as when all are in cooldown; the endpoint then counts as unreachable immediately. An idempotent
// attempt may also test a silent address whose cooldown has ended. Other attempts use no silent address.
func (s *Selector) Plan(now float64, id routing.EndpointID, idempotent bool) []PlannedDial {
	s.advance(now)
	e := s.endpoints[id]
	if e == nil {
		return nil
	}
	e.lastPlanned = s.now
	var plan []PlannedDial
	delay, usualConnect := 0.0, 0.0
	for _, a := range e.byPreference() {
		if e.hasAlternatives() && !a.isUsable(s.now, idempotent) {
			continue
		}
		if len(plan) > 0 {
			delay += dialDelay(usualConnect)
		}
		usualConnect = a.connectSeconds.mean()
		plan = append(plan, PlannedDial{Addr: a.Addr, DelaySeconds: delay})
	}
	return plan
}

// dialDelay returns the seconds between a dial to an address with the given mean connect time and the next dial.
func dialDelay(usualConnect float64) float64 {
	if usualConnect == 0 {
		return defaultDialDelaySeconds
	}
	return min(max(dialDelayFactor*usualConnect, minDialDelaySeconds), defaultDialDelaySeconds)
}

// Usable reports whether a new attempt may be written on a connection over an address, and returns the rank of the
// address: 0 for the most preferred one, higher for others.
func (s *Selector) Usable(now float64, id routing.EndpointID, addr Addr, idempotent bool) (rank int, ok bool) {
	s.advance(now)
	e := s.endpoints[id]
	if e == nil {
		return 0, false
	}
	for i, a := range e.byPreference() {
		if a.Addr == addr {
			return i, !e.hasAlternatives() || a.isUsable(s.now, idempotent)
		}
	}
	return 0, false // the address is no longer listed
}

// find returns the address, or nil if the endpoint does not have it.
func (e *endpoint) find(addr Addr) *address {
	for _, a := range e.addresses {
		if a.Addr == addr {
			return a
		}
	}
	return nil
}

// byPreference returns the addresses in dial order: by family, except that an address which connects clearly more
// slowly is placed behind the next one.
func (e *endpoint) byPreference() []*address {
	ordered := slices.Clone(e.addresses)
	for i := 0; i+1 < len(ordered); i++ {
		if connectsSlower(ordered[i].connectSeconds.mean(), ordered[i+1].connectSeconds.mean()) {
			ordered[i], ordered[i+1] = ordered[i+1], ordered[i]
		}
	}
	return ordered
}

// connectsSlower reports whether an address with the given mean connect time is clearly slower than the next one. A
// time of 0 means unknown.
func connectsSlower(seconds, nextSeconds float64) bool {
	known := seconds > 0 && nextSeconds > 0
	return known && seconds > slowerFactor*nextSeconds && seconds > nextSeconds+slowerMarginSeconds
}

// isUsable reports whether a new attempt may use the address. A silent address whose cooldown has ended is tested with
// one idempotent attempt at a time: it stays unknown whether an attempt there has run, so a request that must not run
// twice would be lost. After a failed dial, a probe must establish a connection first, so that no attempt waits for it.
func (a *address) isUsable(now float64, idempotent bool) bool {
	switch {
	case a.inCooldown(now):
		return false
	case a.condition == Silent:
		return idempotent && !a.inTrial
	}
	return a.condition == Healthy || a.condition == Broken
}
