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

// fullDisk returns a policy with a full disk of ten chunks of ten bytes. Each chunk was requested twice, with one
// request per second until t = 20.
func fullDisk(alpha float64) *Cafe {
	c := NewCafe(Config{Alpha: alpha, CapacityBytes: 100, MaxUncachedEntries: 100})
	for i := range 20 {
		c.Request(float64(i), key(i%10, 0), 10)
	}
	return c
}

// TestGapIsWeightedMean checks the formula of the paper for the mean gap of a chunk (Eq. 8), on which all admissions
// depend.
func TestGapIsWeightedMean(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 100, MaxUncachedEntries: 9})
	c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 8, LastAccess: 100})
	assert.Equal(t, 0.25*4+0.75*8, c.MeanGapAt(104, key(1, 0))) //nolint:testifylint // exact by intent
	c.Request(104, key(1, 0), 10)
	assert.Equal(t, 0.25*2+0.75*7, c.MeanGapAt(106, key(1, 0))) //nolint:testifylint // exact by intent
}

// TestUnseenChunkTakesLargestGapOfItsObject checks the gap of a chunk that was never requested. Without an estimate
// from its object, the first request for each new chunk of a popular object would not be admitted.
func TestUnseenChunkTakesLargestGapOfItsObject(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 100, MaxUncachedEntries: 9})
	c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 8, LastAccess: 100})
	c.Restore(key(1, 1), 10, AccessHistory{MeanGap: 20, LastAccess: 100})
	assert.Equal(t, 15.0, c.MeanGapAt(100, key(1, 2))) //nolint:testifylint // exact by intent
	assert.True(t, math.IsInf(c.MeanGapAt(100, key(2, 0)), 1))
}

// TestAlphaChangesAdmission checks that a more expensive fill requires a smaller gap: on a disk of chunks with gaps of
// 10 s, a chunk requested every 9 s must be admitted at alpha 1 and not at alpha 4.
func TestAlphaChangesAdmission(t *testing.T) {
	for alpha, want := range map[float64]bool{1: true, 4: false} {
		c := NewCafe(Config{Alpha: alpha, CapacityBytes: 100, MaxUncachedEntries: 100})
		for i := range 10 {
			c.Restore(key(i, 0), 10, AccessHistory{MeanGap: 10, LastAccess: 90 + float64(i)})
		}
		c.Request(90, key(50, 0), 10)
		c.entries[key(50, 0)].meanGap = 8
		assert.Equal(t, want, c.Request(100, key(50, 0), 10).Admit, "alpha %v", alpha)
	}
}

// TestNewChunkEvictsLeastRequested requests a new chunk repeatedly on a full disk. The least requested chunk must be
// evicted; a policy that evicts by age alone would evict popular chunks.
func TestNewChunkEvictsLeastRequested(t *testing.T) {
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

// TestChunksRequestedOnceAreNotAdmitted requests a thousand chunks once each, like a scan of the entire catalog. None
// may be admitted, or the scan would evict all popular chunks, and the number of uncached entries must stay bounded.
func TestChunksRequestedOnceAreNotAdmitted(t *testing.T) {
	c := fullDisk(2)
	for i := range 1000 {
		assert.False(t, c.Request(20+float64(i)/1000, key(100+i, 0), 10).Admit)
	}
	assert.LessOrEqual(t, c.UncachedEntries(), 100, "the number of uncached entries is bounded")
}

// TestWriteBudgetLimitsWrites admits and removes popular chunks for an hour. Without a budget the writes would wear out
// the disk within months. The bytes written must not exceed one burst plus the budget of one hour, and must use it.
func TestWriteBudgetLimitsWrites(t *testing.T) {
	daily := int64(24 * 1000) // a burst of 1000 bytes
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 1e6, MaxUncachedEntries: 1000, DailyWriteBytes: daily})
	wrote := int64(0)
	for i := range 5000 { // an hour of popular chunks
		if c.Request(float64(i)*0.72, key(i%500, 0), 10).Admit {
			wrote += 10
		}
		if i%7 == 0 {
			c.Remove(key(i%500, 0))
		}
	}
	assert.LessOrEqual(t, wrote, int64(2000), "at most one burst plus the budget of one hour")
	assert.Greater(t, wrote, int64(1000), "the budget must be used")
}

