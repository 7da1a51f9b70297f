package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestAccusedMemberRefutesWithinRateLimit accuses a member many times, and once in an incarnation that it never had.
// A refutation for each would let one accuser have it gossip without end, or use up its incarnations. It must refute
// once an interval, and only real incarnations.
func TestAccusedMemberRefutesWithinRateLimit(t *testing.T) {
	c := newTestCore(3, Config{})
	for i := range 10 {
		a := Accusation{Accuser: 1, Member: 0, Incarnation: c.SelfRecord().Incarnation}
		c.HandleMessage(0.1+float64(i)*0.01, 1, pushAccusation(a))
	}
	assert.EqualValues(t, 1, c.SelfRecord().Incarnation.Refutations)
	invented := Incarnation{StartMillis: testStart, Refutations: 4_000_000}
	c.HandleMessage(5, 1, pushAccusation(Accusation{Accuser: 1, Member: 0, Incarnation: invented}))
	assert.EqualValues(t, 1, c.SelfRecord().Incarnation.Refutations, "an incarnation that it never had is not refuted")
}

// TestNameConflictSilencesAfterOneAdoption shows a member a newer start of its own name twice. Two processes of one
// name refute each other for ever and look alive in turn. It must adopt the first one, which a clock that was set
// back explains, and fall silent at the second.
func TestNameConflictSilencesAfterOneAdoption(t *testing.T) {
	c := newTestCore(3, Config{})
	other := MemberRecord{Member: 0, Incarnation: Incarnation{StartMillis: 200}, InstanceID: 9, State: Alive}
	c.HandleMessage(1, 1, pushRecord(other))
	assert.Equal(t, Incarnation{StartMillis: 201}, c.SelfRecord().Incarnation,
		"it may be its own earlier start, by a clock that was set back")
	other.Incarnation.StartMillis = 300
	actions := c.HandleMessage(2, 1, pushRecord(other))
	assert.Contains(t, actions, NameConflict{InstanceID: 9})
	assert.Empty(t, c.Tick(10))
}

// TestStuckAndLeftAreReportedByTheMemberItself hears from a member that it is stuck, and then that it left. A stuck
// one that is taken for working counts for a majority; one that left and is suspected looks like a failure. Each
// must count as what it says.
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

// TestConflictedMemberWakesSeldom silences a member by a name conflict. Its deadlines had passed and nothing moved
// them, so its node woke each millisecond until its end. It must be due about once a second.
func TestConflictedMemberWakesSeldom(t *testing.T) {
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
