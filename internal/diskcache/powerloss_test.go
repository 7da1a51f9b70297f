package diskcache

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// powerLoss calls RunPowerLoss with a power loss at the operation numbered cut and requires that no guarantee is
// violated. It returns the number of operations up to the first restart.
func powerLoss(t require.TestingT, seed uint64, cut int) (ops int) {
	out := RunPowerLoss(seed, cut)
	require.Empty(t, out.Violations, "seed %d, power loss at operation %d", seed, cut)
	return out.Ops
}

// TestPowerLossAtEveryOperation simulates a power loss at every single write, sync, renaming, removal and truncation of
// the run, twice with different random choices of which unsynced writes survive.
func TestPowerLossAtEveryOperation(t *testing.T) {
	ops := powerLoss(t, 1, 0)
	require.Greater(t, ops, 100)
	for cut := 1; cut <= ops; cut++ {
		for s := range uint64(2) {
			powerLoss(t, 1+s*1000, cut)
		}
	}
}

// TestPowerLossChecksFailWithoutGuards shows that the checks of a power-loss run detect faults: an acknowledged purge
// lost because the log is not synced, and a torn body served because its checksum is not verified.
func TestPowerLossChecksFailWithoutGuards(t *testing.T) {
	for name, breakIt := range map[string]func(*powerLossRun){
		"log without a sync": func(p *powerLossRun) { p.unsyncedLog = true },
		"body not checked":   func(p *powerLossRun) { p.uncheckedBody = true },
	} {
		wrong := 0
		for seed := range uint64(40) {
			for cut := 20; cut < 100; cut += 7 {
				p := powerLossRun{seed: seed, cut: cut}
				breakIt(&p)
				wrong += len(p.run().Violations)
			}
		}
		assert.Positive(t, wrong, name)
	}
}
