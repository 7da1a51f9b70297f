package eviction

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func key(o, p int) Key { return Key{uint64(o), uint32(p)} }

// fullDisk returns a policy with a full disk of ten chunks of ten bytes, requested twice each, a second apart, until
// t = 20.
func fullDisk(alpha float64) *Cafe {
	c := NewCafe(Config{Alpha: alpha, CapacityBytes: 100, MaxGhosts: 100})
	for i := range 20 {
		c.Request(float64(i), key(i%10, 0), 10)
	}
	return c
}

// TestGapIsWeightedMean holds the paper's formula for the gap of a chunk. All admissions follow from it.
func TestGapIsWeightedMean(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 100, MaxGhosts: 9})
	c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 8, LastAccess: 100})
	assert.Equal(t, 0.25*4+0.75*8, c.Gap(104, key(1, 0))) //nolint:testifylint // exact by intent
	c.Request(104, key(1, 0), 10)
	assert.Equal(t, 0.25*2+0.75*7, c.Gap(106, key(1, 0))) //nolint:testifylint // exact by intent
}

// TestUnseenChunkTakesLargestGapOfItsObject asks for the gap of a chunk that was never requested. Without an
// estimate from its object each new chunk of a popular object would be refused at first.
func TestUnseenChunkTakesLargestGapOfItsObject(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 100, MaxGhosts: 9})
	c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 8, LastAccess: 100})
	c.Restore(key(1, 1), 10, AccessHistory{MeanGap: 20, LastAccess: 100})
	assert.Equal(t, 15.0, c.Gap(100, key(1, 2))) //nolint:testifylint // exact by intent
	assert.True(t, math.IsInf(c.Gap(100, key(2, 0)), 1))
}

// A more expensive fill requires a smaller gap: on a disk of chunks with gaps of 10 s, a chunk requested every 9 s is
// admitted at alpha 1 and not at alpha 4.
func TestAlphaChangesAdmission(t *testing.T) {
	for alpha, want := range map[float64]bool{1: true, 4: false} {
		c := NewCafe(Config{Alpha: alpha, CapacityBytes: 100, MaxGhosts: 100})
		for i := range 10 {
			c.Restore(key(i, 0), 10, AccessHistory{MeanGap: 10, LastAccess: 90 + float64(i)})
		}
		c.Request(90, key(50, 0), 10)
		c.entries[key(50, 0)].meanGap = 8
		assert.Equal(t, want, c.Request(100, key(50, 0), 10).Admit, "alpha %v", alpha)
	}
}

// TestNewChunkDisplacesLeastRequested requests a new chunk often on a full disk. A policy that evicts by age alone
// would remove popular chunks. The least requested one must go.
func TestNewChunkDisplacesLeastRequested(t *testing.T) {
	c := fullDisk(1)
	for i := range 9 { // all but object 9 are requested repeatedly
		for j := range 4 {
			c.Request(20+float64(i)/10+float64(j), key(i, 0), 10)
		}
	}
	c.Request(25, key(40, 0), 10)
	decision := c.Request(25.5, key(40, 0), 10)
	assert.True(t, decision.Admit)
	assert.Equal(t, []Key{key(9, 0)}, decision.Evict)
	assert.False(t, c.Contains(key(9, 0)))
}

// TestChunksRequestedOnceDoNotDisplace requests a thousand chunks once each. A scan of the entire catalog would empty
// the disk of what is asked for again. None may be admitted, and the ghosts must stay bounded.
func TestChunksRequestedOnceDoNotDisplace(t *testing.T) {
	c := fullDisk(2)
	for i := range 1000 {
		assert.False(t, c.Request(20+float64(i)/1000, key(100+i, 0), 10).Admit)
	}
	assert.LessOrEqual(t, c.Ghosts(), 100, "ghosts are bounded")
}

// TestWriteBudgetLimitsWrites admits and loses popular chunks for an hour. Without a budget the writes wear the disk
// out within months. The bytes written must stay within a burst and the hour's share, and use them.
func TestWriteBudgetLimitsWrites(t *testing.T) {
	daily := int64(24 * 1000) // a burst of 1000 bytes
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 1e6, MaxGhosts: 1000, DailyWriteBytes: daily})
	wrote := int64(0)
	for i := range 5000 { // an hour of popular chunks
		if c.Request(float64(i)*0.72, key(i%500, 0), 10).Admit {
			wrote += 10
		}
		if i%7 == 0 {
			c.Remove(key(i%500, 0))
		}
	}
	assert.LessOrEqual(t, wrote, int64(2000), "a burst and an hour's share")
	assert.Greater(t, wrote, int64(1000), "the budget is used")
}

// TestRemovedChunkIsAdmittedAgain removes a chunk that could not be read. Its room must be free, and its history
// must stay, or a single bad sector would make a popular chunk unpopular.
func TestRemovedChunkIsAdmittedAgain(t *testing.T) {
	c := fullDisk(1)
	c.Remove(key(3, 0))
	assert.False(t, c.Contains(key(3, 0)))
	assert.Equal(t, int64(90), c.Bytes())
	assert.True(t, c.Request(21, key(3, 0), 10).Admit)
}

