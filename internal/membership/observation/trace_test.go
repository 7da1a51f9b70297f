package observation

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update", false, "write the golden files of this package anew")

// isHeard says whether an observation of a witness is still held.
func isHeard(list []EndpointEvidence, witness swim.MemberID) bool {
	return slices.ContainsFunc(list, func(e EndpointEvidence) bool { return slices.Contains(e.Witnesses, witness) })
}

// TestResultsMatchRecordedTrace compares the results of some thousands of drawn calls with the hash recorded from
// the code before its files were reshaped.
func TestResultsMatchRecordedTrace(t *testing.T) {
	const events = 8000
	random := rand.New(rand.NewPCG(5, 6))
	var log strings.Builder
	tracker := New(0, "zone-0", 1, 100)
	now := 0.0
	sequences := map[swim.MemberID]uint32{}
	doubts, signed := 0, 0
	record := func(list []Doubt) {
		doubts += len(list)
		for _, d := range list {
			fmt.Fprintf(&log, "D %s %.9f %.9f\n", d.Endpoint, d.Level, d.Until)
		}
	}
	for range events {
		now += 0.05 * random.Float64()
		endpoint := routing.EndpointID(fmt.Sprint("e-", random.IntN(12)))
		health := Health(1 + min(random.IntN(4), 2))
		fmt.Fprintf(&log, "%.9f\n", now)
		switch random.IntN(6) {
		case 0, 1:
			record(tracker.AttemptEnded(now, endpoint, health))
		case 2, 3:
			witness := swim.MemberID(random.IntN(9))
			sequences[witness] += uint32(random.IntN(3))
			o := Observation{
				Witness:            witness,
				WitnessStartMillis: 50 + uint64(now/40),
				Sequence:           sequences[witness],
				Endpoint:           endpoint,
				Health:             health,
				Zone:               fmt.Sprint("zone-", witness%4),
			}
			list, fresh := tracker.HandleObservation(now, o)
			record(list)
			fmt.Fprintf(&log, "F %t\n", fresh)
		case 4:
			for _, o := range tracker.TakeUnsigned() {
				signed++
				fmt.Fprintf(&log, "U %d %d %d %s %d %s\n",
					o.Witness, o.WitnessStartMillis, o.Sequence, o.Endpoint, o.Health, o.Zone)
				tracker.Enqueue(o)
			}
			for _, o := range tracker.Piggyback(swim.MemberID(random.IntN(9)), 9) {
				fmt.Fprintf(&log, "P %d %d %d %s %d\n",
					o.Witness, o.WitnessStartMillis, o.Sequence, o.Endpoint, o.Health)
			}
		case 5:
			record(tracker.Tick(now))
			forgotten := swim.MemberID(random.IntN(9))
			if random.IntN(10) == 0 && !isHeard(tracker.Snapshot(now), forgotten) {
				tracker.ForgetWitness(forgotten)
			}
			for _, l := range tracker.Snapshot(now) {
				fmt.Fprintf(&log, "L %s %.9f %v %d\n", l.Endpoint, l.Doubt, l.Witnesses, len(l.Healths))
			}
			right, wrong, trusted := tracker.Reputation(swim.MemberID(random.IntN(9)))
			held, waiting := tracker.Sizes()
			fmt.Fprintf(&log, "R %.9f %.9f %t %d %d\n", right, wrong, trusted, held, waiting)
		}
	}
	t.Logf("%d doubts, %d own observations", doubts, signed)
	assert.Greater(t, doubts, 100)
	assert.Greater(t, signed, 20)
	got := fmt.Sprintf("%x", sha256.Sum256([]byte(log.String())))
	path := filepath.Join("testdata", "trace.sha256")
	if *updateGolden {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got+"\n"), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, strings.TrimSpace(string(want)), got)
}
