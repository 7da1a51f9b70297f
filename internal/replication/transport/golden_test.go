package transport

import (
	"fmt"
	"strings"
	"testing"

	"cairnfront/internal/golden"
	"cairnfront/internal/replication/statemachine"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGoldenFrameBytes compares the encoding of each kind of frame with the bytes of an earlier
// version, and decodes them.
func TestGoldenFrameBytes(t *testing.T) {
	result := &statemachine.Result{
		Granted:          true,
		RemainingSeconds: 5.5,
		Reservation: statemachine.Reservation{
			Kind:             statemachine.KindAttemptLocation,
			Key:              "k",
			Group:            "g",
			CreatedAt:        100,
			ExpiresAt:        106,
			Status:           statemachine.StatusCompleted,
			Value:            []byte("200"),
			Revision:         12,
			Grants:           []uint64{1, 1 << 60},
			GrantsOverflowed: true,
		},
	}
	frames := []struct {
		name  string
		frame Frame
	}{
		{"hello", Frame{
			Kind:            KindHello,
			Replica:         77,
			StartCount:      3,
			Zone:            "z1",
			ShardVoters:     map[int][]uint64{0: {5, 7}, 63: {77}},
			SeenStartCounts: map[uint64]uint32{5: 1, 77: 3},
		}},
		{"raft", Frame{Kind: KindRaft, Shard: 63, Payload: []byte{1, 2, 3}}},
		{"propose", Frame{Kind: KindPropose, Shard: 7, Number: 1<<40 + 1, Payload: []byte("command")}},
		{"read", Frame{
			Kind:            KindRead,
			Shard:           7,
			Number:          9,
			Key:             "k",
			ReservationKind: statemachine.KindAttemptLocation,
		}},
		{"result", Frame{Kind: KindResult, Number: 9, Result: result}},
		{"empty-result", Frame{Kind: KindResult, Number: 10, Result: &statemachine.Result{}}},
		{"not-leader", Frame{Kind: KindNotLeader, Shard: 7, Number: 9, Replica: 5}},
		{"heartbeat", Frame{Kind: KindHeartbeat}},
	}
	var text strings.Builder
	for _, f := range frames {
		encoded, err := encodeFrame(f.frame)
		require.NoError(t, err, f.name)
		fmt.Fprintf(&text, "%s %x\n", f.name, encoded)
		var decoded Frame
		require.NoError(t, decoding.Unmarshal(encoded[lengthBytes:], &decoded), f.name)
		assert.Equal(t, f.frame, decoded, f.name)
	}
	golden.Compare(t, "frames.txt", text.String())
}
