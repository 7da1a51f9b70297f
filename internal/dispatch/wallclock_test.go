package dispatch

import (
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/discovery"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wallClockSteps are sequences of steps of the wall clock, in seconds.
var wallClockSteps = [][]float64{{-3600}, {-5}, {5}, {3600}, {-3600, -3600}, {3600, 3600}, {-3600, 3600}, {5, -3600}}

// steppedFixture is a fixture whose wall clock is offset seconds ahead of the monotonic clock.
type steppedFixture struct {
	*fixture
	offset float64
}

func newSteppedFixture(t *testing.T) *steppedFixture {
	t.Helper()
	f := &steppedFixture{fixture: newFixture(t, nil)}
	f.WallClock = clock.NewWallClock(func() clock.Reading {
		now := f.Clock()
		return clock.Reading{
			Instant:  clock.FromSeconds(now),
			UnixTime: time.Duration((now + f.offset) * float64(time.Second)),
		}
	})
	return f
}

// lastEvent returns the last event that the Decider got and fails the test if it is not of type E.
func lastEvent[E routing.Event](t *testing.T, f *steppedFixture) E {
	t.Helper()
	last, ok := f.decider.events[len(f.decider.events)-1].(E)
	require.True(t, ok, "%T", f.decider.events[len(f.decider.events)-1])
	return last
}

// Guards against a purge whose age is overestimated because the wall clock was stepped around it: copies that it has
// invalidated would still be served (rule 5). The computed age must not exceed the true age, whether the purge time
// was read from a clock that was stepped or from one that was not.
func TestPurgeAgeIsNotOverestimatedAcrossWallClockSteps(t *testing.T) {
	for _, steps := range wallClockSteps {
		f := newSteppedFixture(t)
		now := 10000.0
		for _, step := range steps {
			for _, senderOffset := range []float64{0, f.offset, f.offset + step} {
				f.setTime(now)
				purgedAt := now - 3
				f.offset += step
				f.handle(discoveryEvent{discovery.Event{
					Kind:  discovery.PurgeObject,
					Purge: discovery.Purge{Object: "ff", PurgedAt: purgedAt + senderOffset},
				}})
				age := lastEvent[routing.Purge](t, f).AgeSeconds
				assert.LessOrEqual(t, age, 3+1e-6, "steps %v, sent with %v", steps, senderOffset)
				assert.GreaterOrEqual(t, age, 0.0)
				f.offset -= step
				now += 10
			}
			f.offset += step
		}
	}
}

// Guards against a cold cache that counts as warm and gets too many requests (rule 4), because the wall clock was
// stepped around the start of the cache. The computed start must not be before the true start, and a start time that is
// listed again must not count as a new start.
func TestEndpointStartIsNotTooEarlyAcrossWallClockSteps(t *testing.T) {
	for _, steps := range wallClockSteps {
		f := newSteppedFixture(t)
		now := 10000.0
		for _, step := range steps {
			for _, senderOffset := range []float64{0, f.offset, f.offset + step} {
				f.setTime(now)
				before := f.offset
				f.offset += step
				startedAt := now - 2
				listed := discovery.Endpoint{Address: "c"}
				listed.Endpoint = routing.Endpoint{ID: "c", StartedAt: startedAt + senderOffset}
				event := discovery.Event{Kind: discovery.Update, Endpoints: []discovery.Endpoint{listed}}
				f.handle(discoveryEvent{event})
				firstStart := lastEvent[routing.EndpointUpdate](t, f).Endpoints[0].StartedAt
				assert.GreaterOrEqual(t, firstStart, startedAt-1e-6, "steps %v, sent with %v", steps, senderOffset)
				assert.LessOrEqual(t, firstStart, now)

				f.setTime(now + 3)
				f.offset = before // the list is sent again after another step of the wall clock
				f.handle(discoveryEvent{event})
				secondStart := lastEvent[routing.EndpointUpdate](t, f).Endpoints[0].StartedAt
				assert.InDelta(t, firstStart, secondStart, 0, "the same start")
				now += 10
			}
			f.offset += step
		}
	}
}
