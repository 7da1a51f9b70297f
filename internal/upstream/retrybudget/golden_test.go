package retrybudget

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// TestBudgetTrace checks that the same attempts cause the same changes as in the golden file.
func TestBudgetTrace(t *testing.T) {
	state := uint64(5)
	below := func(n int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int(state >> 33 % uint64(n))
	}
	b, now := New(Limits{RetryRatio: 0.2, MinRetries: 2}), 50.0
	var lines strings.Builder
	for range 5000 {
		now += float64(below(80)) / 1000
		if below(10) == 0 {
			b.Advance(now)
		} else {
			b.RecordAttempt(now, routing.ClassIndex(below(3)), routing.EndpointID(rune('a'+below(4))), below(4) == 0)
		}
		for _, c := range b.TakeChanges() {
			fmt.Fprintf(&lines, "%.3f class %d endpoint %q available %v\n", now, c.Class, c.Endpoint, c.Available)
		}
	}
	const file = "testdata/budget.golden"
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(lines.String()), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	assert.Equal(t, string(want), lines.String())
}
