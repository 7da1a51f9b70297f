package routing

import (
	"fmt"
	"strconv"
	"testing"
)

// benchmarkSizes are the numbers of caches in the zone.
var benchmarkSizes = []int{4, 64, 200, 256, 1024, 3200}

// newBenchmarkRouter returns a router with a number of caches in its zone, two parents and the origin.
func newBenchmarkRouter(caches int) *Router {
	r := New(7, testSettings(Idempotent))
	rows := []Endpoint{{ID: "o", Kind: 2, Weight: 1}}
	for i := range caches {
		rows = append(rows, benchmarkCache(i))
	}
	for i := range 2 {
		rows = append(rows, Endpoint{ID: EndpointID("p" + strconv.Itoa(i)), Kind: 1, Weight: 20})
	}
	r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: rows})
	return r
}

func benchmarkCache(i int) Endpoint {
	return Endpoint{ID: EndpointID(fmt.Sprintf("s-%08x", uint32(i*2654435761))), Zone: 1, Weight: 4}
}

// requestAnswered sends a request for an object to the router and answers its attempt.
func requestAnswered(r *Router, now float64, number int, object string) {
	id := RequestID(strconv.Itoa(number))
	arrived := RequestArrived{Request: id, Object: object, SizeKB: 100, Deadline: now + 5}
	target := actionsOf[StartAttempt](r.Decide(now, arrived))[0].Endpoint
	end := AttemptEnded{
		Request: id, Endpoint: target, Result: Completed, Detail: CacheHit, ElapsedSeconds: 0.01, RequestDone: true,
	}
	r.Decide(now+0.01, end)
}

// benchmarkObjects is the number of objects that the router of a benchmark knows before the measurement.
const benchmarkObjects = 2048

func benchmarkObject(i int) string { return fmt.Sprintf("%016x", i%benchmarkObjects) }

// benchmarkRequests measures requests at a router that knows all objects. Before each request, prepare returns the name
// of the requested object.
func benchmarkRequests(b *testing.B, caches int, prepare func(r *Router, now float64, i int) string) {
	b.Helper()
	r, now := newBenchmarkRouter(caches), 100.0
	for i := range benchmarkObjects {
		now += 0.02
		requestAnswered(r, now, i, benchmarkObject(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 0.02
		requestAnswered(r, now, i, prepare(r, now, i))
	}
}

// BenchmarkDecide measures a request, from its arrival to the end of its attempt, by the number of caches in the zone:
// for known objects, with one new object in eight, and with an update of one cache before each request.
func BenchmarkDecide(b *testing.B) {
	for _, caches := range benchmarkSizes {
		b.Run(fmt.Sprintf("Known/caches=%d", caches), func(b *testing.B) {
			benchmarkRequests(b, caches, func(_ *Router, _ float64, i int) string { return benchmarkObject(i) })
		})
		b.Run(fmt.Sprintf("EighthNew/caches=%d", caches), func(b *testing.B) {
			benchmarkRequests(b, caches, func(_ *Router, _ float64, i int) string {
				if i%8 == 0 {
					return strconv.Itoa(i)
				}
				return benchmarkObject(i)
			})
		})
		b.Run(fmt.Sprintf("ListChange/caches=%d", caches), func(b *testing.B) {
			benchmarkRequests(b, caches, func(r *Router, now float64, i int) string {
				changed := benchmarkCache(i / 2 % caches)
				changed.Status = EndpointStatus((i + 1) % 2) // alternately draining and ready
				r.Decide(now, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{changed}})
				return benchmarkObject(i)
			})
		})
	}
}

// TestObjectsTakeTheSameMemoryInLargeZones checks that the part of the hash order stored per object does not grow with
// the number of caches.
func TestObjectsTakeTheSameMemoryInLargeZones(t *testing.T) {
	for _, caches := range []int{64, 3200} {
		r := newBenchmarkRouter(caches)
		for i := range 100 {
			requestAnswered(r, 100+float64(i)*0.02, i, strconv.Itoa(i))
		}
		for id, o := range r.objects {
			if stored := cap(o.caches.best) + cap(o.parents.best); stored > 32 {
				t.Fatalf("object %s stores %d endpoints of %d", id, stored, caches)
			}
		}
	}
}
