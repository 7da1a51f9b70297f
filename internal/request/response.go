package request

// Result is the kind of a final response.
type Result int

// The kinds of a final response.
const (
	Completed Result = iota
	Rejected         // not done; the client may safely try again
	Aborted          // not done or not known to be done
)

var resultTexts = [...]string{
	Completed: "completed",
	Rejected:  "rejected",
	Aborted:   "aborted",
}

// String returns the result's text in labels of counters.
func (r Result) String() string { return resultTexts[r] }

// Reason says why a request got its final response.
type Reason uint8

// The reasons of a final response. ReasonNone stands for no reason: where a function returns why it rejects a request,
// ReasonNone means that it does not.
const (
	ReasonNone             Reason = iota
	ReasonAttemptCompleted        // an attempt completed
	ReasonDecided                 // the routing decisions rejected or aborted it
	ReasonDuplicateID             // a request with the same ID is open
	ReasonDeadlineExceeded        // the routing decisions did not end it until after its deadline
	ReasonMalformed               // it can't be decoded, or its class is unknown
	ReasonMemoryShort             // the body budget is used up
	ReasonTooManyRequests         // too many requests are open in the process
	ReasonTooManyStreams          // too many requests are open on the client's connection
	ReasonQueueFull               // the event loop's queue is full
	ReasonPanic                   // a panic ended it; the stack is in the log
	ReasonShutdown                // the process ends
)

var reasonTexts = [...]string{
	ReasonNone:             "",
	ReasonAttemptCompleted: "attempt_completed",
	ReasonDecided:          "routing_decision",
	ReasonDuplicateID:      "duplicate_request_id",
	ReasonDeadlineExceeded: "deadline_exceeded",
	ReasonMalformed:        "malformed_request",
	ReasonMemoryShort:      "body_memory_exhausted",
	ReasonTooManyRequests:  "too_many_requests",
	ReasonTooManyStreams:   "too_many_streams",
	ReasonQueueFull:        "queue_full",
	ReasonPanic:            "panic",
	ReasonShutdown:         "shutdown",
}

// String returns the reason's text in labels of counters.
func (r Reason) String() string { return reasonTexts[r] }

// CancelReason says why a request was cancelled before it had a response.
type CancelReason uint8

// The reasons of a cancellation.
const (
	CancelledByClient CancelReason = iota // the client sent a cancel frame
	ConnectionEnded                       // the client's connection ended
)

var cancelReasonTexts = [...]string{
	CancelledByClient: "client_cancelled",
	ConnectionEnded:   "connection_closed",
}

// String returns the reason's text in labels of counters.
func (r CancelReason) String() string { return cancelReasonTexts[r] }

// Response is the final response to a request.
type Response struct {
	Result            Result
	Reason            Reason  // for the counters; the client does not see it
	ErrorText         string  // sent to the client where the request was at fault
	RetryAfterSeconds float64 // how long the client should wait before it tries again, 0 for no advice
	ETag              string
	NotModified       bool  // the client's copy is current
	Body              *Body // nil for none
}
