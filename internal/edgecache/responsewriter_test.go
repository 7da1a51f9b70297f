package edgecache

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	largeBodyBytes    = 240_000
	largeRequests     = 24
	clientBufferBytes = 64 << 10
)

// startLargeOrigin starts an origin whose objects have the largest size, and connects a client that reads nothing yet.
func startLargeOrigin(t *testing.T) (*testServer, *testClient) {
	t.Helper()
	origin := &SyntheticOrigin{Seed: 7, MinBytes: largeBodyBytes, MaxBytes: largeBodyBytes, Groups: 16}
	server := startServer(t, startDiscoveryStub(t), func(server *Server) {
		server.Origin, server.Config.Role, server.Config.ID = origin, "origin", "s-000000ff"
		server.Config.DrainTimeout = 1.5
	})
	client := server.dial(t)
	tcp, ok := client.Conn.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, tcp.SetReadBuffer(clientBufferBytes))
	require.NoError(t, tcp.SetWriteBuffer(clientBufferBytes))
	return server, client
}

// requestLargeObjects sends requests for large objects and waits until the server has answered them all.
func requestLargeObjects(t *testing.T, server *testServer, client *testClient) {
	t.Helper()
	for number := range largeRequests {
		_, err := fmt.Fprintf(client, "do %016x profile=video,thing=%016x,nth=1,max=3000 0\r\n\r\n", number, number)
		require.NoError(t, err)
	}
	eventually(t, func() bool {
		const answered = `cache_responses_total{class="video",result="completed",detail="cache_hit"}`
		return server.Telemetry.Value(answered) == largeRequests
	})
}

// Guards against a health check that fails, and a small answer that is late, because they stand behind seconds of large
// bodies that the client has yet to take.
func TestProbeReplyComesBeforeLargeResponses(t *testing.T) {
	server, client := startLargeOrigin(t)
	requestLargeObjects(t, server, client)
	_, err := fmt.Fprint(client, "ping p1\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // the reply is queued
	before := 0
	for {
		id, _, _, body := client.readResponse(t)
		if id == "p1" {
			break
		}
		before += len(body)
	}
	assert.LessOrEqual(t, before, 4*largeBodyBytes, "bytes that came before the reply")
}

// Guards against a cache whose memory grows with what a client sends that reads nothing: it must not be read on.
func TestClientThatReadsNothingIsNotReadOn(t *testing.T) {
	_, client := startLargeOrigin(t)
	const batches, batchProbes = 200, 5000
	require.NoError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
	batch := strings.Repeat("ping p1\r\n", batchProbes)
	sent := 0
	for range batches {
		n, err := fmt.Fprint(client, batch)
		sent += n
		if err != nil {
			break
		}
	}
	assert.Less(t, sent, batches*len(batch)/2, "bytes of probes that the server took")
}

// Guards against a planned restart that cuts off responses which are queued or half written.
func TestDrainWritesQueuedResponses(t *testing.T) {
	server, client := startLargeOrigin(t)
	requestLargeObjects(t, server, client)
	go server.stop()
	time.Sleep(200 * time.Millisecond) // the client is slow
	for range largeRequests {
		_, result, _, body := client.readResponse(t)
		assert.Equal(t, "served", result)
		assert.Len(t, body, largeBodyBytes)
	}
}
