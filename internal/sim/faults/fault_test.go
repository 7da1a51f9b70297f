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
	s := Script{Peers: 4, Until: 20, Acts: []Act{{Do: Cut, At: 1, Until: 2, From: []int{0}, To: []int{1, 2}},
		{Do: Cut, At: 5, Until: 6, From: []int{0}, To: []int{3}, Both: true}, {Do: Delay, At: 10, S: 0.4}, {Do: Lose, At: 10, Until: 11, Share: 0.5},
		{Do: Lose, At: 10, Until: 11, Share: 0.5}}}
	require.NoError(t, s.Check())
	assert.True(t, s.Way(0, 1, 1.5).Cut)
	assert.False(t, s.Way(1, 0, 1.5).Cut, "one way")
	assert.False(t, s.Way(0, 1, 2).Cut)
	assert.True(t, s.Way(3, 0, 5.5).Cut)
	assert.InDelta(t, 0.75, s.Way(1, 2, 10.5).Lose, 1e-9, "losses one after the other")
	assert.Equal(t, 0.4, s.Way(1, 2, 15).Delay, "to the end")
	rnd := rand.New(rand.NewPCG(1, 1))
	delays, _ := Way{Cut: true}.Passing(rnd)
	assert.Empty(t, delays)
	delays, spoilt := Way{Double: 1, Spoil: 1, Delay: 0.1}.Passing(rnd)
	assert.Len(t, delays, 2)
	assert.True(t, spoilt)
}

func TestWhatIsTrue(t *testing.T) {
	s := Script{Peers: 5, Until: 20, Acts: []Act{{Do: Kill, At: 1, Until: 3, From: []int{4}}, {Do: Cut, At: 2, Until: 4, From: []int{0, 1}, To: []int{2, 3, 4}, Both: true},
		{Do: Cut, At: 6, Until: 8, From: []int{0}, To: []int{2}}}}
	assert.False(t, s.Runs(4, 2))
	assert.Equal(t, 4, s.Reaches(0, 1.5))
	assert.Equal(t, 2, s.Reaches(0, 2.5))
	assert.Equal(t, 5, s.Reaches(0, 7), "through others")
	assert.True(t, s.Excused(0, 4, 2, 4) && !s.Excused(4, 3, 5, 1) && s.Excused(2, 0, 7, 4) && s.Excused(0, 2, 11, 4))
	assert.False(t, s.Excused(0, 1, 7, 2))
}

func TestBadScriptsAreRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	for text, want := range map[string]string{`{"peers":3,"until":9,"acts":[{"do":"burn","at":1}]}`: `acts[0]: there is no fault "burn"`,
		`{"peers":3,"until":9,"acts":[{"do":"cut","at":4,"until":3}]}`: "no time", `{"peers":3,"until":9,"acts":[{"do":"kill","at":1,"from":[7]}]}`: "no process 7",
		`{"peers":3,"until":9,"acts":[{"do":"lose","share":2}]}`: "share", `{"peers":0}`: "nothing to play", `{`: "unexpected end"} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Read(path)
		assert.ErrorContains(t, err, want)
	}
}

func TestDrawnScriptsAreTheSameAndCanBePlayed(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed, 20, 8, 60)
		require.NoError(t, s.Check())
		assert.Equal(t, s, Draw(seed, 20, 8, 60))
		assert.LessOrEqual(t, lastEnd(s), 46.0)
	}
}

// TestShortenFindsTheTwoThatMatter: of twelve faults the breach needs a cut of process 3 and, overlapping it, a loss over a tenth.
func TestShortenFindsTheTwoThatMatter(t *testing.T) {
	s := Draw(5, 10, 10, 100)
	s.Acts = append(s.Acts, Act{Do: Cut, At: 20, Until: 60, From: []int{1, 2, 3}, Both: true}, Act{Do: Lose, At: 30, Until: 50, Share: 0.4})
	breaks := func(s Script) bool {
		for _, a := range s.Acts {
			for _, b := range s.Acts {
				if a.Do == Cut && slices.Contains(a.From, 1) && a.Until-a.At >= 10 && b.Do == Lose && b.Share >= 0.1 && b.At < a.Until && a.At < b.Until {
					return true
				}
			}
		}
		return false
	}
	require.True(t, breaks(s))
	short, plays := Shorten(s, 300, breaks)
	assert.True(t, breaks(short))
	assert.Len(t, short.Acts, 2)
	assert.LessOrEqual(t, plays, 300)
	for _, a := range short.Acts {
		if a.Do == Cut {
			assert.Equal(t, []int{1}, a.From)
		}
	}
}
