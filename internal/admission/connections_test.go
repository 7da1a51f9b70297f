package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Further connections to busy endpoints can take every descriptor. An endpoint without a connection would then be
// unreachable until one ends. The last descriptors go to such endpoints only.
func TestLastEndpointConnsAreForEndpointsWithoutOne(t *testing.T) {
	c := New(192, 1024)
	c.limits.endpointConns = 1
	c.limits.optionalConns = 0
	assert.True(t, c.AdmitEndpointConn(true))
	assert.False(t, c.AdmitEndpointConn(true))
	c.EndpointConnDone()
	assert.False(t, c.AdmitEndpointConn(false))
	assert.True(t, c.AdmitEndpointConn(true))
}

// Clients come faster than they leave until the descriptors run out, and then endpoints are not reached either. Over
// the limit a client is refused with an answer. Past a second limit its connection is dropped, and each place that
// becomes free counts.
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
	assert.Equal(t, ClientRefused, c.AdmitClient(), "its place is free again")
}

// A limit that is off by one refuses a client for which there is a place, or drops one that should get an answer. The
// last client within each limit and the first one past it are decided as stated.
func TestClientDecisionsAtTheLimits(t *testing.T) {
	l := limits{clients: 3, refusedClients: 2}
	for open, decision := range map[int64]ClientDecision{
		1: ClientAdmitted, 3: ClientAdmitted, 4: ClientRefused, 5: ClientRefused, 6: ClientDropped,
	} {
		assert.Equal(t, decision, l.decideClient(open), "%d open", open)
	}
}
