package admission

import (
	"context"
	"testing"

	"cairnfront/internal/fairshare"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
)

// TestLimitsFollowDescriptors checks the limits of connections for processes of several sizes.
func TestLimitsFollowDescriptors(t *testing.T) {
	for descriptors, want := range map[int][]int64{
		256: {115, 15}, 1024: {460, 61}, 65536: {29491, 3932},
	} {
		l := New(4096, descriptors).limits
		assert.Equal(t, want, []int64{l.clients, l.refusedClients})
		assert.LessOrEqual(t, l.endpointConns, int64(endpointsShare*float64(descriptors)))
		assert.Less(t, l.optionalConns, l.endpointConns)
		assert.Less(t, int64(l.connsPerEndpoint), l.endpointConns)
	}
}

// Guards against limits whose sum exceeds the memory, which ends the process, or the descriptors, which leaves none for
// its files. For the sizes of a process that the deployment pages name, the sums must stay below both, and each limit
// must be of use.
func TestSumOfLimitsStaysBelowResources(t *testing.T) {
	for _, memoryMB := range []int{32, 64, 192} {
		for _, descriptors := range []int{256, 1024} {
			l, memory := New(memoryMB, descriptors).limits, int64(memoryMB*bytesPerMB)
			connsBytes := (l.clients+l.refusedClients)*int64(clientConnBytes+ringsPerConn*l.clientRingBytes) +
				l.endpointConns*int64(endpointConnBytes+ringsPerConn*l.endpointRingBytes)
			sum := baseBytes + connsBytes + l.requests*requestBytes + l.objects + l.purges + l.bodyBytes
			t.Logf("%3d MB, %4d descriptors: %.1f MB planned, %d + %d clients, %d endpoint connections, %d requests, "+
				"bodies %.1f MB, objects %.1f MB, purges %.1f MB, rings %d and %d bytes", memoryMB, descriptors,
				float64(sum)/bytesPerMB, l.clients, l.refusedClients, l.endpointConns, l.requests,
				float64(l.bodyBytes)/bytesPerMB, float64(l.objects)/bytesPerMB, float64(l.purges)/bytesPerMB,
				l.clientRingBytes, l.endpointRingBytes)
			assert.Equal(t, l.plannedBytes, sum)
			assert.Less(t, sum, HeapLimitBytes(memoryMB), "there is room for garbage")
			assert.Less(t, HeapLimitBytes(memoryMB), memory*9/10, "there is room outside of the runtime")
			assert.GreaterOrEqual(t, l.clients, int64(descriptors/3), "clients need at most a third")
			assert.Less(t, l.clients+l.endpointConns+l.refusedClients, int64(descriptors-12))
			assert.GreaterOrEqual(t, l.requests, 2*l.clients, "each client may have more than one request")
			assert.GreaterOrEqual(t, l.bodyBytes, int64(12*240_000), "several of the largest responses")
		}
	}
}

// Guards against a process that grows until the operating system ends it, because it accepts more requests than its
// memory allows. A request over the maximum number, or of a connection over its share of the memory, must be rejected
// with the right reason.
func TestRequestsOverTheLimitsAreNotAdmitted(t *testing.T) {
	c := New(192, 1024)
	c.places = fairshare.New(2)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	requests := []*request.Request{{}, {}, {}}
	for i, want := range []request.Reason{request.ReasonNone, request.ReasonNone, request.ReasonTooManyRequests} {
		assert.Equal(t, want, c.AdmitRequest(ctx, requests[i]))
	}
	requests[0].Done()
	requests[0].Done()
	assert.Empty(t, c.AdmitRequest(ctx, requests[2]))
	assert.Equal(t, request.ReasonTooManyRequests, c.AdmitRequest(ctx, &request.Request{}), "a place is returned once")
	requests[1].Done()
	share := &request.Share{}
	body := c.Bodies.TryAllocateResponse(share, 200_000)
	for c.Bodies.TryAllocateResponse(&request.Share{}, 200_000) != nil {
	}
	assert.True(t, c.BodiesNearlyFull())
	assert.Equal(t, request.ReasonMemoryShort, c.AdmitRequest(ctx, &request.Request{Share: share}))
	body.Free()
	assert.Empty(t, c.AdmitRequest(ctx, &request.Request{Share: share}))
}

// Guards against one client that takes the places of all others.
func TestPlacesAreSharedByConnection(t *testing.T) {
	c := New(192, 1024)
	c.places = fairshare.New(30)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	flood, admitted := &request.Share{}, 0
	for c.AdmitRequest(ctx, &request.Request{Share: flood}) == request.ReasonNone {
		admitted++
	}
	assert.Equal(t, 15, admitted)
	assert.Empty(t, c.AdmitRequest(ctx, &request.Request{Share: &request.Share{}}))
}
