package routing

import (
	"fmt"
	"maps"
	"slices"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// observe reports the end of an attempt to the router's tracker, and doubts that follow from it to the routing module.
func (r *router) observe(target routing.EndpointID, result routing.AttemptResult, late bool) {
	if r.gossip == nil {
		return
	}
	if health, ok := observation.Classify(result, late); ok {
		r.reportDoubts(r.gossip.AttemptEnded(r.sim.elapsed(), target, health))
	}
	for _, own := range r.gossip.TakeUnsigned() {
		r.sim.spread(own)
	}
}

// reportDoubts gives the routing module the endpoints that several routers suspect.
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

// spread delivers an observation to all other routers, to each after a random delay.
func (s *simulation) spread(o observation.Observation) {
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

// scheduleGossip lets expired observations end and faulty routers report, at each tick.
func (s *simulation) scheduleGossip() {
	s.After(gossipTick, func() {
		for i, r := range s.routers {
			r.reportDoubts(r.gossip.Tick(s.elapsed()))
			if i < s.faultyInGossip {
				s.reportAllFailing(i, r)
			}
		}
		if s.elapsed() < duration {
			s.scheduleGossip()
		}
	})
}

// reportAllFailing spreads false observations of all endpoints, as if from several zones.
func (s *simulation) reportAllFailing(index int, r *router) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		r.sequence++
		s.spread(observation.Observation{
			Witness:            swim.MemberID(index),
			WitnessStartMillis: faultyStartMillis,
			Sequence:           r.sequence,
			Endpoint:           id,
			Health:             observation.Failing,
			Zone:               fmt.Sprint("z", r.sequence%faultyZones),
		})
	}
}
