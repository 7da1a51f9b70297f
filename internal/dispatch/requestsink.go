package dispatch

import (
	"cairnfront/internal/frontend"
	"cairnfront/internal/request"
)

var _ frontend.RequestSink = (*Dispatcher)(nil)

// RequestArrived queues an admitted request if there is room for it now, and reports whether there was. It never waits.
func (l *Dispatcher) RequestArrived(r *request.Request) bool { return l.Offer(r) }

// RequestCancelled queues, ahead of all other events, that the client of a request does not wait any more. It never
// waits.
func (l *Dispatcher) RequestCancelled(r *request.Request) {
	l.Post(frontend.RequestCancelled{Request: r})
}
