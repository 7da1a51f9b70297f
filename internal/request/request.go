// Package request defines the data that the stages of the router pass to each other: a client's request, the final
// response to it, the outcome of one attempt, and the budget that limits the bytes of all bodies.
//
// The package starts no goroutine and does no I/O. It makes no decision: the packages admission and routing decide
// whether a request is admitted, where it is sent and how often. The encoding of a request on the wire is defined by
// clientproto.
package request

import (
	"sync/atomic"

	"cairnfront/routing"
)

// Request is a client's request. Fields of type string contain the client's text and are forwarded unchanged.
type Request struct {
	ID             routing.RequestID
	StreamID       uint32 // stream ID on the client connection
	Class          routing.ClassIndex
	ClassName      string
	Object         string
	Part           string  // part number, as the client wrote it
	PartNumber     int     // Part as a number; Chunk in routing.RequestArrived
	PurgeGroup     int     // group of objects that are purged together; ObjectGroup in routing.RequestArrived
	SizeKB         float64 // expected size of the object in KB, as the client sent it; 0 if it did not
	IdempotencyKey string  // empty in classes without idempotency keys
	ETag           string  // ETag of the client's copy; empty if it has none
	Body           *Body   // nil if there is none
	ArrivedAt      float64 // monotonic time in seconds at which the last byte was read
	Deadline       float64 // monotonic time in seconds at which the client gives up
	ResponseWriter ResponseWriter
	Share          *Share       // of its client connection; nil if it came on none
	Place          Place        // its place among the open requests; nil if it has none
	Client         Client       // nil if only Cancel tells that the client does not wait
	Reservation    *Reservation // room for its response; nil if that is expected to be small

	// cancelled is 1 once the client no longer waits for the response. It must be accessed atomically. It is no
	// atomic.Bool, as decoding copies the struct, which an atomic.Bool forbids.
	cancelled uint32
}

// Cancel records that the client has closed its connection or cancelled the request. It is safe for concurrent use. It
// takes effect immediately, before the event loop has handled the cancellation: no attempt begins after it.
func (r *Request) Cancel() { atomic.StoreUint32(&r.cancelled, 1) }

// Cancelled reports whether Cancel has been called.
func (r *Request) Cancelled() bool { return atomic.LoadUint32(&r.cancelled) == 1 }

// ClientGone reports whether the client does not wait any more, as far as is known: Cancel has been called, or the
// client has closed its connection, which the goroutine that reads the connection may notice much later, or its cancel
// may have been unread for long.
func (r *Request) ClientGone() bool {
	return r.Cancelled() || r.Client != nil && (r.Client.InputOverdue() || r.Client.Disconnected())
}

// Done returns the request's place and its reservation. It is called once nothing but the writing of the response is
// left to do for it.
func (r *Request) Done() {
	r.Reservation.Release()
	if r.Place != nil {
		r.Place.Release()
	}
}

// Place is a place among the open requests of the process. Further calls of Release have no effect.
type Place interface{ Release() }

// Client is the connection that a request came on.
type Client interface {
	// Disconnected reports whether the client has closed or reset the connection, also if input before that is unread.
	// It does not wait, and is safe for concurrent use.
	Disconnected() bool

	// InputOverdue reports whether input may be unread that arrived so long ago that a cancel in it would be late. It
	// does not wait, and is safe for concurrent use.
	InputOverdue() bool
}

// ResponseWriter accepts the final response to a request. It is called by the event loop, and by the goroutine that
// reads the client connection for a request that it does not hand over. It must not wait for the client.
type ResponseWriter interface {
	// Respond takes a response and reports whether it was accepted. Only the first response to a request that was not
	// cancelled is accepted. The body of any other response is freed.
	Respond(r *Request, response Response) bool
}
