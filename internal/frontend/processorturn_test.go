package frontend

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// socketAllowance is what the protocol adds to each time limit for the way over a socket.
const socketAllowance = 50 * time.Millisecond

// malformedFrames returns requests that cannot be decoded, on the streams from a first one.
func malformedFrames(first uint32, count int) []byte {
	var frames []byte
	for stream := range uint32(count) {
		frames = append(frames, requestFrame(first+stream, "zz")...)
	}
	return frames
}

// useUpPlaces takes all places of requests, and returns a function that gives them back.
func useUpPlaces(c *testClient) (free func()) {
	var taken []*request.Request
	for {
		r := &request.Request{Share: &request.Share{}}
		if c.Admission.TryAdmitRequest(r) != request.ReasonNone {
			break
		}
		taken = append(taken, r)
	}
	return func() {
		for _, r := range taken {
			r.Done()
			c.Admission.RequestDone()
		}
	}
}

// refusalCase is a reason for which requests are refused as they are read.
type refusalCase struct {
	name    string
	prepare func(t *testing.T, c *testClient) (restore func())
	frame   func(stream uint32, id string) []byte
	wait    time.Duration // for which the reader may wait for room before it refuses

	maxPerSecond int
}

func usualFrame(stream uint32, id string) []byte { return requestFrame(stream, id) }

func refusalCases() []refusalCase {
	nothing := func() {}
	return []refusalCase{
		{"malformed", nil, func(stream uint32, _ string) []byte { return requestFrame(stream, "zz") }, 0, 400},
		{"unknown class", nil, func(stream uint32, id string) []byte {
			return bytes.Replace(requestFrame(stream, id), []byte("\x04page"), []byte("\x04what"), 1)
		}, 0, 400},
		{"too large", nil, func(stream uint32, _ string) []byte {
			header := clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, clientproto.MaxRequestBytes+1)
			return append(header, make([]byte, clientproto.MaxRequestBytes+1)...)
		}, 0, 40},
		{"readiness query", nil, func(stream uint32, _ string) []byte { return readinessQuery(stream) }, 0, 400},
		{"too many streams", func(_ *testing.T, c *testClient) func() {
			for stream := uint32(1); stream <= maxOpenRequests; stream++ {
				_, _ = c.Write(requestFrame(stream, fmt.Sprintf("%02x", stream)))
				<-c.sink.arrived
			}
			return nothing
		}, usualFrame, 0, 400},
		{"memory short", func(t *testing.T, c *testClient) func() {
			t.Helper()
			return useUpBodies(t, c.Admission.Bodies)
		}, usualFrame, maxShareWait, 400},
		{"too many requests", func(_ *testing.T, c *testClient) func() {
			return useUpPlaces(c)
		}, usualFrame, maxShareWait, 400},
		{"queue full", func(_ *testing.T, c *testClient) func() {
			c.sink.accept = func() bool { return false }
			return nothing
		}, usualFrame, 0, 400},
		{"ending", func(_ *testing.T, c *testClient) func() {
			c.Admission.StartEnding()
			return nothing
		}, usualFrame, 0, 400},
	}
}

// Guards against a refusal that is sent later than it is known, at any rate of requests: the client's time passes
// meanwhile, and it could have gone elsewhere. Each request is sent again as soon as it is refused; both must be
// answered within the time that a frame takes on a socket.
func TestRefusalsComeAtOnce(t *testing.T) {
	for _, test := range refusalCases() {
		for _, perSecond := range []int{8, 40, 120, 400} {
			if perSecond > test.maxPerSecond {
				continue
			}
			t.Run(fmt.Sprintf("%s at %d a second", test.name, perSecond), func(t *testing.T) {
				t.Parallel()
				c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
				if test.prepare != nil {
					_, _ = c.Write(readinessQuery(1<<30 + 1))
					c.readFrame(t) // the connection is registered
					defer test.prepare(t, c)()
				}
				load := &refusalLoad{client: c, refusalCase: test, sentAt: map[uint32]time.Time{}}
				load.play(t, perSecond)
				for name, times := range map[string][]time.Duration{"first": load.first, "again": load.repeated} {
					slices.Sort(times)
					median := times[len(times)/2]
					assert.LessOrEqual(t, median, test.wait+socketAllowance, "median of those sent %s", name)
				}
			})
		}
	}
}

