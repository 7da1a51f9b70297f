package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an endpoint that cannot be reached because additional connections to busy endpoints use every
// descriptor. The last descriptors must be reserved for endpoints without a connection.
func TestLastEndpointConnsAreReservedForEndpointsWithoutOne(t *testing.T) {
	c := New(192, 1024)
	c.limits.endpointConns = 1
	c.limits.optionalConns = 0
	assert.True(t, c.AdmitEndpointConn(true))
	assert.False(t, c.AdmitEndpointConn(true))
	c.EndpointConnDone()
	assert.False(t, c.AdmitEndpointConn(false))
	assert.True(t, c.AdmitEndpointConn(true))
}

// Guards against running out of descriptors, which would also prevent connections to endpoints, when clients connect
// faster than they disconnect. Over the first limit a client must be refused with a response; over the second one its
// connection must be dropped. Each connection that ends must make room for another one.
func TestClientsOverTheLimitAreRefusedThenDropped(t *testing.T) {
	c := New(192, 1024)
	c.limits.clients = 1
	assert.Equal(t, ClientAdmitted, c.AdmitClient())
	for range c.limits.refusedClients {
		assert.Equal(t, ClientRefused, c.AdmitClient())
	}
	assert.Equal(t, ClientDropped, c.AdmitClient())
	assert.Equal(t, c.limits.refusedClients+1, c.OpenClients())
	c.ClientDone()
	assert.Equal(t, ClientRefused, c.AdmitClient(), "the connection that ended makes room for another")
}

// Guards against limits that are off by one: a client would be refused although there is room, or dropped although it
// should receive a response. The last client within each limit and the first one over it are checked.
func TestClientDecisionsAtTheLimits(t *testing.T) {
	l := limits{clients: 3, refusedClients: 2}
	for open, decision := range map[int64]ClientDecision{
		1: ClientAdmitted, 3: ClientAdmitted, 4: ClientRefused, 5: ClientRefused, 6: ClientDropped,
	} {
		assert.Equal(t, decision, l.decideClient(open), "%d open", open)
	}
}
