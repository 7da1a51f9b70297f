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

// full makes a disk of ten parts of ten bytes, asked for twice each, a second apart, until t = 20.
func full(alpha float64) *Core {
	c := New(Terms{Alpha: alpha, Capacity: 100, Ghosts: 100})
	for i := range 20 {
		c.Ask(float64(i), key(i%10, 0), 10)
	}
	return c
}

func TestGapIsAveraged(t *testing.T) {
	c := New(Terms{Alpha: 1, Capacity: 100, Ghosts: 9})
	c.Load(key(1, 0), 10, Memory{Gap: 8, Last: 100})
	assert.Equal(t, 0.25*4+0.75*8, c.Gap(104, key(1, 0)))
	c.Ask(104, key(1, 0), 10)
	assert.Equal(t, 0.25*2+0.75*7, c.Gap(106, key(1, 0)))
}

func TestUnseenPartTakesItsObjectsLargestGap(t *testing.T) {
	c := New(Terms{Alpha: 1, Capacity: 100, Ghosts: 9})
	c.Load(key(1, 0), 10, Memory{Gap: 8, Last: 100})
	c.Load(key(1, 1), 10, Memory{Gap: 20, Last: 100})
	assert.Equal(t, 15.0, c.Gap(100, key(1, 2)))
	assert.True(t, math.IsInf(c.Gap(100, key(2, 0)), 1))
}

// A dear fill wants a smaller gap: with a disk held at gaps of ten, a part asked for every nine is kept at alpha 1
// and not at alpha 4.
func TestAlphaMovesTheChoice(t *testing.T) {
	for alpha, want := range map[float64]bool{1: true, 4: false} {
		c := New(Terms{Alpha: alpha, Capacity: 100, Ghosts: 100})
		for i := range 10 {
			c.Load(key(i, 0), 10, Memory{Gap: 10, Last: 90 + float64(i)})
		}
		c.Ask(90, key(50, 0), 10)
		c.parts[key(50, 0)].dt = 8
		assert.Equal(t, want, c.Ask(100, key(50, 0), 10).Keep, "alpha %v", alpha)
	}
}

func TestANewPartDisplacesTheLeastAskedFor(t *testing.T) {
	c := full(1)
	for i := range 9 { // all but object 9 are asked for again and again
		for j := range 4 {
			c.Ask(20+float64(i)/10+float64(j), key(i, 0), 10)
		}
	}
	c.Ask(25, key(40, 0), 10)
	ch := c.Ask(25.5, key(40, 0), 10)
	assert.True(t, ch.Keep)
	assert.Equal(t, []Key{key(9, 0)}, ch.Out)
	assert.False(t, c.Holds(key(9, 0)))
}

func TestOnceWantedPartsDoNotDisplace(t *testing.T) {
	c := full(2)
	for i := range 1000 {
		assert.False(t, c.Ask(20+float64(i)/1000, key(100+i, 0), 10).Keep)
	}
	assert.LessOrEqual(t, c.Remembered(), 100, "ghosts are bounded")
}

func TestBudgetOfWritesIsKept(t *testing.T) {
	daily := int64(24 * 1000) // a burst of 1000 bytes
	c := New(Terms{Alpha: 1, Capacity: 1e6, Ghosts: 1000, Daily: daily})
	wrote := int64(0)
	for i := range 5000 { // an hour of parts that are worth it
		if c.Ask(float64(i)*0.72, key(i%500, 0), 10).Keep {
			wrote += 10
		}
		if i%7 == 0 {
			c.Lost(key(i%500, 0))
		}
	}
	assert.LessOrEqual(t, wrote, int64(2000), "the burst and an hour's share")
	assert.Greater(t, wrote, int64(1000), "and it is used")
}

func TestALostPartIsAskedForAnew(t *testing.T) {
	c := full(1)
	c.Lost(key(3, 0))
	assert.False(t, c.Holds(key(3, 0)))
	assert.Equal(t, int64(90), c.Bytes())
	assert.True(t, c.Ask(21, key(3, 0), 10).Keep)
}

func TestLoadKeepsWithinASmallerDisk(t *testing.T) {
	c := New(Terms{Alpha: 1, Capacity: 25, Ghosts: 10})
	assert.Empty(t, c.Load(key(1, 0), 10, Memory{Gap: 100, Last: 10}))
	assert.Empty(t, c.Load(key(2, 0), 10, Memory{Gap: 1, Last: 10}))
	assert.Equal(t, []Key{key(1, 0)}, c.Load(key(3, 0), 10, Memory{Gap: 1, Last: 10}))
}

// Whatever is asked, the books agree: bytes and parts held match, nothing is over its bound, and the tree's order is
// that of the gaps at any time (the paper's Theorem 1).
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Terms{Alpha: rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "alpha"), Capacity: 500, Ghosts: 20,
			Daily: rapid.SampledFrom([]int64{0, 100000}).Draw(t, "daily")})
		now, held := 1000.0, map[Key]int64{}
		for range rapid.IntRange(1, 150).Draw(t, "n") {
			now += rapid.Float64Range(0, 5).Draw(t, "dt")
			k := key(rapid.IntRange(0, 15).Draw(t, "o"), rapid.IntRange(0, 3).Draw(t, "p"))
			if rapid.IntRange(0, 9).Draw(t, "lose") == 0 {
				c.Lost(k)
				delete(held, k)
				continue
			}
			size := int64(10 + k.Object*7)
			ch := c.Ask(now, k, size)
			_, had := held[k]
			if ch.Held != had {
				t.Fatalf("held %v, was held %v", ch.Held, had)
			}
			if ch.Keep {
				held[k] = size
			}
			for _, x := range ch.Out {
				if _, ok := held[x]; !ok {
					t.Fatalf("%v goes out and was not held", x)
				}
				delete(held, x)
			}
			sum := int64(0)
			for _, s := range held {
				sum += s
			}
			if sum != c.Bytes() || len(held) != c.Parts() || sum > 500 || c.Remembered() > 20 ||
				len(c.parts) != c.Parts()+c.Remembered() || c.byGap.Len() != c.Parts() {
				t.Fatalf("books disagree: %d %d, %d %d", sum, c.Bytes(), len(held), c.Parts())
			}
		}
		last := math.Inf(1)
		c.byGap.Ascend(func(e *entry) bool {
			if g := e.gap(now + 50); g > last+1e-6 {
				t.Fatalf("a gap of %v after one of %v", g, last)
			} else {
				last = g
			}
			return true
		})
	})
}

func TestXLRUPassesAFirstView(t *testing.T) {
	p := NewXLRU(100, 1)
	assert.Equal(t, Choice{}, p.Ask(0, key(1, 0), 10))
	assert.Equal(t, Choice{}, p.Ask(1, key(1, 1), 10), "the same view")
	assert.True(t, p.Ask(60, key(1, 0), 10).Keep, "a second view")
	assert.True(t, p.Ask(61, key(1, 1), 10).Keep)
	assert.True(t, p.Ask(62, key(1, 0), 10).Held)
}

func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{1e4, 1e5, 1e6} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New(Terms{Alpha: 1, Capacity: int64(n) * 100, Ghosts: n / 4})
			for i := range n {
				c.Load(key(i/15, i%15), 100, Memory{Gap: float64(i % 997), Last: float64(i) / 100})
			}
			r, now := rand.New(rand.NewPCG(1, 2)), float64(n)/100
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 0.001
				c.Ask(now, key(r.IntN(n/10), r.IntN(15)), 100)
			}
		})
	}
}
