package admission

// Sizes that other packages use.
const (
	// GCPercent is the heap growth between garbage collections. The live heap is small, and HeapLimitBytes bounds the
	// heap all the same.
	GCPercent = 400

	// ClientRingBytes is the size of each ring buffer of a client's connection, of which there are two.
	ClientRingBytes = 16 << 10

	// EndpointRingBytes is the size of each ring buffer of a connection to an endpoint, of which there are two.
	EndpointRingBytes = 16 << 10
)

// Shares of the memory.
const (
	bodiesShare   = 0.35 // for bodies
	requestsShare = 0.1  // for the state of open requests
	heapShare     = 0.7  // the runtime's soft limit; the rest is for stacks, the program and peaks
	bytesPerMB    = 1 << 20

	requestBytes      = 8 << 10 // state of an open request: itself, its attempts and its timers
	bodiesNearlyShare = 0.9     // of the body budget, past which no request is admitted
)

// Shares of the descriptors. What they leave over is for the discovery service, the listener and the runtime.
const (
	clientsShare   = 0.45 // clients need a third at most; old and new connections overlap while the old ones close
	refusedShare   = 0.06 // clients over their limit, which get an error before they are closed
	endpointsShare = 0.4

	// perEndpointShare is the part of the endpoints' descriptors that one endpoint with several addresses may take. An
	// endpoint that does not answer must not take the other endpoints' descriptors.
	perEndpointShare = 0.25

	// minConnsPerEndpoint is the lower bound of what perEndpointShare gives.
	minConnsPerEndpoint = 2

	// optionalShare is the part of the endpoints' descriptors up to which connections are opened that an attempt can do
	// without, as it could share one. The rest is for endpoints without any connection.
	optionalShare = 0.75
)

// limits are the bounds that follow from the memory and the descriptors of the process.
type limits struct {
	bodyBytes        int64 // size of the body budget
	nearlyFullBytes  int64 // use of the body budget past which no request is admitted
	requests         int64 // open requests
	clients          int64 // clients' connections
	refusedClients   int64 // clients' connections beyond those
	endpointConns    int64 // connections to endpoints
	optionalConns    int64 // connections to endpoints up to which one may be opened that an attempt can do without
	connsPerEndpoint int   // connections to one endpoint with several addresses
}

func newLimits(memoryMB, descriptors int) limits {
	memoryBytes := float64(memoryMB) * bytesPerMB
	bodyBytes := int64(bodiesShare * memoryBytes)
	endpointConns := int64(endpointsShare * float64(descriptors))
	return limits{
		bodyBytes:        bodyBytes,
		nearlyFullBytes:  int64(bodiesNearlyShare * float64(bodyBytes)),
		requests:         int64(requestsShare * memoryBytes / requestBytes),
		clients:          int64(clientsShare * float64(descriptors)),
		refusedClients:   int64(refusedShare * float64(descriptors)),
		endpointConns:    endpointConns,
		optionalConns:    int64(optionalShare * float64(endpointConns)),
		connsPerEndpoint: max(int(perEndpointShare*float64(endpointConns)), minConnsPerEndpoint),
	}
}

// bodiesNearlyFull reports whether the body budget with so many bytes in use has no room for another request's bodies.
//
// It guards against a budget that open requests fill with bodies which they need to end: each would wait for the
// others, and show as a request without an answer. The tenth that is left is for bodies of requests admitted before.
func (l limits) bodiesNearlyFull(usedBytes int64) bool { return usedBytes > l.nearlyFullBytes }

// HeapLimitBytes returns the soft limit of the runtime's heap for a process that may use memoryMB.
func HeapLimitBytes(memoryMB int) int64 { return int64(heapShare * float64(memoryMB) * bytesPerMB) }