// refusalLoad sends requests that are refused, whether or not the earlier ones are answered, and each of them once more
// as soon as it is.
type refusalLoad struct {
	refusalCase
	client *testClient

	mu     sync.Mutex // guards sentAt, and the writes to the socket
	sentAt map[uint32]time.Time

	first, repeated []time.Duration // times to the refusal
}

// Streams of the first tries are even; that of the repeat is the next one.
const (
	firstRefusedStream = 1000
	refusalLoadTime    = 400 * time.Millisecond
)

// play sends requests at a rate, and returns when all are answered.
func (l *refusalLoad) play(t *testing.T, perSecond int) {
	t.Helper()
	count := max(int(refusalLoadTime.Seconds()*float64(perSecond)), 3)
	go func() {
		begun := time.Now()
		for i := range count {
			time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
			l.send(firstRefusedStream + 2*uint32(i))
		}
	}()
	for len(l.repeated) < count {
		kind, stream, payload := l.client.readFrame(t)
		if kind == clientproto.TypeGoAway {
			continue
		}
		if kind == clientproto.TypeResponse {
			assert.Contains(t, []byte{0, 9}, payload[0], "refused or failed")
		}
		l.mu.Lock()
		took := time.Since(l.sentAt[stream])
		l.mu.Unlock()
		if stream%2 == 1 {
			l.repeated = append(l.repeated, took)
			continue
		}
		l.first = append(l.first, took)
		l.send(stream + 1)
	}
}

func (l *refusalLoad) send(stream uint32) {
	frame := l.frame(stream, "ff")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAt[stream] = time.Now()
	_, _ = l.client.Write(frame) // the reader notices an error
}

// Guards against requests that are read late because the reader waits after others that cannot be used, and against
// answers that are held back: what stands behind refused requests must be read, and all must be answered, at once.
func TestReaderReadsOnBehindRefusedRequests(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	const refused = 28
	_, _ = c.Write(append(malformedFrames(1, refused), requestFrame(99, "aa")...))
	sentAt := time.Now()
	r := <-c.sink.arrived
	assert.Less(t, time.Since(sentAt), socketAllowance, "it stands behind refused ones")
	for range refused {
		c.readFrame(t)
	}
	assert.Less(t, time.Since(sentAt), 2*socketAllowance, "none of them waits")
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 99, 0))
	assert.Equal(t, r, <-c.sink.cancelled)
}

// Guards against a flood that costs a system call for each of its frames: the answers to those that arrive together
// must be written together.
func TestAnswersToAFloodAreWrittenTogether(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	const refused = 32
	_, _ = c.Write(malformedFrames(1, 1))
	c.readFrame(t)
	before := c.socket.writes.Load()
	go func() { _, _ = c.Write(malformedFrames(2, refused)) }()
	for range refused {
		c.readFrame(t)
	}
	assert.Less(t, c.socket.writes.Load()-before, int64(refused/4))
}

// Guards against one client whose flood takes the processor time of others: after a frame that the reader answers
// itself, the next one must wait for the turn that all such readers share.
func TestFloodsTakeTurns(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	require.NoError(t, c.Admission.AwaitTurn(t.Context())) // another flood has the turn
	_, _ = c.Write(append(requestFrame(1, "aa"), requestFrame(2, "bb")...))
	early := []*request.Request{<-c.sink.arrived, <-c.sink.arrived}
	sentAt := time.Now()
	_, _ = c.Write(malformedFrames(3, 2))
	for stream := range uint32(2) {
		_, on, _ := c.readFrame(t)
		assert.Equal(t, 3+stream, on)
		waited := time.Since(sentAt) >= maxTurnWait
		assert.Equal(t, stream > 0, waited, "the first one is answered at once, the next one waits")
	}
	c.Admission.EndTurn()
	require.NoError(t, c.Admission.AwaitTurn(t.Context()))
	cancel := clientproto.AppendHeader(nil, clientproto.TypeCancel, 1, 0)
	_, _ = c.Write(append(malformedFrames(8, 1), cancel...))
	assert.Equal(t, early[0], <-c.sink.cancelled, "a cancel needs no turn")
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 8, stream)
	c.Admission.EndTurn()
	for _, r := range early[1:] {
		r.ResponseWriter.Respond(r, request.Response{})
		c.readFrame(t)
	}
	assert.Eventually(t, c.Admission.TryTurn, time.Minute, time.Millisecond, "the reader that waits for input has none")
	c.Admission.EndTurn()
	_, _ = c.Write(append(malformedFrames(5, 1), requestFrame(6, "cc")...))
	r := <-c.sink.arrived
	assert.Eventually(t, c.Admission.TryTurn, time.Minute, time.Millisecond)
	_, _ = c.Write(requestFrame(7, "dd"))
	assert.Equal(t, uint32(7), (<-c.sink.arrived).StreamID, "after a request that was admitted none needs a turn")
	c.Admission.EndTurn()
	assert.EqualValues(t, 6, r.StreamID)
}

