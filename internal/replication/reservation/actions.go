package reservation

import (
	"fmt"

	"cairnfront/internal/replication/statemachine"
)

// RequestID identifies a client's request within this router.
type RequestID string

// Attempt is an attempt of an idempotency-keyed request that the routing module wants to send.
type Attempt struct {
	RequestID      RequestID
	Index          int // index of the attempt within its request
	Key            string
	Group          string  // group of endpoints that drop repeats of a key
	WindowSeconds  float64 // how long the group drops repeats
	Deadline       float64 // deadline of the request, in seconds on the core's clock
	PriorityWeight float64
}

// Outcome is the outcome of a keyed request.
type Outcome uint8

// The outcomes of a keyed request.
const (
	OutcomeUnknown     Outcome = iota // an attempt may have run
	OutcomeCompleted                  // an attempt ran and was answered
	OutcomeNotExecuted                // every allowed attempt certainly did not run
)

// Action is an action that the caller must carry out.
type Action interface{ isAction() }

// SubmitCommand proposes a command to the shard of its key. The result of a reservation is passed
// to Core.HandleResult with the same number, unless it is lost.
type SubmitCommand struct {
	Number  uint64 // 0 if no result is expected
	Command statemachine.Command
	Retry   int // 0 for the first submission; a retry is sent to another replica
}

// AllowAttempt allows an attempt to be sent.
type AllowAttempt struct {
	RequestID RequestID
	Index     int
}

// DenyAttempt ends an attempt that was not sent and therefore did not run.
type DenyAttempt struct {
	RequestID RequestID
	Index     int
}

// ReportLocation reports to the routing module the group in which an earlier attempt of the
// request's key may have run.
type ReportLocation struct {
	RequestID RequestID
	Group     string
	// ExpiresAt is the end of the group's window in seconds on the core's clock. If the location is
	// remembered from a denial by the shard, the time is statemachine.RetentionSeconds later.
	ExpiresAt float64
	Completed bool // the earlier attempt ran and was answered
}

// RejectRequest rejects a request whose attempt was denied because the location of its key could
// not be determined. No attempt ran.
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

// RejectReason is the reason for rejecting a request.
type RejectReason uint8

// The reasons for a rejection.
const (
	ReasonUnreachable    RejectReason = iota + 1 // no replica can be reached
	ReasonTooLittleTime                          // too little time before the deadline for a reservation
	ReasonTooManyPending                         // too many pending reservations, none of lower weight
	ReasonDisplaced                              // displaced by a reservation with a higher weight
	ReasonNoResult                               // no result from the shard before the deadline
	ReasonResultTooLate                          // the result came too late for an attempt before the deadline
)

// String returns the reason as it appears in logs and responses.
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
