package routing

// RequestID names a request among all that one router has open.
type RequestID string

// EndpointID names an edge cache, a parent cache or the origin, as the endpoint list does.
type EndpointID string

// ClassIndex is the position of a request class in the settings.
type ClassIndex int

// Decider is one router's decision logic. Events come in the order in which they happened and never with an earlier
// time; the actions are to be carried out in order, at that same time. Times are seconds of one clock.
type Decider interface {
	Decide(now float64, event Event) []Action
}

// Event is one of EndpointUpdate, RequestArrived, AttemptEnded, ClientDisconnected, TimerFired, ProbeResult, Purge,
// RetryBudgetChanged, AttemptStalled and HealthObservation.
type Event interface{ event() }

// UpdateKind says how an EndpointUpdate relates to the list in hand.
type UpdateKind int

// The kinds of endpoint updates.
const (
	Incremental UpdateKind = iota // only the endpoints that changed
	Snapshot                      // all endpoints
	Restored                      // all endpoints, as last known before a restart
	Unavailable                   // no endpoints: the list could not be had
)

// EndpointStatus is the status of an endpoint in the list.
type EndpointStatus int

// The statuses of an endpoint.
const (
	Ready EndpointStatus = iota
	Draining
	Removed
)

// Endpoint is one entry of the list: an edge cache, a parent cache or the origin. Its Weight is its capacity in
// transfers at a time.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Kind      int
	Cell      int
	Status    EndpointStatus
	Weight    float64
	StartedAt float64 // time of its last start, 0 for long ago
}

// EndpointUpdate is news of the endpoints.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// RequestArrived is a request that this router has accepted.
type RequestArrived struct {
	Request     RequestID
	Class       ClassIndex
	Object      string
	Chunk       int
	ObjectGroup int
	Deadline    float64 // time at which the client gives up
	SizeKB      float64 // 0 where sizes are not known
	Write       bool
}

// AttemptResult says how an attempt ended.
type AttemptResult int

// The results of an attempt. Overloaded, ConnectFailed, NotSent and CacheMiss prove that it did not run.
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

// isAnswer says whether the endpoint itself was heard.
func (a AttemptResult) isAnswer() bool {
	return a == Completed || a == ServerError || a == Overloaded || a == CacheMiss
}

// ResultDetail says more of a result, where the deployment reports it.
type ResultDetail int

// The details of a result. From SourceRefused on they say why a fill failed.
const (
	NoDetail ResultDetail = iota
	CacheHit
	Filled
	FilledByOrigin
	JoinedFill // it waited for a fill that another request had started
	StaleHit
	SourceRefused
	SourceUnreachable
	SourceCacheMiss
	FillSlotsExhausted // the cache runs as many fills as it can
	OriginFailed
)

// LoadMetric is one value of a load report.
type LoadMetric struct {
	Name  string
	Value float64
}

// AttemptEnded is the end of an attempt. Every attempt has exactly one.
type AttemptEnded struct {
	Request          RequestID
	Attempt          int // its number among the request's attempts, from 0
	Endpoint         EndpointID
	Result           AttemptResult
	Detail           ResultDetail
	ElapsedSeconds   float64
	FirstByteSeconds float64
	RequestDone      bool // the request has ended, by this attempt or before
	LoadReport       []LoadMetric
}

// answeredFromCache says whether the endpoint is known to have had a copy.
func (end AttemptEnded) answeredFromCache() bool {
	return end.Result == Completed && (end.Detail == CacheHit || end.Detail == StaleHit)
}

// ClientDisconnected says that a client has left; no answer is owed any more.
type ClientDisconnected struct{ Request RequestID }

// TimerFired is a timer that has expired.
type TimerFired struct{ Token uint64 }

// ProbeResult is the answer to a Probe.
type ProbeResult struct {
	Endpoint       EndpointID
	Result         AttemptResult
	ElapsedSeconds float64
	LoadReport     []LoadMetric
}

// Purge invalidates the copies of an object, or of all of a group where Object is empty, that were made more than
// AgeSeconds ago.
type Purge struct {
	AgeSeconds  float64
	ObjectGroup int
	Object      string
}

// RetryBudgetChanged says whether anything is left of a retry budget: that of an endpoint, or of a class where none
// is named.
type RetryBudgetChanged struct {
	Class     ClassIndex
	Endpoint  EndpointID
	Available bool
}

// AttemptStalled says that an attempt's connection is silent while its endpoint answers on another, or may be asked
// on another: the path is suspected before the endpoint is.
type AttemptStalled struct {
	Request RequestID
	Attempt int
}

// HealthObservation says how far several routers suspect an endpoint, from 0 to 1, and for how long that counts.
type HealthObservation struct {
	Endpoint     EndpointID
	Suspicion    float64
	ValidSeconds float64
}

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
