package handler

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// world is a trust that is told what to say.
type world struct {
	verdict map[uint64]validity.Verdict
	void    map[uint64]int64
	disk    map[eviction.Key]bool
	doubts  uint16
}

func (w *world) Evaluate(c validity.Copy) validity.Verdict {
	if at, ok := w.void[c.Object]; ok && c.IssuedAt <= at {
		return validity.Invalidated
	}
	if w.verdict[c.Object] == validity.Unconfirmed && c.ConfirmedEpoch == w.doubts {
		return validity.Valid
	}
	return w.verdict[c.Object]
}
func (w *world) Epoch() uint16              { return w.doubts }
func (w *world) OnDisk(k eviction.Key) bool { return w.disk[k] }

const now = 1000.0

var (
	key   = eviction.Key{Object: 7, Chunk: 1}
	video = Class{Cacheable: true}
	page  = Class{Cacheable: true, FreshSeconds: 10, StaleSeconds: 10}
	order = Class{}
)

func fresh() (*Handler, *world) {
	w := &world{verdict: map[uint64]validity.Verdict{}, void: map[uint64]int64{}, disk: map[eviction.Key]bool{}}
	return New(w, Limits{MemoryBytes: 10000, MaxFills: 4, FillTimeoutSeconds: 3}), w
}

func txn(id uint64, r Class) Request {
	return Request{ID: id, Key: key, Class: r, Deadline: now + 5, Source: "s-1", Rank: 2, Join: true}
}

func given(age float64) FetchResult {
	return FetchResult{Code: routing.Completed, Tag: "v", IssuedAt: int64((now - age) * 1000), Group: 3, Body: make([]byte, 500)}
}

// with puts a copy of an age into memory.
func with(d *Handler, age float64) {
	d.begin(now)
	e := given(age)
	d.hold(&Copy{Key: key, Tag: e.Tag, IssuedAt: e.IssuedAt, Rank: 2, Body: e.Body, Seq: 5})
}

func code(acts []Action) []routing.AttemptResult {
	var out []routing.AttemptResult
	for _, a := range acts {
		if x, ok := a.(Respond); ok {
			out = append(out, x.Code)
		}
	}
	return out
}

func TestAMissIsFilledOnceForAllWhoWait(t *testing.T) {
	d, _ := fresh()
	acts := d.HandleRequest(now, txn(1, video))
	assert.Len(t, acts, 1)
	f := acts[0].(Fetch)
	assert.Equal(t, "s-1", f.Source)
	assert.Empty(t, d.HandleRequest(now, txn(2, video)))
	alone := txn(3, video)
	alone.Join = false
	assert.Len(t, d.HandleRequest(now, alone), 1, "one that may not join has a fill of its own")
	acts = append([]Action{}, d.HandleFetched(now+0.1, f.Fill, given(0))...)
	assert.IsType(t, WriteDisk{}, acts[0])
	assert.Equal(t, routing.Filled, acts[1].(Respond).Remark)
	assert.Equal(t, routing.JoinedFill, acts[2].(Respond).Remark)
	hit := d.HandleRequest(now+0.2, txn(4, video))
	assert.Equal(t, routing.CacheHit, hit[1].(Respond).Remark)
}

func TestWithoutASourceThereIsNothing(t *testing.T) {
	d, _ := fresh()
	x := txn(1, video)
	x.Source = ""
	assert.Equal(t, []routing.AttemptResult{routing.CacheMiss}, code(d.HandleRequest(now, x)))
}

func TestTheDiskIsReadOnceAndAMissGoesOn(t *testing.T) {
	d, w := fresh()
	w.disk[key] = true
	assert.Equal(t, []Action{ReadDisk{key}}, d.HandleRequest(now, txn(1, video)))
	assert.Empty(t, d.HandleRequest(now, txn(2, video)))
	e := given(50)
	acts := d.HandleDiskRead(now, key, &Copy{Key: key, Tag: "v", IssuedAt: e.IssuedAt, Rank: 2, Seq: 4, Body: e.Body})
	assert.Equal(t, []routing.AttemptResult{routing.Completed, routing.Completed}, code(acts))
	d, w = fresh()
	w.disk[key] = true
	d.HandleRequest(now, txn(1, video))
	assert.IsType(t, Fetch{}, d.HandleDiskRead(now, key, nil)[0])
}

