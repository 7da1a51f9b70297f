package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// An endpoint may respond to a later attempt first, or with an unknown id. Each response must end the attempt with its
// id; a response with an unknown id is counted and discarded, and the connection stays open.
func TestOutOfOrderResponsesMatchByID(t *testing.T) {
	s := newTestPool(t)
	a, b := s.send("a", 0), s.send("b", 0)
	endpointConn := <-s.dialed
	r := bufio.NewReader(endpointConn)
	assert.Equal(t, "do a", readCommand(t, r))
	assert.Equal(t, "do b", readCommand(t, r))
	_, _ = io.WriteString(endpointConn, "b served digest=d,dated=1,remark=h 3\r\nxyz\r\n"+
		"zz served - 2\r\nno\r\n"+
		"a not_here - 0\r\n\r\n")
	e := s.nextEnd()
	assert.Equal(t, b, e.Attempt)
	assert.Equal(t, "xyz", string(e.End.Body.Bytes))
	assert.Equal(t, routing.CacheHit, e.End.Detail)
	assert.EqualValues(t, 3, s.Admission.Bodies.UsedBytes())
	e.End.Body.Free()
	e.End.Body.Free()
	assert.Zero(t, s.Admission.Bodies.UsedBytes())
	assert.Equal(t, endedWith(a, routing.CacheMiss), s.nextEnd())
	assert.EqualValues(t, 1, s.Metrics.Value("upstream_late_responses_total")) //nolint:testifylint // exact by intent
	assert.Equal(t, 1, s.ConnectionCount(), "one connection carries both")
}

// A connection breaks after one attempt was sent completely and another only in part. Only the complete one may have
// run: if the other were reported like that, it could not be retried, and in the opposite case the first could run
// twice.
func TestBrokenConnectionEndsCompleteAndPartialAttempts(t *testing.T) {
	s := newTestPool(t)
	complete, partial := s.send("a", 0), s.send("b", 200_000)
	endpointConn := <-s.dialed
	assert.Equal(t, "do a", readCommand(t, bufio.NewReaderSize(endpointConn, 16))) // and some of b
	_ = endpointConn.Close()
	ends := s.nextTwoResults()
	assert.Len(t, ends, 2)
	assert.Equal(t, routing.ConnectionBroken, ends[complete])
	assert.Equal(t, routing.ConnectFailed, ends[partial])
}

// An endpoint closes a connection just before an attempt is written. An attempt of which nothing was written must end
// as not sent, and not as a failure of the endpoint.
func TestUnwrittenAttemptOnClosedConnectionIsNotSent(t *testing.T) {
	s := newTestPool(t)
	s.MaxAttemptsPerConnection = 3
	s.send("a", 200_000) // blocks the writer goroutine
	b := s.send("b", 0)
	endpointConn := <-s.dialed
	_, _ = endpointConn.Read(make([]byte, 16))
	_ = endpointConn.Close()
	ends := s.nextTwoResults()
	assert.Equal(t, routing.NotSent, ends[b])
}

// An endpoint closes the connection in the middle of a body. The client must not receive the truncated object as
// complete: the attempt ends as broken, and the memory of the body is released.
func TestTruncatedBodyBreaksAttempt(t *testing.T) {
	s := newTestPool(t)
	s.send("a", 0)
	endpointConn := <-s.dialed
	readCommand(t, bufio.NewReader(endpointConn))
	_, _ = io.WriteString(endpointConn, "a served digest=d,dated=1 10\r\nhalf")
	_ = endpointConn.Close()
	assert.Equal(t, request.AttemptEnd{Result: routing.ConnectionBroken}, s.nextEnd().End)
	assert.Zero(t, s.Admission.Bodies.UsedBytes())
}

