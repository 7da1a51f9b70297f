package frontend

import (
	"io"
	"net"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testWindow is a response writer whose deferred requests are recorded when they are handed over.
type testWindow struct {
	*responseWriter
	t          *testing.T
	handedOver chan uint32
}

const (
	largeClass routing.ClassIndex = iota
	smallClass
)

const (
	windowBodyBytes = 200_000
	testObjective   = 250 * time.Millisecond
)

// newTestWindow returns a writer that knows that responses of largeClass have windowBodyBytes.
func newTestWindow(t *testing.T) *testWindow {
	t.Helper()
	w := &testWindow{
		responseWriter: newResponseWriter(telemetry.New(io.Discard, ""), admission.New(64, 256)),
		t:              t,
		handedOver:     make(chan uint32, 99),
	}
	w.handOver = func(r *request.Request) { w.handedOver <- r.StreamID }
	w.objectives = []time.Duration{largeClass: testObjective, smallClass: testObjective}
	w.window.sizes.record(&request.Request{Class: largeClass}, windowBodyBytes)
	w.window.sizes.record(&request.Request{Class: smallClass}, 100)
	t.Cleanup(func() {
		handedOver, _ := w.close()
		for _, r := range handedOver {
			release(r) // as the event loop does
		}
		assert.Zero(t, w.admission.Bodies.UsedBytes())
		assert.Zero(t, w.admission.OpenRequests())
	})
	return w
}

// open sends a request with a time limit, and returns it and whether it is handed over at once.
func (w *testWindow) open(streamID uint32, class routing.ClassIndex, timeout time.Duration) (*request.Request, bool) {
	w.t.Helper()
	now := clock.NowSeconds()
	r := &request.Request{
		StreamID: streamID, Class: class, ArrivedAt: now, Deadline: now + timeout.Seconds(), Share: w.share,
		ResponseWriter: w,
	}
	require.Equal(w.t, request.ReasonNone, w.admission.TryAdmitRequest(r))
	return r, w.openAdmitted(r)
}

// fill opens requests for large responses until one is deferred, and returns those that were handed over.
func (w *testWindow) fill() (open []*request.Request) {
	w.t.Helper()
	for {
		r, handOver := w.open(uint32(len(open)+1), largeClass, time.Minute)
		if !handOver {
			return open
		}
		open = append(open, r)
	}
}

// answer answers a request with a large body.
func (w *testWindow) answer(r *request.Request) {
	w.t.Helper()
	r.Reservation.Release()
	body := w.admission.Bodies.TryAllocateResponse(w.share, windowBodyBytes)
	require.NotNil(w.t, body, "a request was handed over whose response has no room")
	require.True(w.t, w.Respond(r, request.Response{Body: body}))
}

// Guards against a client that reads slowly and whose responses use more and more memory, or are dropped for want of
// it. Requests must be deferred while the share of their connection has no room for their responses, those with small
// responses must not be, and deferred ones must be handed over as the client reads.
func TestRequestsWaitForRoomForTheirResponses(t *testing.T) {
	w := newTestWindow(t)
	open := w.fill()
	require.Greater(t, len(open), 3)
	for _, r := range open {
		w.answer(r)
	}
	_, handOver := w.open(100, smallClass, time.Minute)
	assert.True(t, handOver, "its response needs no room")
	time.Sleep(2 * deferralReviewInterval)
	assert.Empty(t, w.handedOver, "no response was read")
	near, far := net.Pipe()
	ended := make(chan error)
	go func() { ended <- w.run(t.Context(), netconn.New(near, 64, time.Minute)) }()
	_, err := io.CopyN(io.Discard, far, 3*windowBodyBytes)
	require.NoError(t, err)
	assert.EqualValues(t, len(open)+1, <-w.handedOver)
	_ = far.Close()
	require.Error(t, <-ended)
}

// Guards against requests that wait for the answer of an endpoint that is silent. Room must be reserved for a response
// for a limited time only.
func TestSilentEndpointDoesNotHoldUpOtherRequests(t *testing.T) {
	w := newTestWindow(t)
	open := w.fill()
	w.releaseOverdue(clock.Now().Add(testObjective / 2))
	time.Sleep(2 * deferralReviewInterval)
	assert.Empty(t, w.handedOver)
	w.releaseOverdue(clock.Now().Add(testObjective))
	assert.EqualValues(t, len(open)+1, <-w.handedOver)
}

// Guards against a request that is refused while it could still be answered, and against one that is refused late: it
// may be deferred until what is left of its time is what requests of its class take, and must be rejected then.
func TestDeferredRequestIsRejectedOnceItCannotBeInTime(t *testing.T) {
	const timeout, serviceTime = 400 * time.Millisecond, 80 * time.Millisecond
	w := newTestWindow(t)
	w.window.times.record(smallClass, serviceTime)
	w.setStalled(true)
	startedAt := time.Now()
	_, handOver := w.open(1, smallClass, timeout)
	assert.False(t, handOver, "the client takes no output")
	require.Eventually(t, func() bool { return w.hasUnwritten() }, time.Minute, time.Millisecond)
	assert.InDelta(t, (timeout - serviceTime).Seconds(), time.Since(startedAt).Seconds(), socketAllowance.Seconds())
	assert.Empty(t, w.handedOver)
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1,
		w.metrics.Value(`requests_answered_total{class="",result="rejected",reason="output_backlog"}`))
}

