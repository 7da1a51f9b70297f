package handler

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// fakeEnvironment returns the verdicts that a test sets.
type fakeEnvironment struct {
	verdict map[uint64]validity.Verdict
	void    map[uint64]int64
	disk    map[eviction.Key]bool
	epoch   uint16
}

func (w *fakeEnvironment) Evaluate(c validity.Copy) validity.Verdict {
	if at, ok := w.void[c.Object]; ok && c.IssuedAt <= at {
		return validity.Invalidated
	}
	if w.verdict[c.Object] == validity.Unconfirmed && c.ConfirmedEpoch == w.epoch {
		return validity.Valid
	}
	return w.verdict[c.Object]
}

func (w *fakeEnvironment) Epoch() uint16 { return w.epoch }

func (w *fakeEnvironment) OnDisk(k eviction.Key) bool { return w.disk[k] }

const now = 1000.0

var (
	key   = eviction.Key{Object: 7, Chunk: 1}
	video = Class{Cacheable: true}
	page  = Class{Cacheable: true, FreshSeconds: 10, StaleSeconds: 10}
	order = Class{}
)

func newHandler() (*Handler, *fakeEnvironment) {
	w := &fakeEnvironment{
		verdict: map[uint64]validity.Verdict{},
		void:    map[uint64]int64{},
		disk:    map[eviction.Key]bool{},
	}
	return New(w, Limits{MemoryBytes: 10000, MaxFills: 4, FillTimeoutSeconds: 3}), w
}

func newRequest(id uint64, r Class) Request {
	return Request{ID: id, Key: key, Class: r, Deadline: now + 5, Source: "s-1", Rank: 2, JoinFill: true}
}

func fetchedCopy(age float64) FetchResult {
	return FetchResult{
		Result:   routing.Completed,
		ETag:     "v",
		IssuedAt: int64((now - age) * 1000),
		Group:    3,
		Body:     make([]byte, 500),
	}
}

// cacheCopy puts a copy of an age in seconds into memory.
func cacheCopy(d *Handler, age float64) {
	d.begin(now)
	e := fetchedCopy(age)
	d.memory.put(&Copy{Key: key, ETag: e.ETag, IssuedAt: e.IssuedAt, Rank: 2, Body: e.Body, Seq: 5})
}

func responseCodes(acts []Action) []routing.AttemptResult {
	var out []routing.AttemptResult
	for _, a := range acts {
		if x, ok := a.(Respond); ok {
			out = append(out, x.Result)
		}
	}
	return out
}

func TestMissIsFetchedOnceForAllWaiting(t *testing.T) {
	d, _ := newHandler()
	acts := d.HandleRequest(now, newRequest(1, video))
	assert.Len(t, acts, 1)
	f := acts[0].(Fetch)
	assert.Equal(t, "s-1", f.Source)
	assert.Empty(t, d.HandleRequest(now, newRequest(2, video)))
	alone := newRequest(3, video)
	alone.JoinFill = false
	assert.Len(t, d.HandleRequest(now, alone), 1, "a request that may not join has its own fetch")
	acts = append([]Action{}, d.HandleFetched(now+0.1, f.Fill, fetchedCopy(0))...)
	assert.IsType(t, WriteDisk{}, acts[0])
	assert.Equal(t, routing.Filled, acts[1].(Respond).Detail)
	assert.Equal(t, routing.JoinedFill, acts[2].(Respond).Detail)
	hit := d.HandleRequest(now+0.2, newRequest(4, video))
	assert.Equal(t, routing.CacheHit, hit[1].(Respond).Detail)
}

func TestMissWithoutSource(t *testing.T) {
	d, _ := newHandler()
	x := newRequest(1, video)
	x.Source = ""
	assert.Equal(t, []routing.AttemptResult{routing.CacheMiss}, responseCodes(d.HandleRequest(now, x)))
}