// A dial is refused, times out, or fails for lack of descriptors on this machine. The request has not run in any of
// these cases, so the attempt ends with a result that allows a retry. A lack of descriptors does not count against the
// endpoint.
func TestFailedDialAllowsRetry(t *testing.T) {
	for cause, result := range map[error]routing.AttemptResult{
		syscall.ECONNREFUSED: routing.ConnectFailed,
		nil:                  routing.ConnectFailed,
		syscall.EMFILE:       routing.NotSent,
	} {
		s := newTestPool(t)
		s.ConnectTimeout = 20 * time.Millisecond
		s.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			if cause == nil { // an endpoint that does not respond
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return nil, cause
		}
		c := s.send("a", 0)
		assert.Equal(t, endedWith(c, result), s.nextEnd())
		assert.Equal(t, ConnectionClosed{Connection: c.Connection()}, <-s.events)
		s.RemoveConnection(c.Connection())
		assert.Zero(t, s.ConnectionCount())
	}
}

// An attempt is cancelled before or after its line is written. Before, nothing must be written, as nobody waits for the
// attempt. After, a cancel line is sent, and the id is not reused on that connection, because a late response could be
// mistaken for the response to a new attempt.
func TestCancelBeforeAndAfterWrite(t *testing.T) {
	s := newTestPool(t)
	releaseDials := s.holdDials()
	a := s.send("a", 0)
	b := s.send("b", 0)
	result, immediate := s.Cancel(a, routing.Cancelled)
	assert.True(t, immediate && result == routing.NotSent, "nothing of the attempt was written")
	close(releaseDials)
	endpointConn := <-s.dialed
	r := bufio.NewReader(endpointConn)
	assert.Equal(t, "do b", readCommand(t, r), "nothing of the cancelled attempt is written later")
	c := s.send("c", 0)
	assert.Equal(t, "do c", readCommand(t, r))
	_, immediate = s.Cancel(b, routing.Cancelled)
	assert.False(t, immediate)
	assert.Equal(t, "undo b", readCommand(t, r))
	assert.Equal(t, endedWith(b, routing.Cancelled), s.nextEnd())
	_, _ = io.WriteString(endpointConn, "b served - 4\r\nlate\r\nc overload - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.Overloaded), s.nextEnd(), "late responses to cancelled attempts are discarded")
	again := s.send("b", 0, b.Connection())
	assert.NotSame(t, b.Connection(), again.Connection(), "the id is not used again where a response may still come")
}

// A cancelled attempt that was already written must end only after its cancel line is written. A retry that starts
// earlier would run concurrently with it. If the endpoint does not read, the attempt ends with the connection.
func TestCancelledAttemptEndsAfterCancelIsWritten(t *testing.T) {
	for _, reads := range []bool{true, false} {
		s := newTestPool(t)
		s.MaxAttemptsPerConnection = 3
		a := s.send("a", 0)
		endpointConn := <-s.dialed
		r := bufio.NewReader(iotest.OneByteReader(endpointConn))
		assert.Equal(t, "do a", readCommand(t, r))
		s.send("b", 200_000)
		_, _ = r.ReadByte() // the writer goroutine is busy with b
		_, immediate := s.Cancel(a, routing.TimedOut)
		assert.False(t, immediate)
		assert.Empty(t, s.events)
		if reads { // read quickly: an attempt that is not accepted in time ends its connection
			r = bufio.NewReader(endpointConn)
			_, _ = io.CopyN(io.Discard, r, 200_000)
			for line := ""; line != "undo a\r\n"; line, _ = r.ReadString('\n') {
				assert.Empty(t, s.events)
			}
		} else {
			_ = endpointConn.Close()
		}
		assert.Equal(t, endedWith(a, routing.TimedOut), s.nextEnd())
	}
}

// All attempts on a connection fail with it, so their number is limited. Above the limit a new connection is opened.
func TestAttemptsPerConnectionAreLimited(t *testing.T) {
	s := newTestPool(t)
	a, b, c := s.send("a", 0), s.send("b", 0), s.send("c", 0)
	assert.Same(t, a.Connection(), b.Connection())
	assert.NotSame(t, a.Connection(), c.Connection())
}

// A malformed response ends its connection and all attempts on it. No attempt shares a connection while descriptors are
// available, so only one attempt is lost.
func TestProtocolErrorEndsOneAttemptOnly(t *testing.T) {
	s := newTestPool(t)
	s.Admission = admission.New(64, 256)
	a := s.send("a", 0)
	endpointConn := <-s.dialed
	b := s.send("b", 0)
	other := <-s.dialed
	readCommand(t, bufio.NewReader(endpointConn))
	readCommand(t, bufio.NewReader(other))
	_, _ = io.WriteString(endpointConn, "a served digest=\x00\r\n")
	assert.Equal(t, endedWith(a, routing.ConnectionBroken), s.nextEnd())
	_, _ = io.WriteString(other, "b not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(b, routing.CacheMiss), s.nextEnd())
	assert.Same(t, b.Connection(), s.send("c", 0).Connection(), "an idle connection is used again")
}

// A health check asks for the load report and returns it. A health check of an unknown endpoint is not sent.
func TestHealthCheckReturnsLoadReport(t *testing.T) {
	s := newTestPool(t)
	s.RequestLoadReports = true
	c := s.SendHealthCheck("m", testOwner("owner"))
	endpointConn := <-s.dialed
	assert.Equal(t, "top check1", readCommand(t, bufio.NewReader(endpointConn)))
	_, _ = io.WriteString(endpointConn, "check1 green report=util:0.5 0\r\n\r\n")
	end := request.AttemptEnd{LoadReport: []routing.LoadMetric{{Name: "util", Value: 0.5}}}
	assert.Equal(t, AttemptEnded{Attempt: c, End: end}, s.nextEnd())
	assert.Nil(t, s.SendHealthCheck("nobody", nil))
}

// Attempts must not use all descriptors of the process, or no client could connect. Above the limit no connection is
// opened, and the attempt is not sent.
func TestEndpointDescriptorsAreLimited(t *testing.T) {
	s := newTestPool(t)
	s.Admission = admission.New(64, 5) // two for endpoints
	s.MaxAttemptsPerConnection = 0
	assert.NotNil(t, s.send("a", 0))
	assert.NotNil(t, s.send("b", 0))
	assert.Nil(t, s.send("c", 0))
}

// A client disconnects while its attempt waits for a connection or in the write queue. The attempt must not be written,
// even before the event loop has handled the disconnect. Other attempts on the connection continue.
func TestAttemptOfDisconnectedClientIsNotWritten(t *testing.T) {
	s := newTestPool(t)
	releaseDials := s.holdDials()
	a := s.send("a", 0)
	b := s.send("b", 0)
	a.request.Cancel()
	close(releaseDials)
	r := bufio.NewReader(<-s.dialed)
	assert.Equal(t, "do b", readCommand(t, r))
	assert.Equal(t, endedWith(a, routing.NotSent), s.nextEnd())
	_, immediate := s.Cancel(a, routing.Cancelled)
	assert.True(t, immediate, "no cancel line is written")
	assert.NotNil(t, b.Connection())
}

// An endpoint sends a response with the id of an attempt that is still queued. If it ended the attempt, the attempt
// would be written after its end and run concurrently with the next one. The response is discarded, and the attempt is
// written and receives its own response.
func TestResponseToQueuedAttemptIsDiscarded(t *testing.T) {
	for name, stray := range map[string]string{
		"refusal": "b overload - 0\r\n\r\n",
		"body":    "b served digest=d,dated=1 5\r\nstray\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestPool(t)
			s.MaxAttemptsPerConnection = 3
			s.Admission.AdmitEndpointConn(true) // so that both attempts share a connection
			s.send("a", 20_000)
			endpointConn := <-s.dialed
			reader := bufio.NewReaderSize(endpointConn, 16)
			_, _ = reader.ReadByte() // the writer goroutine is busy with a
			b := s.send("b", 0)
			_, _ = io.WriteString(endpointConn, stray)
			_, _ = reader.ReadString('\n')
			_, _ = io.CopyN(io.Discard, reader, 20_002)
			assert.Equal(t, "do b", readCommand(t, reader))
			//nolint:testifylint // exact by intent
			assert.EqualValues(t, 1, s.Metrics.Value("upstream_late_responses_total"))
			_, _ = io.WriteString(endpointConn, "b served digest=d,dated=1 2\r\nok\r\n")
			end := s.nextEnd()
			assert.Equal(t, b, end.Attempt)
			assert.Equal(t, "ok", string(end.End.Body.Bytes))
		})
	}
}

