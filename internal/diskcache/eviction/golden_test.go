package eviction

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cairnfront/internal/golden"
)

func printDecision(out *strings.Builder, key Key, size int64, decision Decision) {
	fmt.Fprintf(
		out,
		"ask %d/%d %d -> held=%v keep=%v out=",
		key.Object,
		key.Chunk,
		size,
		decision.Cached,
		decision.Admit,
	)
	for _, evicted := range decision.Evict {
		fmt.Fprintf(out, "%d/%d,", evicted.Object, evicted.Chunk)
	}
	out.WriteByte('\n')
}

// cafeTrace executes random requests, removals and restores determined by seed and returns a text of every decision.
func cafeTrace(config Config, seed uint64, steps int) string {
	rnd := rand.New(rand.NewPCG(seed, 3))
	var out strings.Builder
	policy, now := NewCafe(config), 1_700_000_000.0
	for range steps {
		now += rnd.ExpFloat64() * 20
		key := Key{Object: uint64(rnd.ExpFloat64() * 12), Chunk: uint32(rnd.IntN(6))}
		size := int64(40 + key.Object*13 + uint64(key.Chunk))
		switch rnd.IntN(40) {
		case 0:
			policy.Remove(key)
			fmt.Fprintf(&out, "lost %d/%d\n", key.Object, key.Chunk)
		case 1:
			evicted := policy.Restore(
				key,
				size,
				AccessHistory{MeanGap: rnd.Float64() * 900, LastAccess: now - rnd.Float64()*900},
			)
			fmt.Fprintf(&out, "load %d/%d -> %v\n", key.Object, key.Chunk, len(evicted))
			for _, k := range evicted {
				fmt.Fprintf(&out, "  out %d/%d\n", k.Object, k.Chunk)
			}
		default:
			printDecision(&out, key, size, policy.Request(now, key, size))
		}
		history, known := policy.History(key)
		fmt.Fprintf(&out, "  bytes=%d n=%d ghosts=%d has=%v T=%.9g gap=%.9g budget=%.9g known=%v %.9g %.9g\n",
			policy.Bytes(), policy.Chunks(), policy.UncachedEntries(), policy.Contains(key), policy.CacheAge(now),
			policy.MeanGapAt(now, key), policy.WriteBudget(now), known, history.MeanGap, history.LastAccess)
	}
	return out.String()
}

func baselineTrace(policy Policy, seed uint64, steps int) string {
	rnd := rand.New(rand.NewPCG(seed, 4))
	var out strings.Builder
	now := 1_700_000_000.0
	for range steps {
		now += rnd.ExpFloat64() * 20
		key := Key{Object: uint64(rnd.ExpFloat64() * 12), Chunk: uint32(rnd.IntN(6))}
		size := int64(40 + key.Object*13 + uint64(key.Chunk))
		printDecision(&out, key, size, policy.Request(now, key, size))
	}
	return out.String()
}

// TestGoldenTraces checks by hash that the decisions for fixed seeds are the same as before. The texts contain no Go
// identifiers, so renames do not change them.
func TestGoldenTraces(t *testing.T) {
	const steps = 4000
	var sums strings.Builder
	add := func(name, trace string) {
		fmt.Fprintf(&sums, "%s %d lines, sha256 %x\n", name, strings.Count(trace, "\n"), sha256.Sum256([]byte(trace)))
	}
	for _, alpha := range []float64{0.5, 1, 2} {
		for _, daily := range []int64{0, 300_000} {
			config := Config{Alpha: alpha, CapacityBytes: 4000, MaxUncachedEntries: 30, DailyWriteBytes: daily}
			add(fmt.Sprintf("cafe alpha=%v daily=%d", alpha, daily), cafeTrace(config, 7, steps))
		}
	}
	add("lru", baselineTrace(NewLRU(4000), 7, steps))
	add("xlru", baselineTrace(NewXLRU(4000, 2), 7, steps))
	golden.Compare(t, "traces.txt", sums.String())
}
