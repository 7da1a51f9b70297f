package routing

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestResultsAreUnchanged compares the results of several runs with those of an earlier version: the same seed must
// give the same results.
func TestResultsAreUnchanged(t *testing.T) {
	runs := []struct {
		name    string
		seed    uint64
		routers int
		fault   Fault
		gossip  Gossip
	}{
		{"burst of 3", 1, 3, TrafficBurst, Gossip{}},
		{"burst of 30", 2, 30, TrafficBurst, Gossip{}},
		{"lost parents of 3", 3, 3, ParentZoneLost, Gossip{}},
		{"lost parents of 30", 4, 30, ParentZoneLost, Gossip{}},
		{"failing cache of 12", 5, 12, FailingCache, Gossip{}},
		{"failing cache of 12 with gossip", 5, 12, FailingCache, Gossip{Enabled: true, FaultyRouters: 1}},
		{"failing cache of 60 with faulty routers", 6, 60, FailingCache, Gossip{Enabled: true, FaultyRouters: 3}},
	}
	var got strings.Builder
	for _, run := range runs {
		result, err := RunWithGossip(run.seed, run.routers, run.fault, run.gossip)
		require.NoError(t, err)
		fmt.Fprintf(&got, "%s: %s\n", run.name, describeResult(result))
	}
	golden.Compare(t, "results.golden", got.String())
}

// describeResult prints values without field names, so that renaming a field does not change it. Maps are sorted by
// key.
func describeResult(r *Result) string {
	seconds := sha256.Sum256([]byte(fmt.Sprint(r.OnTimePerSecond)))
	return fmt.Sprint(r.Routers, r.Requests, r.OnTime, r.Late, r.Rejected, r.Aborted, r.Attempts, r.Unanswered,
		r.AnsweredTwice, r.Fills, r.StoredFills, r.FailingCacheAttempts, fmt.Sprintf(" %x", seconds[:8]))
}

// TestRunRejectsUnevenZones checks that the number of routers must be a multiple of the number of zones. Otherwise
// zones would get different shares of the traffic, and results for different numbers of routers could not be compared.
func TestRunRejectsUnevenZones(t *testing.T) {
	for _, routers := range []int{0, 2, 4} {
		_, err := Run(1, routers, TrafficBurst)
		assert.ErrorIs(t, err, ErrUnevenZones, "%d routers", routers)
	}
}
