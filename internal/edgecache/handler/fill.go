package handler

import (
	"math"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"
)

const (
	// parentRank is the rank with which a parent cache is to cache a chunk that it fetches for an edge cache.
	parentRank = 2
	// maxRefills limits how often a fetch is repeated because a purge has meanwhile invalidated its result.
	maxRefills = 1
	// responseMarginSeconds is how long before the deadline a source must respond, which leaves time for the transfer.
	responseMarginSeconds = 0.02
)

// fill is a fetch in progress.
type fill struct {
	id             uint64
	key            eviction.Key
	initialRequest Request // request that started the fill
	cachedCopy     *Copy   // cached copy to revalidate, nil if none
	epoch          uint16  // validity epoch in which the source was requested
	deadline       float64 // Unix seconds
	waiting        []Request
	passThrough    bool // the class is not cacheable; the fill serves only one request
	refills        int
}

// FetchResult is the result of a Fetch action.
type FetchResult struct {
	Result      routing.AttemptResult
	NotModified bool // the copy with the ETag of the fetch is still current
	ETag        string
	IssuedAt    int64 // Unix ms
	Group       uint16
	Body        []byte
}

// fetch joins a suitable fill, starts a new one, or fails the request. cachedCopy is the copy to revalidate, or nil.
func (h *Handler) fetch(r Request, cachedCopy *Copy, refills int) {
	f := h.fillByKey[r.Key]
	switch {
	case f != nil && h.mayJoin(f, r):
		f.waiting = append(f.waiting, r)
		h.fillByRequest[r.ID] = f
	case r.Source == "":
		h.fail(r, routing.CacheMiss)
	case h.fillsExhausted():
		h.fail(r, routing.Overloaded)
	default:
		h.startFill(r, cachedCopy, refills)
	}
}

func (h *Handler) startFill(r Request, cachedCopy *Copy, refills int) {
	h.lastFill++
	f := &fill{
		id:             h.lastFill,
		key:            r.Key,
		initialRequest: r,
		cachedCopy:     cachedCopy,
		epoch:          h.env.Epoch(),
		deadline:       h.now + h.limits.FillTimeoutSeconds,
		passThrough:    !r.Class.Cacheable,
		refills:        refills,
	}
	if f.passThrough {
		f.deadline = r.Deadline
	}
	h.fills[f.id] = f
	if r.ID != 0 {
		f.waiting = []Request{r}
		h.fillByRequest[r.ID] = f
	}
	if mayBeJoined(f) {
		h.fillByKey[r.Key] = f
	}
	h.addAction(h.fetchAction(f))
}

// mayBeJoined reports whether later requests may wait for a fill. The result must be cacheable, and the request that
// started the fill must allow joining, unless the fill is a background revalidation.
func mayBeJoined(f *fill) bool {
	return !f.passThrough && (f.initialRequest.JoinFill || f.initialRequest.ID == 0)
}

// mayJoin reports whether a request may wait for a fill. The fill must guarantee a copy that is recent enough for the
// request, and it must not have timed out.
func (h *Handler) mayJoin(f *fill, r Request) bool {
	return r.Class.Cacheable && r.JoinFill && r.ID != 0 && f.initialRequest.maxAge() <= r.maxAge() && f.deadline > h.now
}

func (h *Handler) fetchAction(f *fill) Fetch {
	r := f.initialRequest
	action := Fetch{
		Fill:           f.id,
		Key:            r.Key,
		Class:          r.Class.Name,
		Source:         r.Source,
		TimeoutSeconds: sourceTimeout(f.deadline - h.now),
		CacheOnly:      r.CacheOnly,
		NoStore:        r.NoStore,
	}
	if f.passThrough {
		action.Request = r.ID
		action.ETag = r.ETag
		return action
	}
	action.JoinFill = true
	if maxAge := r.maxAge(); !math.IsInf(maxAge, 1) {
		action.MaxAgeSeconds = maxAge
	}
	if !r.CacheOnly && !r.NoStore {
		action.Rank = parentRank
	}
	if f.cachedCopy != nil {
		action.ETag = f.cachedCopy.ETag
	}
	return action
}

// sourceTimeout returns the response timeout for the source, given the seconds that remain until the fill's deadline.
func sourceTimeout(remaining float64) float64 {
	return max(remaining-responseMarginSeconds, responseMarginSeconds)
}

func (h *Handler) removeFill(f *fill) {
	delete(h.fills, f.id)
	if h.fillByKey[f.key] == f {
		delete(h.fillByKey, f.key)
	}
	for _, r := range f.waiting {
		delete(h.fillByRequest, r.ID)
	}
}

// HandleFetched handles the result of a Fetch action. It ignores the result of a cancelled fetch.
func (h *Handler) HandleFetched(now float64, fillID uint64, result FetchResult) []Action {
	h.beginEvent(now)
	f := h.fills[fillID]
	if f == nil {
		return h.actions
	}
	h.removeFill(f)
	switch {
	case result.Result != routing.Completed:
		h.failWaiting(f, responseCode(result.Result))
	case f.passThrough:
		h.forward(f, result)
	case result.NotModified && f.cachedCopy == nil: // a "not modified" response to a fetch without an ETag
		h.failWaiting(f, routing.ServerError)
	default:
		h.completeFill(f, result)
	}
	return h.actions
}

