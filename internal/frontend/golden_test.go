package frontend

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files in testdata")

// compareGolden compares text with a file in testdata, byte for byte.
func compareGolden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), text)
}

var volatileFields = regexp.MustCompile(`(time|duration_seconds)=\S+`)

// endedLine returns the log line of the closed connection with its times masked; masked names further keys to mask.
func endedLine(t *testing.T, c *testClient, masked ...string) string {
	t.Helper()
	<-c.done
	for line := range strings.Lines(c.log.String()) {
		if strings.Contains(line, "connection closed") {
			line = volatileFields.ReplaceAllString(line, "$1=MASKED")
			for _, key := range masked {
				line = regexp.MustCompile(`\b`+key+`=\S+`).ReplaceAllString(line, key+"=MASKED")
			}
			return line
		}
	}
	t.Error("no line of the closed connection")
	return ""
}

// brokenSocket fails each read with an error that no code names.
type brokenSocket struct{ net.Conn }

func (brokenSocket) Read([]byte) (int, error) { return 0, errors.New("wire cut") }

// TestGoldenEndedLines compares the log line of an ended client connection, in full, for each end code of a client.
func TestGoldenEndedLines(t *testing.T) {
	query := readinessQuery(0)
	swept := func(says []byte, age time.Duration) string {
		c := newTestConn(t, true)
		_, _ = c.Write(says)
		if len(says) >= len(query) {
			c.readFrame(t)
		}
		assert.Eventually(t, func() bool { // until the bytes have been seen
			p := c.conn()
			return p != nil && p.BytesRead() == int64(len(says))
		}, time.Minute, time.Millisecond)
		c.sweepUntilDone(age + time.Second)
		return endedLine(t, c)
	}
	lines := []string{
		"# no first frame\n", swept(nil, firstFrameTimeout),
		"# partial first frame\n", swept(query[:5], firstFrameTimeout+partialFrameTimeout),
		"# partial frame\n", swept(append(query[:len(query):len(query)], query[:5]...), partialFrameTimeout),
		"# idle\n", swept(query, idleTimeout),
	}
	add := func(what, line string) { lines = append(lines, "# "+what+"\n", line) }

	c := newTestConn(t, true)
	assert.Eventually(t, func() bool { return c.evict(clock.Now().Add(time.Hour)) }, time.Minute, time.Millisecond)
	add("evicted", endedLine(t, c))

	c = newTestConn(t, true)
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	c.readFrame(t)
	add("violation of the protocol", endedLine(t, c))

	c = newTestConn(t, false)
	c.readFrame(t)
	add("over the limit of connections", endedLine(t, c))

	c = newTestConn(t, true)
	c.BeginDrain()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for ended := false; !ended; {
		c.FinishDrain(canceled(t))
		select {
		case <-c.done:
			ended = true
		case <-time.After(time.Millisecond):
		}
	}
	add("shutdown", endedLine(t, c, "bytes_sent"))

	c = newTestConn(t, true)
	_, _ = c.Write(query)
	c.readFrame(t)
	admitted := c.Admission
	c.Admission = nil
	_, _ = c.Write(query)
	<-c.done
	c.Admission = admitted
	add("panic", endedLine(t, c))

	c = newTestConn(t, true)
	_, _ = c.Write(query)
	c.readFrame(t)
	_ = c.Close()
	add("closed by the client", endedLine(t, c))

	c = newTestConn(t, true)
	_, _ = c.Write(query[:5])
	_ = c.Close()
	add("cut in the middle of a frame", endedLine(t, c))

	near, far := net.Pipe()
	add("any other error of the socket", endedLine(t, newTestConnOver(t, brokenSocket{near}, far, true)))

	c = newTestConn(t, true)
	for range 3000 { // more than the outgoing ring and the queue hold together
		if _, err := c.Write(query); err != nil {
			break
		}
	}
	add("too many frames wait to be written", endedLine(t, c, "bytes_received", "bytes_sent"))

	c = newTestConn(t, true)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	body := c.Admission.Bodies.TryAllocate(22 << 20)
	r.ResponseWriter.Respond(r, request.Response{Body: body})
	for ended := false; !ended; {
		c.sweep(clock.Now().Add(2 * stalledTimeout))
		select {
		case <-c.done:
			ended = true
		case <-time.After(time.Millisecond):
		}
	}
	add("takes nothing while memory is short", endedLine(t, c))
	compareGolden(t, "ended_lines.txt", strings.Join(lines, ""))
}

