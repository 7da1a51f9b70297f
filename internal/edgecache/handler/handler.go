// Package handler decides what an edge cache does with each request: respond from memory, read the disk, fetch from a
// source, join a fetch under way, or report a miss.
//
// The package owns the copies in memory and the state of requests and fetches. It does no I/O: events come in with the
// time, actions come out, and the caller reports the result of each.
package handler

import (
	"slices"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"
)

// Environment is what a handler may look up. The answers hold for the event under way.
type Environment interface {
	Evaluate(validity.Copy) validity.Verdict
	Epoch() uint16
	OnDisk(eviction.Key) bool
}

// Limits bound a handler.
type Limits struct {
	MemoryBytes        int64   // of copies
	MaxFills           int     // fetches under way
	FillTimeoutSeconds float64 // after which a fetch is cancelled
}

// Handler is the state. It is not safe for concurrent use.
type Handler struct {
	env     Environment
	limits  Limits
	now     float64 // Unix seconds
	actions []Action

	memory    *memoryCache
	diskReads map[eviction.Key][]Request // waiting for the disk

	fills         map[uint64]*fill
	fillByKey     map[eviction.Key]*fill // that may be joined
	fillByRequest map[uint64]*fill
	lastFill      uint64
}

// New returns a handler with nothing in memory.
func New(env Environment, limits Limits) *Handler {
	return &Handler{
		env:           env,
		limits:        limits,
		memory:        newMemoryCache(limits.MemoryBytes),
		diskReads:     map[eviction.Key][]Request{},
		fills:         map[uint64]*fill{},
		fillByKey:     map[eviction.Key]*fill{},
		fillByRequest: map[uint64]*fill{},
	}
}

// Bytes returns the memory that the copies take.
func (h *Handler) Bytes() int64 { return h.memory.bytes }

// Fills returns the number of fetches under way.
func (h *Handler) Fills() int { return len(h.fills) }

func (h *Handler) begin(now float64) {
	h.now = max(h.now, now)
	h.actions = h.actions[:0]
}

func (h *Handler) do(a Action) { h.actions = append(h.actions, a) }

// HandleRequest takes a request. The returned actions, like those of the other events, are valid until the next call.
func (h *Handler) HandleRequest(now float64, r Request) []Action {
	h.begin(now)
	r.receivedAt = h.now
	if !r.Class.Cacheable {
		h.fetch(r, nil, 0)
		return h.actions
	}
	if c := h.memory.get(r.Key); c != nil {
		h.evaluate(r, c, true)
		return h.actions
	}
	if !h.env.OnDisk(r.Key) {
		h.fetch(r, nil, 0)
		return h.actions
	}
	h.diskReads[r.Key] = append(h.diskReads[r.Key], r)
	if len(h.diskReads[r.Key]) == 1 {
		h.do(ReadDisk{r.Key})
	}
	return h.actions
}

// HandleDiskRead takes the result of a ReadDisk: the copy, or nil if there is none.
func (h *Handler) HandleDiskRead(now float64, key eviction.Key, c *Copy) []Action {
	h.begin(now)
	waiting := h.diskReads[key]
	delete(h.diskReads, key)
	inMemory := h.memory.get(key)
	if inMemory != nil && (c == nil || inMemory.IssuedAt >= c.IssuedAt) {
		c = inMemory // a fetch has finished first
	} else if c != nil {
		h.memory.put(c)
	}
	for _, r := range waiting {
		if c == nil {
			h.fetch(r, nil, 0)
		} else {
			h.evaluate(r, c, false)
		}
	}
	return h.actions
}

// ageOf is the age of a copy in seconds.
func (h *Handler) ageOf(c *Copy) float64 { return h.now - float64(c.IssuedAt)/1000 }

// copyUse is what is done with a copy that was found for a request.
type copyUse uint8

const (
	serveFresh  copyUse = iota // complete the request with it
	serveStale                 // the same, and renew it if the request asks for that
	confirmCopy                // ask the source whether it is current
	discardCopy                // a purge invalidates it: delete it and fetch another one
)

