package address

import (
	"slices"

	"cairnfront/routing"
)

const (
	// recentUseSeconds is how long after its last planned connection an endpoint has a second one.
	recentUseSeconds = 30.0

	// spareIntervalSeconds is the least time between two probes for a spare connection.
	spareIntervalSeconds = 5.0

	// minProbeIntervalSeconds is the least time between two probes of an address: that of its shortest cooldown.
	minProbeIntervalSeconds = firstCooldownSeconds

	// probeTimeoutSeconds is the time after which a probe whose end was not heard of does not keep back another one.
	probeTimeoutSeconds = maxCooldownSeconds
)

// Probe asks for a connection that carries no attempt: to see whether an address can be reached again, or to have a
// spare connection. HealthCheck asks for a health check on it, as a connection alone tells nothing of an address that
// accepts and stays silent.
type Probe struct {
	Endpoint    routing.EndpointID
	Addr        Addr
	HealthCheck bool
}

// DueProbes returns the probes that are due now, in the order of the endpoints' ids. Each is to be begun once;
// DialEnded or ResponseReceived ends it. HasConnection says whether there is an established connection over an
// address.
func (s *Selector) DueProbes(now float64, hasConnection func(id routing.EndpointID, addr Addr) bool) []Probe {
	s.advance(now)
	var probes []Probe
	for _, id := range s.ids() {
		e := s.endpoints[id]
		unused := s.now-e.lastPlanned >= recentUseSeconds
		if !e.hasAlternatives() || (unused && e.isHealthy()) { // most endpoints, most of the time
			continue
		}
		probes = append(probes, s.endpointProbes(id, e, hasConnection)...)
	}
	return probes
}

// endpointProbes returns the probes of one endpoint's addresses that are due now.
func (s *Selector) endpointProbes(id routing.EndpointID, e *endpoint,
	hasConnection func(id routing.EndpointID, addr Addr) bool,
) []Probe {
	var probes []Probe
	askAnother := e.inDoubt && s.HealthChecksAllowed
	e.inDoubt = false
	healthy := 0 // addresses of higher rank that are in use or get a spare connection
	for _, a := range e.byPreference() {
		if askAnother && a.condition == Healthy && !a.probing { // its response tells whether the endpoint is silent
			askAnother = false
			a.startProbe(s.now)
			probes = append(probes, Probe{Endpoint: id, Addr: a.Addr, HealthCheck: true})
			continue
		}
		if a.probedLately(s.now) {
			continue
		}
		switch {
		case a.condition == Disabled || a.inCooldown(s.now) || (a.condition == Silent && !s.HealthChecksAllowed):
		case a.condition != Healthy:
			a.startProbe(s.now)
			probes = append(probes, Probe{Endpoint: id, Addr: a.Addr, HealthCheck: a.condition == Silent})
		default:
			if healthy == 1 && s.needsSpare(e, a) && !hasConnection(id, a.Addr) {
				a.startProbe(s.now)
				probes = append(probes, Probe{Endpoint: id, Addr: a.Addr})
			}
			healthy++
		}
	}
	return probes
}

// needsSpare says whether it is time to see to a spare connection over the endpoint's second healthy address.
func (s *Selector) needsSpare(e *endpoint, second *address) bool {
	return s.now-e.lastPlanned < recentUseSeconds && s.now-second.probedAt >= spareIntervalSeconds
}

// startProbe notes that a probe of the address begins.
func (a *address) startProbe(now float64) {
	a.probing = true
	a.probedAt = now
}

// probedLately says whether the address was probed too lately, or is being probed.
func (a *address) probedLately(now float64) bool {
	sinceProbe := now - a.probedAt
	return sinceProbe < minProbeIntervalSeconds || (a.probing && sinceProbe < probeTimeoutSeconds)
}

// isHealthy says that nothing is held against any address.
func (e *endpoint) isHealthy() bool {
	return !slices.ContainsFunc(e.addresses, func(a *address) bool { return a.condition != Healthy })
}

// ids returns the endpoints' ids in order, sorted again only where an endpoint was added or removed.
func (s *Selector) ids() []routing.EndpointID {
	if len(s.sortedIDs) != len(s.endpoints) || s.idsChanged {
		s.sortedIDs = s.sortedIDs[:0]
		s.idsChanged = false
		for id := range s.endpoints {
			s.sortedIDs = append(s.sortedIDs, id)
		}
		slices.Sort(s.sortedIDs)
	}
	return s.sortedIDs
}