// canceled is a context that has ended.
func canceled(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// transcript records the frames that a client sees, one a line in hexadecimal.
type transcript struct {
	*testClient
	text strings.Builder
}

func (s *transcript) step(text string) { fmt.Fprintf(&s.text, "# %s\n", text) }

// frame records the next frame.
func (s *transcript) frame(t *testing.T) {
	t.Helper()
	head := make([]byte, clientproto.HeaderSize)
	_, err := io.ReadFull(s, head)
	require.NoError(t, err)
	h, err := clientproto.ParseHeader(head)
	require.NoError(t, err)
	payload := make([]byte, h.PayloadBytes)
	_, err = io.ReadFull(s, payload)
	require.NoError(t, err)
	fmt.Fprintf(&s.text, "%x %x\n", head, payload)
}

// end records that the router has ended its side, with what came before.
func (s *transcript) end(t *testing.T) {
	t.Helper()
	rest, err := io.ReadAll(s)
	require.NoError(t, err, "ended, not reset")
	fmt.Fprintf(&s.text, "%xEOF\n", rest)
	_ = s.Close()
	<-s.done
}

func (s *transcript) request(t *testing.T, stream uint32, id string, more ...clientproto.Field) *request.Request {
	t.Helper()
	_, err := s.Write(requestFrame(stream, id, more...))
	require.NoError(t, err)
	return <-s.sink.arrived
}

// TestGoldenSession compares the bytes that a client sees: readiness, each kind of response, a rejected request, GOAWAY
// and a graceful close.
func TestGoldenSession(t *testing.T) {
	s := &transcript{testClient: newTestConnOverTCP(t, ignoreSocket, ignoreSocket)}
	query := readinessQuery(7)
	s.step("readiness: no, then yes")
	for range 2 {
		_, _ = s.Write(query)
		s.frame(t)
		s.Admission.SetReady()
	}
	for i, test := range []struct {
		step     string
		response request.Response
	}{
		{"completed", request.Response{ETag: "e1", Body: &request.Body{Bytes: []byte("body")}}},
		{"completed without a body", request.Response{}},
		{"completed, the client's copy is good", request.Response{ETag: "e1", NotModified: true}},
		{"rejected", request.Response{Result: request.Rejected, RetryAfterSeconds: 1.25}},
		{"rejected without a pause", request.Response{Result: request.Rejected}},
		{"aborted", request.Response{Result: request.Aborted}},
	} {
		s.step(test.step)
		r := s.request(t, uint32(i+1), fmt.Sprintf("%02x", i))
		assert.True(t, r.ResponseWriter.Respond(r, test.response))
		s.frame(t)
	}
	s.step("malformed requests: no field, too large, unknown class")
	_, _ = s.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, 20, 1), 9))
	s.frame(t)
	_, _ = s.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, 21, clientproto.MaxRequestBytes+1),
		make([]byte, clientproto.MaxRequestBytes+1)...))
	s.frame(t)
	_, _ = s.Write([]byte(strings.Replace(string(requestFrame(22, "aa")), "page", "what", 1)))
	s.frame(t)
	s.step("no room in the queue")
	s.sink.accept = func() bool { return false }
	_, _ = s.Write(requestFrame(23, "ab"))
	s.frame(t)
	s.sink.accept = nil
	s.step("memory is short")
	body := s.Admission.Bodies.TryAllocate(64<<20*35/100 - 10)
	_, _ = s.Write(requestFrame(24, "ac"))
	s.frame(t)
	body.Free()
	s.step("GOAWAY, no longer ready, a request all the same, GOAWAY once more")
	s.BeginDrain()
	s.frame(t)
	_, _ = s.Write(query)
	s.frame(t)
	r := s.request(t, 30, "ad")
	s.frame(t)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{ETag: "e2"}))
	s.frame(t)
	s.step("graceful close")
	for ended := false; !ended; {
		s.FinishDrain(canceled(t))
		ended = s.conn().EndCode() == netconn.Shutdown
	}
	s.end(t)

	s.testClient = newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	s.step("violation with a request open: error on stream 0, then the response, then the end")
	r = s.request(t, 1, "aa")
	_, _ = s.Write(requestFrame(1, "bb"))
	s.frame(t)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{ETag: "e3"}))
	s.end(t)

	compareGolden(t, "session.txt", s.text.String())
}

// TestGoldenOverLimit compares the bytes that a client sees whose connection is one too many.
func TestGoldenOverLimit(t *testing.T) {
	s := &transcript{testClient: newTestConn(t, false)}
	s.frame(t)
	s.end(t)
	compareGolden(t, "over_limit.txt", s.text.String())
}