// TestRestoreStaysWithinSmallerDisk restores more than a disk holds that an operator has made smaller. The policy
// would count more than there is room for, and never evict enough. The worst chunk must be given back for eviction.
func TestRestoreStaysWithinSmallerDisk(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 25, MaxGhosts: 10})
	assert.Empty(t, c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 100, LastAccess: 10}))
	assert.Empty(t, c.Restore(key(2, 0), 10, AccessHistory{MeanGap: 1, LastAccess: 10}))
	assert.Equal(t, []Key{key(1, 0)}, c.Restore(key(3, 0), 10, AccessHistory{MeanGap: 1, LastAccess: 10}))
}

const (
	modelCapacityBytes = 500
	modelMaxGhosts     = 20
)

// cafeModel plays drawn requests and losses and keeps its own list of what is cached.
type cafeModel struct {
	t      *rapid.T
	policy *Cafe
	now    float64
	cached map[Key]int64 // bytes
}

func newCafeModel(t *rapid.T) *cafeModel {
	return &cafeModel{
		t: t,
		policy: NewCafe(Config{
			Alpha:           rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "alpha"),
			CapacityBytes:   modelCapacityBytes,
			MaxGhosts:       modelMaxGhosts,
			DailyWriteBytes: rapid.SampledFrom([]int64{0, 100000}).Draw(t, "daily"),
		}),
		now:    1000,
		cached: map[Key]int64{},
	}
}

// step plays a request, or the loss of a chunk.
func (m *cafeModel) step() {
	m.now += rapid.Float64Range(0, 5).Draw(m.t, "dt")
	k := key(rapid.IntRange(0, 15).Draw(m.t, "o"), rapid.IntRange(0, 3).Draw(m.t, "p"))
	if rapid.IntRange(0, 9).Draw(m.t, "lose") == 0 {
		m.policy.Remove(k)
		delete(m.cached, k)
		return
	}
	m.request(k)
}

func (m *cafeModel) request(k Key) {
	size := int64(10 + k.Object*7)
	decision := m.policy.Request(m.now, k, size)
	_, had := m.cached[k]
	if decision.Cached != had {
		m.t.Fatalf("cached %v, was cached %v", decision.Cached, had)
	}
	if decision.Admit {
		m.cached[k] = size
	}
	for _, evicted := range decision.Evict {
		if _, ok := m.cached[evicted]; !ok {
			m.t.Fatalf("%v is evicted and was not cached", evicted)
		}
		delete(m.cached, evicted)
	}
	m.checkAccounting()
}

func (m *cafeModel) checkAccounting() {
	c, sum := m.policy, int64(0)
	for _, size := range m.cached {
		sum += size
	}
	if sum != c.Bytes() || len(m.cached) != c.Chunks() || sum > modelCapacityBytes || c.Ghosts() > modelMaxGhosts ||
		len(c.entries) != c.Chunks()+c.Ghosts() || c.cached.Len() != c.Chunks() {
		m.t.Fatalf("accounting disagrees: %d %d, %d %d", sum, c.Bytes(), len(m.cached), c.Chunks())
	}
}

// checkOrder compares the tree's order with that of the gaps at a later time.
func (m *cafeModel) checkOrder() {
	last := math.Inf(1)
	m.policy.cached.Ascend(func(e *entry) bool {
		gap := e.gap(m.now + 50)
		if gap > last+1e-6 {
			m.t.Fatalf("a gap of %v after one of %v", gap, last)
		}
		last = gap
		return true
	})
}

// TestCafeProperties plays any requests and losses. Bytes that are counted twice, or never, let the cache outgrow its
// disk or stay empty. The accounting must agree, nothing may exceed its bound, and the tree's order must be that of the
// gaps at any time (the paper's Theorem 1).
func TestCafeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCafeModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "n") {
			m.step()
		}
		m.checkOrder()
	})
}

// TestXLRURedirectsFirstView holds the baseline's rule: a first view is not stored, a second one is. Comparisons
// with a baseline that is wrong say nothing.
func TestXLRURedirectsFirstView(t *testing.T) {
	p := NewXLRU(100, 1)
	assert.Equal(t, Decision{}, p.Request(0, key(1, 0), 10))
	assert.Equal(t, Decision{}, p.Request(1, key(1, 1), 10), "the same view")
	assert.True(t, p.Request(60, key(1, 0), 10).Admit, "a second view")
	assert.True(t, p.Request(61, key(1, 1), 10).Admit)
	assert.True(t, p.Request(62, key(1, 0), 10).Cached)
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1e4, 1e5, 1e6} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := NewCafe(Config{Alpha: 1, CapacityBytes: int64(n) * 100, MaxGhosts: n / 4})
			for i := range n {
				c.Restore(key(i/15, i%15), 100, AccessHistory{MeanGap: float64(i % 997), LastAccess: float64(i) / 100})
			}
			r, now := rand.New(rand.NewPCG(1, 2)), float64(n)/100
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 0.001
				c.Request(now, key(r.IntN(n/10), r.IntN(15)), 100)
			}
		})
	}
}
