package address

import (
	"slices"

	"cairnfront/routing"
)

const (
	// recentUseSeconds is how long an endpoint has a spare connection after a connection to it was last planned.
	recentUseSeconds = 30.0

	// spareIntervalSeconds is the minimum time between two probes that open a spare connection.
	spareIntervalSeconds = 5.0

	// minProbeIntervalSeconds is the minimum time between two probes of an address. It equals the shortest cooldown.
	minProbeIntervalSeconds = minCooldownSeconds

	// probeTimeoutSeconds is the time after which a probe whose result was never reported no longer prevents another
	// probe.
	probeTimeoutSeconds = maxCooldownSeconds
)

// Probe requests a connection without an attempt, either to check whether an address is reachable again or to open a
// spare connection. HealthCheck requests a health check on it, because a connection alone reveals nothing about an
// address that accepts connections and stays silent.
type Probe struct {
	Endpoint    routing.EndpointID
	Addr        Addr
	HealthCheck bool
}

// DueProbes returns the probes that are due now, ordered by endpoint id. The caller must start each of them at most
// once; DialEnded ends it. A probe that is not started, or whose dial is not reported to DialEnded, prevents another
// probe of its address for at least probeTimeoutSeconds. HasConnection reports whether a connection over an address is
// established.
func (s *Selector) DueProbes(now float64, hasConnection func(id routing.EndpointID, addr Addr) bool) []Probe {
	s.advance(now)
	var probes []Probe
	for _, id := range s.ids() {
		e := s.endpoints[id]
		unused := s.now-e.lastPlanned >= recentUseSeconds
		if !e.hasAlternatives() || (unused && e.allHealthy()) { // true for most endpoints most of the time
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
	checkOther := e.needsHealthCheck && s.HealthChecksAllowed
	e.needsHealthCheck = false
	healthy := 0 // number of higher-ranked healthy addresses, except those with a current or recent probe
	for _, a := range e.byPreference() {
		if checkOther && a.condition == Healthy && !a.probing { // a response shows that the endpoint is not silent
			checkOther = false
			a.startProbe(s.now)
			probes = append(probes, Probe{Endpoint: id, Addr: a.Addr, HealthCheck: true})
			continue
		}
		if a.probedRecently(s.now) {
			continue
		}
		switch {
		case a.condition == Disabled || a.inCooldown(s.now) || (a.condition == Silent && !s.HealthChecksAllowed):
		case a.condition != Healthy:
			a.startProbe(s.now)
			probes = append(probes, Probe{Endpoint: id, Addr: a.Addr, HealthCheck: a.condition == Silent})
		default:
			if healthy == 1 && s.needsSpareConnection(e, a) && !hasConnection(id, a.Addr) {
				a.startProbe(s.now)
				probes = append(probes, Probe{Endpoint: id, Addr: a.Addr})
			}
			healthy++
		}
	}
	return probes
}

// needsSpareConnection reports whether it is time to check for a spare connection over the endpoint's second healthy
// address.
func (s *Selector) needsSpareConnection(e *endpoint, second *address) bool {
	return s.now-e.lastPlanned < recentUseSeconds && s.now-second.probedAt >= spareIntervalSeconds
}

// startProbe records the start of a probe of the address.
func (a *address) startProbe(now float64) {
	a.probing = true
	a.probedAt = now
}

// probedRecently reports whether the address is being probed, or was probed less than the minimum interval ago.
func (a *address) probedRecently(now float64) bool {
	sinceProbe := now - a.probedAt
	return sinceProbe < minProbeIntervalSeconds || (a.probing && sinceProbe < probeTimeoutSeconds)
}

// allHealthy reports whether all addresses of the endpoint are healthy.
func (e *endpoint) allHealthy() bool {
	return !slices.ContainsFunc(e.addresses, func(a *address) bool { return a.condition != Healthy })
}

// ids returns the sorted endpoint ids. They are sorted again only after an endpoint was added or removed.
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