// A response starts before the attempt with its id is written and is complete only afterwards. It must not end the
// attempt, which would continue to run: the start of the response decides.
func TestResponseStartedBeforeAttemptIsDiscarded(t *testing.T) {
	s := newTestPool(t)
	s.MaxAttemptsPerConnection = 3
	s.Admission.AdmitEndpointConn(true) // so that both attempts share a connection
	s.send("a", 20_000)
	endpointConn := <-s.dialed
	reader := bufio.NewReaderSize(endpointConn, 16)
	_, _ = reader.ReadByte() // the writer goroutine is busy with a
	b := s.send("b", 0)
	_, _ = io.WriteString(endpointConn, "b served digest=d,da")
	_, _ = reader.ReadString('\n')
	_, _ = io.CopyN(io.Discard, reader, 20_002)
	assert.Equal(t, "do b", readCommand(t, reader))
	_, _ = io.WriteString(endpointConn, "ted=1 5\r\nstray\r\nb served digest=d,dated=1 2\r\nok\r\n")
	end := s.nextEnd()
	assert.Equal(t, b, end.Attempt)
	assert.Equal(t, "ok", string(end.End.Body.Bytes))
	assert.InDelta(t, 1, s.Metrics.Value("upstream_late_responses_total"), 0)
}

// The reader goroutine waits for memory for each of several response bodies in turn. A delayed attempt on that
// connection must not wait for as long: it is written within maxReaderWait.
func TestBlockedReaderDoesNotBlockDelayedAttempt(t *testing.T) {
	waiting := []string{"a1", "a2", "a3"} // their responses hold the reader for three times maxShareWait
	s := newTestPool(t)
	s.MaxAttemptsPerConnection = len(waiting) + 2
	s.Admission.AdmitEndpointConn(true) // so that all attempts share a connection
	s.send(waiting[0], 0)
	endpointConn := <-s.dialed
	reader := bufio.NewReaderSize(endpointConn, 16)
	assert.Equal(t, "do "+waiting[0], readCommand(t, reader))
	for _, id := range waiting[1:] {
		s.send(id, 0)
		assert.Equal(t, "do "+id, readCommand(t, reader))
	}
	const response = " served digest=d,dated=1 5\r\nstray\r\n"
	responses := strings.Join(waiting, response) + response
	s.Admission.Bodies = request.NewBodyBudget(100)
	for s.Admission.Bodies.TryAllocateResponse(nil, 1) != nil { // until there is no room
	}
	s.send("b", 20_000)
	_, _ = reader.ReadByte() // the writer goroutine is busy with b before the reader waits, so that b is not delayed
	startedAt := time.Now()
	_, _ = io.WriteString(endpointConn, responses)
	s.send("c", 0)
	_, _ = reader.ReadString('\n')
	_, _ = io.CopyN(io.Discard, reader, 20_002)
	assert.Equal(t, "do c", readCommand(t, reader))
	waited := time.Since(startedAt)
	assert.Less(t, waited, 2*maxReaderWait)
	assert.Greater(t, waited, maxReaderWait/2, "the reader did not wait for body memory")
}
