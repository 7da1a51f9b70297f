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

// A long list comes over a slow link and takes longer than the silence after which a connection is given up. The router
// would begin the list again and again and never have it. A list in pieces, each soon enough after the one before, is
// read to its end.
func TestListThatComesSlowlyIsRead(t *testing.T) {
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
		require.NoError(t, err, "the connection is still there")
		list = list[piece:]
		time.Sleep(60 * time.Millisecond)
	}
	select {
	case ev := <-events:
		assert.Len(t, ev.Endpoints, 20)
	case <-time.After(5 * time.Second):
		t.Error("the list does not arrive")
	}
	stop()
	_ = conn.Close()
}
