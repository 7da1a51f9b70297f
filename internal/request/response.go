package request

// Result is the outcome of a request in its final response.
type Result int

// The outcomes of a request.
const (
	Completed Result = iota
	Rejected         // not processed; the client may safely retry
	Aborted          // not processed, or not known to be processed
)

var resultTexts = [...]string{
	Completed: "completed",
	Rejected:  "rejected",
	Aborted:   "aborted",
}

// String returns the result's text in counter labels.
func (r Result) String() string { return resultTexts[r] }

// Reason is the reason for a final response.
type Reason uint8

// The reasons for a final response. ReasonNone means that there is none: a function that returns the reason for
// rejecting a request returns ReasonNone if it does not reject it.
const (
	ReasonNone             Reason = iota
	ReasonAttemptCompleted        // an attempt completed
	ReasonRoutingDecision         // a routing decision rejected or aborted the request
	ReasonDuplicateID             // a request with the same ID is open
	ReasonDeadlineExceeded        // no routing decision ended the request before its deadline
	ReasonMalformed               // the request cannot be decoded, or its class is unknown
	ReasonMemoryShort             // the body budget is nearly used up, or has no room for the request
	ReasonTooManyRequests         // too many requests or client connections are open in the process
	ReasonTooManyStreams          // too many requests are open on the client's connection
	ReasonQueueFull               // the event loop's queue is full
	ReasonPanic                   // a panic aborted the request; the stack is in the log
	ReasonShutdown                // the process is shutting down
	ReasonOutputBacklog           // the client takes its output too slowly for another response
	ReasonReadLate                // the request was read too late: its client may have cancelled it
)

var reasonTexts = [...]string{
	ReasonNone:             "",
	ReasonAttemptCompleted: "attempt_completed",
	ReasonRoutingDecision:  "routing_decision",
	ReasonDuplicateID:      "duplicate_request_id",
	ReasonDeadlineExceeded: "deadline_exceeded",
	ReasonMalformed:        "malformed_request",
	ReasonMemoryShort:      "body_memory_exhausted",
	ReasonTooManyRequests:  "too_many_requests",
	ReasonTooManyStreams:   "too_many_streams",
	ReasonQueueFull:        "queue_full",
	ReasonPanic:            "panic",
	ReasonShutdown:         "shutdown",
	ReasonOutputBacklog:    "output_backlog",
	ReasonReadLate:         "read_late",
}

// String returns the reason's text in counter labels.
func (r Reason) String() string { return reasonTexts[r] }

// CancelReason is the reason for which a request was cancelled before it had a response.
type CancelReason uint8

// The reasons for a cancellation.
const (
	CancelledByClient CancelReason = iota // the client sent a cancel frame
	ConnectionEnded                       // the client's connection ended
)

var cancelReasonTexts = [...]string{
	CancelledByClient: "client_cancelled",
	ConnectionEnded:   "connection_closed",
}

// String returns the reason's text in counter labels.
func (r CancelReason) String() string { return cancelReasonTexts[r] }

// Response is the final response to a request.
type Response struct {
	Result            Result
	Reason            Reason  // for the counters; not sent to the client
	ErrorText         string  // sent to the client if its request was invalid
	RetryAfterSeconds float64 // delay before the client should retry; 0 for no recommendation
	ETag              string
	NotModified       bool  // the client's copy is current
	Body              *Body // nil if there is none
}
