package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// client is the client side of a connection to a router.
type client struct {
	net.Conn
	stream    uint32
	ttlMillis int // deadline of the next requests; 4,000 if unset
}

// The codes of responses on the wire.
const (
	codeRejected  byte = 0
	codeCompleted byte = 1
	codeAborted   byte = 9
)

var requestIDs struct {
	sync.Mutex
	n int
}

// send writes a request with the class op for the object row and returns its id.
func (c *client) send(op, row, body string, more ...clientproto.Field) string {
	requestIDs.Lock()
	requestIDs.n++
	id := fmt.Sprintf("%016x", requestIDs.n)
	requestIDs.Unlock()
	c.stream++
	fields := append([]clientproto.Field{
		{Name: "op", Value: op},
		{Name: "call", Value: id},
		{Name: "ttl", Value: strconv.Itoa(cmp.Or(c.ttlMillis, 4000))},
		{Name: "row", Value: row},
		{Name: "seg", Value: "0"},
		{Name: "bucket", Value: "7"},
		{Name: "heap", Value: "10"},
	}, more...)
	payload := append(clientproto.AppendFields(nil, fields...), body...)
	_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, c.stream, len(payload)), payload...))
	return id
}

// readFrame reads one frame.
func (c *client) readFrame(t *testing.T) (kind clientproto.FrameType, stream uint32, payload string) {
	t.Helper()
	head := make([]byte, clientproto.HeaderSize)
	_, err := io.ReadFull(c, head)
	require.NoError(t, err)
	h, err := clientproto.ParseHeader(head)
	require.NoError(t, err)
	text := make([]byte, h.PayloadBytes)
	_, err = io.ReadFull(c, text)
	require.NoError(t, err)
	return h.Type, h.StreamID, string(text)
}

// readResponse reads one response and returns its code, fields and body.
func (c *client) readResponse(t *testing.T) (byte, map[string]string, string) {
	t.Helper()
	kind, _, payload := c.readFrame(t)
	require.Equal(t, clientproto.TypeResponse, kind)
	list, body, err := clientproto.ParseFields([]byte(payload[1:]))
	require.NoError(t, err)
	fields := map[string]string{}
	for _, f := range list {
		fields[f.Name] = f.Value
	}
	return payload[0], fields, string(body)
}

// expectCode reads one response and checks its code.
func (c *client) expectCode(t *testing.T, want byte, reason ...any) {
	t.Helper()
	code, _, _ := c.readResponse(t)
	assert.Equal(t, want, code, reason...)
}

// sendFromClients starts clients that concurrently send requests, each client one at a time. The returned group waits
// for their last responses.
func sendFromClients(t *testing.T, router *routerProcess, clients, each int) *sync.WaitGroup {
	t.Helper()
	var all sync.WaitGroup
	for range clients {
		c := router.dial(t)
		all.Go(func() {
			for range each {
				c.send("page", objectID, "")
				c.expectCode(t, codeCompleted)
			}
		})
	}
	return &all
}
