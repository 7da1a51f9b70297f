package replication

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenScriptsHash is the SHA-256 hash of the scripts that an earlier version generated for the first 200 seeds.
const goldenScriptsHash = "b615941e229de7fe140599d46d01be60395764d8aa3e59b3f8655091b05e7c1e"

// TestGeneratedScriptsAreUnchanged fails if a seed generates another script than in an earlier version. Published
// results name only their seeds and could then no longer be reproduced.
func TestGeneratedScriptsAreUnchanged(t *testing.T) {
	hash := sha256.New()
	for seed := range uint64(200) {
		script := GenerateScript(seed, 9, 60)
		require.NoError(t, script.Validate())
		text, err := json.Marshal(script)
		require.NoError(t, err)
		_, _ = hash.Write(text) // a hash never returns an error
	}
	assert.Equal(t, goldenScriptsHash, hex.EncodeToString(hash.Sum(nil)))
}

// describeResult formats a result, with a hash in place of the latencies.
func describeResult(r *Result) string {
	latencies := sha256.Sum256(fmt.Append(nil, r.LatencySeconds))
	return fmt.Sprintf("%d %d %d %d %d %v %q %x %d %d %d %v",
		r.Reservations, r.Reads, r.Answered, r.MachinesLost, r.PowerCuts, r.Linearizable, r.Failure,
		latencies[:4], r.ConfChanges, r.ReservationsLost, r.ConflictingGrants, r.LongestLeaderlessSeconds)
}

// TestResultsAreUnchanged compares the results of some seeds with those of an earlier version. It simulates one shard,
// so the order in which a router's replicas start cannot affect the result.
func TestResultsAreUnchanged(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: `504 264 768 1 0 true "" b0a1447a 0 0 0 0.39064076514875123`,
		3: `550 268 818 1 1 true "" 4391250e 0 0 0 0.6459067629465469`,
		6: `509 272 781 1 1 true "" 84bcc6a6 3 0 0 0.5987030542523357`,
	} {
		result, err := Run(Config{Script: GenerateScript(seed, 9, 40), Shards: 1})
		require.NoError(t, err)
		assert.Equal(t, want, describeResult(result), "seed %d", seed)
	}
}

// TestSeedsWithManyShardsAreReproducible runs the same seeds several times and expects equal results. A restarting
// router starts replicas of several shards, and each draws its election timeout. If they started in map iteration
// order, a seed that found a fault might not reproduce it.
func TestSeedsWithManyShardsAreReproducible(t *testing.T) {
	for _, seed := range []uint64{6, 9, 12} {
		var first string
		for run := range 4 {
			result, err := Run(Config{Script: GenerateScript(seed, 9, 40), Shards: 6})
			require.NoError(t, err)
			if run == 0 {
				first = describeResult(result)
			}
			assert.Equal(t, first, describeResult(result), "seed %d", seed)
		}
	}
}
