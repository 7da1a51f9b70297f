// Package brain decides what a router of a two-tier cache does with each txn. The decisions are all in
// brain.go; this file holds what goes in and what comes out, in words that no protocol owns.
package routing

// Records are the standing facts that a router is handed at its start, by name.
type Records map[string]string

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
type ListKind int

// The kinds of listing.
const (
	Changes ListKind = iota // only the rows that changed
	Full                    // all rows
	Saved                   // all rows, as last held before a restart
	Failed                  // no rows: the list could not be had
)

// Status of a member in the list.
type Status int

// What the list can say of a member.
const (
	Ready Status = iota
	Draining
	Gone
)

// Row is one member of the list: an edge cache, a parent or the origin.
type Row struct {
	Member   string
	Location int
	Kind     int
	Cell     int
	Status   Status
	Weight   float64
	Started  float64 // clock time of its last start, 0 for long ago
}

// Listing is news of the members.
type Listing struct {
	Kind ListKind
	Rows []Row
}

// Arrival is a txn that this router has taken.
type Arrival struct {
	Txn    string
	Rule   int
	Object string
	Part   int
	Group  int
	Limit  float64 // clock time at which the client gives up
	KB     float64 // 0 where sizes are not told
	Write  bool
}

// Code says how a hop ended.
type Code int

// Ends of a hop. Busy, NoConnect, Moot and Miss prove that it did not run.
const (
	Completed Code = iota
	Errored
	Busy
	TimedOut
	NoConnect
	Broken
	Cancelled
	Moot
	Miss
)

// Remark tells more of an end, where the deployment tells it.
type Remark int

// Remarks on an end. From SourceRefused on they tell why a fill failed.
const (
	Untold Remark = iota
	Hit
	Filled
	FilledByOrigin
	Joined
	Old
	SourceRefused
	SourceLost
	SourceLacks
	NoPlace
	OriginFailed
)

// Reading is one value of a load report.
type Reading struct {
	Name  string
	Value float64
}

// Outcome is the end of a hop. Every hop has exactly one.
type Outcome struct {
	Txn       string
	Hop       int
	Member    string
	Code      Code
	Remark    Remark
	Took      float64
	FirstByte float64
	Final     bool // the txn has ended, by this or before
	Load      []Reading
}

// ClientGone says that a client has left; nothing more is owed.
type ClientGone struct{ Txn string }

// Bell is a timer come due.
type Bell struct{ Token uint64 }

// Checked is the answer to a Check.
type Checked struct {
	Member string
	Code   Code
	Took   float64
	Load   []Reading
}

// Purge voids the copies of an object, or of a whole group where Object is empty, made over Ago seconds ago.
type Purge struct {
	Ago    float64
	Group  int
	Object string
}

// Spare says whether there is something left of a budget of further hops: a remap rule's, or a member's where one is
// named.
type Spare struct {
	Rule   int
	Member string
	Left   bool
}

// Stuck says that a hop's connection is silent while its member answers another way, or may be asked so: the way is
// held to be bad before the member is.
type Stuck struct {
	Txn string
	Hop int
}

// Doubt says how far several witnesses doubt a member, from 0 to 1, and for how many seconds that counts.
type Doubt struct {
	Member string
	Level  float64
	For    float64
}

// Hop sends a txn to a member.
type Hop struct {
	Txn     string
	To      string
	Until   float64 // clock time at which the hop is dropped
	Source  string  // who fills a miss; To itself for nobody
	Rank    int     // 0 keeps nothing
	MaxAge  float64 // oldest copy that will do; 0 for the remap rule's fresh time
	Join    bool    // wait for a fill that runs already
	NoFetch bool    // the source gives only what it holds
	NoTrace bool    // the parent keeps no copy
	Renew   bool    // an ageing copy is served and renewed behind
}

// Cancel stops waiting for a hop.
type Cancel struct {
	Txn string
	Hop int
}

// Reject is the final answer that says that trying again is harmless.
type Reject struct {
	Txn   string
	Again float64 // seconds the client should stay away, 0 for no advice
}

// Abort is the final answer that promises nothing.
type Abort struct{ Txn string }

// Timer asks for a Bell.
type Timer struct {
	After float64
	Token uint64
}

// Check asks a member for its state.
type Check struct{ Member string }

// Subscribe asks for list changes from now on.
type Subscribe struct{}

// Note is a line for the operators.
type Note struct{ Text string }

func (Listing) event()    {}
func (Arrival) event()    {}
func (Outcome) event()    {}
func (ClientGone) event() {}
func (Bell) event()       {}
func (Checked) event()    {}
func (Purge) event()      {}
func (Spare) event()      {}
func (Stuck) event()      {}
func (Doubt) event()      {}

func (Hop) action()       {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Abort) action()     {}
func (Timer) action()     {}
func (Check) action()     {}
func (Subscribe) action() {}
func (Note) action()      {}
