package faults

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLinkAtCombinesOverlappingFaults checks that overlapping faults of a link combine, that each ends at its own time,
// and that each affects only its own direction.
func TestLinkAtCombinesOverlappingFaults(t *testing.T) {
	script := Script{Processes: 4, Duration: 20, Faults: []Fault{
		{Kind: Cut, Start: 1, End: 2, From: []int{0}, To: []int{1, 2}},
		{Kind: Cut, Start: 5, End: 6, From: []int{0}, To: []int{3}, BothWays: true},
		{Kind: Delay, Start: 10, Seconds: 0.4},
		{Kind: Loss, Start: 10, End: 11, Share: 0.5},
		{Kind: Loss, Start: 10, End: 11, Share: 0.5},
	}}
	require.NoError(t, script.Validate())
	assert.True(t, script.LinkAt(0, 1, 1.5).Cut)
	assert.False(t, script.LinkAt(1, 0, 1.5).Cut, "the cut applies in one direction only")
	assert.False(t, script.LinkAt(0, 1, 2).Cut)
	assert.True(t, script.LinkAt(3, 0, 5.5).Cut)
	assert.InDelta(t, 0.75, script.LinkAt(1, 2, 10.5).Loss, 1e-9, "two independent losses of 50%")
	assert.Equal(t, 0.4, script.LinkAt(1, 2, 15).DelaySeconds, "no end time") //nolint:testifylint // exact by intent
}

// TestDeliverAppliesLinkFaults checks Deliver, which both the simulator and the proxy use. A cut link delivers
// nothing, a duplicating link delivers two copies, and a corrupting link reports both copies as corrupt.
func TestDeliverAppliesLinkFaults(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	delays, _ := Link{Cut: true}.Deliver(rnd)
	assert.Empty(t, delays)
	delays, corrupt := Link{Duplicate: 1, Corrupt: 1, DelaySeconds: 0.1}.Deliver(rnd)
	assert.Len(t, delays, 2)
	assert.True(t, corrupt)
}

// TestRunningAndReachableProcessesFollowTheScript checks what the script says about running and reachable processes.
// Verdicts compare it with what routers observed; if it is wrong, they blame a healthy router or miss a faulty one.
func TestRunningAndReachableProcessesFollowTheScript(t *testing.T) {
	script := Script{Processes: 5, Duration: 20, Faults: []Fault{
		{Kind: Kill, Start: 1, End: 3, From: []int{4}},
		{Kind: Cut, Start: 2, End: 4, From: []int{0, 1}, To: []int{2, 3, 4}, BothWays: true},
		{Kind: Cut, Start: 6, End: 8, From: []int{0}, To: []int{2}},
	}}
	assert.False(t, script.IsRunning(4, 2))
	assert.Equal(t, 4, script.ReachableCount(0, 1.5))
	assert.Equal(t, 2, script.ReachableCount(0, 2.5))
	assert.Equal(t, 5, script.ReachableCount(0, 7), "reachable through other processes")
	assert.True(t, script.ExplainsUnreachable(0, 4, 2, 4))
	assert.False(t, script.ExplainsUnreachable(4, 3, 5, 1))
	assert.True(t, script.ExplainsUnreachable(2, 0, 7, 4))
	assert.True(t, script.ExplainsUnreachable(0, 2, 11, 4))
	assert.False(t, script.ExplainsUnreachable(0, 1, 7, 2))
}

// TestStalledProcessRunsButDoesNotWork checks that a stalled process counts as running but not as working: it answers
// the probes of its peers, but its clients get no response.
func TestStalledProcessRunsButDoesNotWork(t *testing.T) {
	script := Script{Processes: 2, Duration: 20, Faults: []Fault{{Kind: Stall, Start: 1, End: 3, From: []int{1}}}}
	assert.True(t, script.IsRunning(1, 2))
	assert.False(t, script.IsWorking(1, 2))
	assert.True(t, script.IsWorking(1, 3))
}

