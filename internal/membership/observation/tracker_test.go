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

// failing returns an observation that the endpoint e is failing.
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

// TestByzantineWitnessesAloneRaiseNoDoubt has one byzantine witness report, from many zones, that an endpoint fails.
// If that were enough, a single faulty router could make all others avoid an endpoint. A doubt must require more
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
	ended := tracker.Tick(2 + observationTTL + 1)
	require.Len(t, ended, 1)
	assert.Zero(t, ended[0].Level, "the doubt expires")
	assert.Empty(t, tracker.Tick(2+observationTTL+2))
}

// TestWitnessesOfOneZoneCountLess compares doubts caused by the same number of witnesses. A broken switch makes all
// routers of a zone report failures of an endpoint that other zones reach. Witnesses in several zones must cause a
// higher doubt than witnesses in one.
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

// TestOftenRefutedWitnessIsIgnored has a witness report failures of an endpoint that responds to this router. Without
// a reputation, its reports would keep a healthy endpoint in doubt permanently. It must lose its trust, and a witness
// whose reports are confirmed must stay trusted.
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
// witness, in this router's name, and with a sequence number far ahead. If accepted, they would override newer
// observations. Each must be refused, and one that arrives out of order must be accepted.
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
	assert.True(t, fresh, "an observation of another endpoint that arrived out of order")
}

// TestOwnObservationsAreRateLimited records many failed attempts. If each were reported, a failing endpoint would
// flood all routers with reports. One failure must not be reported, many must be reported once, a recovery must be
// reported too, and the total must stay within the burst.
func TestOwnObservationsAreRateLimited(t *testing.T) {
	tracker := New(0, "z", 0, 1)
	tracker.AttemptEnded(1, "e", Failing)
	assert.Empty(t, tracker.TakeUnsigned(), "a single failure is not reported")
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
	assert.Equal(t, int(gossipFactor*5), sent, "transmissions by the logarithm of the members")
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

// Sizes returns the number of stored observations and the number of queued ones.
func (t *Tracker) Sizes() (stored, queued int) { return t.storedCount, len(t.queue) }

// TestStoredObservationsAreBounded receives observations of many endpoints from many witnesses. A byzantine member
// can invent any number of endpoints, which would exhaust memory. The numbers of stored and queued observations must
// stay within their limits.
func TestStoredObservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(0, "z", 1, 1)
		now := 0.0
		for i := range rapid.IntRange(1, 3000).Draw(t, "observations") {
			now += 0.001
			o := failing(swim.MemberID(1+i%40), uint32(i/40+1), "z")
			o.Endpoint = routing.EndpointID(strconv.Itoa(i % 1500))
			tracker.HandleObservation(now, o)
		}
		stored, queued := tracker.Sizes()
		if stored > maxStored || queued > maxQueue || len(tracker.stored) > maxEndpoints {
			t.Fatalf("%d observations, %d queued, %d endpoints", stored, queued, len(tracker.stored))
		}
	})
}

// TestClassify checks the health that each attempt result implies. A request that its client cancelled, or that was
// never sent, must imply nothing: otherwise a fault of the client would count as one of the endpoint.
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

// TestForgetWitnessRemovesItsObservations removes a witness from the roster while its observations are stored.
// Weighing them without a witness used to panic, for up to ten seconds after a SIGHUP. The doubt caused by the
// witness must end, and another witness must count.
func TestForgetWitnessRemovesItsObservations(t *testing.T) {
	tracker := New(0, "z", 0, 1)
	doubts, _ := tracker.HandleObservation(1, failing(1, 1, "z1"))
	require.Len(t, doubts, 1)
	tracker.ForgetWitness(1)
	ended := tracker.Tick(1.1)
	require.Len(t, ended, 1)
	assert.Zero(t, ended[0].Level)
	stored, _ := tracker.Sizes()
	assert.Zero(t, stored)
	doubts, fresh := tracker.HandleObservation(2, failing(2, 1, "z2"))
	assert.True(t, fresh)
	assert.Len(t, doubts, 1)
	tracker.AttemptEnded(2.1, "e", Failing)
}

// TestObservationRefusedWhenFullIsAcceptedLater sends an observation while the tracker is full, and a copy of it once
// there is capacity. When the first one used up its sequence number, the copy counted as replayed, and no observation
// of that endpoint by its witness was ever stored. The copy must be accepted.
func TestObservationRefusedWhenFullIsAcceptedLater(t *testing.T) {
	tracker := New(0, "z", 0, 1)
	for i := range maxEndpoints {
		o := failing(1, uint32(i+1), "z1")
		o.Endpoint = routing.EndpointID(strconv.Itoa(i))
		_, fresh := tracker.HandleObservation(1, o)
		require.True(t, fresh)
	}
	_, fresh := tracker.HandleObservation(1, failing(2, 1, "z2"))
	assert.False(t, fresh, "the tracker is full")
	_, fresh = tracker.HandleObservation(1+observationTTL, failing(2, 1, "z2"))
	assert.True(t, fresh, "the tracker has capacity")
}
