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
	"slices"
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

// compareGolden compares a text with a file in testdata, byte for byte.
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

// endedLine returns the log line of the closed connection with its times masked. masked lists further keys whose values
// are masked.
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
	t.Error("no log line for the closed connection")
	return ""
}

// brokenSocket is a socket whose reads fail with an error that has no end code of its own.
type brokenSocket struct{ net.Conn }

func (brokenSocket) Read([]byte) (int, error) { return 0, errors.New("wire cut") }

// endedBySweep returns a function that returns the log line of a client that has sent some bytes and then nothing for
// the given time.
func endedBySweep(sent []byte, age time.Duration) func(t *testing.T) string {
	return func(t *testing.T) string {
		t.Helper()
		c := newTestConn(t, true)
		_, _ = c.Write(sent)
		if len(sent) >= len(readinessQuery(0)) {
			c.readFrame(t)
		}
		assert.Eventually(t, func() bool { // until the bytes were read
			p := c.conn()
			return p != nil && p.BytesRead() == int64(len(sent))
		}, time.Minute, time.Millisecond)
		c.sweepUntilDone(age + time.Second)
		return endedLine(t, c)
	}
}

// untilDone calls step repeatedly until the connection has ended.
func (c *testClient) untilDone(step func()) {
	for {
		step()
		select {
		case <-c.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// endedByEviction returns the log line of a client that is evicted to make room for another one.
func endedByEviction(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	c.evictSoon(t)
	return endedLine(t, c)
}

// endedByViolation returns the log line of a client that sends a frame of an unknown type.
func endedByViolation(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	c.readFrame(t)
	return endedLine(t, c)
}

// endedOverLimit returns the log line of a client that exceeds the connection limit.
func endedOverLimit(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, false)
	c.readFrame(t)
	return endedLine(t, c)
}

// endedByShutdown returns the log line of a client that is connected when the process ends.
func endedByShutdown(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	c.BeginDrain()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	c.untilDone(func() { c.FinishDrain(canceled(t)) })
	return endedLine(t, c, "bytes_sent")
}

// endedByPanic returns the log line of a client whose reader panics.
func endedByPanic(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	_, _ = c.Write(readinessQuery(0))
	c.readFrame(t)
	admitted := c.Admission
	c.Admission = nil
	_, _ = c.Write(readinessQuery(0))
	<-c.done
	c.Admission = admitted
	return endedLine(t, c)
}

// endedByClient returns the log line of a client that closes its connection.
func endedByClient(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	_, _ = c.Write(readinessQuery(0))
	c.readFrame(t)
	_ = c.Close()
	return endedLine(t, c)
}

// endedInFrame returns the log line of a client that closes its connection in the middle of a frame.
func endedInFrame(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	_, _ = c.Write(readinessQuery(0)[:5])
	_ = c.Close()
	return endedLine(t, c)
}

// endedBySocket returns the log line of a client whose socket fails.
func endedBySocket(t *testing.T) string {
	t.Helper()
	near, far := net.Pipe()
	return endedLine(t, newTestConnOver(t, brokenSocket{near}, far, true))
}

// endedByUnreadAnswers returns the log line of a client that sends queries and does not read the replies.
func endedByUnreadAnswers(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3000 { // more than the output ring buffer and the queue can hold
			if _, err := c.Write(readinessQuery(0)); err != nil {
				return
			}
		}
	}()
	now := clock.Now()
	c.untilDone(func() {
		now = now.Add(outputStallTimeout / 10)
		c.sweep(now)
	})
	<-written
	return endedLine(t, c, "bytes_received", "bytes_sent", "unread_bytes", "unsent_bytes")
}

// endedByStall returns the log line of a client that reads no byte of a response while memory is nearly used up.
func endedByStall(t *testing.T) string {
	t.Helper()
	c := newTestConn(t, true)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	body := c.Admission.Bodies.TryAllocateResponse(nil, 200_000)
	useUpBodies(t, c.Admission.Bodies)
	r.ResponseWriter.Respond(r, request.Response{Body: body})
	c.untilDone(func() { c.sweep(clock.Now().Add(2 * memoryStallTimeout)) })
	return endedLine(t, c)
}

// Guards against a log line that misleads operators because it names the wrong cause for the end of a client
// connection, or lacks a field. The complete line is compared for each end code of a client.
func TestGoldenEndedLines(t *testing.T) {
	query := readinessQuery(0)
	var lines strings.Builder
	for _, test := range []struct {
		what string
		line func(t *testing.T) string
	}{
		{"no first frame", endedBySweep(nil, firstFrameTimeout)},
		{"partial first frame", endedBySweep(query[:5], firstFrameTimeout+partialFrameTimeout)},
		{"partial frame", endedBySweep(slices.Concat(query, query[:5]), partialFrameTimeout)},
		{"idle", endedBySweep(query, idleTimeout)},
		{"evicted", endedByEviction},
		{"violation of the protocol", endedByViolation},
		{"over the limit of connections", endedOverLimit},
		{"shutdown", endedByShutdown},
		{"panic", endedByPanic},
		{"closed by the client", endedByClient},
		{"cut in the middle of a frame", endedInFrame},
		{"any other error of the socket", endedBySocket},
		{"sends and reads nothing", endedByUnreadAnswers},
		{"takes nothing while memory is short", endedByStall},
	} {
		fmt.Fprintf(&lines, "# %s\n%s", test.what, test.line(t))
	}
	compareGolden(t, "ended_lines.txt", lines.String())
}

// canceled returns a context that is already canceled.
func canceled(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// transcript records the frames that a client receives, one per line in hexadecimal.
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

// end records the remaining output and that the router has closed its side.
func (s *transcript) end(t *testing.T) {
	t.Helper()
	rest, err := io.ReadAll(s)
	require.NoError(t, err, "the connection must end without a reset")
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

// readiness records the replies before and after the router is ready.
func (s *transcript) readiness(t *testing.T, query []byte) {
	t.Helper()
	s.step("readiness: no, then yes")
	for range 2 {
		_, _ = s.Write(query)
		s.frame(t)
		s.Admission.SetReady()
	}
}

// responses records each type of response.
func (s *transcript) responses(t *testing.T) {
	t.Helper()
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
}

// malformedRequests records the responses to requests that cannot be decoded.
func (s *transcript) malformedRequests(t *testing.T) {
	t.Helper()
	s.step("malformed requests: no field, too large, unknown class")
	_, _ = s.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, 20, 1), 9))
	s.frame(t)
	_, _ = s.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, 21, clientproto.MaxRequestBytes+1),
		make([]byte, clientproto.MaxRequestBytes+1)...))
	s.frame(t)
	_, _ = s.Write([]byte(strings.Replace(string(requestFrame(22, "aa")), "page", "what", 1)))
	s.frame(t)
}