func TestACopyOnProbationIsServedOnceItsSourceConfirmsIt(t *testing.T) {
	for _, same := range []bool{true, false} {
		d, w := fresh()
		w.verdict[7], w.doubts = validity.Unconfirmed, 9
		with(d, 50)
		f := d.HandleRequest(now, txn(1, video))[0].(Fetch)
		assert.Equal(t, "v", f.Tag)
		e := given(1)
		if e.NotModified = same; same {
			e.Body, e.Tag = nil, ""
		}
		acts := d.HandleFetched(now+0.1, f.Fill, e)
		assert.Equal(t, []routing.AttemptResult{routing.Completed}, code(acts))
		if same {
			assert.Contains(t, acts, ConfirmOnDisk{key, 5, 9})
		}
		assert.Equal(t, []routing.AttemptResult{routing.Completed}, code(d.HandleRequest(now+0.2, txn(2, video))), "and then it is sound")
	}
	d, w := fresh()
	w.verdict[7], w.doubts = validity.Unconfirmed, 9
	with(d, 50)
	x := txn(1, video)
	x.Source = ""
	assert.Equal(t, []routing.AttemptResult{routing.CacheMiss}, code(d.HandleRequest(now, x)), "nobody to confirm it")
}

func TestAVoidCopyIsNeverServed(t *testing.T) {
	d, w := fresh()
	with(d, 50)
	w.void[7] = int64((now - 20) * 1000)
	acts := d.HandleRequest(now, txn(1, video))
	assert.Contains(t, acts, DeleteFromDisk{key})
	f := acts[1].(Fetch)
	assert.Empty(t, f.Tag)
	// The source's own copy is older than the purge too: asked once more, then given up.
	acts = append([]Action{}, d.HandleFetched(now+0.1, f.Fill, given(30))...)
	assert.Empty(t, code(acts))
	again := acts[1].(Fetch)
	assert.Equal(t, []routing.AttemptResult{routing.ServerError}, code(d.HandleFetched(now+0.2, again.Fill, given(30))))
	assert.Empty(t, d.memory)
}

