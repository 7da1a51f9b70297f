package routing

// RequestID identifies a request among the open requests of one router.
type RequestID string

// EndpointID identifies an edge cache, a parent cache or the origin in the endpoint list.
type EndpointID string

// ClassIndex is the index of a request class in the settings.
type ClassIndex int

// Decider is the decision logic of one router. Events arrive in chronological order, and their times do not decrease.
// The caller carries out the actions in order at the time of the event. All times are seconds of the same clock.
type Decider interface {
	Decide(now float64, event Event) []Action
}

// Event is one of EndpointUpdate, RequestArrived, AttemptEnded, ClientDisconnected, TimerFired, ProbeResult, Purge,
// RetryBudgetChanged, AttemptStalled and HealthObservation.
type Event interface{ event() }

// UpdateKind is the relation of an EndpointUpdate to the current endpoint list.
type UpdateKind int

// The kinds of endpoint updates.
const (
	Incremental UpdateKind = iota // the changed endpoints only
	Snapshot                      // all endpoints
	Restored                      // all endpoints as last known before a restart
	Unavailable                   // the list could not be obtained
)

// EndpointStatus is the status of an endpoint in the endpoint list.
type EndpointStatus int

// Statuses of an endpoint.
const (
	Ready EndpointStatus = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list: an edge cache, a parent cache or the origin. Weight is its capacity in
// concurrent transfers.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Kind      int
	Cell      int
	Status    EndpointStatus
	Weight    float64
	StartedAt float64 // time of its last start, 0 if it started long ago
}

// EndpointUpdate reports a change of the endpoint list.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// RequestArrived reports a request that this router has accepted.
type RequestArrived struct {
	Request     RequestID
	Class       ClassIndex
	Object      string
	Chunk       int
	ObjectGroup int
	Deadline    float64 // time at which the client gives up
	SizeKB      float64 // 0 if unknown
	Write       bool
}

// AttemptResult is the result of an attempt.
type AttemptResult int

// Results of an attempt. Overloaded, ConnectFailed, NotSent and CacheMiss prove that the request did not run.
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

// isAnswer reports whether the endpoint itself responded.
func (a AttemptResult) isAnswer() bool {
	return a == Completed || a == ServerError || a == Overloaded || a == CacheMiss
}

// ResultDetail details an AttemptResult, if the deployment reports details.
type ResultDetail int

// Details of a result. SourceRefused and those after it are reasons for a failed fill.
const (
	NoDetail ResultDetail = iota
	CacheHit
	Filled
	FilledByOrigin
	JoinedFill // the attempt waited for a fill that another request had started
	StaleHit
	SourceRefused
	SourceUnreachable
	SourceCacheMiss
	FillSlotsExhausted // the cache has reached its limit of concurrent fills
	OriginFailed
)

// LoadMetric is one metric of a load report.
type LoadMetric struct {
	Name  string
	Value float64
}

// AttemptEnded reports the end of an attempt. Each attempt has exactly one.
type AttemptEnded struct {
	Request          RequestID
	Attempt          int // index of the attempt among those of its request
	Endpoint         EndpointID
	Result           AttemptResult
	Detail           ResultDetail
	ElapsedSeconds   float64
	FirstByteSeconds float64
	NotModified      bool // a completed attempt confirmed the client's copy and brought no body
	RequestDone      bool // whether the request has ended, by this attempt or earlier
	LoadReport       []LoadMetric
}

// answeredFromCache reports whether the endpoint is known to have had a copy.
func (end AttemptEnded) answeredFromCache() bool {
	return end.Result == Completed && (end.Detail == CacheHit || end.Detail == StaleHit)
}

// ClientDisconnected reports that a client has disconnected and needs no answer.
type ClientDisconnected struct{ Request RequestID }

// TimerFired reports an expired timer.
type TimerFired struct{ Token uint64 }

// ProbeResult reports the result of a Probe.
type ProbeResult struct {
	Endpoint       EndpointID
	Result         AttemptResult
	ElapsedSeconds float64
	LoadReport     []LoadMetric
}

// Purge invalidates the copies of an object that were made more than AgeSeconds ago. If Object is empty, it invalidates
// those of all objects in ObjectGroup.
type Purge struct {
	AgeSeconds  float64
	ObjectGroup int
	Object      string
}

// RetryBudgetChanged reports whether a retry budget has retries available. The budget is that of Endpoint, or that of
// Class if Endpoint is empty.
type RetryBudgetChanged struct {
	Class     ClassIndex
	Endpoint  EndpointID
	Available bool
}

// AttemptStalled reports that the connection of an attempt is silent while its endpoint responds, or can be probed, on
// another connection: the network path is suspected before the endpoint.
type AttemptStalled struct {
	Request RequestID
	Attempt int
}

// HealthObservation is the suspicion of several routers that an endpoint has failed, from 0 to 1, valid for
// ValidSeconds.
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
