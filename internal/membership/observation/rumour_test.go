package observation

import (
	"fmt"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func says(by int, seq uint32, zone string) Rumour {
	return Rumour{By: by, Start: 1, Seq: seq, Member: "m", Says: Failing, Zone: zone}
}

func TestLiarsAloneRaiseNoDoubt(t *testing.T) {
	c := New(0, "z", 1, 1)
	for i := range 20 {
		h, _ := c.Heard(float64(i)*0.1, says(1, uint32(i+1), fmt.Sprint("z", i)))
		assert.Empty(t, h)
	}
	h, fresh := c.Heard(2, says(2, 1, "z2"))
	require.True(t, fresh)
	require.Len(t, h, 1)
	assert.InDelta(t, 0.75, h[0].Doubt, 1e-9)
	ended := c.Tick(2 + lasts + 1)
	require.Len(t, ended, 1)
	assert.Zero(t, ended[0].Doubt, "it runs out")
	assert.Empty(t, c.Tick(2+lasts+2))
}

func TestWitnessesOfOneZoneCountLess(t *testing.T) {
	doubt := func(zones ...string) float64 {
		c := New(0, "z", 0, 1)
		for i, z := range zones {
			c.Heard(1, says(i+1, 1, z))
		}
		return c.Lines(1)[0].Doubt
	}
	assert.Greater(t, doubt("a", "b", "c"), doubt("a", "a", "a"))
	assert.Greater(t, doubt("a", "a"), doubt("a"))
}

func TestOftenWrongWitnessLosesItsVoice(t *testing.T) {
	c := New(0, "z", 0, 1)
	now := 0.0
	for i := range 4 {
		now += 1
		for range goodEnds {
			c.Ended(now, "m", Well)
		}
		c.Heard(now, says(1, uint32(i+1), "z"))
	}
	_, wrong, voice := c.Record(1)
	assert.Greater(t, wrong, wrongLeast)
	assert.False(t, voice)
	assert.Zero(t, c.Lines(now)[0].Doubt)
	c.Ended(now, "n", Failing)
	c.Heard(now, Rumour{By: 2, Start: 1, Seq: 1, Member: "n", Says: Failing})
	right, _, voice := c.Record(2)
	assert.InDelta(t, 1, right, 1e-9)
	assert.True(t, voice)
}

func TestOldWordsAndOldLivesAreRefused(t *testing.T) {
	c := New(0, "z", 0, 5)
	_, fresh := c.Heard(1, Rumour{By: 1, Start: 5, Seq: 9, Member: "m", Says: Failing})
	assert.True(t, fresh)
	for _, r := range []Rumour{{By: 1, Start: 5, Seq: 9, Member: "m", Says: Failing}, {By: 1, Start: 5, Seq: 8, Member: "m", Says: Well},
		{By: 1, Start: 4, Seq: 99, Member: "x", Says: Failing}, {By: 0, Start: 9, Seq: 1, Member: "m", Says: Failing},
		{By: 1, Start: 5, Seq: 10 + mostAhead, Member: "m", Says: Failing}, {By: 2, Start: 1, Seq: 1, Member: "m", Says: 9}} {
		_, fresh = c.Heard(2, r)
		assert.False(t, fresh, "%+v", r)
	}
	_, fresh = c.Heard(2, Rumour{By: 1, Start: 5, Seq: 7, Member: "other", Says: Failing})
	assert.True(t, fresh, "one on another member that came later than sent")
}

func TestOwnWordsAreFewAndTrue(t *testing.T) {
	c := New(0, "z", 0, 1)
	c.Ended(1, "m", Failing)
	assert.Empty(t, c.Say(), "one end is chance")
	for range 100 {
		c.Ended(1, "m", Failing)
	}
	said := c.Say()
	require.Len(t, said, 1)
	assert.Equal(t, Failing, said[0].Says)
	c.Tell(said[0])
	told := 0
	for range 100 {
		told += len(c.Next(3, 20))
	}
	assert.Equal(t, int(spread*5), told, "handed on by the logarithm of the peers")
	for range goodEnds {
		c.Ended(2, "m", Well)
	}
	assert.Equal(t, Well, c.Say()[0].Says)
	for i := range 1000 {
		c.Ended(3, fmt.Sprint("x", i), Failing)
		c.Ended(3, fmt.Sprint("x", i), Failing)
	}
	assert.LessOrEqual(t, len(c.Say()), int(ownBurst))
}

func TestWhatIsHeldIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(0, "z", 1, 1)
		now := 0.0
		for i := range rapid.IntRange(1, 3000).Draw(t, "words") {
			now += 0.001
			c.Heard(now, Rumour{By: 1 + i%40, Start: 1, Seq: uint32(i/40 + 1), Member: fmt.Sprint(i % 1500), Says: Failing, Zone: "z"})
		}
		if held, waiting := c.Held(); held > mostWords || waiting > mostQueue || len(c.words) > mostMembers {
			t.Fatalf("%d words, %d waiting, %d members", held, waiting, len(c.words))
		}
	})
}

func TestEndsThatSayNothing(t *testing.T) {
	for code, want := range map[routing.AttemptResult]Says{routing.Completed: Well, routing.ServerError: Failing, routing.Overloaded: Slow, routing.ConnectionBroken: Failing, routing.Cancelled: 0, routing.NotSent: 0} {
		got, ok := Read(code, false)
		assert.Equal(t, want, got)
		assert.Equal(t, want != 0, ok)
	}
	got, _ := Read(routing.Completed, true)
	assert.Equal(t, Slow, got)
}
