package upstream

import (
	"cairnfront/internal/request"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// Event is sent from a pool to its owner: AttemptEnded, DialEnded or ConnectionClosed. The owner passes each event to
// HandleEvent.
type Event interface{ isUpstreamEvent() }

// AttemptEnded reports that an attempt or a health check has ended. It occurs exactly once for each, with two
// exceptions: it does not occur if Cancel ended the attempt immediately, unless the end was already being reported, and
// it may be lost if a goroutine of the connection panics.
type AttemptEnded struct {
	Attempt *Attempt
	End     request.AttemptEnd
}

// DialEnded reports the result of one dial to an endpoint with more than one address.
type DialEnded struct {
	Endpoint routing.EndpointID
	Addr     address.Addr
	Result   address.DialResult
	Seconds  float64 // duration of the dial
}

// ConnectionClosed reports that a connection has closed and carries no more attempts.
type ConnectionClosed struct{ Connection *Connection }

func (AttemptEnded) isUpstreamEvent()     {}
func (DialEnded) isUpstreamEvent()        {}
func (ConnectionClosed) isUpstreamEvent() {}
