package partition

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStandingsByWhatIsSeen(t *testing.T) {
	for _, x := range []struct {
		seen Seen
		want Standing
	}{{Seen{20, 20, 0}, Whole}, {Seen{20, 11, 0}, Majority}, {Seen{20, 10, 0}, Minority}, {Seen{20, 1, 0}, Alone}, {Seen{20, 12, 2}, Minority},
		{Seen{20, 20, 1}, Majority}, {Seen{1, 1, 0}, Whole}, {Seen{2, 1, 0}, Alone}, {Seen{3, 2, 0}, Majority}} {
		c := New(1, 0)
		c.Step(0, x.seen)
		c.Step(riseAfter+0.1, x.seen)
		s, _, _ := c.Now()
		assert.Equal(t, x.want, s, "%+v", x.seen)
	}
}

func TestWorseCountsAtOnceBetterOnceItHeld(t *testing.T) {
	c := New(0, 0)
	c.Step(0, Seen{4, 4, 0})
	c.Step(2, Seen{4, 4, 0})
	assert.True(t, c.Step(3, Seen{4, 2, 0}))
	s, epoch, since := c.Now()
	assert.Equal(t, []any{Minority, uint64(3), 3.0}, []any{s, epoch, since})
	assert.False(t, c.Step(3.1, Seen{4, 4, 0}))
	assert.InDelta(t, 3.1+riseAfter, c.Wants(), 1e-9)
	c.Step(3.5, Seen{4, 3, 0}) // of what was better throughout the least counts
	assert.True(t, c.Step(4.2, Seen{4, 4, 0}))
	s, _, _ = c.Now()
	assert.Equal(t, Majority, s)
	for now := 10.0; now < 20; now += 0.5 { // a cut that flaps faster than a standing rises
		c.Step(now, Seen{4, 2, 0})
		c.Step(now+0.25, Seen{4, 4, 0})
		s, _, _ := c.Now()
		assert.Equal(t, Minority, s)
	}
}

func TestMoreThanTheLiarsHaveToDiffer(t *testing.T) {
	for liars, want := range map[int]Standing{1: Disagreeing, 2: Whole} {
		c := New(liars, 0)
		for now := 0.0; now < differAfter+2; now += 0.5 {
			c.Heard(now, 1, true)
			c.Heard(now, 2, true)
			c.Heard(now, 3, now > 1)
			c.Heard(now, 3, false)
			c.Step(now, Seen{5, 5, 0})
		}
		s, _, _ := c.Now()
		assert.Equal(t, want, s)
		c.Gone(1)
		c.Step(differAfter+4, Seen{5, 5, 0})
		c.Step(differAfter+8, Seen{5, 5, 0})
		s, _, _ = c.Now()
		assert.Equal(t, Whole, s, "what was said long ago is over")
	}
}

func TestRights(t *testing.T) {
	assert.Equal(t, []bool{false, false, false, true, true}, []bool{Alone.MayGrant(), Minority.MayGrant(), Disagreeing.MayGrant(), Majority.MayGrant(), Whole.MayGrant()})
	assert.False(t, Alone.MayTell())
	assert.False(t, Minority.Believes())
	assert.True(t, Disagreeing.Believes())
}
