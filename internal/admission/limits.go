package admission

// Sizes that other packages use.
const (
	// GCPercent is the heap growth between garbage collections. The live heap is small, and HeapLimitBytes limits the
	// heap in any case.
	GCPercent = 400

	// ClientRingBytes is the size of each of the two ring buffers of a client connection.
	ClientRingBytes = 16 << 10

	// EndpointRingBytes is the size of each of the two ring buffers of a connection to an endpoint.
	EndpointRingBytes = 16 << 10
)

// Shares of the memory.
const (
	bodiesShare   = 0.35 // for bodies
	requestsShare = 0.1  // for the state of open requests
	heapShare     = 0.7  // the runtime's soft limit; the rest is for stacks, the program and peaks
	bytesPerMB    = 1 << 20

	requestStateBytes     = 8 << 10 // state of an open request with its attempts and timers
	bodiesNearlyFullShare = 0.9     // share of the body budget above which no request is admitted
)

// Shares of the descriptors. The remainder is for the discovery service, the listener and the runtime.
const (
	// clientsShare is more than the third of the descriptors that clients need at most, as old and new connections
	// overlap while the old ones close.
	clientsShare   = 0.45
	refusedShare   = 0.06 // clients over their limit, which receive an error before they are closed
	endpointsShare = 0.4

	// perEndpointShare is the share of the endpoints' descriptors that one endpoint with several addresses may use. An
	// endpoint that does not respond must not use the descriptors of the other endpoints.
	perEndpointShare = 0.25

	// minConnsPerEndpoint is the lower bound of the number that results from perEndpointShare.
	minConnsPerEndpoint = 2

	// optionalShare is the share of the endpoints' descriptors up to which optional connections are opened, where an
	// attempt could share an existing connection. The rest is for endpoints without any connection.
	optionalShare = 0.75
)

// limits are the limits derived from the memory and the descriptors of the process.
type limits struct {
	bodyBytes        int64 // size of the body budget
	nearlyFullBytes  int64 // use of the body budget above which no request is admitted
	requests         int64 // open requests
	clients          int64 // client connections
	refusedClients   int64 // client connections over that number that are refused with an error
	endpointConns    int64 // connections to endpoints
	optionalConns    int64 // connections to endpoints up to which optional ones are opened
	connsPerEndpoint int   // connections to one endpoint with several addresses
}

func newLimits(memoryMB, descriptors int) limits {
	memoryBytes := float64(memoryMB) * bytesPerMB
	bodyBytes := int64(bodiesShare * memoryBytes)
	endpointConns := int64(endpointsShare * float64(descriptors))
	return limits{
		bodyBytes:        bodyBytes,
		nearlyFullBytes:  int64(bodiesNearlyFullShare * float64(bodyBytes)),
		requests:         int64(requestsShare * memoryBytes / requestStateBytes),
		clients:          int64(clientsShare * float64(descriptors)),
		refusedClients:   int64(refusedShare * float64(descriptors)),
		endpointConns:    endpointConns,
		optionalConns:    int64(optionalShare * float64(endpointConns)),
		connsPerEndpoint: max(int(perEndpointShare*float64(endpointConns)), minConnsPerEndpoint),
	}
}

// bodiesNearlyFull reports whether the body budget, with usedBytes in use, is too full for the bodies of another
// request: more than bodiesNearlyFullShare of it is in use.
//
// It guards against a deadlock: open requests fill the budget, and each waits for memory for a body that it needs to
// complete. That would show as requests without a response. The tenth that is left is for the bodies of requests
// admitted earlier.
func (l limits) bodiesNearlyFull(usedBytes int64) bool { return usedBytes > l.nearlyFullBytes }

// HeapLimitBytes returns the soft limit of the runtime's heap for a process that may use memoryMB of memory.
func HeapLimitBytes(memoryMB int) int64 { return int64(heapShare * float64(memoryMB) * bytesPerMB) }
