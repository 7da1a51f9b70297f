// Package send keeps the connections to members and carries hops, cancels and checks on them. It decides nothing:
// it says how each hop ended, as far as the connection can prove it.
package upstream

import (
	"context"
	"net"
	"strconv"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// idleMargin is the part of the members' idle time after which a connection is closed from here, so that no hop
// crosses a close of theirs.
const idleMargin = 0.8

// writeStall is how long a member may take nothing of what is written to it: small lines, and bodies that fit the
// sockets' own buffers.
const writeStall = time.Second

// stallLeast is how long at least a member may send no more of an answer that it began: over the pauses of a core that
// is shared, on either side.
const stallLeast = time.Second

// How long a connection that is not used any more is read on, and how much: a member that is in the middle of a late
// answer is not reset, and no descriptor is held for one that says nothing.
const (
	lingerMost  = 100 * time.Millisecond
	lingerBytes = 1 << 20
)

// Event is what a pool tells its owner: AttemptEnded, DialEnded or ConnectionClosed.
type Event interface{ isUpstreamEvent() }

func (AttemptEnded) isUpstreamEvent()     {}
func (DialEnded) isUpstreamEvent()        {}
func (ConnectionClosed) isUpstreamEvent() {}

// AttemptEnded says that a call is over. Each call has one, unless its undoing ended it at once.
type AttemptEnded struct {
	Attempt *Attempt
	End     request.AttemptEnd
}

// Dropped says that a link carries nothing any more.
type ConnectionClosed struct{ Connection *Connection }

// Pool holds the links to all members. Its methods belong to one goroutine; what it hears it hands to Post.
type Pool struct {
	Admission                *admission.Controller
	Telemetry                *telemetry.Metrics
	OnEvent                  func(Event)
	ConnectTimeout           time.Duration // longest wait for a connection
	EndpointIdleTimeout      time.Duration // after which members close idle ones
	MaxAttemptsPerConnection int           // hops that one connection carries
	RequestLoadReports       bool          // checks ask for the load report

	// Dial makes a connection; the network's own where nil. An address is host:port or unix:PATH.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// Reach decides over which address a member is reached, and Addrs says which it has beside the one of the notice
	// board; nil where each has that one only. Repeatable says of a remap rule whether it may run again.
	AddressSelector   *address.Selector
	EndpointAddresses func(discovery.Endpoint) []address.Addr
	IsIdempotent      func(rule int) bool

	ctx     context.Context
	group   *errgroup.Group
	members map[string]*member
	checks  int
}

type member struct {
	row     discovery.Endpoint
	addr    string
	several bool // addresses: Reach knows them
	started float64
	gone    bool
	links   []*Connection
}

// Start makes the pool ready; Wait returns once all its links have ended.
func (p *Pool) Start(ctx context.Context) {
	p.group, p.ctx = errgroup.WithContext(ctx)
	p.members = map[string]*member{}
	if p.Dial == nil {
		p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			a := address.Addr(addr)
			return (&net.Dialer{}).DialContext(ctx, a.Network(), a.Target())
		}
	}
}

// Wait waits for the links to end, after the context has.
func (p *Pool) Wait() error { return p.group.Wait() }

// List takes news of where members are. A link belongs to the member's id and the address it was made for.
func (p *Pool) UpdateEndpoints(full bool, rows []discovery.Endpoint) {
	if full {
		for _, m := range p.members {
			m.gone = true
		}
	}
	for _, row := range rows {
		m := p.members[string(row.ID)]
		if m == nil {
			m = &member{}
			p.members[string(row.ID)] = m
		}
		m.row, m.addr, m.gone = row, row.Address, row.Status == routing.Removed
		p.reaches(row, m)
	}
}