// TestInvalidScriptsAreRejected checks that an invalid script file is rejected with an error that names the file, the
// fault and the cause. It must not run with only some of its faults.
func TestInvalidScriptsAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "script.json")
	for _, c := range []struct {
		text     string
		want     error
		wantText string
	}{
		{
			`{"peers":3,"until":9,"acts":[{"do":"burn","at":1}]}`,
			ErrUnknownKind,
			`acts[0]: unknown kind of fault "burn"`,
		},
		{`{"peers":3,"until":9,"acts":[{"do":"cut","at":4,"until":3}]}`, ErrInvalidTime, "acts[0]"},
		{`{"peers":3,"until":9,"acts":[{"do":"kill","at":1,"from":[7]}]}`, ErrUnknownProcess, "process 7"},
		{`{"peers":3,"until":9,"acts":[{"do":"lose","share":2}]}`, ErrInvalidShare, "share"},
		{`{"peers":0}`, ErrEmptyScript, "0 processes"},
	} {
		require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		_, err := ReadFile(path)
		require.ErrorIs(t, err, c.want)
		require.ErrorContains(t, err, c.wantText)
		require.ErrorContains(t, err, path)
	}
	require.NoError(t, os.WriteFile(path, []byte("{"), 0o600))
	_, err := ReadFile(path)
	var syntaxErr *json.SyntaxError
	assert.ErrorAs(t, err, &syntaxErr)
}

// TestGeneratedScriptsAreValidAndReproducible checks that a seed always generates the same script, as a failure report
// names only the seed. The faults must end early enough for routers to agree before the run ends.
func TestGeneratedScriptsAreValidAndReproducible(t *testing.T) {
	for seed := range uint64(200) {
		script := Generate(seed, 20, 8, 60)
		require.NoError(t, script.Validate())
		assert.Equal(t, script, Generate(seed, 20, 8, 60))
		assert.LessOrEqual(t, script.lastTransition(), 46.0)
	}
}

// TestShrinkFindsMinimalFailingScript shrinks a script of twelve faults. The failure occurs only with a cut of process
// 1 for at least 10 s that overlaps a loss of at least 10%.
func TestShrinkFindsMinimalFailingScript(t *testing.T) {
	script := Generate(5, 10, 10, 100)
	script.Faults = append(script.Faults,
		Fault{Kind: Cut, Start: 20, End: 60, From: []int{1, 2, 3}, BothWays: true},
		Fault{Kind: Loss, Start: 30, End: 50, Share: 0.4})
	longCut := func(f Fault) bool { return f.Kind == Cut && slices.Contains(f.From, 1) && f.End-f.Start >= 10 }
	highLoss := func(f Fault) bool { return f.Kind == Loss && f.Share >= 0.1 }
	fails := func(script Script) bool {
		for _, a := range script.Faults {
			for _, b := range script.Faults {
				if longCut(a) && highLoss(b) && b.Start < a.End && a.Start < b.End {
					return true
				}
			}
		}
		return false
	}
	require.True(t, fails(script))
	smallest, runs := Shrink(script, 300, fails)
	assert.True(t, fails(smallest))
	assert.Len(t, smallest.Faults, 2)
	assert.LessOrEqual(t, runs, 300)
	for _, fault := range smallest.Faults {
		if fault.Kind == Cut {
			assert.Equal(t, []int{1}, fault.From)
		}
	}
}

// TestKindsHaveLabels checks that each kind of fault has its own label for progress messages and plots.
func TestKindsHaveLabels(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range kinds {
		assert.NotEmpty(t, kind.Label(), string(kind))
		seen[kind.Label()] = true
	}
	assert.Len(t, seen, len(kinds))
	begin := Transition{Fault: Fault{Kind: Corrupt, Share: 0.5}}
	assert.Equal(t, `corruption: {"do":"spoil","at":0,"share":0.5}`, begin.String())
	begin.IsEnd = true
	assert.Contains(t, begin.String(), "end of corruption: ")
}
