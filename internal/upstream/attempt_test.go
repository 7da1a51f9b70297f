package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// An endpoint answers a later attempt first, and answers one that nobody knows. Responses could be handed to the wrong
// attempt, or break the connection. Each goes to the attempt with its id, and the unknown one is counted and dropped.
func TestResponsesComeInAnyOrder(t *testing.T) {
	s := newTestPool(t)
	a, b := s.send("a", 0), s.send("b", 0)
	far := <-s.dialed
	r := bufio.NewReader(far)
	assert.Equal(t, "do a", readCommand(t, r))
	assert.Equal(t, "do b", readCommand(t, r))
	_, _ = io.WriteString(far, "b served digest=d,dated=1,remark=h 3\r\nxyz\r\n"+
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

// A connection breaks in the middle of a request. Taken for one that may have run, it could not be repeated; taken for
// one that did not, it could run twice. Only what the socket took completely may have run.
func TestBrokenConnectionTellsWhatMayHaveRun(t *testing.T) {
	s := newTestPool(t)
	whole, part := s.send("a", 0), s.send("b", 200_000)
	far := <-s.dialed
	assert.Equal(t, "do a", readCommand(t, bufio.NewReaderSize(far, 16))) // and some of b
	_ = far.Close()
	ends := s.nextTwoResults()
	assert.Len(t, ends, 2)
	assert.Equal(t, routing.ConnectionBroken, ends[whole])
	assert.Equal(t, routing.ConnectFailed, ends[part])
}

// An endpoint closes an idle connection as an attempt is about to be written. The endpoint would be blamed for a
// failure. An attempt of which nothing was written ends as not sent.
func TestAttemptThatCrossesACloseIsNotSent(t *testing.T) {
	s := newTestPool(t)
	s.MaxAttemptsPerConnection = 3
	s.send("a", 200_000) // holds the writer up
	b := s.send("b", 0)
	far := <-s.dialed
	_, _ = far.Read(make([]byte, 16))
	_ = far.Close()
	ends := s.nextTwoResults()
	assert.Equal(t, routing.NotSent, ends[b])
}

// An endpoint closes in the middle of a body. The client would get half an object as if it were complete. The attempt
// ends as broken, and the memory of the body is given back.
func TestBodyCutShortIsBroken(t *testing.T) {
	s := newTestPool(t)
	s.send("a", 0)
	far := <-s.dialed
	readCommand(t, bufio.NewReader(far))
	_, _ = io.WriteString(far, "a served digest=d,dated=1 10\r\nhalf")
	_ = far.Close()
	assert.Equal(t, request.AttemptEnd{Result: routing.ConnectionBroken}, s.nextEnd().End)
	assert.Zero(t, s.Admission.Bodies.UsedBytes())
}

// A connection is refused, does not come up in time, or lacks a descriptor on this machine. In none of these the
// request ran. The attempt fails as one that can be repeated; a want of descriptors does not count against the
// endpoint.
func TestNoConnectionProvesThatNothingRan(t *testing.T) {
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

// An attempt is cancelled before its line is written, or after. A line that is written all the same would run for
// nobody, and a late response could be taken for that of a new attempt. Before, nothing is written; after, the endpoint
// is notified, and the id is not used again on that connection.
func TestCancel(t *testing.T) {
	s := newTestPool(t)
	hold := s.holdDials()
	a := s.send("a", 0)
	b := s.send("b", 0)
	result, atOnce := s.Cancel(a, routing.Cancelled)
	assert.True(t, atOnce && result == routing.NotSent, "nothing of it was written")
	close(hold)
	far := <-s.dialed
	r := bufio.NewReader(far)
	assert.Equal(t, "do b", readCommand(t, r), "and nothing of it will be")
	c := s.send("c", 0)
	assert.Equal(t, "do c", readCommand(t, r))
	_, atOnce = s.Cancel(b, routing.Cancelled)
	assert.False(t, atOnce)
	assert.Equal(t, "undo b", readCommand(t, r))
	assert.Equal(t, endedWith(b, routing.Cancelled), s.nextEnd())
	_, _ = io.WriteString(far, "b served - 4\r\nlate\r\nc overload - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.Overloaded), s.nextEnd(), "a late response to a cancelled attempt is dropped")
	again := s.send("b", 0, b.Connection())
	assert.NotSame(t, b.Connection(), again.Connection(), "the id is not used again where a response may still come")
}

// An attempt that its endpoint knows of is cancelled. A retry that starts before the endpoint was notified would be out
// at the same time. The attempt is over when the endpoint was notified, not before. Where the endpoint does not read,
// the end of the connection notifies it.
func TestCancelledAttemptEndsOnceTheEndpointIsTold(t *testing.T) {
	for _, reads := range []bool{true, false} {
		s := newTestPool(t)
		s.MaxAttemptsPerConnection = 3
		a := s.send("a", 0)
		far := <-s.dialed
		r := bufio.NewReader(iotest.OneByteReader(far))
		assert.Equal(t, "do a", readCommand(t, r))
		s.send("b", 200_000)
		_, _ = r.ReadByte() // the writer is busy with b
		_, atOnce := s.Cancel(a, routing.TimedOut)
		assert.False(t, atOnce)
		assert.Empty(t, s.events)
		if reads { // quickly: an attempt that is not taken in time ends its connection
			r = bufio.NewReader(far)
			_, _ = io.CopyN(io.Discard, r, 200_000)
			for line := ""; line != "undo a\r\n"; line, _ = r.ReadString('\n') {
				assert.Empty(t, s.events)
			}
		} else {
			_ = far.Close()
		}
		assert.Equal(t, endedWith(a, routing.TimedOut), s.nextEnd())
	}
}

// Too many attempts on one connection would all fail with it. Past the maximum a new connection is made.
func TestConnectionCarriesItsMaximumOfAttempts(t *testing.T) {
	s := newTestPool(t)
	a, b, c := s.send("a", 0), s.send("b", 0), s.send("c", 0)
	assert.Same(t, a.Connection(), b.Connection())
	assert.NotSame(t, a.Connection(), c.Connection())
}

// One malformed response ends its connection, and every attempt on it is lost. No attempt shares its connection while
// descriptors allow.
func TestProtocolErrorEndsItsOwnAttemptOnly(t *testing.T) {
	s := newTestPool(t)
	s.Admission = admission.New(64, 256)
	a := s.send("a", 0)
	far := <-s.dialed
	b := s.send("b", 0)
	other := <-s.dialed
	readCommand(t, bufio.NewReader(far))
	readCommand(t, bufio.NewReader(other))
	_, _ = io.WriteString(far, "a served digest=\x00\r\n")
	assert.Equal(t, endedWith(a, routing.ConnectionBroken), s.nextEnd())
	_, _ = io.WriteString(other, "b not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(b, routing.CacheMiss), s.nextEnd())
	assert.Same(t, b.Connection(), s.send("c", 0).Connection(), "an idle connection is used again")
}

// A health check asks for the load report and returns it. One of an unknown endpoint is not sent.
func TestHealthCheckBringsTheLoadReport(t *testing.T) {
	s := newTestPool(t)
	s.RequestLoadReports = true
	c := s.SendHealthCheck("m", testOwner("owner"))
	far := <-s.dialed
	assert.Equal(t, "top check1", readCommand(t, bufio.NewReader(far)))
	_, _ = io.WriteString(far, "check1 green report=util:0.5 0\r\n\r\n")
	end := request.AttemptEnd{LoadReport: []routing.LoadMetric{{Name: "util", Value: 0.5}}}
	assert.Equal(t, AttemptEnded{Attempt: c, End: end}, s.nextEnd())
	assert.Nil(t, s.SendHealthCheck("nobody", nil))
}

// Attempts would use every descriptor of the process, and no client could connect. Past the limit no connection is
// made, and the attempt is not sent.
func TestDescriptorsAreBounded(t *testing.T) {
	s := newTestPool(t)
	s.Admission = admission.New(64, 5) // two for endpoints
	s.MaxAttemptsPerConnection = 0
	assert.NotNil(t, s.send("a", 0))
	assert.NotNil(t, s.send("b", 0))
	assert.Nil(t, s.send("c", 0))
}

// An attempt waits for its connection, or for its turn on one, and its client is gone. It would run for nobody. It is
// not written, also before the event loop has heard of that, and others go on.
func TestNothingIsWrittenForADisconnectedClient(t *testing.T) {
	s := newTestPool(t)
	hold := s.holdDials()
	a := s.send("a", 0)
	b := s.send("b", 0)
	a.request.Cancel()
	close(hold)
	r := bufio.NewReader(<-s.dialed)
	assert.Equal(t, "do b", readCommand(t, r))
	assert.Equal(t, endedWith(a, routing.NotSent), s.nextEnd())
	_, atOnce := s.Cancel(a, routing.Cancelled)
	assert.True(t, atOnce, "and no line cancels it")
	assert.NotNil(t, b.Connection())
}

// An endpoint answers an attempt that still waits for its turn, so it cannot have seen it. Ended by that, the attempt
// would be written after its end and run beside the next one. The response is dropped, and the attempt is written and
// gets its own.
func TestResponseToAQueuedAttemptDoesNotEndIt(t *testing.T) {
	for name, stray := range map[string]string{
		"refusal": "b overload - 0\r\n\r\n",
		"body":    "b served digest=d,dated=1 5\r\nstray\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestPool(t)
			s.MaxAttemptsPerConnection = 3
			s.Admission.AdmitEndpointConn(true) // so that both share a connection
			s.send("a", 20_000)
			far := <-s.dialed
			reader := bufio.NewReaderSize(far, 16)
			_, _ = reader.ReadByte() // the writer is busy with a
			b := s.send("b", 0)
			_, _ = io.WriteString(far, stray)
			_, _ = reader.ReadString('\n')
			_, _ = io.CopyN(io.Discard, reader, 20_002)
			assert.Equal(t, "do b", readCommand(t, reader))
			//nolint:testifylint // exact by intent
			assert.EqualValues(t, 1, s.Metrics.Value("upstream_late_responses_total"))
			_, _ = io.WriteString(far, "b served digest=d,dated=1 2\r\nok\r\n")
			end := s.nextEnd()
			assert.Equal(t, b, end.Attempt)
			assert.Equal(t, "ok", string(end.End.Body.Bytes))
		})
	}
}

// A response begins before its attempt does and is complete only after it. Judged by when it is complete, it would end
// the attempt, which runs on. Where it began counts.
func TestResponseBegunBeforeItsAttemptDoesNotEndIt(t *testing.T) {
	s := newTestPool(t)
	s.MaxAttemptsPerConnection = 3
	s.Admission.AdmitEndpointConn(true) // so that both share a connection
	s.send("a", 20_000)
	far := <-s.dialed
	reader := bufio.NewReaderSize(far, 16)
	_, _ = reader.ReadByte() // the writer is busy with a
	b := s.send("b", 0)
	_, _ = io.WriteString(far, "b served digest=d,da")
	_, _ = reader.ReadString('\n')
	_, _ = io.CopyN(io.Discard, reader, 20_002)
	assert.Equal(t, "do b", readCommand(t, reader))
	_, _ = io.WriteString(far, "ted=1 5\r\nstray\r\nb served digest=d,dated=1 2\r\nok\r\n")
	end := s.nextEnd()
	assert.Equal(t, b, end.Attempt)
	assert.Equal(t, "ok", string(end.End.Body.Bytes))
	assert.InDelta(t, 1, s.Metrics.Value("upstream_late_responses_total"), 0)
}

// The reader of a connection waits for room for a body. An attempt that waited for its turn there would wait with it,
// for as long as others keep their bodies. It is written within maxReaderWait.
func TestAttemptIsNotHeldBackByAReaderThatWaitsForRoom(t *testing.T) {
	s := newTestPool(t)
	s.MaxAttemptsPerConnection = 3
	s.Admission.AdmitEndpointConn(true) // so that all share a connection
	s.send("a", 0)
	far := <-s.dialed
	reader := bufio.NewReaderSize(far, 16)
	assert.Equal(t, "do a", readCommand(t, reader))
	s.Admission.Bodies = request.NewBodyBudget(1)
	_, _ = io.WriteString(far, "a served digest=d,dated=1 5\r\n")
	s.send("b", 20_000)
	_, _ = reader.ReadByte() // the writer is busy with b
	s.send("c", 0)
	_, _ = reader.ReadString('\n')
	startedAt := time.Now()
	_, _ = io.CopyN(io.Discard, reader, 20_002)
	assert.Equal(t, "do c", readCommand(t, reader))
	waited := time.Since(startedAt)
	assert.Less(t, waited, 2*maxReaderWait)
	assert.Greater(t, waited, maxReaderWait/2, "the reader did not wait for room")
}
