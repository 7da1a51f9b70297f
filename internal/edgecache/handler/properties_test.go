package handler

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"

	"pgregory.net/rapid"
)

// handlerModel drives a handler with random events and tracks the requests and their outcomes independently.
type handlerModel struct {
	t         *rapid.T
	handler   *Handler
	env       *fakeEnvironment
	clock     float64
	keys      map[uint64]eviction.Key // chunk of each request, by request id
	cancelled map[uint64]bool
	answered  map[uint64]bool
	fetches   []Fetch        // fetches in progress
	reads     []eviction.Key // disk reads in progress
}

func newHandlerModel(t *rapid.T) *handlerModel {
	h, env := newHandler()
	return &handlerModel{
		t:         t,
		handler:   h,
		env:       env,
		clock:     now,
		keys:      map[uint64]eviction.Key{},
		cancelled: map[uint64]bool{},
		answered:  map[uint64]bool{},
	}
}

// checkActions checks the responses among the handler's actions, and the limits on memory and fills.
func (m *handlerModel) checkActions(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Respond:
			m.checkResponse(a)
		case Fetch:
			m.fetches = append(m.fetches, a)
		case ReadDisk:
			m.reads = append(m.reads, a.Key)
		}
	}
	if m.handler.Bytes() > 10000 || m.handler.Fills() > 4 {
		m.t.Fatalf("%d bytes, %d fills", m.handler.Bytes(), m.handler.Fills())
	}
}

func (m *handlerModel) checkResponse(r Respond) {
	if _, ok := m.keys[r.Request]; !ok || m.answered[r.Request] || m.cancelled[r.Request] {
		m.t.Fatalf("request %d has a second response, was cancelled, or does not exist", r.Request)
	}
	m.answered[r.Request] = true
	if r.Copy != nil && m.env.Evaluate(r.Copy.validityCopy()) == validity.Invalidated {
		m.t.Fatalf("an invalidated copy was served")
	}
}

// step generates one random event. If the event is a new request, the request has the given id.
func (m *handlerModel) step(id uint64) {
	m.clock += rapid.Float64Range(0, 0.4).Draw(m.t, "elapsed")
	key := eviction.Key{Object: uint64(rapid.IntRange(0, 3).Draw(m.t, "object"))}
	switch rapid.IntRange(0, 6).Draw(m.t, "event") {
	case 0:
		m.finishFetch()
	case 1:
		m.finishDiskRead()
	case 2: // a purge
		m.env.purgedAt[key.Object] = int64((m.clock - 1) * 1000)
		m.env.disk[key] = rapid.Bool().Draw(m.t, "disk")
	case 3:
		m.cancelOpenRequest()
	default:
		m.sendRequest(id, key)
	}
}

func (m *handlerModel) finishFetch() {
	if len(m.fetches) == 0 {
		return
	}
	fetch := m.fetches[0]
	m.fetches = m.fetches[1:]
	m.checkActions(m.handler.HandleFetched(m.clock, fetch.Fill, FetchResult{
		Result:      routing.AttemptResult(rapid.IntRange(0, 8).Draw(m.t, "code")),
		ETag:        "x",
		IssuedAt:    int64((m.clock - rapid.Float64Range(0, 20).Draw(m.t, "age")) * 1000),
		Body:        make([]byte, rapid.IntRange(0, 4000).Draw(m.t, "size")),
		NotModified: rapid.Bool().Draw(m.t, "notModified"),
	}))
}

func (m *handlerModel) finishDiskRead() {
	if len(m.reads) == 0 {
		return
	}
	key := m.reads[0]
	m.reads = m.reads[1:]
	var found *Copy
	if rapid.Bool().Draw(m.t, "found") {
		found = &Copy{
			Key:      key,
			ETag:     "y",
			Rank:     2,
			IssuedAt: int64((m.clock - 30) * 1000),
			Seq:      3,
			Body:     make([]byte, 1000),
		}
	}
	m.checkActions(m.handler.HandleDiskRead(m.clock, key, found))
}

// cancelOpenRequest cancels an arbitrary request that has no response yet, which may have been cancelled before.
func (m *handlerModel) cancelOpenRequest() {
	for id, key := range m.keys {
		if !m.answered[id] {
			m.cancelled[id] = true
			m.checkActions(m.handler.HandleCancel(m.clock, id, key))
			return
		}
	}
}

func (m *handlerModel) sendRequest(id uint64, key eviction.Key) {
	r := Request{
		ID:            id,
		Key:           key,
		Class:         rapid.SampledFrom([]Class{video, page, order}).Draw(m.t, "class"),
		Deadline:      m.clock + 5,
		Source:        rapid.SampledFrom([]string{"", "s-1"}).Draw(m.t, "source"),
		Rank:          rapid.IntRange(0, 3).Draw(m.t, "rank"),
		MaxAgeSeconds: rapid.SampledFrom([]float64{0, 0.5, 30}).Draw(m.t, "maxAgeSeconds"),
		JoinFill:      rapid.Bool().Draw(m.t, "join"),
		Revalidate:    true,
	}
	m.keys[id] = key
	m.checkActions(m.handler.HandleRequest(m.clock, r))
}

// finish completes all disk reads and then lets all fetches time out.
func (m *handlerModel) finish() {
	for len(m.reads) > 0 {
		key := m.reads[0]
		m.reads = m.reads[1:]
		m.checkActions(m.handler.HandleDiskRead(m.clock, key, nil))
	}
	for range 3 {
		m.clock += 10
		m.checkActions(m.handler.HandleTick(m.clock))
	}
}

func (m *handlerModel) checkNoStateRemains() {
	for id := range m.keys {
		if !m.answered[id] && !m.cancelled[id] {
			m.t.Fatalf("request %d has no response", id)
		}
	}
	h := m.handler
	if len(h.fills)+len(h.fillByKey)+len(h.fillByRequest)+len(h.diskReads) > 0 {
		m.t.Fatalf("state that was not removed: %d fills, %d by key, %d by request, %d reads",
			len(h.fills), len(h.fillByKey), len(h.fillByRequest), len(h.diskReads))
	}
}

// TestHandlerProperties generates events in random order. A request without a response would block its client until the
// deadline, and state that is never removed would leak memory. Each request must get exactly one response unless it was
// cancelled, no invalidated copy may be served, memory and fills must stay within their limits, and no state may remain
// at the end.
func TestHandlerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newHandlerModel(t)
		for id := range uint64(rapid.IntRange(5, 120).Draw(t, "requests")) {
			m.step(id + 1)
		}
		m.finish()
		m.checkNoStateRemains()
	})
}
