package routing

import (
	"fmt"
	"maps"
	"slices"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// observeResult reports the result of an attempt to the router's tracker, and any resulting suspicions to the routing
// module.
func (r *router) observeResult(target routing.EndpointID, result routing.AttemptResult, late bool) {
	if r.gossip == nil {
		return
	}
	if health, ok := observation.Classify(result, late); ok {
		r.reportDoubts(r.gossip.AttemptEnded(r.sim.elapsed(), target, health))
	}
	for _, own := range r.gossip.TakeUnsigned() {
		r.sim.broadcast(own)
	}
}

// reportDoubts notifies the routing module of endpoints that several routers suspect.
func (r *router) reportDoubts(doubts []observation.Doubt) {
	now := r.sim.elapsed()
	for _, doubt := range doubts {
		r.decide(routing.HealthObservation{
			Endpoint:     doubt.Endpoint,
			Suspicion:    doubt.Level,
			ValidSeconds: max(doubt.Until-now, 0),
		})
	}
}

// broadcast delivers an observation to all other routers, each after its own random delay.
func (s *simulation) broadcast(o observation.Observation) {
	for i, other := range s.routers {
		if swim.MemberID(i) == o.Witness {
			continue
		}
		delay := minGossipDelay + s.gossipRandom.Float64()*(maxGossipDelay-minGossipDelay)
		s.After(delay, func() {
			doubts, _ := other.gossip.HandleObservation(s.elapsed(), o)
			other.reportDoubts(doubts)
		})
	}
}

// scheduleGossip schedules a periodic tick that expires observations and lets faulty routers send false ones.
func (s *simulation) scheduleGossip() {
	s.After(gossipTick, func() {
		for i, r := range s.routers {
			r.reportDoubts(r.gossip.Tick(s.elapsed()))
			if i < s.faultyRouters {
				s.reportAllFailing(i, r)
			}
		}
		if s.elapsed() < duration {
			s.scheduleGossip()
		}
	})
}

// reportAllFailing sends false observations that all endpoints are failing, with varying zone names.
func (s *simulation) reportAllFailing(index int, r *router) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		r.sequence++
		s.broadcast(observation.Observation{
			Witness:            swim.MemberID(index),
			WitnessStartMillis: faultyStartMillis,
			Sequence:           r.sequence,
			Endpoint:           id,
			Health:             observation.Failing,
			Zone:               fmt.Sprint("z", r.sequence%faultyZones),
		})
	}
}
