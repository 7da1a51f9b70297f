package membership

import (
	"testing"

	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ids are the numbers from one to before another.
func ids(from, to int) (list []int) {
	for i := from; i < to; i++ {
		list = append(list, i)
	}
	return list
}

func run(t *testing.T, config Config) *Result {
	t.Helper()
	r, err := Run(config)
	require.NoError(t, err)
	assert.Zero(t, r.Resurrected)
	return r
}

// TestSameConfigGivesSameTrace: a run that fails is repeated from its configuration. The same one must give the same
// state changes, and another seed others.
func TestSameConfigGivesSameTrace(t *testing.T) {
	config := Config{Script: faults.Generate(9, 20, 10, 60), SWIM: swim.Config{MaxByzantine: 1}, Hostile: []int{19}}
	first, again := run(t, config), run(t, config)
	assert.Equal(t, first.TraceHash, again.TraceHash)
	other := config
	other.Script.Seed++
	assert.NotEqual(t, run(t, config).TraceHash, run(t, other).TraceHash)
}

// TestPartitionsHealAndAllAgree: after a partition the members of both sides have declared each other failed. Once it
// heals all must agree within 4 s, with at most twice the datagrams of a calm second, also after ten minutes.
func TestPartitionsHealAndAllAgree(t *testing.T) {
	cut := func(until float64, from, to []int) faults.Fault {
		return faults.Fault{Kind: faults.Cut, Start: 15, End: until, From: from, To: to, BothWays: true}
	}
	for name, faultList := range map[string][]faults.Fault{
		"10:10":       {cut(25, ids(0, 10), ids(10, 20))},
		"13:7":        {cut(25, ids(0, 7), ids(7, 20))},
		"in three":    {cut(25, ids(0, 6), ids(6, 20)), cut(25, ids(6, 12), ids(12, 20))},
		"ten minutes": {cut(615, ids(0, 10), ids(10, 20))},
	} {
		script := faults.Script{Seed: 3, Processes: 20, Duration: faultList[0].End + 20, Faults: faultList}
		r := run(t, Config{Script: script, SWIM: swim.Config{MaxByzantine: 1}, MeasureAgreement: true})
		assert.Zero(t, r.FalseFailures, "%s: %v", name, r.FalseFailureDetails)
		inTime := r.AgreementSeconds >= 0 && r.AgreementSeconds < 4
		assert.True(t, inTime, "%s: agreed after %v s", name, r.AgreementSeconds)
		calm, peak := r.DatagramsPerSecond[13], 0.0
		for second := int(faultList[0].End); second < int(faultList[0].End)+15; second++ {
			peak = max(peak, r.DatagramsPerSecond[second])
		}
		t.Logf("%s: agreed after %.2f s, %.1f datagrams per second and member before, at most %.1f while rejoining",
			name, r.AgreementSeconds, calm, peak)
		assert.Less(t, peak, 2*calm, name)
	}
}

// TestOnlyOurCoreToleratesByzantineMembers: the same script with SWIM as published loses healthy members, so the
// check can fail.
func TestOnlyOurCoreToleratesByzantineMembers(t *testing.T) {
	faultList := []faults.Fault{
		{Kind: faults.Kill, Start: 20, End: 40, From: []int{2}},
		{Kind: faults.Loss, Share: 0.1},
	}
	for byzantine := 1; byzantine <= 3; byzantine += 2 {
		config := Config{
			Script:  faults.Script{Seed: 4, Processes: 20, Duration: 60, Faults: faultList},
			SWIM:    swim.Config{MaxByzantine: byzantine},
			Hostile: ids(20-byzantine, 20),
		}
		r := run(t, config)
		assert.Zero(t, r.FalseFailures, r.FalseFailureDetails)
		assert.Len(t, r.DetectionSeconds, 19-byzantine, "and the killed one is detected")
		config.SWIM.PublishedSWIM = true
		assert.Positive(t, run(t, config).FalseFailures)
	}
}

// TestFaultsCauseNoFalseFailures: links that are cut one way, loss, delay, short pauses, the loss of most members and
// a wrong clock must not make a member that runs appear failed, and at the end all see all.
func TestFaultsCauseNoFalseFailures(t *testing.T) {
	for name, faultList := range map[string][]faults.Fault{
		"one way": {{Kind: faults.Cut, Start: 15, End: 30, From: []int{0}, To: []int{1}}},
		"a chain": {
			{Kind: faults.Cut, Start: 15, End: 30, From: []int{0}, To: []int{2}, BothWays: true},
			{Kind: faults.Cut, Start: 15, End: 30, From: []int{5}, To: []int{7}, BothWays: true},
		},
		"30% lost": {{Kind: faults.Loss, Start: 0, Share: 0.3}},
		"400 ms":   {{Kind: faults.Delay, Start: 15, End: 40, Seconds: 0.4}},
		"short pauses": {
			{Kind: faults.Pause, Start: 15, End: 15.3, From: []int{3}},
			{Kind: faults.Pause, Start: 17, End: 18, From: []int{3}},
			{Kind: faults.Pause, Start: 20, End: 25, From: []int{3}},
		},
		"seven in ten": {{Kind: faults.Kill, Start: 20, End: 30, From: ids(0, 14)}},
		"an hour ahead": {
			{Kind: faults.ClockSkew, Start: 15, End: 22, From: []int{4}, Seconds: 3600},
			{Kind: faults.Kill, Start: 18, End: 19, From: []int{4}},
			{Kind: faults.Kill, Start: 24, End: 25, From: []int{4}},
		},
	} {
		script := faults.Script{Seed: 6, Processes: 20, Duration: 60, Faults: faultList}
		r := run(t, Config{Script: script, SWIM: swim.Config{MaxByzantine: 1}})
		assert.Zero(t, r.FalseFailures, "%s: %v", name, r.FalseFailureDetails)
		for i, present := range r.FinalPresent {
			assert.Equal(t, 20, present, "%s: peers that %d sees at the end", name, i)
		}
	}
}

// TestStuckMemberIsPresent: a member whose work stalls still answers probes. It must be reported as stuck and stay
// present, as its peers would otherwise take over its work and give it back again and again.
func TestStuckMemberIsPresent(t *testing.T) {
	faultList := []faults.Fault{{Kind: faults.Stall, Start: 15, End: 30, From: []int{4}}}
	script := faults.Script{Seed: 6, Processes: 20, Duration: 40, Faults: faultList}
	r := run(t, Config{Script: script, SWIM: swim.Config{MaxByzantine: 1}})
	assert.Zero(t, r.FalseFailures)
	assert.Equal(t, 20, r.FinalPresent[0])
}

// TestOldFailedProbesCauseNoFalseFailures: with these seeds, on a network that had recovered, members were
// declared failed up to 20 s later, on probes that had begun during the loss and waited long for their acks.
func TestOldFailedProbesCauseNoFalseFailures(t *testing.T) {
	for _, seed := range []uint64{102, 1898, 6983} {
		r := run(t, Config{Script: faults.Generate(seed, 50, 8, 60), SWIM: swim.Config{MaxByzantine: 1}})
		assert.Zero(t, r.FalseFailures, "seed %d: %v", seed, r.FalseFailureDetails)
	}
}
