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
	open := c.clients.Add(1)
	if open <= c.limits.clients {
		return ClientAdmitted
	}
	if open <= c.limits.clients+c.limits.refusedClients {
		return ClientRefused
	}
	c.clients.Add(-1)
	return ClientDropped
}

// OpenClients returns how many clients' connections are admitted or refused and have not ended.
func (c *Controller) OpenClients() int64 { return c.clients.Load() }

// ClientDone gives the place of a client's connection back.
func (c *Controller) ClientDone() { c.clients.Add(-1) }

// AdmitEndpointConn reports whether a connection to an endpoint may be opened, and counts it until EndpointConnDone.
// One that is not required, as the attempt could share another, is admitted only while there is plenty of room.
func (c *Controller) AdmitEndpointConn(required bool) bool {
	limit := c.limits.endpointConns
	if !required {
		limit = c.limits.optionalConns
	}
	if c.endpointConns.Add(1) > limit {
		c.endpointConns.Add(-1)
		return false
	}
	return true
}

// EndpointConnDone gives the place of a connection to an endpoint back.
func (c *Controller) EndpointConnDone() { c.endpointConns.Add(-1) }

// MaxConnsPerEndpoint returns how many connections to one endpoint with several addresses may be open.
func (c *Controller) MaxConnsPerEndpoint() int { return c.limits.connsPerEndpoint }
