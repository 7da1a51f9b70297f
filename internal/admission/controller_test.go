package admission

import (
	"context"
	"testing"

	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLimitsFollowMemoryAndDescriptors checks the limits for processes of several sizes.
func TestLimitsFollowMemoryAndDescriptors(t *testing.T) {
	for _, test := range []struct {
		memoryMB    int
		descriptors int
		want        limits
		heapBytes   int64
	}{
		{32, 256, limits{
			bodyBytes: 11744051, nearlyFullBytes: 10569645, requests: 409, clients: 115, refusedClients: 15,
			endpointConns: 102, optionalConns: 76, connsPerEndpoint: 25,
		}, 23488102},
		{64, 256, limits{
			bodyBytes: 23488102, nearlyFullBytes: 21139291, requests: 819, clients: 115, refusedClients: 15,
			endpointConns: 102, optionalConns: 76, connsPerEndpoint: 25,
		}, 46976204},
		{192, 1024, limits{
			bodyBytes: 70464307, nearlyFullBytes: 63417876, requests: 2457, clients: 460, refusedClients: 61,
			endpointConns: 409, optionalConns: 306, connsPerEndpoint: 102,
		}, 140928614},
		{1000, 65536, limits{
			bodyBytes: 367001600, nearlyFullBytes: 330301440, requests: 12800, clients: 29491, refusedClients: 3932,
			endpointConns: 26214, optionalConns: 19660, connsPerEndpoint: 6553,
		}, 734003200},
	} {
		assert.Equal(t, test.want, New(test.memoryMB, test.descriptors).limits)
		assert.Equal(t, test.heapBytes, HeapLimitBytes(test.memoryMB))
	}
}

// Guards against limits whose sum exceeds the memory, which ends the process, or the descriptors, which leaves none for
// its files. For one size of process, the sums must stay below both.
func TestSumOfLimitsStaysBelowResources(t *testing.T) {
	c := New(192, 1024)
	heapBytes := float64(HeapLimitBytes(192))
	assert.Less(t, float64(c.limits.nearlyFullBytes)+heapBytes*(requestsShare+heapShare-1), float64(192*bytesPerMB))
	assert.GreaterOrEqual(t, c.limits.clients, int64(1024/3), "clients need at most a third")
	assert.Less(t, c.limits.clients+c.limits.endpointConns+c.limits.refusedClients, int64(1024-32))
}

// Guards against a process that grows until the operating system ends it, because it accepts more requests than its
// memory allows. A request over the maximum number, or while memory is nearly used up, must be rejected with the right
// reason, and a wait for memory must end with its context.
func TestRequestsOverTheLimitsAreNotAdmitted(t *testing.T) {
	c := New(192, 1024)
	c.limits.requests = 2
	assert.Equal(t,
		[]request.Reason{request.ReasonNone, request.ReasonNone, request.ReasonTooManyRequests},
		[]request.Reason{c.AdmitRequest(0), c.AdmitRequest(0), c.AdmitRequest(0)})
	c.RequestDone()
	assert.Empty(t, c.AdmitRequest(0))
	body, err := c.Bodies.Allocate(t.Context(), int(c.limits.nearlyFullBytes)+1)
	require.NoError(t, err)
	assert.Equal(t, request.ReasonMemoryShort, c.AdmitRequest(0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Bodies.Allocate(ctx, int(c.limits.nearlyFullBytes))
	require.ErrorIs(t, err, context.Canceled)
	body.Free()
}

// Guards against large requests that are never served because the request's own body makes memory nearly full. A
// request must be admitted regardless of the size of its own body.
func TestAdmissionIgnoresOwnBody(t *testing.T) {
	c := New(192, 1024)
	own := c.Bodies.TryAllocate(int(c.limits.nearlyFullBytes) + 1)
	assert.True(t, c.BodiesNearlyFull())
	assert.Equal(t, request.ReasonNone, c.AdmitRequest(own.AllocatedBytes()))
	own.Free()
	assert.False(t, c.BodiesNearlyFull())
}
