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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update", false, "write the golden files of this package anew")

// isHeard says whether an observation of a witness is still held.
func isHeard(list []EndpointEvidence, witness int) bool {
	return slices.ContainsFunc(list, func(e EndpointEvidence) bool { return slices.Contains(e.Witnesses, witness) })
}

// TestResultsMatchRecordedTrace compares the results of some thousands of drawn calls with the hash recorded from the code
// before its files were reshaped.
func TestResultsMatchRecordedTrace(t *testing.T) {
	const events = 8000
	random := rand.New(rand.NewPCG(5, 6))
	h := sha256.New()
	c := New(0, "zone-0", 1, 100)
	now := 0.0
	sequences := map[int]uint32{}
	doubts, signed := 0, 0
	print := func(list []Doubt) {
		doubts += len(list)
		for _, d := range list {
			fmt.Fprintf(h, "D %s %.9f %.9f\n", d.Endpoint, d.Level, d.Until)
		}
	}
	for range events {
		now += 0.05 * random.Float64()
		endpoint := fmt.Sprint("e-", random.IntN(12))
		health := Health(1 + min(random.IntN(4), 2))
		fmt.Fprintf(h, "%.9f\n", now)
		switch random.IntN(6) {
		case 0, 1:
			print(c.AttemptEnded(now, endpoint, health))
		case 2, 3:
			witness := random.IntN(9)
			sequences[witness] += uint32(random.IntN(3))
			o := Observation{Witness: witness, WitnessStartMillis: 50 + uint64(now/40), Sequence: sequences[witness], Endpoint: endpoint, Health: health, Zone: fmt.Sprint("zone-", witness%4)}
			list, fresh := c.HandleObservation(now, o)
			print(list)
			fmt.Fprintf(h, "F %t\n", fresh)
		case 4:
			for _, o := range c.TakeUnsigned() {
				signed++
				fmt.Fprintf(h, "U %d %d %d %s %d %s\n", o.Witness, o.WitnessStartMillis, o.Sequence, o.Endpoint, o.Health, o.Zone)
				c.Enqueue(o)
			}
			for _, o := range c.Piggyback(random.IntN(9), 9) {
				fmt.Fprintf(h, "P %d %d %d %s %d\n", o.Witness, o.WitnessStartMillis, o.Sequence, o.Endpoint, o.Health)
			}
		case 5:
			print(c.Tick(now))
			if witness := random.IntN(9); random.IntN(10) == 0 && !isHeard(c.Snapshot(now), witness) {
				c.ForgetWitness(witness)
			}
			for _, l := range c.Snapshot(now) {
				fmt.Fprintf(h, "L %s %.9f %v %d\n", l.Endpoint, l.Doubt, l.Witnesses, len(l.Healths))
			}
			right, wrong, trusted := c.Reputation(random.IntN(9))
			held, waiting := c.Sizes()
			fmt.Fprintf(h, "R %.9f %.9f %t %d %d\n", right, wrong, trusted, held, waiting)
		}
	}
	t.Logf("%d doubts, %d own observations", doubts, signed)
	assert.Greater(t, doubts, 100)
	assert.Greater(t, signed, 20)
	got := fmt.Sprintf("%x", h.Sum(nil))
	path := filepath.Join("testdata", "trace.sha256")
	if *updateGolden {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got+"\n"), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, strings.TrimSpace(string(want)), got)
}
