// Package request defines what the stages of the router hand to each other: a client's request, the final response to
// it, the end of one attempt, and the budget that bounds the bytes of all bodies.
//
// The package owns no goroutine and does no I/O. It makes no decision: whether a request is admitted, where it is sent
// and how often is up to the packages admission and routing. The form of a request on the wire is up to clientproto.
package request

import (
	"sync/atomic"

	"cairnfront/routing"
)

// Request is a client's request. Fields of type string hold the client's text and are sent on unchanged.
type Request struct {
	ID             routing.RequestID
	StreamID       uint32 // of the client's connection
	Class          routing.ClassIndex
	ClassName      string
	Object         string
	Part           string  // number of the part, as the client wrote it
	PartNumber     int     // the same as a number
	PurgeGroup     int     // group of objects that are purged together
	SizeKB         float64 // expected size of the object, 0 where the client does not tell it
	IdempotencyKey string  // empty in classes without one
	ETag           string  // of the copy that the client has; empty for none
	Body           *Body   // nil for none
	ArrivedAt      float64 // monotonic seconds at which the last byte was read
	Deadline       float64 // monotonic seconds at which the client gives up
	ResponseWriter ResponseWriter

	// cancelled is 1 once the client does not wait any more. It is accessed atomically. An atomic.Bool would forbid the
	// copy of the struct that decoding makes.
	cancelled uint32
}

// Cancel records that the client has closed its connection or cancelled the request. Any goroutine may call it. It
// takes effect at once, before the event loop has handled the cancellation: no attempt begins after it.
func (r *Request) Cancel() { atomic.StoreUint32(&r.cancelled, 1) }

// Cancelled reports whether Cancel has been called.
func (r *Request) Cancelled() bool { return atomic.LoadUint32(&r.cancelled) == 1 }

// ResponseWriter takes the final response to a request. The event loop calls it, and the goroutine that reads the
// client's connection for a request that it does not hand on. It must not wait for the client.
type ResponseWriter interface {
	// Respond takes the response and reports whether it was accepted. Only the first response to a request that was
	// not cancelled is. The body of a response that was not accepted is freed.
	Respond(r *Request, response Response) bool
}
