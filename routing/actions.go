package routing

// Action is one of StartAttempt, CancelAttempt, RejectRequest, AbortRequest, SetTimer, Probe, SubscribeEndpoints and
// LogNote.
type Action interface{ action() }

// StartAttempt sends a request to an endpoint.
type StartAttempt struct {
	Request       RequestID
	Endpoint      EndpointID
	Deadline      float64    // time at which the attempt is dropped
	SendBefore    float64    // time from which it may not be begun any more
	Source        EndpointID // who fills a miss; the endpoint itself for nobody
	RetentionRank int        // 0 keeps no copy; a copy of a lower rank is evicted first
	MaxAgeSeconds float64    // oldest copy that will do; 0 for the class's fresh time
	JoinFill      bool       // wait for a fill that runs already
	CacheOnly     bool       // the source gives only what it has cached
	ParentNoStore bool       // the parent keeps no copy
	Revalidate    bool       // an ageing copy is served and revalidated in the background
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// RejectRequest is the final answer that says that repeating the request is harmless.
type RejectRequest struct {
	Request           RequestID
	RetryAfterSeconds float64 // time that the client should stay away, 0 for no advice
}

// AbortRequest is the final answer that leaves open whether the request ran.
type AbortRequest struct{ Request RequestID }

// SetTimer asks for a TimerFired with the token.
type SetTimer struct {
	AfterSeconds float64
	Token        uint64
}

// Probe asks an endpoint for its state.
type Probe struct{ Endpoint EndpointID }

// SubscribeEndpoints asks for endpoint updates from now on.
type SubscribeEndpoints struct{}

// LogNote is a line for the operators.
type LogNote struct{ Message string }

func (StartAttempt) action()       {}
func (CancelAttempt) action()      {}
func (RejectRequest) action()      {}
func (AbortRequest) action()       {}
func (SetTimer) action()           {}
func (Probe) action()              {}
func (SubscribeEndpoints) action() {}
func (LogNote) action()            {}