// Guards against a client that takes the turn and then sends nothing, or has to wait for room: no other client's
// refused requests would be answered.
func TestTurnIsNotKeptWhileTheReaderBlocks(t *testing.T) {
	for name, block := range map[string]func(t *testing.T, c *testClient) (frames []byte){
		"half a header": func(*testing.T, *testClient) []byte { return readinessQuery(9)[:5] },
		"half a frame":  func(*testing.T, *testClient) []byte { return requestFrame(9, "aa")[:40] },
		"no room": func(t *testing.T, c *testClient) []byte {
			t.Helper()
			t.Cleanup(useUpBodies(t, c.Admission.Bodies))
			return requestFrame(9, "aa")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
			_, _ = c.Write(readinessQuery(1))
			c.readFrame(t)
			_, _ = c.Write(append(readinessQuery(2), block(t, c)...))
			c.readFrame(t)
			assert.Eventually(t, c.Admission.TryTurn, maxShareWait/2, 100*time.Microsecond)
			c.Admission.EndTurn()
		})
	}
}

// Guards against a client that goes on and on with requests that break the protocol, since nothing stops it,
// and against a GOAWAY that is sent because the router has no room.
func TestClientThatMisusesItsConnectionGetsGoAway(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	go func() {
		_, _ = c.Write(malformedFrames(1, maxMisusesInRow-1))
		_, _ = c.Write(requestFrame(1000, "aa"))
		_, _ = c.Write(malformedFrames(2000, 2*maxMisusesInRow))
	}()
	var goAwayAfter []int
	for i := range 3*maxMisusesInRow - 1 {
		if kind, _, _ := c.readFrame(t); kind == clientproto.TypeGoAway {
			goAwayAfter = append(goAwayAfter, i)
			c.readFrame(t)
		}
	}
	r := <-c.sink.arrived
	require.Len(t, goAwayAfter, 1, "once, counted from the last request that could be used")
	assert.GreaterOrEqual(t, goAwayAfter[0], 2*maxMisusesInRow-2)
	r.ResponseWriter.Respond(r, request.Response{})
	c.readFrame(t)
	counter := misuseCounter(0)
	for range 2 * maxMisusesInRow {
		assert.False(t, counter.exceededBy(request.ReasonTooManyRequests))
		assert.False(t, counter.exceededBy(request.ReasonMemoryShort))
	}
}

// Guards against a client that has ever more answers queued by giving up what is refused, and against refused requests
// that are left open as the connection ends: each counts until it is answered or cancelled.
func TestRefusedRequestsCountUntilTheyAreAnswered(t *testing.T) {
	admitted := admission.New(64, 256)
	w := newResponseWriter(telemetry.New(io.Discard, ""), admitted)
	refuse := func(streamID uint32) {
		r := &request.Request{StreamID: streamID}
		admitted.CountRequest()
		w.open(r)
		require.True(t, w.queueAnswer(r, request.Response{Reason: request.ReasonMalformed}))
	}
	for stream := range uint32(maxFrames) {
		assert.False(t, w.full())
		refuse(stream + 1)
	}
	assert.True(t, w.full())
	assert.Nil(t, w.cancel(1, request.CancelledByClient), "the event loop has never had it")
	assert.Equal(t, maxFrames-1, w.queue.Len(), "its answer is not sent")
	w.queueControl(bytes.Clone([]byte("control")))
	assert.True(t, w.full())
	assert.True(t, w.busy())
	w.limitOutput(clock.Now())
	refuse(101)
	assert.Equal(t, maxFrames+1, w.queue.Len(), "at the end of the process all are sent")
	handedOver, _ := w.close()
	require.Empty(t, handedOver, "the event loop has none of them")
	assert.Zero(t, admitted.OpenRequests())
}
