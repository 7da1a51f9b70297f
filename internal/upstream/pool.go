// Package upstream keeps the connections to endpoints and carries attempts, cancels and health checks on them. It
// owns the pool, the connections with their goroutines, and the truth of how each attempt ended, as far as the
// connection can prove it. It decides nothing: not which endpoint gets a request, and not whether one is retried.
package upstream

import (
	"context"
	"net"
	"strconv"
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

// Pool holds the connections to all endpoints. Its methods belong to one goroutine, its owner, and none of them
// but Wait waits for a connection.
type Pool struct {
	Admission *admission.Controller
	Metrics   *telemetry.Metrics

	// OnEvent takes what the pool learns. The connections' goroutines call it, several at once and never with a lock
	// held. It may wait for room in the owner's queue, but not for the owner to have handled the event.
	OnEvent func(Event)

	ConnectTimeout           time.Duration // longest wait for a connection to be established
	EndpointIdleTimeout      time.Duration // after which endpoints close idle connections, 0 for never
	MaxAttemptsPerConnection int           // attempts open at once on one connection
	RequestLoadReports       bool          // health checks ask for the load report

	// Dial establishes a connection; the network's own dialer where nil. An address is host:port or unix:PATH. The
	// connections' goroutines call it, several at once. It has to return soon after its context has ended.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// AddressSelector decides over which address an endpoint is reached, and EndpointAddresses returns the addresses
	// of one that has several. Both are nil where each endpoint has the one of the endpoint list only. IsIdempotent
	// says of a request class whether its requests may be repeated.
	AddressSelector   *address.Selector
	EndpointAddresses func(discovery.Endpoint) []address.Addr
	IsIdempotent      func(class int) bool

	// Connections are started by later calls than Start. They end with the context of Start, not with that of a call.
	ctx context.Context //nolint:containedctx // the lifetime of the connections' goroutines

	group        *errgroup.Group // of the connections' goroutines
	endpoints    map[routing.EndpointID]*endpoint
	connected    map[routing.EndpointID]*endpoint // those with connections
	healthChecks int                              // sent so far, for their ids
}

// endpoint is one of the endpoint list, with its connections.
type endpoint struct {
	listed          discovery.Endpoint
	hasSeveralAddrs bool // AddressSelector knows them
	startedAt       float64
	removed         bool // from the endpoint list
	connections     []*Connection
}

// Start makes the pool ready. The pool owns the goroutines of its connections. They end with the context, and Wait
// returns once they have.
func (p *Pool) Start(ctx context.Context) {
	p.group, p.ctx = errgroup.WithContext(ctx)
	p.endpoints = map[routing.EndpointID]*endpoint{}
	p.connected = map[routing.EndpointID]*endpoint{}
	if p.Dial == nil {
		p.Dial = dialNetwork
	}
}

// Wait waits for the connections to end, after the context has.
func (p *Pool) Wait() error { return p.group.Wait() }

// UpdateEndpoints takes an update of the endpoint list. A snapshot names every endpoint. A connection belongs to the
// endpoint's id and the address that it was made for.
func (p *Pool) UpdateEndpoints(snapshot bool, listed []discovery.Endpoint) {
	if snapshot {
		for _, e := range p.endpoints {
			e.removed = true
		}
		defer p.forgetRemoved()
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
		p.forgetIfUnused(e)
	}
}

// forgetRemoved forgets the endpoints that a snapshot left out.
func (p *Pool) forgetRemoved() {
	for _, e := range p.endpoints {
		if e.removed {
			p.updateAddresses(e)
			p.forgetIfUnused(e)
		}
	}
}

// forgetIfUnused forgets an endpoint that was removed once it has no connection.
func (p *Pool) forgetIfUnused(e *endpoint) {
	if len(e.connections) > 0 {
		return
	}
	delete(p.connected, e.listed.ID)
	if e.removed {
		delete(p.endpoints, e.listed.ID)
	}
}

// Bounds are the times that bound an attempt; a zero value is no bound.
type Bounds struct {
	// Deadline is when nobody waits for the attempt any more. What is left until then is sent to the endpoint, computed
	// as the line is written. Without a deadline the command's TimeoutSeconds is sent as it is.
	Deadline clock.Instant

	// SendBefore is the time from which the line may not be begun any more.
	SendBefore clock.Instant
}

// Send starts an attempt. Connections to avoid are those on which the same request was out before: a late or doubled
// response there would be taken for this attempt's. Send returns nil where no connection may be made; then nothing
// ran. An attempt whose bounds pass before its line is begun ends as NotSent.
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

// SendHealthCheck asks an endpoint for its state. It returns nil where no connection may be made.
func (p *Pool) SendHealthCheck(endpointID routing.EndpointID, owner Owner) *Attempt {
	check := p.newHealthCheck(cacheproto.HealthCheckIDPrefix, p.RequestLoadReports)
	check.Owner = owner
	return p.start(endpointID, check, nil)
}

// newHealthCheck makes a health check whose id begins with a prefix.
func (p *Pool) newHealthCheck(idPrefix string, loadReport bool) *Attempt {
	p.healthChecks++
	id := idPrefix + strconv.Itoa(p.healthChecks)
	return &Attempt{
		id:            id,
		head:          cacheproto.AppendProbe(nil, id, loadReport),
		isHealthCheck: true,
	}
}

// Cancel gives an attempt up. It returns how that ends it, and whether at once; else an AttemptEnded follows.
func (p *Pool) Cancel(a *Attempt, result routing.AttemptResult) (end routing.AttemptResult, atOnce bool) {
	return a.connection.cancel(a, result)
}

// RemoveConnection forgets a connection that has ended.
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
	p.forgetIfUnused(e)
}

// ConnectionCount returns how many connections there are.
func (p *Pool) ConnectionCount() int {
	n := 0
	for _, e := range p.connected {
		n += len(e.connections)
	}
	return n
}
