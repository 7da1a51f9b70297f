// Package upstream manages the connections to endpoints and carries attempts, cancels and health checks on them. It
// owns the connection pool and the goroutines of each connection, and it determines how each attempt ended, as far as
// the connection can prove it. It makes no routing decisions: it neither chooses the endpoint of a request nor decides
// whether to retry it.
package upstream

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/discovery"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// Pool holds the connections to all endpoints. Its methods must be called from a single goroutine, the pool's owner.
// Only Wait blocks until connections end.
type Pool struct {
	Admission *admission.Controller
	Metrics   *telemetry.Metrics

	// OnEvent receives the pool's events. The connections' goroutines call it concurrently and never while they hold a
	// lock. It may block until the owner's queue has space, but must not wait until the owner has handled the event.
	OnEvent func(Event)

	ConnectTimeout           time.Duration // longest time to establish a connection
	EndpointIdleTimeout      time.Duration // time after which endpoints close idle connections; 0 if they never do
	MaxAttemptsPerConnection int           // maximum number of open attempts on one connection
	RequestLoadReports       bool          // whether health checks ask for the load report

	// Dial establishes a connection; if nil, a net.Dialer is used. An address is host:port or unix:PATH. The
	// connections' goroutines call Dial concurrently. It must return soon after its context is done.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// AddressSelector chooses the address used to connect to an endpoint. EndpointAddresses returns the addresses of an
	// endpoint that has more than one. Both are nil if every endpoint has only its address in the endpoint list.
	// IsIdempotent reports whether the requests of a request class may be repeated.
	AddressSelector   *address.Selector
	EndpointAddresses func(discovery.Endpoint) []address.Addr
	IsIdempotent      func(class int) bool

	// Connections are started by calls after Start. Their goroutines end with the context of Start, not with the
	// context of the later call.
	ctx context.Context //nolint:containedctx // the lifetime of the connections' goroutines

	group        *errgroup.Group // the connections' goroutines
	endpoints    map[routing.EndpointID]*endpoint
	connected    map[routing.EndpointID]*endpoint // endpoints that have connections
	healthChecks int                              // number of health checks created, used for their ids

	waitingForRoom atomic.Int64 // connections whose reader waits for memory for a body
}

// endpoint is an entry of the endpoint list with its connections.
type endpoint struct {
	listed           discovery.Endpoint
	hasMultipleAddrs bool // whether it has more than one address, managed by AddressSelector
	startedAt        float64
	removed          bool // whether it was removed from the endpoint list
	connections      []*Connection
}

// Start initializes the pool. The pool owns the goroutines of its connections. They end when the context is done, and
// Wait then returns.
func (p *Pool) Start(ctx context.Context) {
	p.group, p.ctx = errgroup.WithContext(ctx)
	p.endpoints = map[routing.EndpointID]*endpoint{}
	p.connected = map[routing.EndpointID]*endpoint{}
	if p.Dial == nil {
		p.Dial = dialNetwork
	}
}

// Wait blocks until all connections have ended, which they do after the context of Start is done.
func (p *Pool) Wait() error { return p.group.Wait() }

// UpdateEndpoints applies an update of the endpoint list. A snapshot contains every endpoint. A connection belongs to
// the endpoint id and the address for which it was established.
func (p *Pool) UpdateEndpoints(snapshot bool, listed []discovery.Endpoint) {
	if snapshot {
		for _, e := range p.endpoints {
			e.removed = true
		}
		defer p.pruneRemovedEndpoints()
	}
	for _, l := range listed {
		e := p.endpoints[l.ID]
		if e == nil {
			e = &endpoint{}
			p.endpoints[l.ID] = e
		}
		e.listed = l
		e.removed = l.Status == routing.Removed
		p.updateAddresses(e)
		p.deleteIfUnused(e)
	}
}

// pruneRemovedEndpoints deletes the endpoints that a snapshot no longer lists.
func (p *Pool) pruneRemovedEndpoints() {
	for _, e := range p.endpoints {
		if e.removed {
			p.updateAddresses(e)
			p.deleteIfUnused(e)
		}
	}
}

// deleteIfUnused takes an endpoint that has no connections out of p.connected, and deletes it from the pool if it was
// removed from the endpoint list.
func (p *Pool) deleteIfUnused(e *endpoint) {
	if len(e.connections) > 0 {
		return
	}
	delete(p.connected, e.listed.ID)
	if e.removed {
		delete(p.endpoints, e.listed.ID)
	}
}

// Bounds are the time limits of an attempt. A zero value means no limit.
type Bounds struct {
	// Deadline is the time after which nobody waits for the attempt any longer. The time that remains until then is
	// computed when the command line is written, and is sent to the endpoint. Without a deadline, the command's
	// TimeoutSeconds is sent unchanged.
	Deadline clock.Instant

	// SendBefore is the time from which writing the command line must no longer start.
	SendBefore clock.Instant
}

// Send starts an attempt. The connections in avoid carried earlier attempts of the same request: a late or duplicate
// response there would be mistaken for the response to this attempt. Send returns nil if no connection can be opened;
// the attempt has then not run. An attempt whose bounds expire before writing starts ends with NotSent.
func (p *Pool) Send(command cacheproto.Attempt, bounds Bounds, avoid []*Connection, owner Owner) *Attempt {
	r := command.Request
	return p.start(command.StartAttempt.Endpoint, &Attempt{
		Owner:        owner,
		id:           string(r.ID),
		command:      command,
		bounds:       bounds,
		body:         r.Body,
		request:      r,
		isIdempotent: p.IsIdempotent != nil && p.IsIdempotent(int(r.Class)),
	}, avoid)
}

// SendHealthCheck sends a health check to an endpoint. It returns nil if no connection can be opened.
func (p *Pool) SendHealthCheck(endpointID routing.EndpointID, owner Owner) *Attempt {
	check := p.newHealthCheck(cacheproto.HealthCheckIDPrefix, p.RequestLoadReports)
	check.Owner = owner
	return p.start(endpointID, check, nil)
}

// newHealthCheck returns a health check whose id starts with idPrefix.
func (p *Pool) newHealthCheck(idPrefix string, loadReport bool) *Attempt {
	p.healthChecks++
	id := idPrefix + strconv.Itoa(p.healthChecks)
	return &Attempt{
		id:            id,
		head:          cacheproto.AppendProbe(nil, id, loadReport),
		isHealthCheck: true,
	}
}

// Cancel cancels an attempt. It returns the attempt's result and whether the attempt has already ended; if it has not,
// an AttemptEnded event follows. Even if it has, an event that was already being reported can follow.
func (p *Pool) Cancel(a *Attempt, result routing.AttemptResult) (end routing.AttemptResult, immediate bool) {
	return a.connection.cancel(a, result)
}

// RemoveConnection removes a closed connection from the pool.
func (p *Pool) RemoveConnection(c *Connection) {
	e := p.endpoints[c.endpointID]
	if e == nil {
		return
	}
	for i, other := range e.connections {
		if other == c {
			e.connections = append(e.connections[:i], e.connections[i+1:]...)
			break
		}
	}
	p.deleteIfUnused(e)
}

// ConnectionCount returns the number of connections.
func (p *Pool) ConnectionCount() int {
	n := 0
	for _, e := range p.connected {
		n += len(e.connections)
	}
	return n
}
