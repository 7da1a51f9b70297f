package upstream

import (
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// RefreshAddresses calls EndpointAddresses again for every endpoint.
func (p *Pool) RefreshAddresses() {
	for _, e := range p.endpoints {
		if !e.removed {
			p.updateAddresses(e)
		}
	}
}

// updateAddresses sets an endpoint's addresses from the endpoint list and from EndpointAddresses.
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
	if multiple := p.EndpointAddresses(e.listed); len(multiple) > 0 {
		addrs = multiple
	}
	p.AddressSelector.SetAddresses(clock.NowSeconds(), id, e.startedAt, addrs)
	e.hasMultipleAddrs = p.AddressSelector.HasAlternatives(id)
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

// isCurrent reports whether a connection still fits the endpoint list, so that CloseIdle does not close it as removed:
// its address is the endpoint's only one or, if there are several, it belongs to the endpoint's current process and its
// address is listed (even if in cooldown) or not known yet.
func (p *Pool) isCurrent(e *endpoint, c *Connection) bool {
	addr := c.dialedAddr()
	if !e.hasMultipleAddrs {
		return addr == e.listed.Address
	}
	if c.endpointStartedAt != e.startedAt {
		return false
	}
	_, usable := p.AddressSelector.Usable(clock.NowSeconds(), c.endpointID, address.Addr(addr), true)
	return usable || addr == "" || p.isListed(c.endpointID, address.Addr(addr))
}

// isListed reports whether an address is listed, even if it is in cooldown: connections over an address in cooldown may
// still finish their attempts.
func (p *Pool) isListed(endpointID routing.EndpointID, addr address.Addr) bool {
	for _, status := range p.AddressSelector.Status(clock.NowSeconds()) {
		if status.Endpoint == endpointID && status.Addr == addr {
			return true
		}
	}
	return false
}

// HandleEvent passes the results of dials and attempts to the address selector. The pool's owner calls it with each
// event.
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

// observeAttempt reports to the address selector what the end of an attempt reveals about its address.
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
	case routing.TimedOut, routing.Cancelled, routing.NotSent: // these results reveal nothing about the address
	}
}

// CheckAddresses finds connections on which an attempt waits without any input, and probes addresses whose cooldown has
// ended. It returns the attempts whose address is silent while their endpoint is reachable over another address, which
// has responded since the attempt was written or is usable now. Call it every few dozen milliseconds if endpoints have
// more than one address.
func (p *Pool) CheckAddresses(now clock.Instant) (stalled []*Attempt) {
	if p.AddressSelector == nil {
		return nil
	}
	for _, e := range p.connected {
		if e.hasMultipleAddrs {
			stalled = append(stalled, p.stalledAttempts(now, e)...)
		}
	}
	p.sendProbes(now)
	return stalled
}

// stalledAttempts returns the endpoint's attempts that wait at a silent address while the endpoint is reachable over
// another address (ReachableOverOtherAddress).
func (p *Pool) stalledAttempts(now clock.Instant, e *endpoint) (stalled []*Attempt) {
	for _, c := range e.connections {
		wait, addr, waiting := c.silentAttempts(now)
		if wait == 0 || !p.AddressSelector.MarkIfSilent(now.Seconds(), c.endpointID, addr, wait.Seconds()) {
			continue
		}
		p.Metrics.Inc(telemetry.ConnectionsSilent)
		for _, a := range waiting {
			sentAt := a.writtenAt.Seconds()
			if p.AddressSelector.ReachableOverOtherAddress(now.Seconds(), c.endpointID, addr, sentAt) {
				stalled = append(stalled, a)
			}
		}
	}
	return stalled
}

// sendProbes opens the connections that the address selector requests as probes.
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

// hasConnection reports whether an endpoint has a connection over an address.
func (p *Pool) hasConnection(endpointID routing.EndpointID, addr address.Addr) bool {
	e := p.endpoints[endpointID]
	if e == nil { // removed from the endpoint list while the selector still has it
		return false
	}
	for _, c := range e.connections {
		if c.dialedAddr() == string(addr) {
			return true
		}
	}
	return false
}
