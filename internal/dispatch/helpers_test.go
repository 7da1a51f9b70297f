package dispatch

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// scriptedDecider records the events that it gets and returns the actions of respond, or none if respond is nil.
type scriptedDecider struct {
	events  []routing.Event
	times   []float64
	respond func(routing.Event) []routing.Action
}

func (s *scriptedDecider) Decide(now float64, ev routing.Event) []routing.Action {
	s.events = append(s.events, ev)
	s.times = append(s.times, now)
	if s.respond == nil {
		return nil
	}
	return s.respond(ev)
}

// responseRecorder records the responses to requests.
type responseRecorder struct{ responses []request.Response }

func (r *responseRecorder) Respond(_ *request.Request, response request.Response) bool {
	r.responses = append(r.responses, response)
	return true
}

// fixture is a dispatcher at time 100 whose connections to the edge cache c and the origin o are never established, and
// a request with the id "ab" and the deadline 105 that has not arrived yet.
type fixture struct {
	*Dispatcher
	decider  *scriptedDecider
	request  *request.Request
	recorder *responseRecorder
	log      *bytes.Buffer
}

func newFixture(t *testing.T, respond func(routing.Event) []routing.Action) *fixture {
	t.Helper()
	f := &fixture{
		decider:  &scriptedDecider{respond: respond},
		recorder: &responseRecorder{},
		log:      &bytes.Buffer{},
	}
	f.request = &request.Request{
		ID:             "ab",
		ClassName:      "page",
		Class:          1,
		Object:         "FF",
		Deadline:       105,
		ResponseWriter: f.recorder,
	}
	metrics := telemetry.New(f.log, "")
	ctx, cancel := context.WithCancel(t.Context())
	pool := &upstream.Pool{
		Admission:                admission.New(64, 256),
		Metrics:                  metrics,
		ConnectTimeout:           time.Hour,
		MaxAttemptsPerConnection: 4,
		OnEvent:                  func(upstream.Event) {},
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
	pool.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, pool.Wait())
	})
	settings := routing.Settings{
		routing.SettingUncacheable: "false,true",
		routing.SettingParentKind:  "1",
		routing.SettingOriginKind:  "2",
	}
	f.Dispatcher = New(f.decider, settings, pool, metrics)
	f.setTime(100)
	f.LoadBootstrap([]discovery.Event{{Kind: discovery.Snapshot, Endpoints: []discovery.Endpoint{
		{Address: "c", Endpoint: routing.Endpoint{ID: "c"}},
		{Address: "o", Endpoint: routing.Endpoint{ID: "o", Kind: 2}},
	}}})
	return f
}

// setTime sets the dispatcher's clock, in seconds.
func (f *fixture) setTime(now float64) { f.Clock = func() float64 { return now } }

// arrive handles the arrival of a request.
func (f *fixture) arrive(r *request.Request) { f.handle(requestArrived{r}) }

// endFirstAttempt handles the end of the first attempt of the fixture's request.
func (f *fixture) endFirstAttempt(end request.AttemptEnd) {
	sent := f.requests["ab"].attempts[0].sent
	f.handle(upstreamEvent{upstream.AttemptEnded{Attempt: sent, End: end}})
}

// startAttemptOnArrival starts an attempt at c for a request that arrives, and returns no action for all other events.
func startAttemptOnArrival() func(routing.Event) []routing.Action {
	return func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); ok {
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c", Source: "o"}}
		}
		return nil
	}
}
