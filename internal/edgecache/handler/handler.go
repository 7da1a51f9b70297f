// Package handler decides how an edge cache handles each request: respond from memory, read from disk, fetch from a
// source, join a fetch in progress, or report a miss.
//
// The package owns the copies in memory and the state of requests and fetches. It does no I/O: the caller passes in
// events with the current time, performs the returned actions and reports the results.
package handler

import (
	"slices"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"
)

// Environment provides external state that a handler reads. A result is valid only for the event being handled.
type Environment interface {
	Evaluate(validity.Copy) validity.Verdict
	Epoch() uint16
	OnDisk(eviction.Key) bool
}

// Limits are the resource limits of a handler.
type Limits struct {
	MemoryBytes        int64   // maximum memory for copies
	MaxFills           int     // maximum number of fetches in progress
	FillTimeoutSeconds float64 // time after which a fetch is cancelled
}

// Handler holds the state of an edge cache's requests and fetches. It is not safe for concurrent use.
type Handler struct {
	env     Environment
	limits  Limits
	now     float64 // Unix seconds
	actions []Action

	memory    *memoryCache
	diskReads map[eviction.Key][]Request // requests waiting for a disk read

	fills         map[uint64]*fill
	fillByKey     map[eviction.Key]*fill // fills that other requests may join
	fillByRequest map[uint64]*fill
	lastFill      uint64
}

// New returns a handler with an empty memory cache.
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

// Bytes returns the memory used by cached copies.
func (h *Handler) Bytes() int64 { return h.memory.bytes }

// Fills returns the number of fetches in progress.
func (h *Handler) Fills() int { return len(h.fills) }

func (h *Handler) beginEvent(now float64) {
	h.now = max(h.now, now)
	h.actions = h.actions[:0]
}

func (h *Handler) addAction(a Action) { h.actions = append(h.actions, a) }

// HandleRequest handles a new request. As for all Handle methods, the returned slice is valid only until the next call.
func (h *Handler) HandleRequest(now float64, r Request) []Action {
	h.beginEvent(now)
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
		h.addAction(ReadDisk{r.Key})
	}
	return h.actions
}

// HandleDiskRead handles the result of a ReadDisk action: the copy, or nil if none was read.
func (h *Handler) HandleDiskRead(now float64, key eviction.Key, c *Copy) []Action {
	h.beginEvent(now)
	waiting := h.diskReads[key]
	delete(h.diskReads, key)
	inMemory := h.memory.get(key)
	if inMemory != nil && (c == nil || inMemory.IssuedAt >= c.IssuedAt) {
		c = inMemory // a fetch completed before the disk read
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

// ageOf returns the age of a copy in seconds.
func (h *Handler) ageOf(c *Copy) float64 { return h.now - float64(c.IssuedAt)/1000 }

// copyUse is the decision on how to use a cached copy for a request.
type copyUse uint8

const (
	serveFresh     copyUse = iota // respond with the copy
	serveStale                    // respond with the copy, and revalidate it if the request asks for it
	revalidateCopy                // ask the source whether the copy is current before responding
	discardCopy                   // a purge invalidated the copy: delete it and fetch a new one
)

// decideCopyUse decides how to use a copy, based on its validity verdict and its age in seconds. maxAge is the limit of
// the request, freshSeconds that of its class; with freshSeconds 0 copies are always fresh. An unconfirmed copy may be
// older than a purge that was missed while the discovery service was silent, so its source must revalidate it.
func decideCopyUse(verdict validity.Verdict, age, maxAge, freshSeconds float64) copyUse {
	switch {
	case verdict == validity.Invalidated:
		return discardCopy
	case verdict == validity.Unconfirmed || age > maxAge:
		return revalidateCopy
	case freshSeconds > 0 && age > freshSeconds:
		return serveStale
	}
	return serveFresh
}

// evaluate decides how to use a copy for a request and does so. fromMemory reports whether the copy was in memory.
func (h *Handler) evaluate(r Request, c *Copy, fromMemory bool) {
	verdict := h.env.Evaluate(c.validityCopy())
	switch decideCopyUse(verdict, h.ageOf(c), r.maxAge(), r.Class.FreshSeconds) {
	case discardCopy:
		h.memory.remove(c.Key)
		h.addAction(DeleteFromDisk{c.Key})
		h.fetch(r, nil, 0)
	case revalidateCopy:
		h.fetch(r, c, 0)
	case serveFresh:
		h.serve(r, c, routing.CacheHit, fromMemory)
	case serveStale:
		h.serve(r, c, routing.StaleHit, fromMemory)
		if h.mayRevalidateInBackground(r) {
			revalidation := r
			revalidation.ID = 0
			revalidation.Deadline = h.now + h.limits.FillTimeoutSeconds
			h.fetch(revalidation, c, 0)
		}
	}
}

// mayRevalidateInBackground reports whether a stale copy may be revalidated after it has been served. No request waits
// for that fetch, so it is started only if the limit on fetches is not reached, and at most once at a time per chunk.
func (h *Handler) mayRevalidateInBackground(r Request) bool {
	return r.Revalidate && r.Source != "" && h.fillByKey[r.Key] == nil && !h.fillsExhausted()
}

// fillsExhausted reports whether the limit on concurrent fetches is reached. Without this limit, every request of the
// edge cache could end up waiting for a source that hangs.
func (h *Handler) fillsExhausted() bool { return len(h.fills) >= h.limits.MaxFills }

// serve responds to a request with a copy. If touchDisk is set, the disk's eviction policy also counts the request.
func (h *Handler) serve(r Request, c *Copy, detail routing.ResultDetail, touchDisk bool) {
	h.memory.touch(c.Key)
	if touchDisk {
		h.addAction(TouchDisk{c})
	}
	h.addAction(Respond{
		Request:     r.ID,
		Result:      routing.Completed,
		Detail:      detail,
		NotModified: r.ETag != "" && r.ETag == c.ETag,
		Copy:        c,
	})
}

// fail ends a request with a result code and no content.
func (h *Handler) fail(r Request, code routing.AttemptResult) {
	if r.ID != 0 {
		delete(h.fillByRequest, r.ID)
		h.addAction(Respond{Request: r.ID, Result: code})
	}
}

// HandleCancel handles the cancellation of a request by its client. A fetch of a cacheable chunk continues, because
// others can use the chunk; a pass-through fetch serves only this request and is cancelled.
func (h *Handler) HandleCancel(now float64, id uint64, key eviction.Key) []Action {
	h.beginEvent(now)
	isCancelled := func(r Request) bool { return r.ID == id }
	if waiting, ok := h.diskReads[key]; ok {
		h.diskReads[key] = slices.DeleteFunc(waiting, isCancelled)
	}
	if f := h.fillByRequest[id]; f != nil {
		delete(h.fillByRequest, id)
		f.waiting = slices.DeleteFunc(f.waiting, isCancelled)
		if f.passThrough {
			h.removeFill(f)
			h.addAction(CancelFetch{f.id})
		}
	}
	return h.actions
}

// HandleTick cancels fetches that have timed out and fails the requests that wait for them.
func (h *Handler) HandleTick(now float64) []Action {
	h.beginEvent(now)
	var timedOut []*fill
	for _, f := range h.fills {
		if h.now >= f.deadline {
			timedOut = append(timedOut, f)
		}
	}
	slices.SortFunc(timedOut, func(a, b *fill) int { return int(a.id) - int(b.id) })
	for _, f := range timedOut {
		h.removeFill(f)
		h.addAction(CancelFetch{f.id})
		for _, r := range f.waiting {
			h.fail(r, routing.ServerError)
		}
	}
	return h.actions
}
