package eviction

import (
	"fmt"
	"math"
	"math/rand/v2"
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

func TestGapIsWeightedMean(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 100, MaxGhosts: 9})
	c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 8, LastAccess: 100})
	assert.Equal(t, 0.25*4+0.75*8, c.Gap(104, key(1, 0)))
	c.Request(104, key(1, 0), 10)
	assert.Equal(t, 0.25*2+0.75*7, c.Gap(106, key(1, 0)))
}

func TestUnseenChunkTakesLargestGapOfItsObject(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 100, MaxGhosts: 9})
	c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 8, LastAccess: 100})
	c.Restore(key(1, 1), 10, AccessHistory{MeanGap: 20, LastAccess: 100})
	assert.Equal(t, 15.0, c.Gap(100, key(1, 2)))
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

func TestChunksRequestedOnceDoNotDisplace(t *testing.T) {
	c := fullDisk(2)
	for i := range 1000 {
		assert.False(t, c.Request(20+float64(i)/1000, key(100+i, 0), 10).Admit)
	}
	assert.LessOrEqual(t, c.Ghosts(), 100, "ghosts are bounded")
}

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

func TestRemovedChunkIsAdmittedAgain(t *testing.T) {
	c := fullDisk(1)
	c.Remove(key(3, 0))
	assert.False(t, c.Contains(key(3, 0)))
	assert.Equal(t, int64(90), c.Bytes())
	assert.True(t, c.Request(21, key(3, 0), 10).Admit)
}

func TestRestoreStaysWithinSmallerDisk(t *testing.T) {
	c := NewCafe(Config{Alpha: 1, CapacityBytes: 25, MaxGhosts: 10})
	assert.Empty(t, c.Restore(key(1, 0), 10, AccessHistory{MeanGap: 100, LastAccess: 10}))
	assert.Empty(t, c.Restore(key(2, 0), 10, AccessHistory{MeanGap: 1, LastAccess: 10}))
	assert.Equal(t, []Key{key(1, 0)}, c.Restore(key(3, 0), 10, AccessHistory{MeanGap: 1, LastAccess: 10}))
}

// After any requests the accounting agrees: bytes and chunks cached match, nothing exceeds its bound, and the tree's
// order is that of the gaps at any time (the paper's Theorem 1).
func TestCafeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCafe(Config{
			Alpha:           rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "alpha"),
			CapacityBytes:   500,
			MaxGhosts:       20,
			DailyWriteBytes: rapid.SampledFrom([]int64{0, 100000}).Draw(t, "daily"),
		})
		now, cached := 1000.0, map[Key]int64{}
		for range rapid.IntRange(1, 150).Draw(t, "n") {
			now += rapid.Float64Range(0, 5).Draw(t, "dt")
			k := key(rapid.IntRange(0, 15).Draw(t, "o"), rapid.IntRange(0, 3).Draw(t, "p"))
			if rapid.IntRange(0, 9).Draw(t, "lose") == 0 {
				c.Remove(k)
				delete(cached, k)
				continue
			}
			size := int64(10 + k.Object*7)
			decision := c.Request(now, k, size)
			_, had := cached[k]
			if decision.Cached != had {
				t.Fatalf("cached %v, was cached %v", decision.Cached, had)
			}
			if decision.Admit {
				cached[k] = size
			}
			for _, x := range decision.Evict {
				if _, ok := cached[x]; !ok {
					t.Fatalf("%v is evicted and was not cached", x)
				}
				delete(cached, x)
			}
			sum := int64(0)
			for _, s := range cached {
				sum += s
			}
			if sum != c.Bytes() || len(cached) != c.Chunks() || sum > 500 || c.Ghosts() > 20 ||
				len(c.entries) != c.Chunks()+c.Ghosts() || c.cached.Len() != c.Chunks() {
				t.Fatalf("accounting disagrees: %d %d, %d %d", sum, c.Bytes(), len(cached), c.Chunks())
			}
		}
		last := math.Inf(1)
		c.cached.Ascend(func(e *entry) bool {
			if g := e.gap(now + 50); g > last+1e-6 {
				t.Fatalf("a gap of %v after one of %v", g, last)
			} else {
				last = g
			}
			return true
		})
	})
}

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
		b.Run(fmt.Sprint(n), func(b *testing.B) {
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