// Call starts a hop or a check on a link of a member. Avoid names the links on which the same txn was out
// before: an answer that comes late, or twice, would be taken for this one's. A connection that breaks, or brings what can't be read, ends all that is open on it: while descriptors
// allow, each has one to itself. It returns nil where no connection may be made; then surely nothing ran.
func (p *Pool) call(id string, c *Attempt, avoid []*Connection) *Attempt {
	m := p.members[id]
	if m == nil {
		return nil
	}
	if m.several {
		return p.over(id, m, c, avoid)
	}
	var best *Connection
	least := p.MaxAttemptsPerConnection
	for _, l := range m.links {
		if n, ok := l.load(); ok && n < least && l.over() == m.addr && !contains(avoid, l) {
			best, least = l, n
		}
	}
	if best != nil && least == 0 && best.add(c) {
		return c
	}
	if !p.Admission.AdmitEndpointConn(best == nil) {
		if best != nil && best.add(c) {
			return c
		}
		return nil
	}
	l := p.link(id, m)
	l.addr = m.addr
	l.add(c)
	p.run(m, l)
	return c
}

func (p *Pool) link(id string, m *member) *Connection {
	return &Connection{pool: p, member: id, started: m.started, calls: map[string]*Attempt{}, undone: map[string]*Attempt{}, wake: make(chan struct{}, 1)}
}

// run lets a link live; a descriptor was granted for it.
func (p *Pool) run(m *member, l *Connection) {
	m.links = append(m.links, l)
	p.Telemetry.ConnectionOpened("member")
	p.group.Go(func() error {
		defer p.Admission.EndpointConnDone()
		l.run(p.ctx)
		return nil
	})
}

func contains(links []*Connection, l *Connection) bool {
	for _, x := range links {
		if x == l {
			return true
		}
	}
	return false
}

// Send starts a hop.
func (p *Pool) Send(d cacheproto.Attempt, avoid []*Connection, owner Owner) *Attempt {
	head := cacheproto.AppendAttempt(nil, d)
	return p.call(string(d.Endpoint), &Attempt{Owner: owner, id: d.Txn.ID, head: head, body: d.Txn.Body, txn: d.Txn, hop: true,
		repeatable: p.IsIdempotent != nil && p.IsIdempotent(d.Txn.Class)}, avoid)
}

// Check asks a member for its state.
func (p *Pool) SendHealthCheck(id string, owner Owner) *Attempt {
	p.checks++
	tag := "check" + strconv.Itoa(p.checks)
	return p.call(id, &Attempt{Owner: owner, id: tag, head: cacheproto.AppendProbe(nil, tag, p.RequestLoadReports)}, nil)
}

// Undo gives a call up. It says how that ends it, and whether at once; else its end follows.
func (p *Pool) Cancel(c *Attempt, code routing.AttemptResult) (end routing.AttemptResult, atOnce bool) {
	return c.link.undo(c, code)
}

// Drop forgets a link that has ended.
func (p *Pool) RemoveConnection(l *Connection) {
	m := p.members[l.member]
	if m == nil {
		return
	}
	for i, x := range m.links {
		if x == l {
			m.links = append(m.links[:i], m.links[i+1:]...)
			break
		}
	}
	if m.gone && len(m.links) == 0 {
		delete(p.members, l.member)
	}
}

// Sweep closes links that nothing is open on and nothing will be.
func (p *Pool) CloseIdle(now time.Time) {
	for id, m := range p.members {
		for _, l := range m.links {
			switch {
			case m.gone || !p.current(m, l):
				l.endIf(netconn.EndpointRemoved, now)
			case p.EndpointIdleTimeout > 0:
				l.endIf(netconn.IdleTimeout, now.Add(-time.Duration(idleMargin*float64(p.EndpointIdleTimeout))))
			}
		}
		if m.gone && len(m.links) == 0 {
			delete(p.members, id)
		}
	}
}

// Links is how many links there are.
func (p *Pool) ConnectionCount() int {
	n := 0
	for _, m := range p.members {
		n += len(m.links)
	}
	return n
}
