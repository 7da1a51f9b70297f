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

// Connections to the service take longer than a second to come up. A router that gives each up after a second never
// follows the service. The late one is used, and a second dial beside it does not end it.
func TestConnectionThatComesUpLateIsUsed(t *testing.T) {
	near, far := net.Pipe()
	var dials atomic.Int32
	c := &Client{
		Telemetry: telemetry.New(io.Discard, ""),
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			if dials.Add(1) > 1 { // a second one beside it does not end it
				<-ctx.Done()
				return nil, ctx.Err()
			}
			select {
			case <-time.After(1400 * time.Millisecond):
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
	stop := runClient(t, c)
	query := make([]byte, 8)
	require.NoError(t, far.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.ReadFull(far, query)
	require.NoError(t, err)
	assert.Zero(t, binary.BigEndian.Uint64(query))
	assert.EqualValues(t, 2, dials.Load())
	stop()
}
