package observation

import (
	"fmt"
	"strconv"
	"testing"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// failing is an observation that the endpoint e fails.
func failing(witness swim.MemberID, sequence uint32, zone string) Observation {
	return Observation{
		Witness:            witness,
		WitnessStartMillis: 1,
		Sequence:           sequence,
		Endpoint:           "e",
		Health:             Failing,
		Zone:               zone,
	}
}

// TestByzantineWitnessesAloneRaiseNoDoubt lets one byzantine witness report, from many zones, that an endpoint
// fails. Were that enough, a single wrong router would take an endpoint from all others. A doubt must need more
// witnesses than may be byzantine, and must expire.
func TestByzantineWitnessesAloneRaiseNoDoubt(t *testing.T) {
	tracker := New(0, "z", 1, 1)
	for i := range 20 {
		doubts, _ := tracker.HandleObservation(float64(i)*0.1, failing(1, uint32(i+1), fmt.Sprint("z", i)))
		assert.Empty(t, doubts)
	}
	doubts, fresh := tracker.HandleObservation(2, failing(2, 1, "z2"))
	require.True(t, fresh)
	require.Len(t, doubts, 1)
	assert.InDelta(t, 0.75, doubts[0].Level, 1e-9)
	ended := tracker.Tick(2 + expiry + 1)
	require.Len(t, ended, 1)
	assert.Zero(t, ended[0].Level, "it expires")
	assert.Empty(t, tracker.Tick(2+expiry+2))
}

// TestWitnessesOfOneZoneCountLess compares doubts of the same number of witnesses. A broken switch makes all routers
// of a zone report failures of an endpoint that others reach. Witnesses of several zones must raise more doubt than
// those of one.
func TestWitnessesOfOneZoneCountLess(t *testing.T) {
	doubt := func(zones ...string) float64 {
		tracker := New(0, "z", 0, 1)
		for i, zone := range zones {
			tracker.HandleObservation(1, failing(swim.MemberID(i+1), 1, zone))
		}
		return tracker.Snapshot(1)[0].Doubt
	}
	assert.Greater(t, doubt("a", "b", "c"), doubt("a", "a", "a"))
	assert.Greater(t, doubt("a", "a"), doubt("a"))
}

// TestOftenRefutedWitnessIsIgnored has a witness report failures of an endpoint that answers this router. Its
// reports would keep a healthy endpoint doubted for ever. It must lose its trust, and a witness whose reports are
// confirmed must keep it.
func TestOftenRefutedWitnessIsIgnored(t *testing.T) {
	tracker := New(0, "z", 0, 1)
	now := 0.0
	for i := range 4 {
		now++
		for range successesToReport {
			tracker.AttemptEnded(now, "e", Healthy)
		}
		tracker.HandleObservation(now, failing(1, uint32(i+1), "z"))
	}
	_, refuted, trusted := tracker.Reputation(1)
	assert.Greater(t, refuted, minRefuted)
	assert.False(t, trusted)
	assert.Zero(t, tracker.Snapshot(now)[0].Doubt)
	tracker.AttemptEnded(now, "f", Failing)
	o := failing(2, 1, "")
	o.Endpoint = "f"
	tracker.HandleObservation(now, o)
	confirmed, _, trusted := tracker.Reputation(2)
	assert.InDelta(t, 1, confirmed, 1e-9)
	assert.True(t, trusted)
}

// TestOldObservationsAndOldStartsAreRefused replays observations, and sends some from an earlier start of the
// witness, in our name and far ahead. Taken as news they would undo what was learnt since. Each must be refused, and
// one that arrives out of order must not.
func TestOldObservationsAndOldStartsAreRefused(t *testing.T) {
	tracker := New(0, "z", 0, 5)
	_, fresh := tracker.HandleObservation(1, Observation{
		Witness: 1, WitnessStartMillis: 5, Sequence: 9, Endpoint: "e", Health: Failing,
	})
	assert.True(t, fresh)
	tooFar := uint32(10 + maxSequenceAhead)
	for name, o := range map[string]Observation{
		"the same":       {Witness: 1, WitnessStartMillis: 5, Sequence: 9, Endpoint: "e", Health: Failing},
		"an older one":   {Witness: 1, WitnessStartMillis: 5, Sequence: 8, Endpoint: "e", Health: Healthy},
		"an older start": {Witness: 1, WitnessStartMillis: 4, Sequence: 99, Endpoint: "f", Health: Failing},
		"our own":        {Witness: 0, WitnessStartMillis: 9, Sequence: 1, Endpoint: "e", Health: Failing},
		"too far ahead":  {Witness: 1, WitnessStartMillis: 5, Sequence: tooFar, Endpoint: "e", Health: Failing},
		"unknown health": {Witness: 2, WitnessStartMillis: 1, Sequence: 1, Endpoint: "e", Health: 9},
	} {
		_, fresh = tracker.HandleObservation(2, o)
		assert.False(t, fresh, name)
	}
	_, fresh = tracker.HandleObservation(2, Observation{
		Witness: 1, WitnessStartMillis: 5, Sequence: 7, Endpoint: "other", Health: Failing,
	})
	assert.True(t, fresh, "one on another endpoint that arrived out of order")
}

// TestOwnObservationsAreFewAndTrue ends many attempts with failures. If each were reported, a failing endpoint would
// flood all routers with reports. One failure must not be reported, many only once, a recovery too, and all of them
// within the burst.
func TestOwnObservationsAreFewAndTrue(t *testing.T) {
	tracker := New(0, "z", 0, 1)
	tracker.AttemptEnded(1, "e", Failing)
	assert.Empty(t, tracker.TakeUnsigned(), "one failure is chance")
	for range 100 {
		tracker.AttemptEnded(1, "e", Failing)
	}
	own := tracker.TakeUnsigned()
	require.Len(t, own, 1)
	assert.Equal(t, Failing, own[0].Health)
	tracker.Enqueue(own[0])
	sent := 0
	for range 100 {
		sent += len(tracker.Piggyback(3, 20))
	}
	assert.Equal(t, int(gossipFactor*5), sent, "sent by the logarithm of the members")
	for range successesToReport {
		tracker.AttemptEnded(2, "e", Healthy)
	}
	assert.Equal(t, Healthy, tracker.TakeUnsigned()[0].Health)
	for i := range 1000 {
		endpoint := routing.EndpointID(fmt.Sprint("e", i))
		tracker.AttemptEnded(3, endpoint, Failing)
		tracker.AttemptEnded(3, endpoint, Failing)
	}
	assert.LessOrEqual(t, len(tracker.TakeUnsigned()), int(reportBurst))
}

// Sizes are how many observations are held and how many wait to be passed on.
func (t *Tracker) Sizes() (held, queued int) { return t.heldCount, len(t.queue) }

// TestHeldObservationsAreBounded receives observations of many endpoints from many witnesses. A byzantine member can
// invent endpoints without end, and memory would grow with them. What is held and queued must stay within its
// bounds.
func TestHeldObservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(0, "z", 1, 1)
		now := 0.0
		for i := range rapid.IntRange(1, 3000).Draw(t, "observations") {
			now += 0.001
			o := failing(swim.MemberID(1+i%40), uint32(i/40+1), "z")
			o.Endpoint = routing.EndpointID(strconv.Itoa(i % 1500))
			tracker.HandleObservation(now, o)
		}
		held, queued := tracker.Sizes()
		if held > maxHeld || queued > maxQueue || len(tracker.held) > maxEndpoints {
			t.Fatalf("%d observations, %d queued, %d endpoints", held, queued, len(tracker.held))
		}
	})
}

