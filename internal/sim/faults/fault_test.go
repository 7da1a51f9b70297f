package faults

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWaysFollowTheScript(t *testing.T) {
	s := Script{Processes: 4, Duration: 20, Faults: []Fault{{Kind: Cut, Start: 1, End: 2, From: []int{0}, To: []int{1, 2}},
		{Kind: Cut, Start: 5, End: 6, From: []int{0}, To: []int{3}, BothWays: true}, {Kind: Delay, Start: 10, Seconds: 0.4}, {Kind: Loss, Start: 10, End: 11, Share: 0.5},
		{Kind: Loss, Start: 10, End: 11, Share: 0.5}}}
	require.NoError(t, s.Validate())
	assert.True(t, s.LinkAt(0, 1, 1.5).Cut)
	assert.False(t, s.LinkAt(1, 0, 1.5).Cut, "one way")
	assert.False(t, s.LinkAt(0, 1, 2).Cut)
	assert.True(t, s.LinkAt(3, 0, 5.5).Cut)
	assert.InDelta(t, 0.75, s.LinkAt(1, 2, 10.5).Loss, 1e-9, "losses one after the other")
	assert.Equal(t, 0.4, s.LinkAt(1, 2, 15).DelaySeconds, "to the end")
	rnd := rand.New(rand.NewPCG(1, 1))
	delays, _ := Link{Cut: true}.Deliver(rnd)
	assert.Empty(t, delays)
	delays, spoilt := Link{Duplicate: 1, Corrupt: 1, DelaySeconds: 0.1}.Deliver(rnd)
	assert.Len(t, delays, 2)
	assert.True(t, spoilt)
}

func TestWhatIsTrue(t *testing.T) {
	s := Script{Processes: 5, Duration: 20, Faults: []Fault{{Kind: Kill, Start: 1, End: 3, From: []int{4}}, {Kind: Cut, Start: 2, End: 4, From: []int{0, 1}, To: []int{2, 3, 4}, BothWays: true},
		{Kind: Cut, Start: 6, End: 8, From: []int{0}, To: []int{2}}}}
	assert.False(t, s.IsRunning(4, 2))
	assert.Equal(t, 4, s.ReachableCount(0, 1.5))
	assert.Equal(t, 2, s.ReachableCount(0, 2.5))
	assert.Equal(t, 5, s.ReachableCount(0, 7), "through others")
	assert.True(t, s.ExplainsUnreachable(0, 4, 2, 4) && !s.ExplainsUnreachable(4, 3, 5, 1) && s.ExplainsUnreachable(2, 0, 7, 4) && s.ExplainsUnreachable(0, 2, 11, 4))
	assert.False(t, s.ExplainsUnreachable(0, 1, 7, 2))
}

func TestBadScriptsAreRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	for text, want := range map[string]string{`{"peers":3,"until":9,"acts":[{"do":"burn","at":1}]}`: `acts[0]: there is no fault "burn"`,
		`{"peers":3,"until":9,"acts":[{"do":"cut","at":4,"until":3}]}`: "no time", `{"peers":3,"until":9,"acts":[{"do":"kill","at":1,"from":[7]}]}`: "no process 7",
		`{"peers":3,"until":9,"acts":[{"do":"lose","share":2}]}`: "share", `{"peers":0}`: "nothing to play", `{`: "unexpected end"} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadFile(path)
		assert.ErrorContains(t, err, want)
	}
}

func TestDrawnScriptsAreTheSameAndCanBePlayed(t *testing.T) {
	for seed := range uint64(200) {
		s := Generate(seed, 20, 8, 60)
		require.NoError(t, s.Validate())
		assert.Equal(t, s, Generate(seed, 20, 8, 60))
		assert.LessOrEqual(t, lastEnd(s), 46.0)
	}
}

// TestShortenFindsTheTwoThatMatter: of twelve faults the breach needs a cut of process 3 and, overlapping it, a loss over a tenth.
func TestShortenFindsTheTwoThatMatter(t *testing.T) {
	s := Generate(5, 10, 10, 100)
	s.Faults = append(s.Faults, Fault{Kind: Cut, Start: 20, End: 60, From: []int{1, 2, 3}, BothWays: true}, Fault{Kind: Loss, Start: 30, End: 50, Share: 0.4})
	breaks := func(s Script) bool {
		for _, a := range s.Faults {
			for _, b := range s.Faults {
				if a.Kind == Cut && slices.Contains(a.From, 1) && a.End-a.Start >= 10 && b.Kind == Loss && b.Share >= 0.1 && b.Start < a.End && a.Start < b.End {
					return true
				}
			}
		}
		return false
	}
	require.True(t, breaks(s))
	short, plays := Shrink(s, 300, breaks)
	assert.True(t, breaks(short))
	assert.Len(t, short.Faults, 2)
	assert.LessOrEqual(t, plays, 300)
	for _, a := range short.Faults {
		if a.Kind == Cut {
			assert.Equal(t, []int{1}, a.From)
		}
	}
}
