package observation

import (
	"fmt"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func says(by int, seq uint32, zone string) Observation {
	return Observation{Witness: by, WitnessStartMillis: 1, Sequence: seq, Endpoint: "m", Health: Failing, Zone: zone}
}

func TestLiarsAloneRaiseNoDoubt(t *testing.T) {
	c := New(0, "z", 1, 1)
	for i := range 20 {
		h, _ := c.HandleObservation(float64(i)*0.1, says(1, uint32(i+1), fmt.Sprint("z", i)))
		assert.Empty(t, h)
	}
	h, fresh := c.HandleObservation(2, says(2, 1, "z2"))
	require.True(t, fresh)
	require.Len(t, h, 1)
	assert.InDelta(t, 0.75, h[0].Level, 1e-9)
	ended := c.Tick(2 + lasts + 1)
	require.Len(t, ended, 1)
	assert.Zero(t, ended[0].Level, "it runs out")
	assert.Empty(t, c.Tick(2+lasts+2))
}

func TestWitnessesOfOneZoneCountLess(t *testing.T) {
	doubt := func(zones ...string) float64 {
		c := New(0, "z", 0, 1)
		for i, z := range zones {
			c.HandleObservation(1, says(i+1, 1, z))
		}
		return c.Snapshot(1)[0].Doubt
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
			c.AttemptEnded(now, "m", Healthy)
		}
		c.HandleObservation(now, says(1, uint32(i+1), "z"))
	}
	_, wrong, voice := c.Reputation(1)
	assert.Greater(t, wrong, wrongLeast)
	assert.False(t, voice)
	assert.Zero(t, c.Snapshot(now)[0].Doubt)
	c.AttemptEnded(now, "n", Failing)
	c.HandleObservation(now, Observation{Witness: 2, WitnessStartMillis: 1, Sequence: 1, Endpoint: "n", Health: Failing})
	right, _, voice := c.Reputation(2)
	assert.InDelta(t, 1, right, 1e-9)
	assert.True(t, voice)
}

func TestOldWordsAndOldLivesAreRefused(t *testing.T) {
	c := New(0, "z", 0, 5)
	_, fresh := c.HandleObservation(1, Observation{Witness: 1, WitnessStartMillis: 5, Sequence: 9, Endpoint: "m", Health: Failing})
	assert.True(t, fresh)
	for _, r := range []Observation{{Witness: 1, WitnessStartMillis: 5, Sequence: 9, Endpoint: "m", Health: Failing}, {Witness: 1, WitnessStartMillis: 5, Sequence: 8, Endpoint: "m", Health: Healthy},
		{Witness: 1, WitnessStartMillis: 4, Sequence: 99, Endpoint: "x", Health: Failing}, {Witness: 0, WitnessStartMillis: 9, Sequence: 1, Endpoint: "m", Health: Failing},
		{Witness: 1, WitnessStartMillis: 5, Sequence: 10 + mostAhead, Endpoint: "m", Health: Failing}, {Witness: 2, WitnessStartMillis: 1, Sequence: 1, Endpoint: "m", Health: 9}} {
		_, fresh = c.HandleObservation(2, r)
		assert.False(t, fresh, "%+v", r)
	}
	_, fresh = c.HandleObservation(2, Observation{Witness: 1, WitnessStartMillis: 5, Sequence: 7, Endpoint: "other", Health: Failing})
	assert.True(t, fresh, "one on another member that came later than sent")
}

func TestOwnWordsAreFewAndTrue(t *testing.T) {
	c := New(0, "z", 0, 1)
	c.AttemptEnded(1, "m", Failing)
	assert.Empty(t, c.TakeUnsigned(), "one end is chance")
	for range 100 {
		c.AttemptEnded(1, "m", Failing)
	}
	said := c.TakeUnsigned()
	require.Len(t, said, 1)
	assert.Equal(t, Failing, said[0].Health)
	c.Enqueue(said[0])
	told := 0
	for range 100 {
		told += len(c.Piggyback(3, 20))
	}
	assert.Equal(t, int(spread*5), told, "handed on by the logarithm of the peers")
	for range goodEnds {
		c.AttemptEnded(2, "m", Healthy)
	}
	assert.Equal(t, Healthy, c.TakeUnsigned()[0].Health)
	for i := range 1000 {
		c.AttemptEnded(3, fmt.Sprint("x", i), Failing)
		c.AttemptEnded(3, fmt.Sprint("x", i), Failing)
	}
	assert.LessOrEqual(t, len(c.TakeUnsigned()), int(ownBurst))
}

func TestWhatIsHeldIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(0, "z", 1, 1)
		now := 0.0
		for i := range rapid.IntRange(1, 3000).Draw(t, "words") {
			now += 0.001
			c.HandleObservation(now, Observation{Witness: 1 + i%40, WitnessStartMillis: 1, Sequence: uint32(i/40 + 1), Endpoint: fmt.Sprint(i % 1500), Health: Failing, Zone: "z"})
		}
		if held, waiting := c.Sizes(); held > mostWords || waiting > mostQueue || len(c.words) > mostMembers {
			t.Fatalf("%d words, %d waiting, %d members", held, waiting, len(c.words))
		}
	})
}

func TestEndsThatSayNothing(t *testing.T) {
	for code, want := range map[routing.AttemptResult]Health{routing.Completed: Healthy, routing.ServerError: Failing, routing.Overloaded: Slow, routing.ConnectionBroken: Failing, routing.Cancelled: 0, routing.NotSent: 0} {
		got, ok := Classify(code, false)
		assert.Equal(t, want, got)
		assert.Equal(t, want != 0, ok)
	}
	got, _ := Classify(routing.Completed, true)
	assert.Equal(t, Slow, got)
}
