package bootstrap

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"cairnfront/internal/discovery"
	"cairnfront/internal/golden"

	"github.com/stretchr/testify/require"
)

// printConfig formats a configuration with one value per line, in a deterministic order.
func printConfig(c Config) string {
	var out strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&out, format+"\n", values...) }
	line("name %s", c.Name)
	line("listen %s", c.ListenAddress)
	line("discovery %s", c.DiscoveryAddress)
	line("seed %x", c.Seed)
	line("limits cores=%g memory_mb=%d sockets=%d", c.Cores, c.MemoryMB, c.MaxSockets)
	for i, name := range c.ClassNames {
		line("class %d %s", i, name)
	}
	line("last revision %d", c.LastRevision)
	for _, ev := range c.KnownEvents {
		line("event %d heartbeat=%t full=%t purge=%t object=%q group=%d at=%.3f",
			ev.Revision,
			ev.Kind == discovery.Heartbeat,
			ev.Kind == discovery.Snapshot,
			ev.IsPurge(),
			ev.Purge.Object,
			ev.Purge.Group,
			ev.Purge.PurgedAt)
		for _, e := range ev.Endpoints {
			line("  endpoint %s at %s zone=%d kind=%d cell=%d status=%d weight=%g started=%.3f",
				e.ID, e.Address, e.Zone, e.Kind, e.Cell, e.Status, e.Weight, e.StartedAt)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.Settings)) {
		line("setting %s=%s", key, c.Settings[key])
	}
	return out.String()
}

// TestFileWithEveryKeyMatchesTheGoldenFile compares the parsed values of a file with every key to the golden file.
func TestFileWithEveryKeyMatchesTheGoldenFile(t *testing.T) {
	config, err := LoadFile("testdata/every-key.json")
	require.NoError(t, err)
	golden.Compare(t, "every-key.golden", printConfig(config))
}
