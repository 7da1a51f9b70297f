package dispatch

import (
	"context"
	"testing"

	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// purgeAt98 is a purge of the object ff.
var purgeAt98 = discovery.Event{Kind: discovery.PurgeObject, Purge: discovery.Purge{Object: "ff", PurgedAt: 98}}

// The clock is set back between two events. Decisions that see time run backwards miscount what they measure. Events
// come in their order, and their times never decrease.
func TestEventsKeepOrderAndClock(t *testing.T) {
	f := newFixture(t, nil)
	f.arrive(f.request)
	f.setTime(99)
	f.handle(discoveryEvent{purgeAt98})
	draining := routing.Endpoint{ID: "c", Status: routing.Draining}
	f.handle(discoveryEvent{discovery.Event{
		Kind:      discovery.Update,
		Endpoints: []discovery.Endpoint{{Endpoint: draining}},
	}})
	f.handleRequestCancelled(f.request)
	assert.Equal(t, []routing.Event{
		routing.EndpointUpdate{Kind: routing.Restored, Endpoints: []routing.Endpoint{{ID: "c"}, {ID: "o", Kind: 2}}},
		routing.RequestArrived{Request: "ab", Class: 1, Object: "ff", Deadline: 105, Write: true},
		routing.Purge{AgeSeconds: 2, Object: "ff"},
		routing.EndpointUpdate{Endpoints: []routing.Endpoint{draining}},
		routing.ClientDisconnected{Request: "ab"},
	}, f.decider.events)
	assert.Equal(t, []float64{100, 100, 100, 100, 100}, f.decider.times, "the clock never goes back")
	assert.Empty(t, f.requests)
}

// Clients disconnect while the queue of events is full. Attempts would be started for nobody, and the reader of a
// connection would wait for room. Who reports a cancellation does not wait, and the decisions learn of it before what
// was queued.
func TestCancellationsOvertakeAFullQueue(t *testing.T) {
	f := newFixture(t, startsAttempt())
	f.arrive(f.request)
	for f.RequestArrived(&request.Request{ID: "cd", ResponseWriter: f.recorder}) {
	}
	f.RequestCancelled(f.request)
	ctx, cancel := context.WithCancel(t.Context())
	before := len(f.decider.events)
	f.decider.respond = func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); ok {
			cancel()
		}
		return nil
	}
	require.NoError(t, f.Run(ctx))
	assert.Equal(t, routing.ClientDisconnected{Request: "ab"}, f.decider.events[before], "before the queue")
}

// The event loop has stopped while a connection still reports events. Once the queue is full the reporter would wait
// for ever, and the process would not end. Events are dropped from then on.
func TestEventsAreDroppedOnceTheLoopStopped(t *testing.T) {
	f := newFixture(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, f.Run(ctx))
	for range queueCapacity + 1 { // the last one would wait for ever
		f.DiscoveryEvent(purgeAt98)
	}
}

// Code of the event loop panics. The process would end with every request that is open. The panic is logged and
// counted, and the loop goes on.
func TestPanicOfTheLoopItselfIsSurvived(t *testing.T) {
	f := newFixture(t, nil)
	f.request.ResponseWriter = nil
	f.recovering(func() {
		f.arrive(f.request)
		f.respond(f.requests["ab"], request.Response{})
	})
	assert.Contains(t, f.log.String(), "component=dispatch")
	assert.EqualValues(t, 1, f.Metrics.Value("panics_total")) //nolint:testifylint // exact by intent
	f.arrive(&request.Request{ID: "cd", ResponseWriter: f.recorder})
	assert.Len(t, f.requests, 2)
}