// Guards against a request that waits although it is known as it arrives that it cannot be answered in time: with so
// little time, or behind so much that its client takes slowly. Where there is time, it must be deferred.
func TestHopelessRequestIsRejectedAtOnce(t *testing.T) {
	for name, prepare := range map[string]func(w *testWindow){
		"service time": func(w *testWindow) { w.window.times.record(smallClass, time.Second) },
		"slow client": func(w *testWindow) {
			w.pace.record(100_000, 100*time.Millisecond)
			w.writingBodyBytes = 1_000_000
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWindow(t)
			w.setStalled(true)
			prepare(w)
			_, handOver := w.open(1, smallClass, 900*time.Millisecond)
			assert.False(t, handOver)
			assert.True(t, w.hasUnwritten(), "it is rejected")
			_, handOver = w.open(2, smallClass, 10*time.Second)
			assert.False(t, handOver)
			assert.Equal(t, 1, w.openRequests(), "it is deferred")
		})
	}
}

// Guards against a client that is asked to stay away for a time that has nothing to do with what it waits for: the
// requests that are open end within their objective, and unsent output takes the time that its client needs. No longer
// time may be named than the settings allow.
func TestRejectionNamesTheTimeOfTheBacklog(t *testing.T) {
	w := newTestWindow(t)
	r := &request.Request{Class: smallClass}
	assert.Zero(t, w.rejection(r, request.ReasonTooManyRequests).RetryAfterSeconds, "the settings allow none")
	w.maxRetryAfter = 2 * time.Second
	assert.InDelta(t, testObjective.Seconds(), w.rejection(r, request.ReasonTooManyRequests).RetryAfterSeconds, 1e-9)
	w.pace.record(100_000, 100*time.Millisecond)
	w.writingBodyBytes = 500_000
	want := testObjective.Seconds() + 0.5
	assert.InDelta(t, want, w.rejection(r, request.ReasonOutputBacklog).RetryAfterSeconds, 1e-6)
	w.writingBodyBytes = 50_000_000
	assert.InDelta(t, 2, w.rejection(r, request.ReasonOutputBacklog).RetryAfterSeconds, 1e-9)
	w.writingBodyBytes = 0
}

// Guards against a deferred request that is handed over although its client has cancelled it, and against one whose
// client reads again and that stays deferred.
func TestDeferredRequestIsCancelledOrHandedOver(t *testing.T) {
	w := newTestWindow(t)
	w.setStalled(true)
	cancelled, _ := w.open(1, smallClass, time.Minute)
	kept, _ := w.open(2, smallClass, time.Minute)
	defer release(kept)
	assert.Nil(t, w.cancel(1, request.CancelledByClient), "the event loop has never had it")
	assert.True(t, cancelled.Cancelled())
	w.setStalled(false)
	assert.EqualValues(t, 2, <-w.handedOver)
	assert.Equal(t, kept, w.cancel(2, request.CancelledByClient))
	assert.Empty(t, w.handedOver)
}

// Guards against an estimate that one response of another size overturns, and against claims that are not true.
func TestResponseSizesAreEstimatedFromEarlierOnes(t *testing.T) {
	s := responseSizes{}
	claiming := func(sizeKB float64) *request.Request { return &request.Request{SizeKB: sizeKB} }
	assert.Zero(t, s.expect(claiming(0)))
	assert.Equal(t, 100*maxBytesPerKB, s.expect(claiming(100)), "it is believed at first")
	s.record(claiming(100), 50_000)
	assert.Equal(t, 100_000, s.expect(claiming(200)))
	assert.Equal(t, 50_000, s.expect(claiming(0)))
	assert.Equal(t, maxResponseBytes, s.expect(claiming(1e9)))
	for range 50 {
		s.record(claiming(1), 240_000)
	}
	assert.Greater(t, s.expect(claiming(1)), 200_000, "the claims are not true")
	s = responseSizes{}
	s.record(claiming(0), 0)
	s.record(claiming(0), 80_000)
	assert.Equal(t, 10_000, s.expect(claiming(0)))
	s.record(claiming(10), 5_000)
	assert.Equal(t, 1_000, s.expect(claiming(2)))
}
