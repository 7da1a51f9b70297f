package statemachine

import (
	"fmt"
	"strings"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGoldenCommandBytes compares the encoding of each operation and of a snapshot with the bytes
// of an earlier version.
func TestGoldenCommandBytes(t *testing.T) {
	reserveCommand := Command{
		Op:              OpReserve,
		Now:             1700000000.25,
		Key:             "k",
		Group:           "g",
		LifetimeSeconds: 6,
		Requester:       "r1",
		RequestNumber:   1<<20 + 1,
	}
	completed := settle(1700000001, "g", "r1", 1<<20+1, StatusCompleted)
	completed.Value = []byte("200")
	put := func(now float64, kind Kind, key string, lifetimeSeconds float64, value []byte) Command {
		return Command{Op: OpPut, Now: now, Kind: kind, Key: key, LifetimeSeconds: lifetimeSeconds, Value: value}
	}
	commands := []struct {
		name    string
		command Command
	}{
		{"reserve", reserveCommand},
		{"settle-completed", completed},
		{"settle-not-executed", settle(1700000001, "g", "r1", 1<<20+1, StatusNotExecuted)},
		{"put-request-outcome", put(1700000002, KindRequestOutcome, "o", 60, []byte("ok"))},
		{"put-purge", put(1700000003, KindPurge, "p", 3600, []byte("tag"))},
		{"put-drain", put(1700000004, KindDrain, "d", 3600, nil)},
		{"put-return-time", put(1700000005, KindReturnTime, "t", 5.5, nil)},
		{"put-operator-order", put(1700000006, KindOperatorOrder, "x", 1e9, []byte{0, 255})},
		{"advance-time", Command{Op: OpAdvanceTime, Now: 1700000007.5}},
	}
	var text strings.Builder
	state := New()
	for i, c := range commands {
		encoded, err := c.command.Encode()
		require.NoError(t, err, c.name)
		fmt.Fprintf(&text, "%s %x\n", c.name, encoded)
		decoded, err := Decode(encoded)
		require.NoError(t, err, c.name)
		assert.Equal(t, c.command, decoded, c.name)
		state.Apply(uint64(i+1), decoded)
	}
	snapshot, err := state.Snapshot()
	require.NoError(t, err)
	fmt.Fprintf(&text, "snapshot %x\n", snapshot)
	golden.Compare(t, "commands.txt", text.String())
	restored, err := Restore(snapshot)
	require.NoError(t, err)
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, snapshot, again)
}
