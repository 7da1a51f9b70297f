// Package brain decides what a router of a two-tier cache does with each txn. The decisions are all in
// brain.go; this file holds what goes in and what comes out, in words that no protocol owns.
package routing

// RequestID names a request among all that one router has open.
type RequestID string

// EndpointID names an edge cache, a parent cache or the origin, as the endpoint list does.
type EndpointID string

// ClassIndex is the position of a request class in the settings.
type ClassIndex int

// Settings are the standing facts that a router is handed at its start, by name.
type Settings map[string]string

// Decider is one router's decision logic. Events come in the order in which they happened and never
// with an earlier clock; the actions are to be carried out in order, at that same time.
type Decider interface {
	Decide(now float64, ev Event) []Action
}

// Event is one of Listing, Arrival, Outcome, ClientGone, Bell, Checked, Purge, Spare, Stuck and Doubt.
type Event interface{ event() }

// Action is one of Hop, Cancel, Reject, Abort, Timer, Check, Subscribe and Note.
type Action interface{ action() }

// ListKind says how a Listing relates to the list in hand.
type UpdateKind int

// The kinds of listing.
const (
	Incremental UpdateKind = iota // only the rows that changed
	Snapshot                      // all rows
	Restored                      // all rows, as last held before a restart
	Unavailable                   // no rows: the list could not be had
)

// Status of a member in the list.
type EndpointStatus int

// What the list can say of a member.
const (
	Ready EndpointStatus = iota
	Draining
	Removed
)

// Row is one member of the list: an edge cache, a parent or the origin.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Kind      int
	Cell      int
	Status    EndpointStatus
	Weight    float64
	StartedAt float64 // clock time of its last start, 0 for long ago
}

// Listing is news of the members.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Arrival is a txn that this router has taken.
type RequestArrived struct {
	Request     RequestID
	Class       ClassIndex
	Object      string
	Chunk       int
	ObjectGroup int
	Deadline    float64 // clock time at which the client gives up
	SizeKB      float64 // 0 where sizes are not told
	Write       bool
}

// Code says how a hop ended.
type AttemptResult int

// Ends of a hop. Busy, NoConnect, Moot and Miss prove that it did not run.
const (
	Completed AttemptResult = iota
	ServerError
	Overloaded
	TimedOut
	ConnectFailed
	ConnectionBroken
	Cancelled
	NotSent
	CacheMiss
)

// Remark tells more of an end, where the deployment tells it.
type ResultDetail int

// Remarks on an end. From SourceRefused on they tell why a fill failed.
const (
	NoDetail ResultDetail = iota
	CacheHit
	Filled
	FilledByOrigin
	JoinedFill
	StaleHit
	SourceRefused
	SourceUnreachable
	SourceCacheMiss
	FillSlotsExhausted
	OriginFailed
)

// Reading is one value of a load report.
type LoadMetric struct {
	Name  string
	Value float64
}

// Outcome is the end of a hop. Every hop has exactly one.
type AttemptEnded struct {
	Request          RequestID
	Attempt          int
	Endpoint         EndpointID
	Result           AttemptResult
	Detail           ResultDetail
	ElapsedSeconds   float64
	FirstByteSeconds float64
	RequestDone      bool // the txn has ended, by this or before
	LoadReport       []LoadMetric
}

// ClientGone says that a client has left; nothing more is owed.
type ClientDisconnected struct{ Request RequestID }

// Bell is a timer come due.
type TimerFired struct{ Token uint64 }

// Checked is the answer to a Check.
type ProbeResult struct {
	Endpoint       EndpointID
	Result         AttemptResult
	ElapsedSeconds float64
	LoadReport     []LoadMetric
}

// Purge voids the copies of an object, or of a whole group where Object is empty, made over Ago seconds ago.
type Purge struct {
	AgeSeconds  float64
	ObjectGroup int
	Object      string
}

// Spare says whether there is something left of a budget of further hops: a remap rule's, or a member's where one is
// named.
type RetryBudgetChanged struct {
	Class     ClassIndex
	Endpoint  EndpointID
	Available bool
}

// Stuck says that a hop's connection is silent while its member answers another way, or may be asked so: the way is
// held to be bad before the member is.
type AttemptStalled struct {
	Request RequestID
	Attempt int
}

// Doubt says how far several witnesses doubt a member, from 0 to 1, and for how many seconds that counts.
type HealthObservation struct {
	Endpoint     EndpointID
	Suspicion    float64
	ValidSeconds float64
}

// Hop sends a txn to a member.
type StartAttempt struct {
	Request       RequestID
	Endpoint      EndpointID
	Deadline      float64    // clock time at which the hop is dropped
	Source        EndpointID // who fills a miss; To itself for nobody
	RetentionRank int        // 0 keeps nothing
	MaxAgeSeconds float64    // oldest copy that will do; 0 for the remap rule's fresh time
	JoinFill      bool       // wait for a fill that runs already
	CacheOnly     bool       // the source gives only what it holds
	ParentNoStore bool       // the parent keeps no copy
	Revalidate    bool       // an ageing copy is served and renewed behind
}

// Cancel stops waiting for a hop.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is the final answer that says that trying again is harmless.
type RejectRequest struct {
	Request           RequestID
	RetryAfterSeconds float64 // seconds the client should stay away, 0 for no advice
}

// Abort is the final answer that promises nothing.
type AbortRequest struct{ Request RequestID }

// Timer asks for a Bell.
type SetTimer struct {
	AfterSeconds float64
	Token        uint64
}

// Check asks a member for its state.
type Probe struct{ Endpoint EndpointID }

// Subscribe asks for list changes from now on.
type SubscribeEndpoints struct{}

// Note is a line for the operators.
type LogNote struct{ Message string }

func (EndpointUpdate) event()     {}
func (RequestArrived) event()     {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (ProbeResult) event()        {}
func (Purge) event()              {}
func (RetryBudgetChanged) event() {}
func (AttemptStalled) event()     {}
func (HealthObservation) event()  {}

func (StartAttempt) action()       {}
func (CancelAttempt) action()      {}
func (RejectRequest) action()      {}
func (AbortRequest) action()       {}
func (SetTimer) action()           {}
func (Probe) action()              {}
func (SubscribeEndpoints) action() {}
func (LogNote) action()            {}