func TestDiskIsReadOnceAndMissIsFetched(t *testing.T) {
	d, w := newHandler()
	w.disk[key] = true
	assert.Equal(t, []Action{ReadDisk{key}}, d.HandleRequest(now, newRequest(1, video)))
	assert.Empty(t, d.HandleRequest(now, newRequest(2, video)))
	e := fetchedCopy(50)
	acts := d.HandleDiskRead(now, key, &Copy{Key: key, ETag: "v", IssuedAt: e.IssuedAt, Rank: 2, Seq: 4, Body: e.Body})
	assert.Equal(t, []routing.AttemptResult{routing.Completed, routing.Completed}, responseCodes(acts))
	d, w = newHandler()
	w.disk[key] = true
	d.HandleRequest(now, newRequest(1, video))
	assert.IsType(t, Fetch{}, d.HandleDiskRead(now, key, nil)[0])
}

func TestUnconfirmedCopyIsServedAfterConfirmation(t *testing.T) {
	for _, same := range []bool{true, false} {
		d, w := newHandler()
		w.verdict[7], w.epoch = validity.Unconfirmed, 9
		cacheCopy(d, 50)
		f := d.HandleRequest(now, newRequest(1, video))[0].(Fetch)
		assert.Equal(t, "v", f.ETag)
		e := fetchedCopy(1)
		if e.NotModified = same; same {
			e.Body, e.ETag = nil, ""
		}
		acts := d.HandleFetched(now+0.1, f.Fill, e)
		assert.Equal(t, []routing.AttemptResult{routing.Completed}, responseCodes(acts))
		if same {
			assert.Contains(t, acts, ConfirmOnDisk{key, 5, 9})
		}
		assert.Equal(
			t,
			[]routing.AttemptResult{routing.Completed},
			responseCodes(d.HandleRequest(now+0.2, newRequest(2, video))),
			"valid from then on",
		)
	}
	d, w := newHandler()
	w.verdict[7], w.epoch = validity.Unconfirmed, 9
	cacheCopy(d, 50)
	x := newRequest(1, video)
	x.Source = ""
	assert.Equal(
		t,
		[]routing.AttemptResult{routing.CacheMiss},
		responseCodes(d.HandleRequest(now, x)),
		"no source to confirm it",
	)
}

func TestInvalidatedCopyIsNeverServed(t *testing.T) {
	d, w := newHandler()
	cacheCopy(d, 50)
	w.void[7] = int64((now - 20) * 1000)
	acts := d.HandleRequest(now, newRequest(1, video))
	assert.Contains(t, acts, DeleteFromDisk{key})
	f := acts[1].(Fetch)
	assert.Empty(t, f.ETag)
	// The source's copy is older than the purge too: it is fetched once more, then the request fails.
	acts = append([]Action{}, d.HandleFetched(now+0.1, f.Fill, fetchedCopy(30))...)
	assert.Empty(t, responseCodes(acts))
	again := acts[1].(Fetch)
	assert.Equal(
		t,
		[]routing.AttemptResult{routing.ServerError},
		responseCodes(d.HandleFetched(now+0.2, again.Fill, fetchedCopy(30))),
	)
	assert.Empty(t, d.memory.entries)
}

func TestMaxAgeLimitsCopies(t *testing.T) {
	for _, c := range []struct {
		rule          Class
		age, most     float64
		renew, source bool
		want          string
	}{
		{video, 1e6, 0, false, true, "hit"},
		{video, 40, 30, false, true, "fetch"},
		{video, 20, 30, false, true, "hit"},
		{page, 5, 0, false, true, "hit"},
		{page, 12, 0, false, true, "fetch"},
		{page, 12, 20, false, true, "stale"},
		{page, 12, 20, true, true, "stale+fetch"},
		{page, 21, 20, true, true, "fetch"},
		{page, 12, 0, false, false, "miss"},
	} {
		d, _ := newHandler()
		cacheCopy(d, c.age)
		x := newRequest(1, c.rule)
		if x.MaxAgeSeconds, x.Revalidate = c.most, c.renew; !c.source {
			x.Source = ""
		}
		got := ""
		for _, a := range d.HandleRequest(now, x) {
			switch a := a.(type) {
			case Respond:
				got = map[routing.ResultDetail]string{
					routing.CacheHit: "hit",
					routing.StaleHit: "stale",
					routing.NoDetail: "miss",
				}[a.Detail]
			case Fetch:
				if got != "" {
					got += "+"
				}
				got += "fetch"
			}
		}
		assert.Equal(t, c.want, got, "%+v", c)
	}
}

