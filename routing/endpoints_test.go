package routing

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Endpoints are replaced all the time, so memory must not grow with those that were removed.
func TestRemovedEndpointsExpire(t *testing.T) {
	r := newTestRouter(Idempotent)
	for i := range 20 {
		now := 100 + float64(i)*removedEndpointTTLSeconds/2
		added := Endpoint{ID: EndpointID("n" + strconv.Itoa(i)), Zone: 1, Weight: 4}
		removed := Endpoint{ID: EndpointID("n" + strconv.Itoa(i-1)), Zone: 1, Status: Removed}
		r.Decide(now, EndpointUpdate{Endpoints: []Endpoint{added, removed}})
	}
	assert.Len(t, r.endpoints, 6+1+2)
	assert.Len(t, r.caches.endpoints, 4)
}

// For any configured number of routers, valid or not, a request is sent, and the shares of all routers add up to about
// the capacity.
func TestRoutersShareCapacityForAnyRouterCount(t *testing.T) {
	for _, count := range []string{"", "0", "-3", "0.5", "1", "400"} {
		r := New(7, testSettings(WithIdempotencyKey))
		r.settings[SettingRouters], r.settings[SettingRoutersByZone] = count, "0,"+count
		r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: []Endpoint{
			{ID: "o", Kind: 2, Weight: 1},
			{ID: "c", Zone: 1, Weight: 4},
			{ID: "p", Kind: 1, Weight: 400},
		}})
		assert.Len(t, actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x"))), 1, "number %q", count)
		n := max(r.settings.Float(SettingRouters, 1), 1)
		assert.InDelta(t, limitPerCapacity*400, n*r.findOrAddEndpoint("p").limiter.limit, 1e-6, "number %q", count)
	}
}

// A removed endpoint that is listed again before it expires keeps its state. The decision traces do not cover the
// expiry time, so this test does.
func TestRemovedEndpointExpiresAfterOneMinute(t *testing.T) {
	r := newTestRouter(Idempotent)
	removed := Endpoint{ID: "c0", Zone: 1, Weight: 4, Status: Removed}
	r.Decide(100, EndpointUpdate{Endpoints: []Endpoint{removed}})
	r.Decide(159.9, EndpointUpdate{})
	assert.NotNil(t, r.findEndpoint("c0"))
	r.Decide(160, EndpointUpdate{})
	assert.Nil(t, r.findEndpoint("c0"))
}