// decideCopyUse decides on a copy by its verdict and its age in seconds. maxAge and freshSeconds are of the request and
// its class; a class with freshSeconds 0 is always fresh. An unconfirmed copy may be older than a purge that was missed
// while the discovery service was silent: only its source can say.
func decideCopyUse(verdict validity.Verdict, age, maxAge, freshSeconds float64) copyUse {
	switch {
	case verdict == validity.Invalidated:
		return discardCopy
	case verdict == validity.Unconfirmed || age > maxAge:
		return confirmCopy
	case freshSeconds > 0 && age > freshSeconds:
		return serveStale
	}
	return serveFresh
}

// evaluate uses a copy for a request. fromMemory says that it was in memory already.
func (h *Handler) evaluate(r Request, c *Copy, fromMemory bool) {
	verdict := h.env.Evaluate(c.validityCopy())
	switch decideCopyUse(verdict, h.ageOf(c), r.maxAge(), r.Class.FreshSeconds) {
	case discardCopy:
		h.memory.remove(c.Key)
		h.do(DeleteFromDisk{c.Key})
		h.fetch(r, nil, 0)
	case confirmCopy:
		h.fetch(r, c, 0)
	case serveFresh:
		h.serve(r, c, routing.CacheHit, fromMemory)
	case serveStale:
		h.serve(r, c, routing.StaleHit, fromMemory)
		if h.mayRenew(r) {
			renewal := r
			renewal.ID = 0
			renewal.Deadline = h.now + h.limits.FillTimeoutSeconds
			h.fetch(renewal, c, 0)
		}
	}
}

// mayRenew says whether a stale copy is renewed beside the response. A renewal waits for nobody, so it takes no place
// that a request could need, and there is at most one for a chunk.
func (h *Handler) mayRenew(r Request) bool {
	return r.Revalidate && r.Source != "" && h.fillByKey[r.Key] == nil && !h.fillsExhausted()
}

// fillsExhausted says that as many fetches are under way as may be. Without this bound a source that hangs would have
// every request of the edge cache wait for it.
func (h *Handler) fillsExhausted() bool { return len(h.fills) >= h.limits.MaxFills }

// serve completes a request with a copy. touchDisk says that the disk's eviction policy is to count the request.
func (h *Handler) serve(r Request, c *Copy, detail routing.ResultDetail, touchDisk bool) {
	h.memory.touch(c.Key)
	if touchDisk {
		h.do(TouchDisk{c})
	}
	h.do(Respond{
		Request:     r.ID,
		Result:      routing.Completed,
		Detail:      detail,
		NotModified: r.ETag != "" && r.ETag == c.ETag,
		Copy:        c,
	})
}

// fail ends a request without a copy.
func (h *Handler) fail(r Request, code routing.AttemptResult) {
	if r.ID != 0 {
		delete(h.fillByRequest, r.ID)
		h.do(Respond{Request: r.ID, Result: code})
	}
}

// HandleCancel records that nobody waits for a request any more. A fetch of a cacheable chunk continues; one for this
// request alone is cancelled.
func (h *Handler) HandleCancel(now float64, id uint64, key eviction.Key) []Action {
	h.begin(now)
	isCancelled := func(r Request) bool { return r.ID == id }
	if waiting, ok := h.diskReads[key]; ok {
		h.diskReads[key] = slices.DeleteFunc(waiting, isCancelled)
	}
	if f := h.fillByRequest[id]; f != nil {
		delete(h.fillByRequest, id)
		f.waiting = slices.DeleteFunc(f.waiting, isCancelled)
		if f.passThrough {
			h.removeFill(f)
			h.do(CancelFetch{f.id})
		}
	}
	return h.actions
}

// HandleTick cancels the fetches that have timed out.
func (h *Handler) HandleTick(now float64) []Action {
	h.begin(now)
	var late []*fill
	for _, f := range h.fills {
		if h.now >= f.deadline {
			late = append(late, f)
		}
	}
	slices.SortFunc(late, func(a, b *fill) int { return int(a.id) - int(b.id) })
	for _, f := range late {
		h.removeFill(f)
		h.do(CancelFetch{f.id})
		for _, r := range f.waiting {
			h.fail(r, routing.ServerError)
		}
	}
	return h.actions
}