// forward passes the response of a source on to the request that it belongs to. It is not cached.
func (h *Handler) forward(f *fill, result FetchResult) {
	for _, r := range f.waiting {
		h.addAction(Respond{
			Request:     r.ID,
			Result:      routing.Completed,
			Detail:      routing.Filled,
			NotModified: result.NotModified,
			Forwarded:   &result,
		})
	}
}

func (h *Handler) failWaiting(f *fill, code routing.AttemptResult) {
	for _, r := range f.waiting {
		h.fail(r, code)
	}
}

// responseCode returns the result code for a request whose fetch failed. The code reports that the request was not
// executed only if that is certain.
func responseCode(code routing.AttemptResult) routing.AttemptResult {
	switch code {
	case routing.CacheMiss:
		return routing.CacheMiss
	case routing.Overloaded, routing.ConnectFailed, routing.NotSent:
		return routing.Overloaded
	case routing.Completed, routing.ServerError, routing.TimedOut, routing.ConnectionBroken, routing.Cancelled:
	}
	return routing.ServerError // the request may have been executed
}

// completeFill stores a chunk that a source delivered or confirmed and responds to the waiting requests.
func (h *Handler) completeFill(f *fill, result FetchResult) {
	c := f.resultingCopy(result)
	// A purge that arrived during the fetch may be newer than the copy. Such a copy must not be stored, because the
	// purge has already been applied and would not remove it.
	if h.env.Evaluate(c.validityCopy()) == validity.Invalidated {
		h.memory.remove(f.key)
		h.addAction(DeleteFromDisk{f.key})
		for _, r := range f.waiting {
			h.refillOrFail(f, r, routing.ServerError)
		}
		return
	}
	for _, r := range f.waiting {
		c.Rank = max(c.Rank, r.Rank)
	}
	h.store(f, c, result.NotModified)
	for i, r := range f.waiting {
		if h.tooOld(c, r) {
			h.refillOrFail(f, r, routing.CacheMiss)
			continue
		}
		h.serve(r, c, fillDetail(i, result.NotModified), result.NotModified)
	}
}

// resultingCopy returns the copy that a fetch result delivered or confirmed.
func (f *fill) resultingCopy(result FetchResult) *Copy {
	if !result.NotModified {
		return &Copy{
			Key:            f.key,
			ETag:           result.ETag,
			IssuedAt:       result.IssuedAt,
			Group:          result.Group,
			Rank:           f.initialRequest.Rank,
			ConfirmedEpoch: f.epoch,
			Body:           result.Body,
		}
	}
	confirmed := *f.cachedCopy
	confirmed.IssuedAt = max(f.cachedCopy.IssuedAt, result.IssuedAt)
	confirmed.ConfirmedEpoch = f.epoch
	if result.Group != validity.UnknownGroup {
		confirmed.Group = result.Group
	}
	return &confirmed
}

// store caches a delivered or confirmed copy in memory and on disk.
func (h *Handler) store(f *fill, c *Copy, confirmed bool) {
	switch {
	case confirmed:
		if c.Seq > 0 {
			h.addAction(ConfirmOnDisk{c.Key, c.Seq, f.epoch})
		}
		if inMemory := h.memory.get(c.Key); inMemory == nil || inMemory.IssuedAt <= c.IssuedAt {
			h.memory.put(c)
		}
	case c.Rank > 0 && !f.initialRequest.NoStore:
		h.memory.put(c)
		h.addAction(WriteDisk{c, f.epoch})
	default:
		h.memory.remove(c.Key) // the copy in memory is older than the one delivered
	}
}

// fillDetail returns the result detail of a response after a fill. position 0 is the request that has waited longest.
func fillDetail(position int, confirmed bool) routing.ResultDetail {
	switch {
	case confirmed:
		return routing.CacheHit // the content was already cached here
	case position > 0:
		return routing.JoinedFill
	}
	return routing.Filled
}

// tooOld reports whether the source delivered a copy that is older than the request accepts. The time that the request
// has waited does not count towards the age.
func (h *Handler) tooOld(c *Copy, r Request) bool {
	return r.ID != 0 && h.ageOf(c) > r.maxAge()+h.now-r.receivedAt+responseMarginSeconds
}

// refillOrFail repeats the fetch for a request if that is allowed; otherwise it fails the request with the given code.
func (h *Handler) refillOrFail(f *fill, r Request, code routing.AttemptResult) {
	if mayRefill(f.refills, r.Deadline, h.now) {
		h.fetch(r, nil, f.refills+1)
		return
	}
	h.fail(r, code)
}

// mayRefill reports whether a request may repeat a fetch whose result was purged or too old. Without the limit on
// repetitions, purges that arrive faster than a fetch takes would make the request repeat it until its deadline.
func mayRefill(refills int, deadline, now float64) bool {
	return refills < maxRefills && deadline > now
}
