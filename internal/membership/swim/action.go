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

// Reason is why a member's state changed. Its text is the log's.
type Reason uint8

// The reasons.
const (
	ReasonNotInRoster    Reason = iota + 1 // it was taken out of the roster
	ReasonProbesFailed                     // own probes failed and it did not refute
	ReasonManyAccusers                     // accused by more members than may be byzantine
	ReasonFailureMessage                   // declared failed by another member; only with Config.PublishedSWIM
	ReasonNoAck                            // no ack to an own probe
	ReasonAccused                          // accused by another member
	ReasonAcked                            // it acked a probe
	ReasonRefuted                          // it refuted the accusations
	ReasonNewerRecord                      // a newer record of it
	ReasonLeft                             // its record says that it left
	ReasonStuck                            // its record says that its event loop is stuck
	ReasonOwnWork                          // this router's event loop is stuck, or runs again
	ReasonLeaving                          // this router leaves
	ReasonPreloaded                        // known from before the start
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
	ReasonOwnWork:        "own_work",
	ReasonLeaving:        "leaving",
	ReasonPreloaded:      "preloaded",
}

func (r Reason) String() string { return reasonTexts[r] }
