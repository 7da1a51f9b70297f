package admission

// The parts of the memory. docs/capacity.md has the sums for the usual sizes of a process.
const (
	bytesPerMB = 1 << 20

	// runtimeLimitShare is the soft limit of the Go runtime: what is planned, and garbage. The rest is for the
	// program's data, the C library, and for what the collector is behind under a flood.
	runtimeLimitShare = 0.88

	// plannedShare is the share for all that is planned here, unless the bodies would get less than minBodiesShare.
	plannedShare = 0.65

	baseBytes = 5 * bytesPerMB // an idle router: runtime, endpoint list, metrics

	bodiesNearlyFullShare = 0.9 // share of a kind of bodies above which memory for them is short
)

// Upper estimates of what one unit uses, without the ring buffers of connections.
const (
	// clientConnBytes is for the goroutines' stacks, the connection, and its unwritten responses without their bodies.
	clientConnBytes = 16 << 10

	// endpointConnBytes is for the goroutines' stacks and the connection.
	endpointConnBytes = 16 << 10

	// requestBytes is for the state of an open request with its attempts and timers.
	requestBytes = 3 << 10
)

// Shares of the memory, and the sizes that follow from it.
const (
	endpointConnsShare = 0.08
	requestsShare      = 0.09
	objectsShare       = 0.05
	purgesShare        = 0.01
	ringsShare         = 0.1 // for the ring buffers of all connections
	minBodiesShare     = 0.15
	maxBodiesShare     = 0.35

	minEndpointConns = 16
	minRingBytes     = 2 << 10
	maxRingBytes     = 16 << 10
	ringsPerConn     = 2

	// minEndpointRingBytes is more than the longest line of an endpoint.
	minEndpointRingBytes = 4 << 10
)

// GCPercent is the heap growth between garbage collections. While the heap is small the collections are rare; the
// runtime's soft limit makes them more frequent as it is approached.
const GCPercent = 100

// memoryPlan divides the memory of the process among all that grows with callers. Each number is an upper limit. The
// sum of what they use is below the limit of the runtime.
type memoryPlan struct {
	clientRingBytes   int   // size of each ring buffer of a client connection
	endpointRingBytes int   // size of each ring buffer of a connection to an endpoint
	endpointConns     int64 // connections to endpoints
	requests          int64 // open requests
	objects           int64 // bytes for objects that the routing module remembers
	purges            int64 // bytes for purges that the routing module remembers
	bodyBytes         int64 // size of the body budget

	plannedBytes int64 // what all of them use at most, with the base
}

// newMemoryPlan divides the memory of a process with so many client connections and at most so many connections to
// endpoints. The bodies get what the others leave.
func newMemoryPlan(memoryBytes, clientConns, endpointConns int64) memoryPlan {
	share := func(part float64) int64 { return int64(part * float64(memoryBytes)) }
	p := memoryPlan{
		requests: share(requestsShare) / requestBytes,
		objects:  share(objectsShare),
		purges:   share(purgesShare),
	}
	ring := powerOfTwoUpTo(share(ringsShare) / (ringsPerConn * max(clientConns+endpointConns, 1)))
	p.clientRingBytes = int(max(min(ring, maxRingBytes), minRingBytes))
	p.endpointRingBytes = int(max(min(ring, maxRingBytes), minEndpointRingBytes))
	endpointConnTotal := int64(endpointConnBytes + ringsPerConn*p.endpointRingBytes)
	clientConnTotal := int64(clientConnBytes + ringsPerConn*p.clientRingBytes)
	p.endpointConns = min(endpointConns, max(share(endpointConnsShare)/endpointConnTotal, minEndpointConns))
	others := baseBytes + clientConns*clientConnTotal + p.endpointConns*endpointConnTotal +
		p.requests*requestBytes + p.objects + p.purges
	p.bodyBytes = max(min(share(plannedShare)-others, share(maxBodiesShare)), share(minBodiesShare))
	p.plannedBytes = others + p.bodyBytes
	return p
}

// powerOfTwoUpTo returns the largest power of two that is not above n, or 1.
func powerOfTwoUpTo(n int64) int64 {
	power := int64(1)
	for 2*power <= n {
		power *= 2
	}
	return power
}

// HeapLimitBytes returns the soft limit of the Go runtime's memory for a process that may use memoryMB of memory.
func HeapLimitBytes(memoryMB int) int64 {
	return int64(runtimeLimitShare * float64(memoryMB) * bytesPerMB)
}

// ClientRingBytes returns the size of each of the two ring buffers of a client connection.
func (c *Controller) ClientRingBytes() int { return c.limits.clientRingBytes }

// ClientConnBytes returns what a client connection uses at most, with its ring buffers.
func (c *Controller) ClientConnBytes() int64 {
	return int64(clientConnBytes + ringsPerConn*c.limits.clientRingBytes)
}

// EndpointRingBytes returns the size of each of the two ring buffers of a connection to an endpoint.
func (c *Controller) EndpointRingBytes() int { return c.limits.endpointRingBytes }

// ObjectsBytes returns the memory for objects that the routing module may remember.
func (c *Controller) ObjectsBytes() int64 { return c.limits.objects }

// PurgesBytes returns the memory for purges that the routing module may remember.
func (c *Controller) PurgesBytes() int64 { return c.limits.purges }
