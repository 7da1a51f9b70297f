package once

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func memory() *Memory[string, int] { return New[string, int](Terms{Window: 8, Open: 3, Ended: 100}) }

func TestAResendGetsTheSameDecisionAndThenTheVerdict(t *testing.T) {
	m := memory()
	w, _, _ := m.Ask(100, "a")
	assert.Equal(t, Fresh, w)
	m.Decide("a", "box 7")
	w, d, _ := m.Ask(101, "a")
	assert.Equal(t, []any{Open, "box 7"}, []any{w, d})
	assert.True(t, m.End(102, "a", 200))
	assert.False(t, m.End(102, "a", 504), "it keeps its verdict")
	w, _, v := m.Ask(109.9, "a")
	assert.Equal(t, []any{Ended, 200}, []any{w, v})
	w, _, _ = m.Ask(112, "a")
	assert.Equal(t, Fresh, w, "the window is over")
	assert.Equal(t, int64(2), m.Resent)
	assert.Zero(t, m.Forgotten)
}

func TestOpenOnesAreBoundedAndNeverForgotten(t *testing.T) {
	m := memory()
	for i := range 3 {
		m.Ask(100, fmt.Sprint(i))
	}
	w, _, _ := m.Ask(100, "one more")
	assert.Equal(t, Full, w)
	w, _, _ = m.Ask(1e6, "0")
	assert.Equal(t, Open, w)
}

func TestWithoutRoomTheOldestGoFirstAndAreCounted(t *testing.T) {
	m := memory()
	for i := range 150 {
		id := fmt.Sprint(i)
		m.Ask(100+float64(i)/50, id)
		m.End(100+float64(i)/50, id, i)
	}
	_, ended := m.Sizes()
	assert.LessOrEqual(t, ended, 100)
	assert.Equal(t, int64(150-ended), m.Forgotten)
	w, _, v := m.Ask(103, "149")
	assert.Equal(t, []any{Ended, 149}, []any{w, v})
}

// Whatever comes, an id within its window is decided once, unless that is counted as forgotten; bounds are kept.
func TestAnIdIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New[string, int](Terms{Window: 8, Open: 5, Ended: rapid.SampledFrom([]int{4, 1000}).Draw(t, "ended")})
		now, open, ended := 50.0, map[string]bool{}, map[string]float64{}
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now += rapid.Float64Range(-0.5, 0.7).Draw(t, "dt") // a clock may jump back a little
			id := fmt.Sprint(rapid.IntRange(0, 11).Draw(t, "id"))
			if rapid.Bool().Draw(t, "end") {
				if m.End(now, id, 1) != open[id] {
					t.Fatalf("end of %s", id)
				}
				if open[id] {
					delete(open, id)
					ended[id] = m.now
				}
				continue
			}
			w, _, _ := m.Ask(now, id)
			at, was := ended[id]
			switch {
			case open[id] && w != Open, w == Open && !open[id], w == Ended && !was:
				t.Fatalf("%s is %v", id, w)
			case w == Fresh && was && m.now-at < 8 && m.Forgotten == 0:
				t.Fatalf("%s is decided again after %v s", id, m.now-at)
			case w == Ended && m.now-at > 8*generations/(generations-1)+0.01:
				t.Fatalf("%s is remembered for %v s", id, m.now-at)
			}
			if w == Fresh {
				open[id] = true
				delete(ended, id)
			}
			if o, e := m.Sizes(); o > 5 || e > m.terms.Ended || o != len(open) {
				t.Fatalf("%d open, %d ended", o, e)
			}
		}
	})
}
