package upstream

import (
	"cmp"
	"slices"

	"cairnfront/internal/clock"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// start starts an attempt on a connection to an endpoint. A connection that breaks, or whose input breaks the
// protocol, ends all attempts on it: while descriptors allow, each attempt has a connection to itself. Start returns
// nil where no connection may be made.
func (p *Pool) start(endpointID routing.EndpointID, a *Attempt, avoid []*Connection) *Attempt {
	e := p.endpoints[endpointID]
	if e == nil {
		return nil
	}
	if e.hasSeveralAddrs {
		return p.startOverBestAddress(e, a, avoid)
	}
	return p.startOverOnlyAddress(e, a, avoid)
}

// startOverOnlyAddress starts an attempt at an endpoint with one address: on an idle connection, else on a new one,
// else on the least loaded one.
func (p *Pool) startOverOnlyAddress(e *endpoint, a *Attempt, avoid []*Connection) *Attempt {
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

// leastLoaded returns the connection with the fewest open attempts that takes more, and how many are open on it; nil
// where there is none.
func (p *Pool) leastLoaded(e *endpoint, avoid []*Connection) (best *Connection, load int) {
	for _, c := range e.connections {
		open, shareable := p.shareableLoad(c, avoid)
		if shareable && c.dialedAddr() == e.listed.Address && (best == nil || open < load) {
			best, load = c, open
		}
	}
	return best, load
}

// candidate is a connection on which an attempt may be started.
type candidate struct {
	connection *Connection
	load       int // open attempts
	rank       int // of its address, 0 for the first choice
}

// compare orders candidates: idle ones first, then by their address, then by their load.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(min(c.load, 1), min(other.load, 1)),
		cmp.Compare(c.rank, other.rank),
		cmp.Compare(c.load, other.load),
	)
}

// startOverBestAddress starts an attempt at an endpoint with several addresses: on an idle connection over the best
// address that may be used, else on a new connection, else on one that is shared.
func (p *Pool) startOverBestAddress(e *endpoint, a *Attempt, avoid []*Connection) *Attempt {
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

// mayOpen says whether a connection to an endpoint with several addresses may be opened, and holds its descriptor if
// so. Shareable is a connection that would take the attempt, nil for none.
//
// It guards against an endpoint that does not answer and so gets one connection after another until none is left for
// the other endpoints. That shows as attempts to these that are not sent.
func (p *Pool) mayOpen(e *endpoint, shareable *Connection) bool {
	hasItsShare := shareable != nil && len(e.connections) >= p.Admission.MaxConnsPerEndpoint()
	return !hasItsShare && p.Admission.AdmitEndpointConn(shareable == nil)
}

// bestCandidate returns the best connection for an attempt; its connection is nil where there is none.
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

// addressRank returns the rank of a connection's address, and whether an attempt may go over it. A connection that is
// not established yet comes behind all that are: its address is not known, and the attempt would wait for the dial.
func (p *Pool) addressRank(now float64, e *endpoint, c *Connection, idempotent bool) (rank int, usable bool) {
	addr := c.dialedAddr()
	if addr == "" {
		return len(e.connections), true
	}
	return p.AddressSelector.Usable(now, e.listed.ID, address.Addr(addr), idempotent)
}

// shareableLoad returns how many attempts are open on a connection, and whether another one may be started there: the
// connection takes more, its number of attempts is below the limit, and the request has had no attempt on it. A late
// response to such an earlier attempt would be taken for that to the new one, as both have the request's id.
func (p *Pool) shareableLoad(c *Connection, avoid []*Connection) (load int, shareable bool) {
	load, available := c.load()
	return load, available && load < p.MaxAttemptsPerConnection && !slices.Contains(avoid, c)
}

// useConnection starts an attempt on a connection that exists and tells the address selector of it. It returns false
// where the connection takes none.
func (p *Pool) useConnection(now float64, c *Connection, a *Attempt) bool {
	if !c.add(a) {
		return false
	}
	if addr := c.dialedAddr(); addr != "" {
		p.AddressSelector.AttemptSent(now, c.endpointID, address.Addr(addr))
	}
	return true
}

// newConnection makes a connection to an endpoint that is not established yet.
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

// run establishes and serves a connection in a goroutine, which belongs to the pool and which Wait waits for. A
// descriptor was granted for the connection.
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
