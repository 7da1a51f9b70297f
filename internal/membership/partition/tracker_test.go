package partition

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestStateByView checks the partition state for each view. A router that mistakes half of the cluster for the
// majority would act for all of it: exactly half, and members that are stuck, must not count as a majority.
func TestStateByView(t *testing.T) {
	for _, test := range []struct {
		view View
		want State
	}{
		{View{Roster: 20, Present: 20}, Complete},
		{View{Roster: 20, Present: 11}, Majority},
		{View{Roster: 20, Present: 10}, Minority},
		{View{Roster: 20, Present: 1}, Alone},
		{View{Roster: 20, Present: 12, Stuck: 2}, Minority},
		{View{Roster: 20, Present: 20, Stuck: 1}, Majority},
		{View{Roster: 1, Present: 1}, Complete},
		{View{Roster: 2, Present: 1}, Alone},
		{View{Roster: 3, Present: 2}, Majority},
	} {
		tracker := New(1, 0)
		tracker.Update(0, test.view)
		tracker.Update(improvementDelay+0.1, test.view)
		state, _, _ := tracker.Current()
		assert.Equal(t, test.want, state, "%+v", test.view)
	}
}

// TestStateWorsensImmediatelyAndImprovesAfterDelay has the view improve and worsen in turn. A state that follows each
// change flaps with an unstable partition, and the router acts between the changes. A worse state must take effect
// immediately, a better one after a delay.
func TestStateWorsensImmediatelyAndImprovesAfterDelay(t *testing.T) {
	complete, half := View{Roster: 4, Present: 4}, View{Roster: 4, Present: 2}
	tracker := New(0, 0)
	tracker.Update(0, complete)
	tracker.Update(2, complete)
	assert.True(t, tracker.Update(3, half))
	state, epoch, since := tracker.Current()
	assert.Equal(t, []any{Minority, uint64(3), 3.0}, []any{state, epoch, since})
	assert.False(t, tracker.Update(3.1, complete))
	assert.InDelta(t, 3.1+improvementDelay, tracker.NextDeadline(), 1e-9)
	tracker.Update(3.5, View{Roster: 4, Present: 3}) // the lowest of the better states takes effect
	assert.True(t, tracker.Update(4.2, complete))
	state, _, _ = tracker.Current()
	assert.Equal(t, Majority, state)
	for now := 10.0; now < 20; now += 0.5 { // the partition flaps faster than improvementDelay
		tracker.Update(now, half)
		tracker.Update(now+0.25, complete)
		state, _, _ := tracker.Current()
		assert.Equal(t, Minority, state)
	}
}

// TestDisagreeingNeedsMoreThanMaxByzantineMembers has two members report different views. If any single member
// sufficed, a byzantine one could block a router completely. More members than may be byzantine must disagree, and
// stale reports must not count.
func TestDisagreeingNeedsMoreThanMaxByzantineMembers(t *testing.T) {
	complete := View{Roster: 5, Present: 5}
	for maxByzantine, want := range map[int]State{1: Disagreeing, 2: Complete} {
		tracker := New(maxByzantine, 0)
		for now := 0.0; now < disagreementDelay+2; now += 0.5 {
			tracker.RecordViewComparison(now, 1, true)
			tracker.RecordViewComparison(now, 2, true)
			tracker.RecordViewComparison(now, 3, now > 1)
			tracker.RecordViewComparison(now, 3, false)
			tracker.Update(now, complete)
		}
		state, _, _ := tracker.Current()
		assert.Equal(t, want, state)
		tracker.Forget(1)
		tracker.Update(disagreementDelay+4, complete)
		tracker.Update(disagreementDelay+8, complete)
		state, _, _ = tracker.Current()
		assert.Equal(t, Complete, state, "a stale report no longer counts")
	}
}

// mayGrant is the rule for operations that need the agreement of a majority, such as a reservation. No program uses
// the partition state for such an operation yet; see docs/ROADMAP.md.
func mayGrant(s State) bool { return s >= Majority }

// TestPermissionsOfEachState checks what a router may do in each state. In a minority, a router that gossips its
// observations, or trusts those of others, would eject endpoints that only the minority cannot reach.
func TestPermissionsOfEachState(t *testing.T) {
	var grants []bool
	for state := Alone; state <= Complete; state++ {
		grants = append(grants, mayGrant(state))
	}
	assert.Equal(t, []bool{false, false, false, true, true}, grants)
	assert.False(t, Alone.MayGossip())
	assert.False(t, Minority.TrustsReports())
	assert.True(t, Disagreeing.TrustsReports())
}

// TestStatesHaveNamesForLogsAndForReports checks the names in logs, and those in the JSON of reports, which must not
// change.
func TestStatesHaveNamesForLogsAndForReports(t *testing.T) {
	var texts, wireNames []string
	for state := Alone; state <= Complete; state++ {
		texts = append(texts, state.String())
		wireNames = append(wireNames, state.WireName())
		parsed, ok := ParseWireName(state.WireName())
		assert.True(t, ok)
		assert.Equal(t, state, parsed)
	}
	_, ok := ParseWireName("complete")
	assert.False(t, ok, "a name that is only used in logs")
	assert.Equal(t, []string{"alone", "minority", "disagreeing", "majority", "complete"}, texts)
	assert.Equal(t, []string{"alone", "minority", "disagreeing", "majority", "whole"}, wireNames)
}