// TestRemovedChunkIsAdmittedAgain removes a chunk as after a read error. Its space must be freed, and its access
// history must be retained, so that a popular chunk on a bad sector is admitted again at the next request.
func TestRemovedChunkIsAdmittedAgain(t *testing.T) {
	c := fullDisk(1)
	c.Remove(key(3, 0))
	assert.False(t, c.Contains(key(3, 0)))
	assert.Equal(t, int64(90), c.Bytes())
	assert.True(t, c.Request(21, key(3, 0), 10).Admit)
}

// TestRestoreEvictsAboveCapacity restores more chunks than fit, as after an operator has reduced the capacity. The
// policy must not count more bytes than the capacity: Restore must return the chunk with the largest gap for eviction.
func TestRestoreEvictsAboveCapacity(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 25, MaxUncachedEntries: 10})
	assert.Empty(t, c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 100, LastAccess: 10}))
	assert.Empty(t, c.Restore(key(2, 0), 10, AccessHistory{MeanGap: 1, LastAccess: 10}))
	assert.Equal(t, []Key{key(1, 0)}, c.Restore(key(3, 0), 10, AccessHistory{MeanGap: 1, LastAccess: 10}))
}

const (
	modelCapacityBytes = 500
	modelMaxUncached   = 20
)

// cafeModel executes random requests and removals and maintains its own map of cached chunks.
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
			Alpha:              rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "alpha"),
			CapacityBytes:      modelCapacityBytes,
			MaxUncachedEntries: modelMaxUncached,
			DailyWriteBytes:    rapid.SampledFrom([]int64{0, 100000}).Draw(t, "daily"),
		}),
		now:    1000,
		cached: map[Key]int64{},
	}
}

// step executes a random request or removal.
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
	_, present := m.cached[k]
	if decision.Cached != present {
		m.t.Fatalf("Decision.Cached is %v, want %v", decision.Cached, present)
	}
	if decision.Admit {
		m.cached[k] = size
	}
	for _, evicted := range decision.Evict {
		if _, ok := m.cached[evicted]; !ok {
			m.t.Fatalf("chunk %v was evicted but was not cached", evicted)
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
	if sum != c.Bytes() || len(m.cached) != c.Chunks() ||
		sum > modelCapacityBytes || c.UncachedEntries() > modelMaxUncached ||
		len(c.entries) != c.Chunks()+c.UncachedEntries() || c.cached.Len() != c.Chunks() {
		m.t.Fatalf("accounting differs from the model: bytes %d %d, chunks %d %d",
			sum, c.Bytes(), len(m.cached), c.Chunks())
	}
}

// checkOrder checks that the order of the tree is that of descending gaps at a later time.
func (m *cafeModel) checkOrder() {
	last := math.Inf(1)
	m.policy.cached.Ascend(func(e *entry) bool {
		gap := e.gap(m.now + 50)
		if gap > last+1e-6 {
			m.t.Fatalf("entries are out of order: gap %v after gap %v", gap, last)
		}
		last = gap
		return true
	})
}

// TestCafeProperties executes random requests and removals. If bytes were counted twice or not at all, the cache would
// exceed its capacity or stay empty. The accounting must match the model, no limit may be exceeded, and the order of
// the tree must be that of the gaps at any time (Theorem 1 of the paper).
func TestCafeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCafeModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "n") {
			m.step()
		}
		m.checkOrder()
	})
}

// TestXLRUDoesNotAdmitFirstView checks the admission rule of the baseline: chunks of a first view are not admitted,
// those of a second view are. Comparisons with an incorrect baseline would be meaningless.
func TestXLRUDoesNotAdmitFirstView(t *testing.T) {
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
			c := NewCafe(Config{Alpha: 1, CapacityBytes: int64(n) * 100, MaxUncachedEntries: n / 4})
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
