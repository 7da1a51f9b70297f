package swim

// Action is something that the caller of the core has to carry out: a Send, a StateChange or a NameConflict.
type Action interface{ isAction() }

// Send is a message to be sent. Records and accusations without a signed encoding are the member's own: the caller
// signs them.
type Send struct {
	To MemberID
	Message
}

// StateChange reports that a member's state changed in the view.
type StateChange struct {
	Member           MemberID
	From, To         State
	Reason           Reason
	Incarnation      Incarnation
	SuspectedSeconds float64 // from the first suspicion until the failure; 0 for other changes
}

// NameConflict reports that a newer process runs under this member's name. The core is silent from then on.
type NameConflict struct {
	InstanceID uint64 // of the other process
}

func (Send) isAction()         {}
func (StateChange) isAction()  {}
func (NameConflict) isAction() {}

// Reason tells why a member's state changed.
type Reason uint8

// The reasons.
const (
	ReasonRemoved Reason = iota + 1
	ReasonProbesFailed
	ReasonManyAccusers
	ReasonDeadMessage
	ReasonNoAck
	ReasonAccused
	ReasonAcked
	ReasonRefuted
	ReasonNewerRecord
	ReasonLeft
	ReasonStuck
	ReasonOwnWork
	ReasonLeaving
	ReasonPreloaded
)

var reasonTexts = [...]string{
	ReasonRemoved:      "not in the roster",
	ReasonProbesFailed: "own probes failed and it did not refute",
	ReasonManyAccusers: "accused by more members than may be byzantine",
	ReasonDeadMessage:  "declared failed by another member",
	ReasonNoAck:        "no ack to own probes",
	ReasonAccused:      "accused by another member",
	ReasonAcked:        "it acked a probe",
	ReasonRefuted:      "it refuted",
	ReasonNewerRecord:  "its newer record",
	ReasonLeft:         "it left",
	ReasonStuck:        "it reports that its event loop is stuck",
	ReasonOwnWork:      "own event loop stuck or running again",
	ReasonLeaving:      "this member leaves",
	ReasonPreloaded:    "preloaded",
}

func (r Reason) String() string { return reasonTexts[r] }
