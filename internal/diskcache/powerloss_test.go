package diskcache

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// powerLoss calls RunPowerLoss with a power loss at the operation numbered powerLossAt and requires that no guarantee
// is violated. It returns the number of operations up to the first restart.
func powerLoss(t require.TestingT, seed uint64, powerLossAt int) (ops int) {
	out := RunPowerLoss(seed, powerLossAt)
	require.Empty(t, out.Violations, "seed %d, power loss at operation %d", seed, powerLossAt)
	return out.Ops
}

// TestPowerLossAtEveryOperation simulates a power loss at every single write, sync, renaming, removal and truncation of
// the run, twice with different random choices of which unsynced writes survive.
func TestPowerLossAtEveryOperation(t *testing.T) {
	ops := powerLoss(t, 1, 0)
	require.Greater(t, ops, 100)
	for powerLossAt := 1; powerLossAt <= ops; powerLossAt++ {
		for s := range uint64(2) {
			powerLoss(t, 1+s*1000, powerLossAt)
		}
	}
}

// TestPowerLossChecksFailWithoutGuards shows that the checks of a power-loss run detect faults: an acknowledged purge
// lost because the log is not synced, and a torn body served because its checksum is not verified.
func TestPowerLossChecksFailWithoutGuards(t *testing.T) {
	for name, disableGuard := range map[string]func(*powerLossRun){
		"log without a sync": func(p *powerLossRun) { p.skipLogSync = true },
		"body not checked":   func(p *powerLossRun) { p.skipBodyChecksum = true },
	} {
		wrong := 0
		for seed := range uint64(40) {
			for powerLossAt := 20; powerLossAt < 100; powerLossAt += 7 {
				p := powerLossRun{seed: seed, powerLossAt: powerLossAt}
				disableGuard(&p)
				wrong += len(p.run().Violations)
			}
		}
		assert.Positive(t, wrong, name)
	}
}
