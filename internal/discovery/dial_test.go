package discovery

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a router that never connects because establishing a connection takes longer than a second and each
// dial is cancelled before. The slow connection must be used, and a second parallel dial must not cancel it.
func TestSlowDialIsNotCancelled(t *testing.T) {
	clientSide, serviceSide := net.Pipe()
	var dials atomic.Int32
	c := &Client{
		Telemetry: telemetry.New(io.Discard, ""),
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			if dials.Add(1) > 1 { // the second dial must not cancel the first
				<-ctx.Done()
				return nil, ctx.Err()
			}
			select {
			case <-time.After(1400 * time.Millisecond):
				return clientSide, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
	stop := runClient(t, c)
	query := make([]byte, 8)
	require.NoError(t, serviceSide.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.ReadFull(serviceSide, query)
	require.NoError(t, err)
	assert.Zero(t, binary.BigEndian.Uint64(query))
	assert.EqualValues(t, 2, dials.Load())
	stop()
}
