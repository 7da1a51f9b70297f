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

func (w *world) Judge(c validity.Copy) validity.Verdict {
	if at, ok := w.void[c.Object]; ok && c.Dated <= at {
		return validity.Void
	}
	if w.verdict[c.Object] == validity.Probation && c.Confirmed == w.doubts {
		return validity.Sound
	}
	return w.verdict[c.Object]
}
func (w *world) Doubts() uint16             { return w.doubts }
func (w *world) OnDisk(k eviction.Key) bool { return w.disk[k] }

const now = 1000.0

var (
	key   = eviction.Key{Object: 7, Part: 1}
	video = Rule{Kept: true}
	page  = Rule{Kept: true, Fresh: 10, Stale: 10}
	order = Rule{}
)

func fresh() (*Desk, *world) {
	w := &world{verdict: map[uint64]validity.Verdict{}, void: map[uint64]int64{}, disk: map[eviction.Key]bool{}}
	return New(w, Bounds{Memory: 10000, Fills: 4, FillWait: 3}), w
}

func txn(id uint64, r Rule) Txn {
	return Txn{ID: id, Key: key, Rule: r, Until: now + 5, Source: "s-1", Rank: 2, Join: true}
}

func given(age float64) End {
	return End{Code: routing.Completed, Tag: "v", Dated: int64((now - age) * 1000), Group: 3, Body: make([]byte, 500)}
}

// with puts a copy of an age into memory.
func with(d *Desk, age float64) {
	d.begin(now)
	e := given(age)
	d.hold(&Copy{Key: key, Tag: e.Tag, Dated: e.Dated, Rank: 2, Body: e.Body, Seq: 5})
}

func code(acts []Action) []routing.AttemptResult {
	var out []routing.AttemptResult
	for _, a := range acts {
		if x, ok := a.(Answer); ok {
			out = append(out, x.Code)
		}
	}
	return out
}

func TestAMissIsFilledOnceForAllWhoWait(t *testing.T) {
	d, _ := fresh()
	acts := d.Ask(now, txn(1, video))
	assert.Len(t, acts, 1)
	f := acts[0].(Fetch)
	assert.Equal(t, "s-1", f.Source)
	assert.Empty(t, d.Ask(now, txn(2, video)))
	alone := txn(3, video)
	alone.Join = false
	assert.Len(t, d.Ask(now, alone), 1, "one that may not join has a fill of its own")
	acts = append([]Action{}, d.Fetched(now+0.1, f.Fill, given(0))...)
	assert.IsType(t, Keep{}, acts[0])
	assert.Equal(t, routing.Filled, acts[1].(Answer).Remark)
	assert.Equal(t, routing.JoinedFill, acts[2].(Answer).Remark)
	hit := d.Ask(now+0.2, txn(4, video))
	assert.Equal(t, routing.CacheHit, hit[1].(Answer).Remark)
}

func TestWithoutASourceThereIsNothing(t *testing.T) {
	d, _ := fresh()
	x := txn(1, video)
	x.Source = ""
	assert.Equal(t, []routing.AttemptResult{routing.CacheMiss}, code(d.Ask(now, x)))
}

func TestTheDiskIsReadOnceAndAMissGoesOn(t *testing.T) {
	d, w := fresh()
	w.disk[key] = true
	assert.Equal(t, []Action{Read{key}}, d.Ask(now, txn(1, video)))
	assert.Empty(t, d.Ask(now, txn(2, video)))
	e := given(50)
	acts := d.DiskRead(now, key, &Copy{Key: key, Tag: "v", Dated: e.Dated, Rank: 2, Seq: 4, Body: e.Body})
	assert.Equal(t, []routing.AttemptResult{routing.Completed, routing.Completed}, code(acts))
	d, w = fresh()
	w.disk[key] = true
	d.Ask(now, txn(1, video))
	assert.IsType(t, Fetch{}, d.DiskRead(now, key, nil)[0])
}

func TestACopyOnProbationIsServedOnceItsSourceConfirmsIt(t *testing.T) {
	for _, same := range []bool{true, false} {
		d, w := fresh()
		w.verdict[7], w.doubts = validity.Probation, 9
		with(d, 50)
		f := d.Ask(now, txn(1, video))[0].(Fetch)
		assert.Equal(t, "v", f.Tag)
		e := given(1)
		if e.Same = same; same {
			e.Body, e.Tag = nil, ""
		}
		acts := d.Fetched(now+0.1, f.Fill, e)
		assert.Equal(t, []routing.AttemptResult{routing.Completed}, code(acts))
		if same {
			assert.Contains(t, acts, Confirm{key, 5, 9})
		}
		assert.Equal(t, []routing.AttemptResult{routing.Completed}, code(d.Ask(now+0.2, txn(2, video))), "and then it is sound")
	}
	d, w := fresh()
	w.verdict[7], w.doubts = validity.Probation, 9
	with(d, 50)
	x := txn(1, video)
	x.Source = ""
	assert.Equal(t, []routing.AttemptResult{routing.CacheMiss}, code(d.Ask(now, x)), "nobody to confirm it")
}

