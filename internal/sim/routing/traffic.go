package routing

import (
	"sort"

	"cairnfront/routing"
)

// startSession starts a new client at a random router and schedules the next one. A client never changes its router.
func (s *simulation) startSession() {
	if s.elapsed() >= duration {
		return
	}
	sessionsPerS := requestsPerS * (1 - nextChunkProbability)
	if s.fault == TrafficBurst && s.elapsed() >= faultStart && s.elapsed() < faultEnd {
		sessionsPerS *= burstFactor
	}
	s.After(s.Rand.ExpFloat64()/sessionsPerS, s.startSession)
	r := s.routers[s.Rand.IntN(len(s.routers))]
	object := sort.SearchFloat64s(s.popularity, s.Rand.Float64()*s.popularity[len(s.popularity)-1])
	s.requestChunk(r, chunkKey{object, 0})
}

// requestChunk sends a request for a chunk and, with some probability, schedules one for the next chunk of the object.
func (s *simulation) requestChunk(r *router, key chunkKey) {
	if s.elapsed() >= duration {
		return
	}
	r.acceptRequest(key)
	if key.chunk+1 < chunksPerObject && s.Rand.Float64() < nextChunkProbability {
		pause := minChunkPause + chunkPauseRange*s.Rand.Float64()
		s.After(pause, func() { s.requestChunk(r, chunkKey{key.object, key.chunk + 1}) })
	}
}

// purge invalidates an object group: all endpoints remove its copies, and all routers are notified of the purge.
func (s *simulation) purge(group int) {
	for _, e := range s.endpoints {
		e.purge(group)
	}
	for _, r := range s.routers {
		r.decide(routing.Purge{ObjectGroup: group})
	}
}
