package reservation

import (
	"fmt"

	"cairnfront/internal/replication/statemachine"
)

// RequestID names a client's request within this router.
type RequestID string

// Attempt is an attempt of an idempotency-keyed request that the routing decisions want to send.
type Attempt struct {
	RequestID      RequestID
	Index          int // of the attempt within its request
	Key            string
	Group          string  // of endpoints that drop a repeated key
	WindowSeconds  float64 // for which the group drops a repeat
	Deadline       float64 // of the request, in seconds of the core's clock
	PriorityWeight float64
}

// Outcome is how a keyed request ended.
type Outcome uint8

// The outcomes of a keyed request.
const (
	OutcomeUnknown     Outcome = iota // an attempt may have run
	OutcomeCompleted                  // an attempt ran and was answered
	OutcomeNotExecuted                // each attempt that was allowed surely did not run
)

// Action is what the caller has to carry out.
type Action interface{ isAction() }

// SubmitCommand proposes a command to the shard of its key. The result of a reservation goes back
// to Core.HandleResult by its number, or never comes.
type SubmitCommand struct {
	Number  uint64 // 0 where the result is not wanted
	Command statemachine.Command
	Retry   int // 0 for the first submission; a later one goes to another replica
}

// AllowAttempt lets an attempt be sent.
type AllowAttempt struct {
	RequestID RequestID
	Index     int
}

// DenyAttempt ends an attempt that was not sent, which therefore did not run.
type DenyAttempt struct {
	RequestID RequestID
	Index     int
}

// ReportLocation gives the routing decisions the group in which the request's key was attempted before.
type ReportLocation struct {
	RequestID RequestID
	Group     string
	ExpiresAt float64 // end of the group's window, in seconds of the core's clock
	Completed bool    // the earlier attempt ran and was answered
}

// RejectRequest answers a request whose attempt was denied because its key's location could not be
// learned. Nothing ran.
type RejectRequest struct {
	RequestID         RequestID
	RetryAfterSeconds float64
	Reason            RejectReason
}

func (SubmitCommand) isAction()  {}
func (AllowAttempt) isAction()   {}
func (DenyAttempt) isAction()    {}
func (ReportLocation) isAction() {}
func (RejectRequest) isAction()  {}

// RejectReason is why a request was rejected.
type RejectReason uint8

// The reasons of a rejection.
const (
	ReasonUnreachable    RejectReason = iota + 1 // no replica can be asked
	ReasonTooLittleTime                          // the deadline is too near for a reservation
	ReasonTooManyPending                         // as many reservations of at least the same weight are pending
	ReasonDisplaced                              // a reservation of more weight took its place
	ReasonNoResult                               // the shard did not answer before the deadline
	ReasonResultTooLate                          // the result left too little time for the attempt
)

// String is the reason's text in logs and responses.
func (r RejectReason) String() string {
	switch r {
	case ReasonUnreachable:
		return "unreachable"
	case ReasonTooLittleTime:
		return "too_little_time"
	case ReasonTooManyPending:
		return "too_many_pending"
	case ReasonDisplaced:
		return "displaced"
	case ReasonNoResult:
		return "no_result"
	case ReasonResultTooLate:
		return "result_too_late"
	}
	return fmt.Sprintf("reason_%d", uint8(r))
}
