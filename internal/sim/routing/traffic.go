package routing

import (
	"sort"

	"cairnfront/routing"
)

// startSession brings a new client to a router and schedules the next one. A client keeps to its router.
func (s *simulation) startSession() {
	if s.elapsed() >= duration {
		return
	}
	sessionsPerS := requestsPerS * (1 - continuesView)
	if s.fault == TrafficBurst && s.elapsed() >= faultFrom && s.elapsed() < faultTo {
		sessionsPerS *= burstFactor
	}
	s.After(s.Rand.ExpFloat64()/sessionsPerS, s.startSession)
	r := s.routers[s.Rand.IntN(len(s.routers))]
	object := sort.SearchFloat64s(s.popularity, s.Rand.Float64()*s.popularity[len(s.popularity)-1])
	s.requestChunk(r, chunkKey{object, 0})
}

// requestChunk sends a request and, with some odds, schedules that for the next chunk of the object.
func (s *simulation) requestChunk(r *router, key chunkKey) {
	if s.elapsed() >= duration {
		return
	}
	r.accept(key)
	if key.chunk+1 < chunksPerObject && s.Rand.Float64() < continuesView {
		pause := minViewPause + viewPauseSpread*s.Rand.Float64()
		s.After(pause, func() { s.requestChunk(r, chunkKey{key.object, key.chunk + 1}) })
	}
}

// purge invalidates an object group: endpoints drop it, and every router gets the purge.
func (s *simulation) purge(group int) {
	for _, e := range s.endpoints {
		e.purge(group)
	}
	for _, r := range s.routers {
		r.decide(routing.Purge{ObjectGroup: group})
	}
}
