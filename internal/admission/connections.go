package admission

// ClientDecision is the decision on an accepted client connection.
type ClientDecision uint8

// The decisions on a client connection.
const (
	ClientAdmitted ClientDecision = iota // the connection is served

	// ClientRefused: the connection is over the limit. The client receives an error, and the connection is closed,
	// unless the caller can evict another connection for it.
	ClientRefused

	ClientDropped // the connection is closed immediately
)

// AdmitClient decides on an accepted client connection. A connection that is admitted or refused counts as open until
// ClientDone is called for it.
func (c *Controller) AdmitClient() ClientDecision {
	decision := c.limits.decideClient(c.clients.Add(1))
	if decision == ClientDropped {
		c.clients.Add(-1)
	}
	return decision
}

// decideClient decides on a client connection, given the number of open ones including it.
//
// It guards against a process without free descriptors, which could neither connect to an endpoint nor be notified of a
// drain; that shows as failing accepts and dials. The number of refused clients is limited, since each uses a
// descriptor until it is closed. Further connections are dropped before a goroutine is started for them.
func (l limits) decideClient(open int64) ClientDecision {
	switch {
	case open <= l.clients:
		return ClientAdmitted
	case open <= l.clients+l.refusedClients:
		return ClientRefused
	}
	return ClientDropped
}

// OpenClients returns the number of client connections that were admitted or refused and have not ended.
func (c *Controller) OpenClients() int64 { return c.clients.Load() }

// ClientsNearLimit reports whether so many client connections are open that places for further ones may become short.
//
// It guards against idle connections that use up the places: they are then closed sooner.
func (c *Controller) ClientsNearLimit() bool {
	return float64(c.OpenClients()) > nearLimitShare*float64(c.limits.clients)
}

// ClientDone records that a client connection has ended.
func (c *Controller) ClientDone() { c.clients.Add(-1) }

// AdmitEndpointConn reports whether a connection to an endpoint may be opened, and counts it as open until
// EndpointConnDone. A connection is not required if the attempt could share an existing one; it is then admitted only
// up to a lower limit.
func (c *Controller) AdmitEndpointConn(required bool) bool {
	if c.endpointConns.Add(1) > c.limits.endpointConnLimit(required) {
		c.endpointConns.Add(-1)
		return false
	}
	return true
}

// endpointConnLimit returns the limit on open connections to endpoints, including the one to be opened.
//
// It guards against an endpoint that no attempt can reach because connections to other endpoints use all descriptors,
// as in a burst of requests. Connections that are not required have a lower limit, which leaves descriptors for
// endpoints without any connection.
func (l limits) endpointConnLimit(required bool) int64 {
	if required {
		return l.endpointConns
	}
	return l.optionalConns
}

// EndpointConnDone records that a connection to an endpoint has ended.
func (c *Controller) EndpointConnDone() { c.endpointConns.Add(-1) }

// MaxWaitingEndpointConns returns how many connections to endpoints may wait for memory for a body at the same time.
func (c *Controller) MaxWaitingEndpointConns() int64 {
	return c.limits.endpointConns / waitingConnsDivisor
}

// MaxConnsPerEndpoint returns the limit on open connections to one endpoint with several addresses.
func (c *Controller) MaxConnsPerEndpoint() int { return c.limits.connsPerEndpoint }
