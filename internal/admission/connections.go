package admission

// ClientDecision says what is done with an accepted connection of a client.
type ClientDecision uint8

// The decisions on a client's connection.
const (
	ClientAdmitted ClientDecision = iota // it is served
	ClientRefused                        // it gets an error that too many are open, and is closed
	ClientDropped                        // it is closed at once
)

// AdmitClient decides on an accepted connection of a client. One that is admitted or refused counts until ClientDone.
func (c *Controller) AdmitClient() ClientDecision {
	decision := c.limits.decideClient(c.clients.Add(1))
	if decision == ClientDropped {
		c.clients.Add(-1)
	}
	return decision
}

// decideClient decides on a client's connection with which so many are open.
//
// It guards against a process without descriptors, which could neither reach an endpoint nor hear of a drain; that
// shows as failing accepts and dials. Refused clients are few, since each takes a descriptor until it is closed, and
// the rest is dropped before it costs a goroutine.
func (l limits) decideClient(open int64) ClientDecision {
	switch {
	case open <= l.clients:
		return ClientAdmitted
	case open <= l.clients+l.refusedClients:
		return ClientRefused
	}
	return ClientDropped
}

// OpenClients returns how many clients' connections are admitted or refused and have not ended.
func (c *Controller) OpenClients() int64 { return c.clients.Load() }

// ClientDone gives the place of a client's connection back.
func (c *Controller) ClientDone() { c.clients.Add(-1) }

// AdmitEndpointConn reports whether a connection to an endpoint may be opened, and counts it until EndpointConnDone.
// One that is not required, as the attempt could share another, is admitted only while there is plenty of room.
func (c *Controller) AdmitEndpointConn(required bool) bool {
	if c.endpointConns.Add(1) > c.limits.endpointConnLimit(required) {
		c.endpointConns.Add(-1)
		return false
	}
	return true
}

// endpointConnLimit returns up to how many connections to endpoints another one may be opened.
//
// It guards against an endpoint that no attempt can reach because connections to others hold all descriptors, as in a
// burst. One that an attempt can do without stops at a lower limit, so some are left for endpoints without any.
func (l limits) endpointConnLimit(required bool) int64 {
	if required {
		return l.endpointConns
	}
	return l.optionalConns
}

// EndpointConnDone gives the place of a connection to an endpoint back.
func (c *Controller) EndpointConnDone() { c.endpointConns.Add(-1) }

// MaxConnsPerEndpoint returns how many connections to one endpoint with several addresses may be open.
func (c *Controller) MaxConnsPerEndpoint() int { return c.limits.connsPerEndpoint }
