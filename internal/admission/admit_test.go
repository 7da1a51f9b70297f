package admission

import (
	"context"
	"testing"
	"time"

	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
)

func TestLimits(t *testing.T) {
	g := New(192, 1024)
	assert.Less(t, float64(g.full)+float64(HeapLimitBytes(192))*(txnShare+heapShare-1), float64(192*megabyte))
	assert.GreaterOrEqual(t, g.mostClients, int64(1024/3), "clients hold a third at most")
	assert.Less(t, g.mostClients+g.mostMembers+g.tellBeyond, int64(1024-32))
	g.mostTxns, g.mostClients, g.mostMembers = 2, 1, 1
	assert.Equal(t, []request.Reason{request.ReasonNone, request.ReasonNone, request.ReasonTooManyRequests},
		[]request.Reason{g.AdmitRequest(0), g.AdmitRequest(0), g.AdmitRequest(0)})
	g.RequestDone()
	assert.Empty(t, g.AdmitRequest(0))
	body, err := g.Bodies.Allocate(t.Context(), int(g.full)+1)
	assert.NoError(t, err)
	assert.Equal(t, request.ReasonMemoryShort, g.AdmitRequest(0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = g.Bodies.Allocate(ctx, int(g.full))
	assert.ErrorIs(t, err, context.Canceled)
	body.Free()
	assert.True(t, g.AdmitEndpointConn(true))
	assert.False(t, g.AdmitEndpointConn(true))
	g.EndpointConnDone()
	assert.False(t, g.AdmitEndpointConn(false), "the last places are for members without a connection")
	assert.True(t, g.AdmitEndpointConn(true))
	in, _ := g.AdmitClient()
	assert.True(t, in)
	in, tell := g.AdmitClient()
	assert.Equal(t, []bool{false, true}, []bool{in, tell})
	for range g.tellBeyond {
		in, tell = g.AdmitClient()
	}
	assert.Equal(t, []bool{false, false}, []bool{in, tell}, "beyond some more they are closed unheard")
}

func TestDrainWaitsForWhatIsOwed(t *testing.T) {
	g := New(192, 1024)
	g.SetReady()
	assert.True(t, g.Ready())
	g.StartDraining()
	assert.False(t, g.Ready())
	g.WaitDrained(t.Context(), 0, time.Hour)
	g.CountRequest()
	done := make(chan bool)
	go func() {
		g.WaitDrained(t.Context(), 0, time.Hour)
		close(done)
	}()
	assert.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.idle != nil
	}, time.Minute, time.Millisecond)
	g.RequestDone()
	<-done
	g.CountRequest()
	g.WaitDrained(t.Context(), 0, time.Millisecond) // not for ever
	assert.EqualValues(t, 1, g.OpenRequests())
}
