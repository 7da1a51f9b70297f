package discovery

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a read timeout that covers a complete frame: a long list over a slow link would time out on every
// connection, and the router would never receive it. A list must be read completely if each of its parts arrives within
// the timeout.
func TestListOverSlowLinkIsReadCompletely(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	events := make(chan Event, 9)
	c := &Client{
		Address:     listener.Addr().String(),
		Telemetry:   telemetry.New(io.Discard, ""),
		OnEvent:     func(ev Event) { events <- ev },
		readTimeout: 100 * time.Millisecond,
	}
	stop := runClient(t, c)
	conn, err := listener.Accept()
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 8))
	require.NoError(t, err)
	list := frame(1, Snapshot, strings.Repeat(drainingRecord, 20))
	for len(list) > 0 {
		piece := min(len(list), 100)
		_, err = conn.Write(list[:piece])
		require.NoError(t, err, "the connection is still open")
		list = list[piece:]
		time.Sleep(60 * time.Millisecond)
	}
	select {
	case ev := <-events:
		assert.Len(t, ev.Endpoints, 20)
	case <-time.After(5 * time.Second):
		t.Error("the list was not received")
	}
	stop()
	_ = conn.Close()
}