// TestClassify holds what each result says of its endpoint. A request that its client cancelled, or that was never
// sent, must say nothing: it would be the client's fault taken for the endpoint's.
func TestClassify(t *testing.T) {
	for result, want := range map[routing.AttemptResult]Health{
		routing.Completed:        Healthy,
		routing.ServerError:      Failing,
		routing.Overloaded:       Slow,
		routing.ConnectionBroken: Failing,
		routing.Cancelled:        0,
		routing.NotSent:          0,
	} {
		got, ok := Classify(result, false)
		assert.Equal(t, want, got)
		assert.Equal(t, want != 0, ok)
	}
	got, _ := Classify(routing.Completed, true)
	assert.Equal(t, Slow, got)
}

// TestForgottenWitnessLeavesNothingHeld removes a witness from the roster while its observations are held. Weighed
// without it they panicked, for up to ten seconds after a SIGHUP. Its doubt must end, and another witness must count.
func TestForgottenWitnessLeavesNothingHeld(t *testing.T) {
	tracker := New(0, "z", 0, 1)
	doubts, _ := tracker.HandleObservation(1, failing(1, 1, "z1"))
	require.Len(t, doubts, 1)
	tracker.ForgetWitness(1)
	ended := tracker.Tick(1.1)
	require.Len(t, ended, 1)
	assert.Zero(t, ended[0].Level)
	held, _ := tracker.Sizes()
	assert.Zero(t, held)
	doubts, fresh := tracker.HandleObservation(2, failing(2, 1, "z2"))
	assert.True(t, fresh)
	assert.Len(t, doubts, 1)
	tracker.AttemptEnded(2.1, "e", Failing)
}

// TestObservationRefusedForRoomMayComeAgain sends an observation while the tracker is full, and a copy of it once there
// is room. With its number used up the copy counted as replayed, and nothing was ever known of that endpoint from its
// witness. The copy must be taken.
func TestObservationRefusedForRoomMayComeAgain(t *testing.T) {
	tracker := New(0, "z", 0, 1)
	for i := range maxEndpoints {
		o := failing(1, uint32(i+1), "z1")
		o.Endpoint = routing.EndpointID(strconv.Itoa(i))
		_, fresh := tracker.HandleObservation(1, o)
		require.True(t, fresh)
	}
	_, fresh := tracker.HandleObservation(1, failing(2, 1, "z2"))
	assert.False(t, fresh, "there is no room")
	_, fresh = tracker.HandleObservation(1+expiry, failing(2, 1, "z2"))
	assert.True(t, fresh, "there is room")
}
