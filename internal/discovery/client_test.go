package discovery

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// frame builds a frame without the codec, so that it can be malformed.
func frame(revision uint64, kind EventKind, payload string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(countedHeaderSize+len(payload)))
	b = binary.BigEndian.AppendUint64(b, revision)
	return append(append(b, byte(kind)), payload...)
}

// delivery is an event for a client, and whether the client accepts it without closing the connection.
type delivery struct {
	kind     EventKind
	revision uint64
	accepted bool
}

// deliverAll delivers events to a client whose last revision is 5, and returns the revisions passed to OnEvent. It
// checks that each event that is not accepted is reported as a revision gap.
func deliverAll(t *testing.T, deliveries []delivery) (delivered []uint64) {
	t.Helper()
	c := &Client{
		LastRevision: 5,
		Telemetry:    telemetry.New(io.Discard, ""),
		OnEvent:      func(ev Event) { delivered = append(delivered, ev.Revision) },
	}
	for _, step := range deliveries {
		err := c.deliver(Event{Revision: step.revision, Kind: step.kind})
		assert.Equal(t, step.accepted, err == nil, step)
		if err != nil {
			require.ErrorIs(t, err, ErrRevisionGap)
		}
	}
	return delivered
}

// Guards against events that are lost between the service and the router: a drain or a purge would never take effect,
// and the log would not show it. A gap must end the connection, so that the events are requested again. The gap must be
// accepted if the same revision arrives again, and an event that was already delivered must be ignored.
func TestRevisionGapClosesTheConnectionOnce(t *testing.T) {
	assert.Equal(t, []uint64{6, 8, 9, 10}, deliverAll(t, []delivery{
		{Update, 6, true},
		{Update, 6, true},
		{Update, 3, true},
		{Update, 8, false},
		{Update, 8, true},
		{Update, 10, false},
		{Update, 9, true},
		{Update, 11, false},
		{Update, 10, true},
		{Heartbeat, 0, true},
	}))
}

// runClient runs a client in a goroutine. The returned function stops the client and waits for the goroutine to end.
func runClient(t *testing.T, c *Client) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	return func() {
		cancel()
		require.NoError(t, <-done)
	}
}

// Guards against events that are lost or delivered twice when a connection ends within a record, receives an unknown
// kind of event, or is silent. Each of these must end the connection, and the next connection must request the events
// after the last received revision.
func TestClientReconnectsFromTheLastRevision(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	events := make(chan Event, 9)
	log := &bytes.Buffer{}
	c := &Client{
		Address:      listener.Addr().String(),
		LastRevision: 5,
		Telemetry:    telemetry.New(log, ""),
		OnEvent:      func(ev Event) { events <- ev },
		readTimeout:  50 * time.Millisecond,
	}
	stop := runClient(t, c)
	const unknownKind = 9
	for _, connection := range []struct {
		wantQuery uint64
		sent      []byte
	}{
		{5, frame(6, Update, drainingRecord)},
		{6, frame(7, Update, drainingRecord[:5])},
		{6, frame(7, unknownKind, "")},
		{6, append(frame(6, Heartbeat, ""), frame(7, Update, drainingRecord)...)},
		{7, nil},
	} {
		conn, err := listener.Accept()
		require.NoError(t, err)
		query := make([]byte, 8)
		_, err = io.ReadFull(conn, query)
		require.NoError(t, err)
		assert.Equal(t, connection.wantQuery, binary.BigEndian.Uint64(query))
		_, _ = conn.Write(connection.sent)
		_, _ = conn.Read(query) // blocks until the client closes the connection
		_ = conn.Close()
	}
	assert.Equal(t, uint64(6), (<-events).Revision)
	assert.Equal(t, uint64(7), (<-events).Revision)
	stop()
	assert.Contains(t, log.String(), "reason=missed_heartbeats")
	assert.Contains(t, log.String(), "reason=protocol_error")
}

// Guards against a router that stays connected to the previous address of the service, where no more events are sent,
// because that connection remains open. The client must connect to the new address at once and request the events after
// the last received revision.
func TestClientFollowsAddressChanges(t *testing.T) {
	var listeners [3]net.Listener
	for i := range listeners {
		var err error
		listeners[i], err = (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { assert.NoError(t, listeners[i].Close()) }()
	}
	answerQuery := func(listener net.Listener) uint64 {
		conn, err := listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		query := make([]byte, 8)
		_, err = io.ReadFull(conn, query)
		require.NoError(t, err)
		revision := binary.BigEndian.Uint64(query)
		_, _ = conn.Write(frame(revision+1, Update, drainingRecord))
		return revision
	}
	events := make(chan Event, 9)
	log := &bytes.Buffer{}
	c := &Client{
		Address:        listeners[0].Addr().String(),
		LastRevision:   5,
		Telemetry:      telemetry.New(log, ""),
		AddressChanges: make(chan string, 1),
		OnEvent:        func(ev Event) { events <- ev },
	}
	stop := runClient(t, c)
	for i, want := range []uint64{5, 6, 7} {
		assert.Equal(t, want, answerQuery(listeners[i]))
		assert.Equal(t, want+1, (<-events).Revision)
		if i+1 < len(listeners) {
			c.AddressChanges <- listeners[i+1].Addr().String()
		}
	}
	stop()
	assert.Equal(t, 2, strings.Count(log.String(), "reason=address_changed"))
}

// Guards against a connection that delivers heartbeats but no events: no read fails, and a drain is never received. A
// heartbeat with a revision after the last received one must end the connection, once for each such revision after each
// event.
func TestHeartbeatAheadOfTheLastRevisionClosesTheConnectionOnce(t *testing.T) {
	assert.Equal(t, []uint64{6, 7, 8}, deliverAll(t, []delivery{
		{Heartbeat, 5, true},
		{Heartbeat, 4, true},
		{Heartbeat, 7, false},
		{Heartbeat, 7, true},
		{Update, 6, true},
		{Heartbeat, 7, false},
		{Heartbeat, 7, true},
		{Heartbeat, 8, false},
		{Update, 7, true},
		{Update, 8, true},
		{Heartbeat, 8, true},
	}))
}