func TestAgesAreKept(t *testing.T) {
	for _, c := range []struct {
		rule          Class
		age, most     float64
		renew, source bool
		want          string
	}{
		{video, 1e6, 0, false, true, "hit"}, {video, 40, 30, false, true, "fetch"}, {video, 20, 30, false, true, "hit"},
		{page, 5, 0, false, true, "hit"}, {page, 12, 0, false, true, "fetch"}, {page, 12, 20, false, true, "old"},
		{page, 12, 20, true, true, "old+fetch"}, {page, 21, 20, true, true, "fetch"}, {page, 12, 0, false, false, "miss"},
	} {
		d, _ := fresh()
		with(d, c.age)
		x := txn(1, c.rule)
		if x.MaxAge, x.Renew = c.most, c.renew; !c.source {
			x.Source = ""
		}
		got := ""
		for _, a := range d.HandleRequest(now, x) {
			switch a := a.(type) {
			case Respond:
				got = map[routing.ResultDetail]string{routing.CacheHit: "hit", routing.StaleHit: "old", routing.NoDetail: "miss"}[a.Remark]
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

// What may have run is not called harmless, and what surely did not is not called a failure.
func TestAnOrdersEndIsToldTruly(t *testing.T) {
	for from, to := range map[routing.AttemptResult]routing.AttemptResult{routing.Overloaded: routing.Overloaded, routing.ConnectFailed: routing.Overloaded, routing.NotSent: routing.Overloaded,
		routing.CacheMiss: routing.CacheMiss, routing.ConnectionBroken: routing.ServerError, routing.TimedOut: routing.ServerError, routing.ServerError: routing.ServerError, routing.Cancelled: routing.ServerError} {
		d, _ := fresh()
		f := d.HandleRequest(now, txn(1, order))[0].(Fetch)
		assert.Equal(t, uint64(1), f.Request)
		assert.False(t, f.Join)
		assert.Equal(t, []routing.AttemptResult{to}, code(d.HandleFetched(now, f.Fill, FetchResult{Code: from})))
	}
}

func TestAnOrderIsGivenUpWithItsTxnAndAFillRunsOn(t *testing.T) {
	d, _ := fresh()
	f := d.HandleRequest(now, txn(1, order))[0].(Fetch)
	assert.Equal(t, []Action{CancelFetch{f.Fill}}, d.HandleCancel(now, 1, key))
	f = d.HandleRequest(now, txn(2, video))[0].(Fetch)
	assert.Empty(t, d.HandleCancel(now, 2, key))
	assert.IsType(t, WriteDisk{}, d.HandleFetched(now+1, f.Fill, given(0))[0])
}

func TestFillsAreBoundedAndEnd(t *testing.T) {
	d, _ := fresh()
	for i := range uint64(5) {
		x := txn(i+1, video)
		x.Key.Chunk = uint32(i)
		acts := d.HandleRequest(now, x)
		if i == 4 {
			assert.Equal(t, []routing.AttemptResult{routing.Overloaded}, code(acts))
		}
	}
	assert.Empty(t, d.HandleTick(now+2.9))
	assert.Equal(t, []routing.AttemptResult{routing.ServerError, routing.ServerError, routing.ServerError, routing.ServerError}, code(d.HandleTick(now+3)))
	assert.Zero(t, d.Fills())
}

func TestLowRanksGoFirstAndNothingForALowerOne(t *testing.T) {
	d, _ := fresh()
	put := func(o uint64, rank int) {
		d.hold(&Copy{Key: eviction.Key{Object: o}, Rank: rank, Body: make([]byte, 3000-copyBytes)})
	}
	put(1, 3)
	put(2, 1)
	put(3, 2)
	put(4, 2)
	assert.Nil(t, d.memory[eviction.Key{Object: 2}])
	put(5, 1)
	assert.Nil(t, d.memory[eviction.Key{Object: 5}])
	put(6, 3)
	assert.Nil(t, d.memory[eviction.Key{Object: 3}], "the one used longest ago")
	assert.NotNil(t, d.memory[eviction.Key{Object: 1}])
}

// Whatever comes in whatever order, each txn has exactly one answer unless it left, no void copy is served, memory and
// fills stay bounded, and no state is left behind.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, w := fresh()
		clock, open, left, done := now, map[uint64]eviction.Key{}, map[uint64]bool{}, map[uint64]bool{}
		var fetches []Fetch
		var reads []eviction.Key
		take := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Respond:
					if _, ok := open[a.Request]; !ok || done[a.Request] || left[a.Request] {
						t.Fatalf("txn %d is answered again, or was not asked", a.Request)
					}
					done[a.Request] = true
					if a.Copy != nil && w.Evaluate(a.Copy.asked()) == validity.Invalidated {
						t.Fatalf("a void copy is served")
					}
				case Fetch:
					fetches = append(fetches, a)
				case ReadDisk:
					reads = append(reads, a.Key)
				}
			}
			if d.Bytes() > 10000 || d.Fills() > 4 {
				t.Fatalf("%d bytes, %d fills", d.Bytes(), d.Fills())
			}
		}
		for id := range uint64(rapid.IntRange(5, 120).Draw(t, "n")) {
			clock += rapid.Float64Range(0, 0.4).Draw(t, "dt")
			k := eviction.Key{Object: uint64(rapid.IntRange(0, 3).Draw(t, "o"))}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				if len(fetches) > 0 {
					f := fetches[0]
					fetches = fetches[1:]
					e := FetchResult{Code: routing.AttemptResult(rapid.IntRange(0, 8).Draw(t, "code")), Tag: "x", IssuedAt: int64((clock - rapid.Float64Range(0, 20).Draw(t, "age")) * 1000),
						Body: make([]byte, rapid.IntRange(0, 4000).Draw(t, "size")), NotModified: rapid.Bool().Draw(t, "same")}
					take(d.HandleFetched(clock, f.Fill, e))
				}
			case 1:
				if len(reads) > 0 {
					var c *Copy
					if rapid.Bool().Draw(t, "found") {
						c = &Copy{Key: reads[0], Tag: "y", Rank: 2, IssuedAt: int64((clock - 30) * 1000), Seq: 3, Body: make([]byte, 1000)}
					}
					take(d.HandleDiskRead(clock, reads[0], c))
					reads = reads[1:]
				}
			case 2:
				w.void[k.Object] = int64((clock - 1) * 1000)
				w.disk[k] = rapid.Bool().Draw(t, "disk")
			case 3:
				for x := range open {
					if !done[x] {
						left[x] = true
						take(d.HandleCancel(clock, x, open[x]))
						break
					}
				}
			default:
				x := Request{ID: id + 1, Key: k, Class: rapid.SampledFrom([]Class{video, page, order}).Draw(t, "rule"), Deadline: clock + 5,
					Source: rapid.SampledFrom([]string{"", "s-1"}).Draw(t, "source"), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
					MaxAge: rapid.SampledFrom([]float64{0, 0.5, 30}).Draw(t, "most"), Join: rapid.Bool().Draw(t, "join"), Renew: true}
				open[x.ID] = k
				take(d.HandleRequest(clock, x))
			}
		}
		for len(reads) > 0 {
			k := reads[0]
			reads = reads[1:]
			take(d.HandleDiskRead(clock, k, nil))
		}
		for range 3 {
			clock += 10
			take(d.HandleTick(clock))
		}
		for id := range open {
			if !done[id] && !left[id] {
				t.Fatalf("txn %d has no answer", id)
			}
		}
		if len(d.fills)+len(d.byKey)+len(d.ofTxn)+len(d.reads) > 0 {
			t.Fatalf("left behind: %d fills, %d by key, %d of txns, %d reads", len(d.fills), len(d.byKey), len(d.ofTxn), len(d.reads))
		}
	})
}