// rejectedRequests records the responses when the queue is full, and when memory is used up.
func (s *transcript) rejectedRequests(t *testing.T) {
	t.Helper()
	s.step("no room in the queue")
	s.sink.accept = func() bool { return false }
	_, _ = s.Write(requestFrame(23, "ab"))
	s.frame(t)
	s.sink.accept = nil
	s.step("memory is short")
	free := useUpBodies(t, s.Admission.Bodies)
	_, _ = s.Write(requestFrame(24, "ac"))
	s.frame(t)
	free()
}

// drain records a drain, a request that arrives during it, and the close.
func (s *transcript) drain(t *testing.T, query []byte) {
	t.Helper()
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
}

// violation records the close of a connection after a protocol violation while a request is open.
func (s *transcript) violation(t *testing.T) {
	t.Helper()
	s.step("violation with a request open: error on stream 0, then the response, then the end")
	r := s.request(t, 1, "aa")
	_, _ = s.Write(requestFrame(1, "bb"))
	s.frame(t)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{ETag: "e3"}))
	s.end(t)
}

// Guards against an incompatible change of the protocol, which breaks deployed clients. The bytes of a session are
// compared: readiness, each type of response, a rejected request, GOAWAY, a graceful close and a protocol violation.
func TestGoldenSession(t *testing.T) {
	s := &transcript{testClient: newTestConnOverTCP(t, ignoreSocket, ignoreSocket)}
	query := readinessQuery(7)
	s.readiness(t, query)
	s.responses(t)
	s.malformedRequests(t)
	s.rejectedRequests(t)
	s.drain(t, query)

	s.testClient = newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	s.violation(t)

	compareGolden(t, "session.txt", s.text.String())
}

// A client over the connection limit must be able to recognize the reason. The bytes that it receives are compared.
func TestGoldenOverLimit(t *testing.T) {
	s := &transcript{testClient: newTestConn(t, false)}
	s.frame(t)
	s.end(t)
	compareGolden(t, "over_limit.txt", s.text.String())
}
