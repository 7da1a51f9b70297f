package frontend

import (
	"bytes"
	"io"
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

// malformedFrames returns requests that cannot be decoded, on the first streams.
func malformedFrames(count int) []byte {
	var frames []byte
	for stream := range uint32(count) {
		frames = append(frames, requestFrame(stream+1, "zz")...)
	}
	return frames
}

// Guards against a client that floods the router with frames that cost it nothing: of those in a row only the first
// ones are answered at once, the others one by one, but none later than a part of the client's time.
func TestAnswersToFruitlessFramesAreSpaced(t *testing.T) {
	var pacer answerPacer
	now := clock.FromSeconds(100)
	for range freeFruitlessFrames {
		assert.Equal(t, now, pacer.answerAt(now, now))
	}
	for i := range 3 {
		assert.Equal(t, now.Add(time.Duration(i+1)*fruitlessAnswerInterval), pacer.answerAt(now, now))
	}
	pacer.noteTimeout(800 * time.Millisecond)
	pacer.noteTimeout(time.Hour)
	for range 30 {
		assert.LessOrEqual(t, pacer.answerAt(now, now), now.Add(400*time.Millisecond))
	}
	arrivedAt := now.Add(-time.Second)
	assert.LessOrEqual(t, pacer.answerAt(now, arrivedAt), now, "it is late already")
	now = now.Add(2 * fruitlessInterval)
	assert.Equal(t, now, pacer.answerAt(now, now), "the client was quiet")
	pacer = answerPacer{shortestTimeout: time.Hour}
	for range 100 {
		assert.LessOrEqual(t, pacer.answerAt(now, now), now.Add(maxHoldTime))
	}
}

// Guards against requests that are read late because the reader waits after others that cannot be used: the reader
// must read on, and only their answers wait.
func TestReaderReadsOnBehindRefusedRequests(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	const refused = freeFruitlessFrames + 20
	_, _ = c.Write(append(malformedFrames(refused), requestFrame(99, "aa")...))
	sentAt := time.Now()
	r := <-c.sink.arrived
	assert.Less(t, time.Since(sentAt), fruitlessAnswerInterval, "it stands behind refused ones")
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 99, 0))
	assert.Equal(t, r, <-c.sink.cancelled)
	for range refused {
		c.readFrame(t)
	}
	assert.Greater(t, time.Since(sentAt), minHoldTime/2, "their answers are held back")
}

// Guards against a client that raises its pace by giving up what is refused, and against answers that are held back as
// the connection or the process ends: a cancelled one counts until it was due, and the end sends or drops all.
func TestHeldResponsesAreCancelledAndEnded(t *testing.T) {
	admitted := admission.New(64, 256)
	w := newResponseWriter(telemetry.New(io.Discard, ""), admitted)
	later := clock.Now().Add(time.Hour)
	hold := func(streamID uint32) {
		r := &request.Request{StreamID: streamID}
		admitted.CountRequest()
		w.open(r)
		w.respondAt(later, r, request.Response{Reason: request.ReasonMalformed})
	}
	for stream := range uint32(maxFrames) {
		assert.False(t, w.full())
		hold(stream + 1)
	}
	assert.True(t, w.full())
	assert.Nil(t, w.cancel(1, request.CancelledByClient), "the event loop has never had it")
	assert.True(t, w.full(), "it counts until its answer was due")
	assert.False(t, w.hasUnwritten())
	w.releaseHeld(later)
	assert.Equal(t, maxFrames-1, w.queue.Len(), "all are sent but the cancelled one")
	hold(100)
	w.sendControlAt(later, bytes.Clone([]byte("control")))
	assert.True(t, w.busy())
	w.limitOutput(clock.Now())
	hold(101)
	assert.Equal(t, maxFrames, w.queue.Len(), "at the end of the process none is held back")
	require.Empty(t, w.close(), "the event loop has none of them")
	assert.Zero(t, admitted.OpenRequests())
}

// Guards against requests that are read late behind many that each wait for a short time: of the time, the reader may
// wait for a limited part only.
func TestWaitsOfTheReaderAreLimitedTogether(t *testing.T) {
	var budget waitBudget
	now := clock.FromSeconds(100)
	assert.Equal(t, maxShareWait, budget.available(now))
	var waited time.Duration
	for range 20 {
		wait := min(budget.available(now), maxShareWait/4)
		budget.spend(now, now.Add(wait))
		now, waited = now.Add(wait), waited+wait
	}
	assert.Equal(t, maxShareWait, waited, "no time passes between the waits")
	assert.Zero(t, budget.available(now))
	assert.Equal(t, time.Millisecond, budget.available(now.Add(2*time.Millisecond)))
	assert.Equal(t, maxShareWait, budget.available(now.Add(time.Hour)))
}
