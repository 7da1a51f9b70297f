package partition

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStateByView(t *testing.T) {
	for _, test := range []struct {
		view View
		want State
	}{
		{View{Roster: 20, Present: 20}, Whole},
		{View{Roster: 20, Present: 11}, Majority},
		{View{Roster: 20, Present: 10}, Minority},
		{View{Roster: 20, Present: 1}, Alone},
		{View{Roster: 20, Present: 12, Stuck: 2}, Minority},
		{View{Roster: 20, Present: 20, Stuck: 1}, Majority},
		{View{Roster: 1, Present: 1}, Whole},
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

func TestWorseStateCountsAtOnceBetterOnceItLasted(t *testing.T) {
	whole, half := View{Roster: 4, Present: 4}, View{Roster: 4, Present: 2}
	tracker := New(0, 0)
	tracker.Update(0, whole)
	tracker.Update(2, whole)
	assert.True(t, tracker.Update(3, half))
	state, epoch, since := tracker.Current()
	assert.Equal(t, []any{Minority, uint64(3), 3.0}, []any{state, epoch, since})
	assert.False(t, tracker.Update(3.1, whole))
	assert.InDelta(t, 3.1+improveAfter, tracker.NextDeadline(), 1e-9)
	tracker.Update(3.5, View{Roster: 4, Present: 3}) // the least of the better states counts
	assert.True(t, tracker.Update(4.2, whole))
	state, _, _ = tracker.Current()
	assert.Equal(t, Majority, state)
	for now := 10.0; now < 20; now += 0.5 { // a partition that flaps faster than a state improves
		tracker.Update(now, half)
		tracker.Update(now+0.25, whole)
		state, _, _ := tracker.Current()
		assert.Equal(t, Minority, state)
	}
}

func TestMoreThanTheByzantineMembersHaveToDisagree(t *testing.T) {
	whole := View{Roster: 5, Present: 5}
	for maxByzantine, want := range map[int]State{1: Disagreeing, 2: Whole} {
		tracker := New(maxByzantine, 0)
		for now := 0.0; now < disagreeAfter+2; now += 0.5 {
			tracker.RecordViewComparison(now, 1, true)
			tracker.RecordViewComparison(now, 2, true)
			tracker.RecordViewComparison(now, 3, now > 1)
			tracker.RecordViewComparison(now, 3, false)
			tracker.Update(now, whole)
		}
		state, _, _ := tracker.Current()
		assert.Equal(t, want, state)
		tracker.Forget(1)
		tracker.Update(disagreeAfter+4, whole)
		tracker.Update(disagreeAfter+8, whole)
		state, _, _ = tracker.Current()
		assert.Equal(t, Whole, state, "a stale report no longer counts")
	}
}

func TestWhatEachStateAllows(t *testing.T) {
	var mayGrant []bool
	for state := Alone; state <= Whole; state++ {
		mayGrant = append(mayGrant, state.MayGrant())
	}
	assert.Equal(t, []bool{false, false, false, true, true}, mayGrant)
	assert.False(t, Alone.MayGossip())
	assert.False(t, Minority.TrustsReports())
	assert.True(t, Disagreeing.TrustsReports())
}