func TestAVoidCopyIsNeverServed(t *testing.T) {
	d, w := fresh()
	with(d, 50)
	w.void[7] = int64((now - 20) * 1000)
	acts := d.Ask(now, txn(1, video))
	assert.Contains(t, acts, Forget{key})
	f := acts[1].(Fetch)
	assert.Empty(t, f.Tag)
	// The source's own copy is older than the purge too: asked once more, then given up.
	acts = append([]Action{}, d.Fetched(now+0.1, f.Fill, given(30))...)
	assert.Empty(t, code(acts))
	again := acts[1].(Fetch)
	assert.Equal(t, []routing.AttemptResult{routing.ServerError}, code(d.Fetched(now+0.2, again.Fill, given(30))))
	assert.Empty(t, d.memory)
}

func TestAgesAreKept(t *testing.T) {
	for _, c := range []struct {
		rule          Rule
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
		for _, a := range d.Ask(now, x) {
			switch a := a.(type) {
			case Answer:
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
		f := d.Ask(now, txn(1, order))[0].(Fetch)
		assert.Equal(t, uint64(1), f.Txn)
		assert.False(t, f.Join)
		assert.Equal(t, []routing.AttemptResult{to}, code(d.Fetched(now, f.Fill, End{Code: from})))
	}
}

func TestAnOrderIsGivenUpWithItsTxnAndAFillRunsOn(t *testing.T) {
	d, _ := fresh()
	f := d.Ask(now, txn(1, order))[0].(Fetch)
	assert.Equal(t, []Action{Abandon{f.Fill}}, d.Leave(now, 1, key))
	f = d.Ask(now, txn(2, video))[0].(Fetch)
	assert.Empty(t, d.Leave(now, 2, key))
	assert.IsType(t, Keep{}, d.Fetched(now+1, f.Fill, given(0))[0])
}

func TestFillsAreBoundedAndEnd(t *testing.T) {
	d, _ := fresh()
	for i := range uint64(5) {
		x := txn(i+1, video)
		x.Key.Part = uint32(i)
		acts := d.Ask(now, x)
		if i == 4 {
			assert.Equal(t, []routing.AttemptResult{routing.Overloaded}, code(acts))
		}
	}
	assert.Empty(t, d.Tick(now+2.9))
	assert.Equal(t, []routing.AttemptResult{routing.ServerError, routing.ServerError, routing.ServerError, routing.ServerError}, code(d.Tick(now+3)))
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
				case Answer:
					if _, ok := open[a.Txn]; !ok || done[a.Txn] || left[a.Txn] {
						t.Fatalf("txn %d is answered again, or was not asked", a.Txn)
					}
					done[a.Txn] = true
					if a.Copy != nil && w.Judge(a.Copy.asked()) == validity.Void {
						t.Fatalf("a void copy is served")
					}
				case Fetch:
					fetches = append(fetches, a)
				case Read:
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
					e := End{Code: routing.AttemptResult(rapid.IntRange(0, 8).Draw(t, "code")), Tag: "x", Dated: int64((clock - rapid.Float64Range(0, 20).Draw(t, "age")) * 1000),
						Body: make([]byte, rapid.IntRange(0, 4000).Draw(t, "size")), Same: rapid.Bool().Draw(t, "same")}
					take(d.Fetched(clock, f.Fill, e))
				}
			case 1:
				if len(reads) > 0 {
					var c *Copy
					if rapid.Bool().Draw(t, "found") {
						c = &Copy{Key: reads[0], Tag: "y", Rank: 2, Dated: int64((clock - 30) * 1000), Seq: 3, Body: make([]byte, 1000)}
					}
					take(d.DiskRead(clock, reads[0], c))
					reads = reads[1:]
				}
			case 2:
				w.void[k.Object] = int64((clock - 1) * 1000)
				w.disk[k] = rapid.Bool().Draw(t, "disk")
			case 3:
				for x := range open {
					if !done[x] {
						left[x] = true
						take(d.Leave(clock, x, open[x]))
						break
					}
				}
			default:
				x := Txn{ID: id + 1, Key: k, Rule: rapid.SampledFrom([]Rule{video, page, order}).Draw(t, "rule"), Until: clock + 5,
					Source: rapid.SampledFrom([]string{"", "s-1"}).Draw(t, "source"), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
					MaxAge: rapid.SampledFrom([]float64{0, 0.5, 30}).Draw(t, "most"), Join: rapid.Bool().Draw(t, "join"), Renew: true}
				open[x.ID] = k
				take(d.Ask(clock, x))
			}
		}
		for len(reads) > 0 {
			k := reads[0]
			reads = reads[1:]
			take(d.DiskRead(clock, k, nil))
		}
		for range 3 {
			clock += 10
			take(d.Tick(clock))
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
