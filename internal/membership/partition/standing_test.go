package partition

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStandingsByWhatIsSeen(t *testing.T) {
	for _, x := range []struct {
		seen View
		want State
	}{{View{20, 20, 0}, Whole}, {View{20, 11, 0}, Majority}, {View{20, 10, 0}, Minority}, {View{20, 1, 0}, Alone}, {View{20, 12, 2}, Minority},
		{View{20, 20, 1}, Majority}, {View{1, 1, 0}, Whole}, {View{2, 1, 0}, Alone}, {View{3, 2, 0}, Majority}} {
		c := New(1, 0)
		c.Update(0, x.seen)
		c.Update(riseAfter+0.1, x.seen)
		s, _, _ := c.Current()
		assert.Equal(t, x.want, s, "%+v", x.seen)
	}
}

func TestWorseCountsAtOnceBetterOnceItHeld(t *testing.T) {
	c := New(0, 0)
	c.Update(0, View{4, 4, 0})
	c.Update(2, View{4, 4, 0})
	assert.True(t, c.Update(3, View{4, 2, 0}))
	s, epoch, since := c.Current()
	assert.Equal(t, []any{Minority, uint64(3), 3.0}, []any{s, epoch, since})
	assert.False(t, c.Update(3.1, View{4, 4, 0}))
	assert.InDelta(t, 3.1+riseAfter, c.NextDeadline(), 1e-9)
	c.Update(3.5, View{4, 3, 0}) // of what was better throughout the least counts
	assert.True(t, c.Update(4.2, View{4, 4, 0}))
	s, _, _ = c.Current()
	assert.Equal(t, Majority, s)
	for now := 10.0; now < 20; now += 0.5 { // a cut that flaps faster than a standing rises
		c.Update(now, View{4, 2, 0})
		c.Update(now+0.25, View{4, 4, 0})
		s, _, _ := c.Current()
		assert.Equal(t, Minority, s)
	}
}

func TestMoreThanTheLiarsHaveToDiffer(t *testing.T) {
	for liars, want := range map[int]State{1: Disagreeing, 2: Whole} {
		c := New(liars, 0)
		for now := 0.0; now < differAfter+2; now += 0.5 {
			c.RecordViewComparison(now, 1, true)
			c.RecordViewComparison(now, 2, true)
			c.RecordViewComparison(now, 3, now > 1)
			c.RecordViewComparison(now, 3, false)
			c.Update(now, View{5, 5, 0})
		}
		s, _, _ := c.Current()
		assert.Equal(t, want, s)
		c.Forget(1)
		c.Update(differAfter+4, View{5, 5, 0})
		c.Update(differAfter+8, View{5, 5, 0})
		s, _, _ = c.Current()
		assert.Equal(t, Whole, s, "what was said long ago is over")
	}
}

func TestRights(t *testing.T) {
	assert.Equal(t, []bool{false, false, false, true, true}, []bool{Alone.MayGrant(), Minority.MayGrant(), Disagreeing.MayGrant(), Majority.MayGrant(), Whole.MayGrant()})
	assert.False(t, Alone.MayGossip())
	assert.False(t, Minority.TrustsReports())
	assert.True(t, Disagreeing.TrustsReports())
}
