package frontend

import (
	"net"
	"slices"
	"testing"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/netconn"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a log line that hides which requests the end of a connection took before they were read.
func TestEndTellsTheRequestsThatWereNotRead(t *testing.T) {
	one, query := requestFrame(1, "aa"), readinessQuery(0)
	for what, test := range map[string]struct {
		sent     []byte
		handled  int // bytes of frames that were handled
		read     int // bytes after those that were read
		requests int
	}{
		"nothing":                       {one, len(one), 0, 0},
		"all":                           {slices.Concat(one, query, one), 0, 0, 2},
		"part of a header was read":     {slices.Concat(one, one, one), len(one), 5, 2},
		"header was read":               {slices.Concat(one, one), 0, clientproto.HeaderSize, 2},
		"part of a payload has come":    {slices.Concat(query, one[:20]), len(query), clientproto.HeaderSize, 1},
		"part of a header has come":     {slices.Concat(one, one[:5]), 0, 0, 1},
		"a cancel, and what follows it": {slices.Concat(query, one, one), len(query) + len(one), 0, 1},
	} {
		c := newUnreadConn(t, test.sent)
		require.NoError(t, c.ReadFull(make([]byte, test.handled)))
		c.progress.end = c.BytesConsumed()
		require.NoError(t, c.ReadFull(c.progress.header[:test.read]))
		if test.read == clientproto.HeaderSize {
			h, err := clientproto.ParseHeader(c.progress.header[:])
			require.NoError(t, err)
			c.progress.end = c.BytesConsumed() + int64(h.PayloadBytes)
		}
		requests, unreadBytes := c.unreadInput()
		assert.Equal(t, test.requests, requests, what)
		assert.EqualValues(t, len(test.sent)-test.handled-test.read, unreadBytes, what)
	}
}

// Guards against taking a client that gives its requests up in time for one that has more open than it may.
func TestCancelledRequestsDoNotCountAsUnread(t *testing.T) {
	one := requestFrame(1, "aa")
	cancel := clientproto.AppendHeader(nil, clientproto.TypeCancel, 1, 0)
	assert.Zero(t, maxOpenIn(nil))
	assert.Equal(t, 1, maxOpenIn(one))
	assert.Equal(t, 2, maxOpenIn(slices.Concat(one, one, cancel, cancel, cancel, one)))
	assert.Equal(t, 1, maxOpenIn(slices.Concat(cancel, one, one, readinessQuery(0), one[:5])))
}

// newUnreadConn returns a connection of a client that has sent something.
func newUnreadConn(t *testing.T, sent []byte) *clientConn {
	t.Helper()
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err := new(net.Dialer).DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := ln.Accept()
	require.NoError(t, err)
	_, err = client.Write(sent)
	require.NoError(t, err)
	c := &clientConn{Conn: netconn.New(accepted, 64, 0)}
	c.TellUnread = true
	require.Eventually(t, func() bool { return c.UnreadBytes() == int64(len(sent)) }, time.Minute, time.Millisecond)
	return c
}
