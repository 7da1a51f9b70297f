package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestAccusedMemberRefutesWithinRateLimit accuses a member many times, and once in an incarnation that never existed.
// If it refuted each accusation, one accuser could make it gossip endlessly or use up its incarnation numbers. It
// must refute at most once per interval, and only its real incarnation.
func TestAccusedMemberRefutesWithinRateLimit(t *testing.T) {
	c := newTestCore(3, Config{})
	for i := range 10 {
		a := Accusation{Accuser: 1, Member: 0, Incarnation: c.SelfRecord().Incarnation}
		c.HandleMessage(0.1+float64(i)*0.01, 1, pushAccusation(a))
	}
	assert.EqualValues(t, 1, c.SelfRecord().Incarnation.Refutations)
	invented := Incarnation{StartMillis: testStart, Refutations: 4_000_000}
	c.HandleMessage(5, 1, pushAccusation(Accusation{Accuser: 1, Member: 0, Incarnation: invented}))
	assert.EqualValues(t, 1, c.SelfRecord().Incarnation.Refutations, "an incarnation that never existed is not refuted")
}

// TestNameConflictSilencesAfterOneAdoption sends a member a record of a newer start under its own name twice. Two
// processes with one name would refute each other endlessly and alternately look alive. The member must adopt the
// first incarnation, which a clock that was set back explains, and stop sending at the second.
func TestNameConflictSilencesAfterOneAdoption(t *testing.T) {
	c := newTestCore(3, Config{})
	other := MemberRecord{Member: 0, Incarnation: Incarnation{StartMillis: 200}, InstanceID: 9, State: Alive}
	c.HandleMessage(1, 1, pushRecord(other))
	assert.Equal(t, Incarnation{StartMillis: 201}, c.SelfRecord().Incarnation,
		"it may be its own earlier start, if the clock was set back")
	other.Incarnation.StartMillis = 300
	actions := c.HandleMessage(2, 1, pushRecord(other))
	assert.Contains(t, actions, NameConflict{InstanceID: 9})
	assert.Empty(t, c.Tick(10))
}

// TestStuckAndLeftAreReportedByTheMemberItself receives a record that a member is stuck, and then one that it left. A
// stuck member that counts as working would count for a majority; a suspected member that left would look like a
// failure. Each must have the state of its record.
func TestStuckAndLeftAreReportedByTheMemberItself(t *testing.T) {
	c := newTestCore(3, Config{})
	record := aliveRecord(2)
	record.Incarnation.Refutations = 1
	record.State = Stuck
	c.HandleMessage(1, 1, pushRecord(record))
	present, roster, stuck := c.Counts()
	assert.Equal(t, []int{3, 3, 1}, []int{present, roster, stuck})
	record.Incarnation.Refutations = 2
	record.State = Left
	c.HandleMessage(1, 1, pushRecord(record))
	present, roster, stuck = c.Counts()
	assert.Equal(t, []int{2, 2, 0}, []int{present, roster, stuck})
	c.HandleMessage(2, 1, pushAccusation(Accusation{Accuser: 1, Member: 2, Incarnation: record.Incarnation}))
	assert.Equal(t, Left, stateOf(c, 2), "a member that left is not suspected")
	actions := c.Leave(3)
	assert.Equal(t, Left, c.SelfRecord().State)
	assert.NotEmpty(t, actions)
}

// TestConflictedMemberTicksOncePerSecond silences a member by a name conflict. Before the fix, its deadlines had
// passed and were not moved, so its node ticked every millisecond until it ended. It must be due about once per
// second.
func TestConflictedMemberTicksOncePerSecond(t *testing.T) {
	c := newTestCore(3, Config{})
	other := MemberRecord{Member: 0, Incarnation: Incarnation{StartMillis: 200}, InstanceID: 9, State: Alive}
	c.HandleMessage(1, 1, pushRecord(other))
	other.Incarnation.StartMillis = 300
	c.HandleMessage(2, 1, pushRecord(other))
	ticks := 0
	for now := 2.0; now < 62; ticks++ {
		assert.Empty(t, c.Tick(now))
		now = max(c.NextDeadline(), now+0.001)
	}
	assert.InDelta(t, 60, ticks, 2)
}
