package membership

import (
	"testing"

	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// memberIDs returns the integers of the half-open range [from, to).
func memberIDs(from, to int) (list []int) {
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

// TestSameConfigGivesSameTrace checks that a failed run can be reproduced from its configuration: the same
// configuration gives the same state changes, and another seed gives different ones.
func TestSameConfigGivesSameTrace(t *testing.T) {
	config := Config{Script: faults.Generate(9, 20, 10, 60), SWIM: swim.Config{MaxByzantine: 1}, Hostile: []int{19}}
	first, repeated := run(t, config), run(t, config)
	assert.Equal(t, first.TraceHash, repeated.TraceHash)
	other := config
	other.Script.Seed++
	assert.NotEqual(t, run(t, config).TraceHash, run(t, other).TraceHash)
}

// TestMembersAgreeAfterPartition checks recovery after a partition in which both sides declared each other failed. Once
// the partition heals, all members must agree within 4 s, even if it lasted ten minutes, and no second may have more
// than twice the datagrams of a second before the partition.
func TestMembersAgreeAfterPartition(t *testing.T) {
	cut := func(until float64, from, to []int) faults.Fault {
		return faults.Fault{Kind: faults.Cut, Start: 15, End: until, From: from, To: to, BothWays: true}
	}
	for name, faultList := range map[string][]faults.Fault{
		"10:10":       {cut(25, memberIDs(0, 10), memberIDs(10, 20))},
		"13:7":        {cut(25, memberIDs(0, 7), memberIDs(7, 20))},
		"three parts": {cut(25, memberIDs(0, 6), memberIDs(6, 20)), cut(25, memberIDs(6, 12), memberIDs(12, 20))},
		"ten minutes": {cut(615, memberIDs(0, 10), memberIDs(10, 20))},
	} {
		script := faults.Script{Seed: 3, Processes: 20, Duration: faultList[0].End + 20, Faults: faultList}
		r := run(t, Config{Script: script, SWIM: swim.Config{MaxByzantine: 1}, MeasureAgreement: true})
		assert.Zero(t, r.FalseFailures, "%s: %v", name, r.FalseFailureDetails)
		agreedInTime := r.AgreementSeconds >= 0 && r.AgreementSeconds < 4
		assert.True(t, agreedInTime, "%s: agreed after %v s", name, r.AgreementSeconds)
		baseline, peak := r.DatagramsPerSecond[13], 0.0
		for second := int(faultList[0].End); second < int(faultList[0].End)+15; second++ {
			peak = max(peak, r.DatagramsPerSecond[second])
		}
		t.Logf("%s: agreed after %.2f s, %.1f datagrams per second and member before the cut, at most %.1f after it",
			name, r.AgreementSeconds, baseline, peak)
		assert.Less(t, peak, 2*baseline, name)
	}
}

// TestByzantineMembersCauseNoFalseFailures checks that Byzantine members cause no false failures. With SWIM as
// published, the same script does cause them, which shows that the check can fail.
func TestByzantineMembersCauseNoFalseFailures(t *testing.T) {
	faultList := []faults.Fault{
		{Kind: faults.Kill, Start: 20, End: 40, From: []int{2}},
		{Kind: faults.Loss, Share: 0.1},
	}
	for byzantine := 1; byzantine <= 3; byzantine += 2 {
		config := Config{
			Script:  faults.Script{Seed: 4, Processes: 20, Duration: 60, Faults: faultList},
			SWIM:    swim.Config{MaxByzantine: byzantine},
			Hostile: memberIDs(20-byzantine, 20),
		}
		r := run(t, config)
		assert.Zero(t, r.FalseFailures, r.FalseFailureDetails)
		assert.Len(t, r.DetectionSeconds, 19-byzantine, "one detection by each honest running observer")
		config.SWIM.PublishedSWIM = true
		assert.Positive(t, run(t, config).FalseFailures)
	}
}

// TestFaultsCauseNoFalseFailures checks that links cut in one direction, datagram loss, delay, short pauses, kills of
// most members and a wrong clock never make a running member appear failed, and that at the end all members see each
// other.
func TestFaultsCauseNoFalseFailures(t *testing.T) {
	for name, faultList := range map[string][]faults.Fault{
		"cut in one direction": {{Kind: faults.Cut, Start: 15, End: 30, From: []int{0}, To: []int{1}}},
		"two pairs cut": {
			{Kind: faults.Cut, Start: 15, End: 30, From: []int{0}, To: []int{2}, BothWays: true},
			{Kind: faults.Cut, Start: 15, End: 30, From: []int{5}, To: []int{7}, BothWays: true},
		},
		"30% loss":     {{Kind: faults.Loss, Start: 0, Share: 0.3}},
		"400 ms delay": {{Kind: faults.Delay, Start: 15, End: 40, Seconds: 0.4}},
		"short pauses": {
			{Kind: faults.Pause, Start: 15, End: 15.3, From: []int{3}},
			{Kind: faults.Pause, Start: 17, End: 18, From: []int{3}},
			{Kind: faults.Pause, Start: 20, End: 25, From: []int{3}},
		},
		"70% killed": {{Kind: faults.Kill, Start: 20, End: 30, From: memberIDs(0, 14)}},
		"clock one hour ahead": {
			{Kind: faults.ClockSkew, Start: 15, End: 22, From: []int{4}, Seconds: 3600},
			{Kind: faults.Kill, Start: 18, End: 19, From: []int{4}},
			{Kind: faults.Kill, Start: 24, End: 25, From: []int{4}},
		},
	} {
		script := faults.Script{Seed: 6, Processes: 20, Duration: 60, Faults: faultList}
		r := run(t, Config{Script: script, SWIM: swim.Config{MaxByzantine: 1}})
		assert.Zero(t, r.FalseFailures, "%s: %v", name, r.FalseFailureDetails)
		for i, present := range r.FinalPresent {
			assert.Equal(t, 20, present, "%s: members that instance %d sees at the end", name, i)
		}
	}
}

// TestStuckMemberStaysPresent checks that a member that makes no progress but still answers probes stays present. It
// must be reported as stuck instead; otherwise its peers would repeatedly take over its work and hand it back.
func TestStuckMemberStaysPresent(t *testing.T) {
	faultList := []faults.Fault{{Kind: faults.Stall, Start: 15, End: 30, From: []int{4}}}
	script := faults.Script{Seed: 6, Processes: 20, Duration: 40, Faults: faultList}
	r := run(t, Config{Script: script, SWIM: swim.Config{MaxByzantine: 1}})
	assert.Zero(t, r.FalseFailures)
	assert.Equal(t, 20, r.FinalPresent[0])
}

// TestOldFailedProbesCauseNoFalseFailures replays seeds with which members were declared failed up to 20 s after the
// network had recovered: probes that had started during the datagram loss waited too long for their acks.
func TestOldFailedProbesCauseNoFalseFailures(t *testing.T) {
	for _, seed := range []uint64{102, 1898, 6983} {
		r := run(t, Config{Script: faults.Generate(seed, 50, 8, 60), SWIM: swim.Config{MaxByzantine: 1}})
		assert.Zero(t, r.FalseFailures, "seed %d: %v", seed, r.FalseFailureDetails)
	}
}
