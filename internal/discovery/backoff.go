package discovery

import "time"

// The exponential backoff between two connections. The maximum is short because a router that does not receive changes
// of the endpoint list continues to send attempts to draining endpoints.
const (
	initialBackoff = 100 * time.Millisecond
	backoffFactor  = 2 // ratio of each wait to the previous one
	maxBackoff     = 400 * time.Millisecond
)

// nextBackoff returns the wait that follows the given one, after a connection that delivered no event.
//
// It guards against routers that dial the discovery service without a pause while it is down or restarting.
func nextBackoff(backoff time.Duration) time.Duration { return min(backoffFactor*backoff, maxBackoff) }
