package routing

// Action is one of StartAttempt, CancelAttempt, RejectRequest, AbortRequest, SetTimer, Probe, SubscribeEndpoints and
// LogNote.
type Action interface{ action() }

// StartAttempt sends a request to an endpoint.
type StartAttempt struct {
	Request       RequestID
	Endpoint      EndpointID
	Deadline      float64    // no answer is awaited after this time
	SendBefore    float64    // the attempt must not be sent at or after this time
	Source        EndpointID // endpoint that fills a cache miss; equal to Endpoint if there is none
	RetentionRank int        // 0 stores no copy; copies of lower rank are evicted first
	MaxAgeSeconds float64    // maximum age of a served copy; 0 for the fresh time of the class
	JoinFill      bool       // wait for a fill of the same chunk that is in progress
	CacheOnly     bool       // the source serves only what it has cached
	ParentNoStore bool       // the parent stores no copy
	Revalidate    bool       // serve an expiring copy and revalidate it in the background
}

// CancelAttempt cancels an attempt in flight.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// RejectRequest is the final action that reports to the client that repeating the request is safe.
type RejectRequest struct {
	Request           RequestID
	RetryAfterSeconds float64 // delay before the client retries, 0 if unset
}

// AbortRequest is the final action of a request that may or may not have run.
type AbortRequest struct{ Request RequestID }

// SetTimer requests a TimerFired event with the token, for an open request. It replaces an earlier timer of the
// request, if the caller can withdraw timers; the Decider ignores events of replaced timers and of ended requests.
type SetTimer struct {
	AfterSeconds float64
	Token        uint64
	Request      RequestID
}

// Probe starts a health check of an endpoint.
type Probe struct{ Endpoint EndpointID }

// SubscribeEndpoints subscribes to endpoint updates.
type SubscribeEndpoints struct{}

// LogNote is a log message for operators.
type LogNote struct{ Message string }

func (StartAttempt) action()       {}
func (CancelAttempt) action()      {}
func (RejectRequest) action()      {}
func (AbortRequest) action()       {}
func (SetTimer) action()           {}
func (Probe) action()              {}
func (SubscribeEndpoints) action() {}
func (LogNote) action()            {}
