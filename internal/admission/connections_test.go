package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

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
