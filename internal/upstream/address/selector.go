// Package address decides over which address an endpoint is reached: in which order its addresses are dialed, when a
// second dial begins beside the first, when an address is in cooldown, when it is probed, and when it is used again.
// It keeps what an address did apart from what its endpoint did. It does no I/O and has no clock: every call says
// when it is, in monotonic seconds.
//
// It does not decide on attempts. An attempt is written on one connection, once; what is decided here is on which
// connection an attempt goes that is not written yet.
package address

import (
	"slices"

	"cairnfront/routing"
)

const (
	// defaultDialDelaySeconds lies between two dials where no connect time was measured. It is the recommended
	// delay of RFC 8305, section 5.
	defaultDialDelaySeconds = 0.25

	// minDialDelaySeconds is the least delay between two dials (RFC 8305, section 5).
	minDialDelaySeconds = 0.01

	// dialDelayFactor is how many usual connect times pass before the next dial begins: few dials take longer, so
	// second dials are rare.
	dialDelayFactor = 4.0

	// slowerFactor and slowerMarginSeconds say by how much an address has to connect slower than the
	// next one to be placed behind it. Smaller differences are noise.
	slowerFactor        = 2.0
	slowerMarginSeconds = 0.005
)

// Selector is the state of all endpoints' addresses. It is not safe for more than one goroutine.
type Selector struct {
	HealthChecksAllowed bool // the deployment allows health checks

	randomState uint64
	now         float64 // monotonic seconds, the latest time that a call gave
	endpoints   map[routing.EndpointID]*endpoint
	sortedIDs   []routing.EndpointID
	idsChanged  bool // sortedIDs are not those of the endpoints
}

// endpoint is an endpoint with its addresses in order of preference. One that was started again is another endpoint:
// nothing known carries over but the addresses' order.
type endpoint struct {
	startedAt   float64 // Unix seconds, as the endpoint list has it
	addresses   []*address
	lastPlanned float64 // monotonic seconds at which a connection to it was last planned
	inDoubt     bool    // an address fell silent, and it is not known whether the endpoint did
}

// address is what is known of one address.
type address struct {
	Addr
	condition           Condition
	changedAt           float64 // since when the condition holds, monotonic seconds
	cooldownUntil       float64 // monotonic seconds; it is not used for attempts before
	lastCooldownSeconds float64 // length of the latest one, 0 after it has been healthy for a while
	healthySince        float64 // monotonic seconds since when it has responded without a failure, 0 for not
	probedAt            float64 // monotonic seconds at which a probe last began
	probing             bool
	respondedAt         float64 // monotonic seconds at which a response last came
	inTrial             bool    // it is Silent, and an attempt was let through to see whether it responds

	connectSeconds   samples
	firstByteSeconds samples
}

// PlannedDial is one dial of a plan. It begins DelaySeconds after the plan does, or as soon as the one before it has
// failed.
type PlannedDial struct {
	Addr         Addr
	DelaySeconds float64
}

// New returns a selector without endpoints. The seed is that of the cooldowns' jitter.
func New(seed uint64) *Selector {
	return &Selector{randomState: seed, endpoints: map[routing.EndpointID]*endpoint{}}
}

// advance moves the clock on. A clock that jumps back is not followed.
func (s *Selector) advance(now float64) { s.now = max(s.now, now) }

// SetAddresses sets an endpoint's addresses, in any order. What is known of those that stay is retained, unless the
// endpoint was started again.
func (s *Selector) SetAddresses(now float64, id routing.EndpointID, startedAt float64, addrs []Addr) {
	s.advance(now)
	e := s.endpoints[id]
	if e == nil || e.startedAt != startedAt { // lastPlanned stays 0: an unused endpoint needs no second connection
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

// RemoveEndpoint forgets an endpoint.
func (s *Selector) RemoveEndpoint(id routing.EndpointID) {
	delete(s.endpoints, id)
	s.idsChanged = true
}

// HasAlternatives says whether an endpoint has more than one address. An only address has no cooldowns: its failures
// are the endpoint's.
func (s *Selector) HasAlternatives(id routing.EndpointID) bool {
	e := s.endpoints[id]
	return e != nil && e.hasAlternatives()
}

// hasAlternatives says whether the endpoint has more than one address.
func (e *endpoint) hasAlternatives() bool { return len(e.addresses) > 1 }

// Plan returns the addresses to dial for a new connection, in order. It is empty where all are in cooldown: then the
// endpoint counts as unreachable at once. An idempotent attempt may also try an address that was silent; others go
// only where responses came.
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

// dialDelay returns the seconds between a dial to an address with a usual connect time and the dial after it.
func dialDelay(usualConnect float64) float64 {
	if usualConnect == 0 {
		return defaultDialDelaySeconds
	}
	return min(max(dialDelayFactor*usualConnect, minDialDelaySeconds), defaultDialDelaySeconds)
}

// Usable says whether a new attempt may be written on a connection over an address, and the address's rank: 0 for the
// first choice, more for later ones.
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
	return 0, false // the address has left the list
}

// find returns the address, nil where the endpoint does not have it.
func (e *endpoint) find(addr Addr) *address {
	for _, a := range e.addresses {
		if a.Addr == addr {
			return a
		}
	}
	return nil
}

// byPreference returns the addresses in the order in which they are dialed: that of the families, but one that
// connects clearly slower goes behind the next.
func (e *endpoint) byPreference() []*address {
	ordered := slices.Clone(e.addresses)
	for i := 0; i+1 < len(ordered); i++ {
		if connectsSlower(ordered[i].connectSeconds.mean(), ordered[i+1].connectSeconds.mean()) {
			ordered[i], ordered[i+1] = ordered[i+1], ordered[i]
		}
	}
	return ordered
}

// connectsSlower says whether an address with a usual connect time is clearly slower than the next one; a time of 0 is
// not known.
func connectsSlower(seconds, nextSeconds float64) bool {
	known := seconds > 0 && nextSeconds > 0
	return known && seconds > slowerFactor*nextSeconds && seconds > nextSeconds+slowerMarginSeconds
}

// isUsable says whether a new attempt may go over the address. One idempotent attempt at a time tries a silent
// address whose cooldown is over: whether an attempt there has run is never known, so a request that must not run twice
// would be lost. After a dial that failed, a probe has to establish a connection first: no attempt waits for that.
func (a *address) isUsable(now float64, idempotent bool) bool {
	switch {
	case a.inCooldown(now):
		return false
	case a.condition == Silent:
		return idempotent && !a.inTrial
	}
	return a.condition == Healthy || a.condition == Broken
}
