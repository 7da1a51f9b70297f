package upstream

import (
	"cairnfront/internal/request"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// Event is what a pool tells its owner: AttemptEnded, DialEnded or ConnectionClosed. The owner hands each to
// HandleEvent.
type Event interface{ isUpstreamEvent() }

// AttemptEnded says that an attempt or a health check is over. Each has one such event, unless Cancel ended it at
// once.
type AttemptEnded struct {
	Attempt *Attempt
	End     request.AttemptEnd
}

// DialEnded says how one dial ended, of an endpoint with several addresses.
type DialEnded struct {
	Endpoint routing.EndpointID
	Addr     address.Addr
	Result   address.DialResult
	Seconds  float64 // how long the dial took
}

// ConnectionClosed says that a connection has ended and carries nothing any more.
type ConnectionClosed struct{ Connection *Connection }

func (AttemptEnded) isUpstreamEvent()     {}
func (DialEnded) isUpstreamEvent()        {}
func (ConnectionClosed) isUpstreamEvent() {}
