package upstream

import (
	"cmp"
	"slices"

	"cairnfront/internal/clock"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// start starts an attempt on a connection to an endpoint. If a connection breaks or its input violates the protocol,
// all attempts on it end. Therefore each attempt gets its own connection while descriptors are available and, if the
// endpoint has several addresses, while it has fewer connections than MaxConnsPerEndpoint. It returns nil if no
// connection can be opened.
func (p *Pool) start(endpointID routing.EndpointID, a *Attempt, avoid []*Connection) *Attempt {
	e := p.endpoints[endpointID]
	if e == nil {
		return nil
	}
	if e.hasMultipleAddrs {
		return p.startOnMultipleAddresses(e, a, avoid)
	}
	return p.startOnSingleAddress(e, a, avoid)
}

// startOnSingleAddress starts an attempt at an endpoint with one address: on an idle connection if there is one,
// otherwise on a new connection, otherwise on the least loaded one.
func (p *Pool) startOnSingleAddress(e *endpoint, a *Attempt, avoid []*Connection) *Attempt {
	best, load := p.leastLoaded(e, avoid)
	if best != nil && load == 0 && best.add(a) {
		return a
	}
	if !p.Admission.AdmitEndpointConn(best == nil) {
		if best != nil && best.add(a) {
			return a
		}
		return nil
	}
	c := p.newConnection(e)
	c.addr = e.listed.Address
	c.add(a)
	p.run(e, c)
	return a
}

// leastLoaded returns the connection with the fewest open attempts that accepts another one, and its number of open
// attempts. It returns nil if there is none.
func (p *Pool) leastLoaded(e *endpoint, avoid []*Connection) (best *Connection, load int) {
	for _, c := range e.connections {
		open, shareable := p.shareableLoad(c, avoid)
		if shareable && c.dialedAddr() == e.listed.Address && (best == nil || open < load) {
			best, load = c, open
		}
	}
	return best, load
}

// candidate is a connection on which an attempt could be started.
type candidate struct {
	connection *Connection
	load       int // number of open attempts
	rank       int // rank of its address; 0 is the most preferred
}

// compare orders candidates: idle connections first, then by address rank, then by load.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(min(c.load, 1), min(other.load, 1)),
		cmp.Compare(c.rank, other.rank),
		cmp.Compare(c.load, other.load),
	)
}

// startOnMultipleAddresses starts an attempt at an endpoint with more than one address: on an idle connection over the
// best usable address if there is one, otherwise on a new connection, otherwise on a shared one.
func (p *Pool) startOnMultipleAddresses(e *endpoint, a *Attempt, avoid []*Connection) *Attempt {
	now := clock.NowSeconds()
	best := p.bestCandidate(now, e, a, avoid)
	if best.connection != nil && best.load == 0 && p.useConnection(now, best.connection, a) {
		return a
	}
	if !p.mayOpen(e, best.connection) {
		if best.connection != nil && p.useConnection(now, best.connection, a) {
			return a
		}
		return nil
	}
	c := p.newConnection(e)
	c.dialPlan = p.AddressSelector.Plan(now, e.listed.ID, a.isIdempotent)
	c.add(a)
	if len(c.dialPlan) > 0 && c.dialPlan[0].DelaySeconds == 0 {
		p.AddressSelector.AttemptSent(now, e.listed.ID, c.dialPlan[0].Addr)
	}
	p.run(e, c)
	return a
}

// mayOpen reports whether a connection to an endpoint with more than one address may be opened, and reserves its
// descriptor if so. Shareable is an existing connection that would accept the attempt, or nil.
//
// It guards against an endpoint that does not respond and gets one connection after another until no descriptors are
// left for other endpoints. Attempts to these endpoints would then not be sent.
func (p *Pool) mayOpen(e *endpoint, shareable *Connection) bool {
	atConnectionLimit := shareable != nil && len(e.connections) >= p.Admission.MaxConnsPerEndpoint()
	return !atConnectionLimit && p.Admission.AdmitEndpointConn(shareable == nil)
}

// bestCandidate returns the best existing connection for an attempt. The candidate's connection is nil if there is
// none.
func (p *Pool) bestCandidate(now float64, e *endpoint, a *Attempt, avoid []*Connection) (best candidate) {
	for _, c := range e.connections {
		load, shareable := p.shareableLoad(c, avoid)
		if !shareable || c.endpointStartedAt != e.startedAt {
			continue
		}
		rank, usable := p.addressRank(now, e, c, a.isIdempotent)
		next := candidate{connection: c, load: load, rank: rank}
		if usable && (best.connection == nil || next.compare(best) < 0) {
			best = next
		}
	}
	return best
}

// addressRank returns the rank of a connection's address and whether an attempt may use it. The address of a connection
// that is still being established is not known yet, and the attempt would have to wait for the dial. Its rank is
// therefore the number of the endpoint's connections: behind addresses with a lower rank, but not always behind all.
func (p *Pool) addressRank(now float64, e *endpoint, c *Connection, idempotent bool) (rank int, usable bool) {
	addr := c.dialedAddr()
	if addr == "" {
		return len(e.connections), true
	}
	return p.AddressSelector.Usable(now, e.listed.ID, address.Addr(addr), idempotent)
}

// shareableLoad returns the number of open attempts on a connection and whether another attempt may be started on it:
// the connection accepts attempts, is below the attempt limit, and has not carried an attempt of the same request.
// Attempts of one request share the request's id, so a late response to the earlier attempt would be mistaken for the
// response to the new one.
func (p *Pool) shareableLoad(c *Connection, avoid []*Connection) (load int, shareable bool) {
	load, available := c.load()
	return load, available && load < p.MaxAttemptsPerConnection && !slices.Contains(avoid, c)
}

// useConnection starts an attempt on an existing connection and notifies the address selector. It returns false if the
// connection does not accept the attempt.
func (p *Pool) useConnection(now float64, c *Connection, a *Attempt) bool {
	if !c.add(a) {
		return false
	}
	if addr := c.dialedAddr(); addr != "" {
		p.AddressSelector.AttemptSent(now, c.endpointID, address.Addr(addr))
	}
	return true
}

// newConnection returns a connection to an endpoint, which is not established yet.
func (p *Pool) newConnection(e *endpoint) *Connection {
	return &Connection{
		pool:              p,
		endpointID:        e.listed.ID,
		endpointStartedAt: e.startedAt,
		attempts:          map[string]*Attempt{},
		cancelled:         map[string]*Attempt{},
		writeSignal:       make(chan struct{}, 1),
	}
}

// run establishes and serves a connection in a goroutine of the pool, which Wait waits for. The caller has already
// reserved a descriptor for the connection.
func (p *Pool) run(e *endpoint, c *Connection) {
	e.connections = append(e.connections, c)
	p.connected[e.listed.ID] = e
	p.Metrics.ConnectionOpened(telemetry.SideEndpoint)
	p.group.Go(func() error {
		defer p.Admission.EndpointConnDone()
		c.run(p.ctx)
		return nil
	})
}
