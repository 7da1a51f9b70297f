package statemachine

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenBytes reads lines of "name hex" that an earlier version wrote.
func goldenBytes(t *testing.T, path string) map[string][]byte {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	golden := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, ok := strings.Cut(strings.TrimSpace(line), " ")
		require.True(t, ok, line)
		golden[name], err = hex.DecodeString(digits)
		require.NoError(t, err)
	}
	return golden
}

// TestGoldenCommandBytes holds the encoding of each operation and of a snapshot to the bytes of an earlier version.
func TestGoldenCommandBytes(t *testing.T) {
	golden := goldenBytes(t, "testdata/commands.txt")
	commands := []struct {
		name    string
		command Command
	}{
		{"reserve", Command{Op: OpReserve, Now: 1700000000.25, Key: "k", Group: "g", LifetimeSeconds: 6, Requester: "r1", RequestNumber: 1<<20 + 1}},
		{"settle-completed", Command{Op: OpSettle, Now: 1700000001, Key: "k", Group: "g", Status: StatusCompleted, Value: []byte("200"), Requester: "r1", RequestNumber: 1<<20 + 1}},
		{"settle-not-executed", Command{Op: OpSettle, Now: 1700000001, Key: "k", Group: "g", Status: StatusNotExecuted, Requester: "r1", RequestNumber: 1<<20 + 1}},
		{"put-request-outcome", Command{Op: OpPut, Now: 1700000002, Kind: KindRequestOutcome, Key: "o", LifetimeSeconds: 60, Value: []byte("ok")}},
		{"put-purge", Command{Op: OpPut, Now: 1700000003, Kind: KindPurge, Key: "p", LifetimeSeconds: 3600, Value: []byte("tag")}},
		{"put-drain", Command{Op: OpPut, Now: 1700000004, Kind: KindDrain, Key: "d", LifetimeSeconds: 3600}},
		{"put-return-time", Command{Op: OpPut, Now: 1700000005, Kind: KindReturnTime, Key: "t", LifetimeSeconds: 5.5}},
		{"put-operator-order", Command{Op: OpPut, Now: 1700000006, Kind: KindOperatorOrder, Key: "x", LifetimeSeconds: 1e9, Value: []byte{0, 255}}},
		{"advance-time", Command{Op: OpAdvanceTime, Now: 1700000007.5}},
	}
	assert.Len(t, golden, len(commands)+1)
	state := New()
	for i, c := range commands {
		encoded, err := c.command.Encode()
		require.NoError(t, err, c.name)
		assert.Equal(t, golden[c.name], encoded, c.name)
		decoded, err := Decode(golden[c.name])
		require.NoError(t, err, c.name)
		assert.Equal(t, c.command, decoded, c.name)
		state.Apply(uint64(i+1), decoded)
	}
	snapshot, err := state.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, golden["snapshot"], snapshot)
	restored, err := Restore(golden["snapshot"])
	require.NoError(t, err)
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, golden["snapshot"], again)
}
