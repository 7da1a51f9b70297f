package partition

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestStateByView holds the partition state for each view. A router that takes a half of the cluster for the
// majority would act for all: exactly half, and members that are stuck, must not count as one.
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
		tracker.Update(improveAfter+0.1, test.view)
		state, _, _ := tracker.Current()
		assert.Equal(t, test.want, state, "%+v", test.view)
	}
}

// TestWorseStateCountsAtOnceBetterOnceItLasted has the view improve and worsen in turn. A state that follows each
// change flaps with a partition that heals and returns, and acts in the moments between. A worse state must count at
// once, a better one after it lasted.
func TestWorseStateCountsAtOnceBetterOnceItLasted(t *testing.T) {
	complete, half := View{Roster: 4, Present: 4}, View{Roster: 4, Present: 2}
	tracker := New(0, 0)
	tracker.Update(0, complete)
	tracker.Update(2, complete)
	assert.True(t, tracker.Update(3, half))
	state, epoch, since := tracker.Current()
	assert.Equal(t, []any{Minority, uint64(3), 3.0}, []any{state, epoch, since})
	assert.False(t, tracker.Update(3.1, complete))
	assert.InDelta(t, 3.1+improveAfter, tracker.NextDeadline(), 1e-9)
	tracker.Update(3.5, View{Roster: 4, Present: 3}) // the least of the better states counts
	assert.True(t, tracker.Update(4.2, complete))
	state, _, _ = tracker.Current()
	assert.Equal(t, Majority, state)
	for now := 10.0; now < 20; now += 0.5 { // a partition that flaps faster than a state improves
		tracker.Update(now, half)
		tracker.Update(now+0.25, complete)
		state, _, _ := tracker.Current()
		assert.Equal(t, Minority, state)
	}
}

// TestMoreThanTheByzantineMembersHaveToDisagree has two members report other views. If any member's word were
// enough, a byzantine one could keep a router from acting at all. More than may be byzantine must disagree, and old
// reports must stop counting.
func TestMoreThanTheByzantineMembersHaveToDisagree(t *testing.T) {
	complete := View{Roster: 5, Present: 5}
	for maxByzantine, want := range map[int]State{1: Disagreeing, 2: Complete} {
		tracker := New(maxByzantine, 0)
		for now := 0.0; now < disagreeAfter+2; now += 0.5 {
			tracker.RecordViewComparison(now, 1, true)
			tracker.RecordViewComparison(now, 2, true)
			tracker.RecordViewComparison(now, 3, now > 1)
			tracker.RecordViewComparison(now, 3, false)
			tracker.Update(now, complete)
		}
		state, _, _ := tracker.Current()
		assert.Equal(t, want, state)
		tracker.Forget(1)
		tracker.Update(disagreeAfter+4, complete)
		tracker.Update(disagreeAfter+8, complete)
		state, _, _ = tracker.Current()
		assert.Equal(t, Complete, state, "a stale report no longer counts")
	}
}

// mayGrant is the rule for what needs the agreement of a majority, such as a reservation. No program grants anything
// by the partition state yet; see docs/ROADMAP.md.
func mayGrant(s State) bool { return s >= Majority }

// TestWhatEachStateAllows holds what a router may do in each state. A minority that spreads its observations, or
// trusts those of others, ejects endpoints which only it cannot reach.
func TestWhatEachStateAllows(t *testing.T) {
	var grants []bool
	for state := Alone; state <= Complete; state++ {
		grants = append(grants, mayGrant(state))
	}
	assert.Equal(t, []bool{false, false, false, true, true}, grants)
	assert.False(t, Alone.MayGossip())
	assert.False(t, Minority.TrustsReports())
	assert.True(t, Disagreeing.TrustsReports())
}

// TestStatesHaveNamesForLogsAndForReports holds the names in logs, and those in the JSON of reports, which stay.
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
	assert.False(t, ok, "a name of logs")
	assert.Equal(t, []string{"alone", "minority", "disagreeing", "majority", "complete"}, texts)
	assert.Equal(t, []string{"alone", "minority", "disagreeing", "majority", "whole"}, wireNames)
}
