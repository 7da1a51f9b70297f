package discovery

import "time"

// The waits between two connections. The longest is short: a router without the endpoint list's news goes on sending
// to endpoints that drain.
const (
	initialBackoff = 100 * time.Millisecond
	backoffFactor  = 2 // by which each wait is longer than the one before
	maxBackoff     = 400 * time.Millisecond
)

// nextBackoff returns the wait that follows one after a connection that brought no event.
//
// It guards against routers that all dial a service without a pause while it is down or restarts.
func nextBackoff(backoff time.Duration) time.Duration { return min(backoffFactor*backoff, maxBackoff) }
