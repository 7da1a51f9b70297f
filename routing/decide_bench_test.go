package routing

import (
	"fmt"
	"strconv"
	"testing"
)

// benchmarkSizes are numbers of caches in one zone.
var benchmarkSizes = []int{4, 64, 200, 256, 1024, 3200}

// newBenchmarkRouter knows so many caches of one zone, two parents and the origin.
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

// requestAnswered has a request for an object arrive and be answered.
func requestAnswered(r *Router, now float64, number int, object string) {
	id := RequestID(strconv.Itoa(number))
	arrived := RequestArrived{Request: id, Object: object, SizeKB: 100, Deadline: now + 5}
	target := actionsOf[StartAttempt](r.Decide(now, arrived))[0].Endpoint
	end := AttemptEnded{
		Request: id, Endpoint: target, Result: Completed, Detail: CacheHit, ElapsedSeconds: 0.01, RequestDone: true,
	}
	r.Decide(now+0.01, end)
}

// BenchmarkDecide measures a request, from its arrival to the end of its attempt, by the number of caches in the zone:
// for objects that are known, and where each eighth is new. ListChange is an update of one cache, with the request for
// a known object that follows it.
func BenchmarkDecide(b *testing.B) {
	const objects = 2048
	names := make([]string, objects)
	for i := range names {
		names[i] = fmt.Sprintf("%016x", i)
	}
	for _, caches := range benchmarkSizes {
		known := func() (*Router, float64) {
			r, now := newBenchmarkRouter(caches), 100.0
			for i := range objects {
				now += 0.02
				requestAnswered(r, now, i, names[i])
			}
			return r, now
		}
		b.Run(fmt.Sprintf("Known/caches=%d", caches), func(b *testing.B) {
			r, now := known()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 0.02
				requestAnswered(r, now, i, names[i%objects])
			}
		})
		b.Run(fmt.Sprintf("EighthNew/caches=%d", caches), func(b *testing.B) {
			r, now := known()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 0.02
				object := names[i%objects]
				if i%8 == 0 {
					object = strconv.Itoa(i)
				}
				requestAnswered(r, now, i, object)
			}
		})
		b.Run(fmt.Sprintf("ListChange/caches=%d", caches), func(b *testing.B) {
			r, now := known()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 0.02
				changed := benchmarkCache(i / 2 % caches)
				changed.Status = EndpointStatus((i + 1) % 2) // draining and ready again, one after another
				if caches > 4 {
					r.Decide(now, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{changed}})
				}
				requestAnswered(r, now, i, names[i%objects])
			}
		})
	}
}

// TestObjectsTakeTheSameMemoryInLargeZones holds what an object keeps of the caches' order.
func TestObjectsTakeTheSameMemoryInLargeZones(t *testing.T) {
	for _, caches := range []int{64, 3200} {
		r := newBenchmarkRouter(caches)
		for i := range 100 {
			requestAnswered(r, 100+float64(i)*0.02, i, strconv.Itoa(i))
		}
		for id, o := range r.objects {
			if kept := cap(o.caches.best) + cap(o.parents.best); kept > 32 {
				t.Fatalf("object %s keeps %d endpoints of %d", id, kept, caches)
			}
		}
	}
}