// A response says that a request did not run only where that is certain.
func TestPassThroughResultIsReported(t *testing.T) {
	for from, to := range map[routing.AttemptResult]routing.AttemptResult{
		routing.Overloaded:       routing.Overloaded,
		routing.ConnectFailed:    routing.Overloaded,
		routing.NotSent:          routing.Overloaded,
		routing.CacheMiss:        routing.CacheMiss,
		routing.ConnectionBroken: routing.ServerError,
		routing.TimedOut:         routing.ServerError,
		routing.ServerError:      routing.ServerError,
		routing.Cancelled:        routing.ServerError,
	} {
		d, _ := newHandler()
		f := d.HandleRequest(now, newRequest(1, order))[0].(Fetch)
		assert.Equal(t, uint64(1), f.Request)
		assert.False(t, f.JoinFill)
		assert.Equal(
			t,
			[]routing.AttemptResult{to},
			responseCodes(d.HandleFetched(now, f.Fill, FetchResult{Result: from})),
		)
	}
}

func TestCancelStopsPassThroughAndKeepsFill(t *testing.T) {
	d, _ := newHandler()
	f := d.HandleRequest(now, newRequest(1, order))[0].(Fetch)
	assert.Equal(t, []Action{CancelFetch{f.Fill}}, d.HandleCancel(now, 1, key))
	f = d.HandleRequest(now, newRequest(2, video))[0].(Fetch)
	assert.Empty(t, d.HandleCancel(now, 2, key))
	assert.IsType(t, WriteDisk{}, d.HandleFetched(now+1, f.Fill, fetchedCopy(0))[0])
}

func TestFillsAreBoundedAndTimeOut(t *testing.T) {
	d, _ := newHandler()
	for i := range uint64(5) {
		x := newRequest(i+1, video)
		x.Key.Chunk = uint32(i)
		acts := d.HandleRequest(now, x)
		if i == 4 {
			assert.Equal(t, []routing.AttemptResult{routing.Overloaded}, responseCodes(acts))
		}
	}
	assert.Empty(t, d.HandleTick(now+2.9))
	assert.Equal(
		t,
		[]routing.AttemptResult{routing.ServerError, routing.ServerError, routing.ServerError, routing.ServerError},
		responseCodes(d.HandleTick(now+3)),
	)
	assert.Zero(t, d.Fills())
}

func TestLowRanksAreEvictedFirst(t *testing.T) {
	d, _ := newHandler()
	put := func(o uint64, rank int) {
		d.memory.put(&Copy{Key: eviction.Key{Object: o}, Rank: rank, Body: make([]byte, 3000-copyBytes)})
	}
	put(1, 3)
	put(2, 1)
	put(3, 2)
	put(4, 2)
	assert.Nil(t, d.memory.entries[eviction.Key{Object: 2}])
	put(5, 1)
	assert.Nil(t, d.memory.entries[eviction.Key{Object: 5}])
	put(6, 3)
	assert.Nil(t, d.memory.entries[eviction.Key{Object: 3}], "the least recently used one")
	assert.NotNil(t, d.memory.entries[eviction.Key{Object: 1}])
}

// TestCopyUseByVerdictAndAge holds that a purge counts first, then an unconfirmed copy or one that is too old, then
// freshness.
func TestCopyUseByVerdictAndAge(t *testing.T) {
	const maxAge, fresh = 20.0, 10.0
	for _, test := range []struct {
		verdict validity.Verdict
		age     float64
		fresh   float64
		want    copyUse
	}{
		{validity.Valid, 10, fresh, serveFresh},
		{validity.Valid, 10.1, fresh, serveStale},
		{validity.Valid, 20, 0, serveFresh},
		{validity.Valid, 20.1, fresh, confirmCopy},
		{validity.Valid, 20.1, 0, confirmCopy},
		{validity.Unconfirmed, 1, fresh, confirmCopy},
		{validity.Invalidated, 1, fresh, discardCopy},
		{validity.Invalidated, 30, fresh, discardCopy},
	} {
		got := decideCopyUse(test.verdict, test.age, maxAge, test.fresh)
		assert.Equal(t, test.want, got, "%s at the age of %g s, fresh for %g s", test.verdict, test.age, test.fresh)
	}
}
