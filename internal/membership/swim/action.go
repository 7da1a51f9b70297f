package swim

// Action is an instruction that the core returns for its caller to execute: a Send, a StateChange or a NameConflict.
type Action interface{ isAction() }

// Send asks the caller to send a message. Records and accusations without a signed encoding are this member's own,
// and the caller signs them before sending.
type Send struct {
	To MemberID
	Message
}

// StateChange reports that a member's state changed in this router's membership view.
type StateChange struct {
	Member           MemberID
	From, To         State
	Reason           Reason
	Incarnation      Incarnation
	SuspectedSeconds float64 // time from the first suspicion to the failure; 0 if To is not Failed
}

// NameConflict reports that a newer process runs under this member's name. After it, the core sends no messages.
type NameConflict struct {
	InstanceID uint64 // instance ID of the other process
}

func (Send) isAction()         {}
func (StateChange) isAction()  {}
func (NameConflict) isAction() {}

// Reason is the cause of a member's state change. Its text is written to the log.
type Reason uint8

// The causes of state changes.
const (
	ReasonNotInRoster    Reason = iota + 1 // the member was removed from the roster
	ReasonProbesFailed                     // probes sent by this router failed and the member sent no refutation
	ReasonManyAccusers                     // more than Config.MaxByzantine+1 accusers; one with Config.PublishedSWIM
	ReasonFailureMessage                   // declared failed by another member; only with Config.PublishedSWIM
	ReasonNoAck                            // no ack to a probe sent by this router
	ReasonAccused                          // accused by another member
	ReasonAcked                            // the member acknowledged a probe
	ReasonRefuted                          // the member refuted the accusations
	ReasonNewerRecord                      // a newer record of the member was received
	ReasonLeft                             // the member's record states that it left
	ReasonStuck                            // the member's record states that its event loop is stuck
	ReasonEventLoop                        // this router's event loop got stuck or recovered
	ReasonLeaving                          // this router is leaving the cluster
	ReasonPreloaded                        // the record was loaded with Preload
)

var reasonTexts = [...]string{
	ReasonNotInRoster:    "not_in_roster",
	ReasonProbesFailed:   "probes_failed",
	ReasonManyAccusers:   "many_accusers",
	ReasonFailureMessage: "failure_message",
	ReasonNoAck:          "no_ack",
	ReasonAccused:        "accused",
	ReasonAcked:          "acked",
	ReasonRefuted:        "refuted",
	ReasonNewerRecord:    "newer_record",
	ReasonLeft:           "left",
	ReasonStuck:          "stuck",
	ReasonEventLoop:      "own_work",
	ReasonLeaving:        "leaving",
	ReasonPreloaded:      "preloaded",
}

func (r Reason) String() string { return reasonTexts[r] }
