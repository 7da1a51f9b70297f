package upstream

import (
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// RefreshAddresses asks EndpointAddresses anew for every endpoint.
func (p *Pool) RefreshAddresses() {
	for _, e := range p.endpoints {
		if !e.removed {
			p.updateAddresses(e)
		}
	}
}

// updateAddresses takes an endpoint's addresses from the endpoint list and from EndpointAddresses.
func (p *Pool) updateAddresses(e *endpoint) {
	id := e.listed.ID
	e.startedAt = e.listed.StartedAt
	if p.AddressSelector == nil {
		return
	}
	if e.removed {
		p.AddressSelector.RemoveEndpoint(id)
		return
	}
	addrs := []address.Addr{address.Addr(e.listed.Address)}
	if several := p.EndpointAddresses(e.listed); len(several) > 0 {
		addrs = several
	}
	p.AddressSelector.SetAddresses(clock.NowSeconds(), id, e.startedAt, addrs)
	e.hasSeveralAddrs = p.AddressSelector.HasAlternatives(id)
	listed := map[address.Addr]bool{}
	for _, addr := range addrs {
		listed[addr] = true
	}
	for _, c := range e.connections {
		if c.endpointStartedAt != e.startedAt {
			c.setListedAddrs(map[address.Addr]bool{})
		} else {
			c.setListedAddrs(listed)
		}
	}
}

// isCurrent says whether new attempts may still be started on a connection: it was made to the endpoint's present
// start, over an address that is listed.
func (p *Pool) isCurrent(e *endpoint, c *Connection) bool {
	addr := c.dialedAddr()
	if !e.hasSeveralAddrs {
		return addr == e.listed.Address
	}
	if c.endpointStartedAt != e.startedAt {
		return false
	}
	_, usable := p.AddressSelector.Usable(clock.NowSeconds(), c.endpointID, address.Addr(addr), true)
	return usable || addr == "" || p.isListed(c.endpointID, address.Addr(addr))
}

// isListed says whether an address is listed, also while it is in cooldown: the connections over it may end by
// themselves.
func (p *Pool) isListed(endpointID routing.EndpointID, addr address.Addr) bool {
	for _, status := range p.AddressSelector.Status(clock.NowSeconds()) {
		if status.Endpoint == endpointID && status.Addr == addr {
			return true
		}
	}
	return false
}

// HandleEvent tells the address selector what came of dials and attempts. The pool's owner calls it with each event.
func (p *Pool) HandleEvent(event Event) {
	if p.AddressSelector == nil {
		return
	}
	now := clock.NowSeconds()
	switch event := event.(type) {
	case DialEnded:
		if event.Result == address.DialInconclusive {
			return
		}
		p.AddressSelector.DialEnded(now, event.Endpoint, event.Addr, event.Result, event.Seconds)
	case AttemptEnded:
		p.observeAttempt(now, event)
	}
}

// observeAttempt tells the address selector what the end of an attempt says of the address.
func (p *Pool) observeAttempt(now float64, ended AttemptEnded) {
	c := ended.Attempt.connection
	addr := address.Addr(c.dialedAddr())
	if c.dialPlan == nil || addr == "" {
		return
	}
	switch ended.End.Result {
	case routing.Completed, routing.ServerError, routing.Overloaded, routing.CacheMiss:
		wait := clock.Now().Sub(ended.Attempt.writtenAt).Seconds()
		p.AddressSelector.ResponseReceived(now, c.endpointID, addr, wait)
	case routing.ConnectionBroken, routing.ConnectFailed:
		p.AddressSelector.ConnectionBroken(now, c.endpointID, addr)
	case routing.TimedOut, routing.Cancelled, routing.NotSent: // say nothing of the address
	}
}

// CheckAddresses finds connections on which an attempt waits in silence, and probes addresses whose cooldown is
// over. It returns the attempts whose address is silent while their endpoint responds over another one. It is to be
// called every few dozen milliseconds where endpoints have several addresses.
func (p *Pool) CheckAddresses(now clock.Instant) (stalled []*Attempt) {
	if p.AddressSelector == nil {
		return nil
	}
	for _, e := range p.connected {
		if e.hasSeveralAddrs {
			stalled = append(stalled, p.stalledAttempts(now, e)...)
		}
	}
	p.sendProbes(now)
	return stalled
}

// stalledAttempts returns an endpoint's attempts that wait at a silent address while it responds over another one.
func (p *Pool) stalledAttempts(now clock.Instant, e *endpoint) (stalled []*Attempt) {
	for _, c := range e.connections {
		wait, addr, waiting := c.silentWait(now)
		if wait == 0 || !p.AddressSelector.AwaitingResponse(now.Seconds(), c.endpointID, addr, wait.Seconds()) {
			continue
		}
		p.Metrics.Inc(telemetry.ConnectionsSilent)
		for _, a := range waiting {
			sentAt := a.writtenAt.Seconds()
			if p.AddressSelector.ReachableElsewhere(now.Seconds(), c.endpointID, addr, sentAt) {
				stalled = append(stalled, a)
			}
		}
	}
	return stalled
}

// sendProbes opens the connections that the address selector wants for probes.
func (p *Pool) sendProbes(now clock.Instant) {
	for _, probe := range p.AddressSelector.DueProbes(now.Seconds(), p.hasConnection) {
		e := p.endpoints[probe.Endpoint]
		if e == nil || !p.Admission.AdmitEndpointConn(false) {
			continue
		}
		p.Metrics.Inc(telemetry.AddressProbes)
		c := p.newConnection(e)
		c.dialPlan = []address.PlannedDial{{Addr: probe.Addr}}
		if probe.HealthCheck {
			c.add(p.newHealthCheck(cacheproto.AddressProbeIDPrefix, false))
		}
		p.run(e, c)
	}
}

// hasConnection says whether an endpoint has a connection over an address.
func (p *Pool) hasConnection(endpointID routing.EndpointID, addr address.Addr) bool {
	e := p.endpoints[endpointID]
	if e == nil { // left out of a list while the selector still knows it
		return false
	}
	for _, c := range e.connections {
		if c.dialedAddr() == string(addr) {
			return true
		}
	}
	return false
}
