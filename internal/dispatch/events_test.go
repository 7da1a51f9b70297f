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

// Guards against a clock that is set back between two events: the Decider would measure negative durations. Events must
// be handled in order, and their times must never decrease.
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
	assert.Equal(t, []float64{100, 100, 100, 100, 100}, f.decider.times, "the time never decreases")
	assert.Empty(t, f.requests)
}

// Guards against cancellations that are delayed by a full event queue: attempts would be started for clients that have
// disconnected, and the goroutine that reads a client's connection would block. Reporting a cancellation must not
// block, and the Decider must get it before the queued events.
func TestCancellationsBypassAFullQueue(t *testing.T) {
	f := newFixture(t, startAttemptOnArrival())
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
	assert.Equal(t, routing.ClientDisconnected{Request: "ab"}, f.decider.events[before], "before the queued events")
}

// Guards against a connection that still reports events after the event loop has stopped: when the queue is full, the
// reporter would block forever and the process would not end. Events must be dropped after the loop has stopped.
func TestEventsAreDroppedOnceTheLoopStopped(t *testing.T) {
	f := newFixture(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, f.Run(ctx))
	for range queueCapacity + 1 { // the last one would block forever
		f.DiscoveryEvent(purgeAt98)
	}
}

// Guards against a panic in the event loop's own code that ends the process and with it every open request. The panic
// must be logged and counted, and the loop must continue.
func TestEventLoopRecoversFromItsOwnPanics(t *testing.T) {
	f := newFixture(t, nil)
	f.request.ResponseWriter = nil
	f.recoverPanics(func() {
		f.arrive(f.request)
		f.respond(f.requests["ab"], request.Response{})
	})
	assert.Contains(t, f.log.String(), "component=dispatch")
	assert.EqualValues(t, 1, f.Metrics.Value("panics_total")) //nolint:testifylint // exact by intent
	f.arrive(&request.Request{ID: "cd", ResponseWriter: f.recorder})
	assert.Len(t, f.requests, 2)
}
