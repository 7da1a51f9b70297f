package admission

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

	// nearLimitShare is the share of the client connections above which idle ones are closed sooner. It is above what
	// clients need at most.
	nearLimitShare = 0.8

	// waitingConnsDivisor gives the fraction (1/n) of the connections to endpoints that may wait for memory.
	waitingConnsDivisor = 8

	// minConnsPerEndpoint is the lower bound of the number that results from perEndpointShare.
	minConnsPerEndpoint = 2

	// optionalShare is the share of the endpoints' descriptors up to which optional connections are opened, where an
	// attempt could share an existing connection. The rest is for endpoints without any connection.
	optionalShare = 0.75
)

// limits are the limits derived from the memory and the descriptors of the process.
type limits struct {
	memoryPlan

	clients          int64 // client connections
	refusedClients   int64 // client connections over that number that are refused with an error
	endpointConns    int64 // connections to endpoints
	optionalConns    int64 // connections to endpoints up to which optional ones are opened
	connsPerEndpoint int   // connections to one endpoint with several addresses
}

func newLimits(memoryMB, descriptors int) limits {
	l := limits{
		clients:        int64(clientsShare * float64(descriptors)),
		refusedClients: int64(refusedShare * float64(descriptors)),
		endpointConns:  int64(endpointsShare * float64(descriptors)),
	}
	l.memoryPlan = newMemoryPlan(int64(memoryMB)*bytesPerMB, l.clients+l.refusedClients, l.endpointConns)
	l.endpointConns = l.memoryPlan.endpointConns
	l.optionalConns = int64(optionalShare * float64(l.endpointConns))
	l.connsPerEndpoint = max(int(perEndpointShare*float64(l.endpointConns)), minConnsPerEndpoint)
	return l
}
