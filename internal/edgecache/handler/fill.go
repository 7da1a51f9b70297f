package handler

import (
	"math"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"
)

const (
	// parentRank is the rank at which a parent cache is asked to cache what it fetches for an edge cache.
	parentRank = 2
	// maxRefills is the number of times that a fetch is repeated because a purge overtook it.
	maxRefills = 1
	// returnSeconds is the time by which a source has to respond before the deadline, for the way back.
	returnSeconds = 0.02
)

// fill is a fetch under way.
type fill struct {
	id          uint64
	key         eviction.Key
	first       Request // which began it
	base        *Copy   // the copy to be confirmed, nil for none
	epoch       uint16  // in which the source was asked
	deadline    float64 // Unix seconds
	waiting     []Request
	passThrough bool // of a class that is not cacheable; it belongs to one request
	refills     int
}

// FetchResult is the result of a Fetch.
type FetchResult struct {
	Result      routing.AttemptResult
	NotModified bool // the copy of the fetch's tag is current
	ETag        string
	IssuedAt    int64 // Unix ms
	Group       uint16
	Body        []byte
}

// fetch joins a suitable fill, starts one, or fails the request. base is the copy to be confirmed, nil for none.
func (h *Handler) fetch(r Request, base *Copy, refills int) {
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
		h.startFill(r, base, refills)
	}
}

func (h *Handler) startFill(r Request, base *Copy, refills int) {
	h.lastFill++
	f := &fill{
		id:          h.lastFill,
		key:         r.Key,
		first:       r,
		base:        base,
		epoch:       h.env.Epoch(),
		deadline:    h.now + h.limits.FillTimeoutSeconds,
		passThrough: !r.Class.Cacheable,
		refills:     refills,
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
	h.do(h.fetchAction(f))
}

// mayBeJoined says whether later requests may wait for a fill: it brings a copy, and its own request, if there is one,
// allowed that too.
func mayBeJoined(f *fill) bool {
	return !f.passThrough && (f.first.JoinFill || f.first.ID == 0)
}

// mayJoin reports whether a request may wait for a fill: its result has to be young enough and still to come.
func (h *Handler) mayJoin(f *fill, r Request) bool {
	return r.Class.Cacheable && r.JoinFill && r.ID != 0 && f.first.maxAge() <= r.maxAge() && f.deadline > h.now
}

func (h *Handler) fetchAction(f *fill) Fetch {
	r := f.first
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
	if f.base != nil {
		action.ETag = f.base.ETag
	}
	return action
}

// sourceTimeout is the time that a source has to respond, in seconds, of what is left until the fill's deadline.
func sourceTimeout(remaining float64) float64 { return max(remaining-returnSeconds, returnSeconds) }

func (h *Handler) removeFill(f *fill) {
	delete(h.fills, f.id)
	if h.fillByKey[f.key] == f {
		delete(h.fillByKey, f.key)
	}
	for _, r := range f.waiting {
		delete(h.fillByRequest, r.ID)
	}
}

// HandleFetched takes the result of a Fetch. One of a cancelled fetch is ignored.
func (h *Handler) HandleFetched(now float64, fillID uint64, result FetchResult) []Action {
	h.begin(now)
	f := h.fills[fillID]
	if f == nil {
		return h.actions
	}
	h.removeFill(f)
	switch {
	case result.Result != routing.Completed:
		h.failAll(f, responseCode(result.Result))
	case f.passThrough:
		for _, r := range f.waiting {
			h.do(Respond{
				Request:     r.ID,
				Result:      routing.Completed,
				Detail:      routing.Filled,
				NotModified: result.NotModified,
				PassThrough: true,
				Fill:        f.id,
			})
		}
	case result.NotModified && f.base == nil: // it confirms a copy that was not named
		h.failAll(f, routing.ServerError)
	default:
		h.handleFilled(f, result)
	}
	return h.actions
}

func (h *Handler) failAll(f *fill, code routing.AttemptResult) {
	for _, r := range f.waiting {
		h.fail(r, code)
	}
}

// responseCode is the code of a response after a failed fetch. It says that the request did not run only where that is
// certain.
func responseCode(code routing.AttemptResult) routing.AttemptResult {
	switch code {
	case routing.CacheMiss:
		return routing.CacheMiss
	case routing.Overloaded, routing.ConnectFailed, routing.NotSent:
		return routing.Overloaded
	case routing.Completed, routing.ServerError, routing.TimedOut, routing.ConnectionBroken, routing.Cancelled:
	}
	return routing.ServerError // it may have run
}

// handleFilled takes a chunk that a source delivered or confirmed.
func (h *Handler) handleFilled(f *fill, result FetchResult) {
	c := f.copyOf(result)
	// A purge that arrived while the source answered may be newer than the copy. Such a copy must not be stored: the
	// purge has passed and would not remove it.
	if h.env.Evaluate(c.validityCopy()) == validity.Invalidated {
		h.memory.remove(f.key)
		h.do(DeleteFromDisk{f.key})
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
		h.serve(r, c, filledDetail(i, result.NotModified), result.NotModified)
	}
}

// copyOf is the copy that a result delivers or confirms.
func (f *fill) copyOf(result FetchResult) *Copy {
	if !result.NotModified {
		return &Copy{
			Key:            f.key,
			ETag:           result.ETag,
			IssuedAt:       result.IssuedAt,
			Group:          result.Group,
			Rank:           f.first.Rank,
			ConfirmedEpoch: f.epoch,
			Body:           result.Body,
		}
	}
	confirmed := *f.base
	confirmed.IssuedAt = max(f.base.IssuedAt, result.IssuedAt)
	confirmed.ConfirmedEpoch = f.epoch
	if result.Group != validity.UnknownGroup {
		confirmed.Group = result.Group
	}
	return &confirmed
}

// store puts a delivered or confirmed copy into memory and onto the disk.
func (h *Handler) store(f *fill, c *Copy, confirmed bool) {
	switch {
	case confirmed:
		if c.Seq > 0 {
			h.do(ConfirmOnDisk{c.Key, c.Seq, f.epoch})
		}
		if inMemory := h.memory.get(c.Key); inMemory == nil || inMemory.IssuedAt <= c.IssuedAt {
			h.memory.put(c)
		}
	case c.Rank > 0 && !f.first.NoStore:
		h.memory.put(c)
		h.do(WriteDisk{c, f.epoch})
	default:
		h.memory.remove(c.Key) // the copy there is older
	}
}

// filledDetail is the detail of a response after a fill, by the request's place among those that waited.
func filledDetail(place int, confirmed bool) routing.ResultDetail {
	switch {
	case confirmed:
		return routing.CacheHit // the bytes were here
	case place > 0:
		return routing.JoinedFill
	}
	return routing.Filled
}

// tooOld reports whether the source delivered a copy older than a request accepts. The time that the request has waited
// does not count.
func (h *Handler) tooOld(c *Copy, r Request) bool {
	return r.ID != 0 && h.ageOf(c) > r.maxAge()+h.now-r.receivedAt+returnSeconds
}

// refillOrFail fetches once more for a request, or fails it with a code.
func (h *Handler) refillOrFail(f *fill, r Request, code routing.AttemptResult) {
	if mayRefill(f.refills, r.Deadline, h.now) {
		h.fetch(r, nil, f.refills+1)
		return
	}
	h.fail(r, code)
}

// mayRefill says whether a request fetches once more because what was fetched is purged or too old. Where purges follow
// each other faster than a fetch takes, it would else fetch until its deadline.
func mayRefill(refills int, deadline, now float64) bool {
	return refills < maxRefills && deadline > now
}
