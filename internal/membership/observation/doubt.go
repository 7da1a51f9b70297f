package observation

import (
	"cmp"
	"math"
	"slices"

	"cairnfront/routing"
)

const (
	sameZoneFactor = 0.5 // of a witness's weight for each earlier one of its zone: they share a switch
	doubtPerWeight = 2.0 // halvings of the remaining trust by a witness of weight 1
	minDoubtChange = 0.1 // that is given
	minUntilChange = 2.5 // that is given, s
)

// updateDoubt computes the doubt about an endpoint and gives it if it changed. Byzantine witnesses alone raise
// none, however many observations they make.
func (t *Tracker) updateDoubt(now float64, endpoint routing.EndpointID) []Doubt {
	doubt := t.doubtFrom(t.trustedFailures(now, endpoint), endpoint)
	last := t.doubts[endpoint]
	sameKind := (last.Level == 0) == (doubt.Level == 0)
	sameLevel := math.Abs(doubt.Level-last.Level) < minDoubtChange
	if sameKind && sameLevel && doubt.Until <= last.Until+minUntilChange {
		return nil
	}
	if doubt.Level == 0 {
		delete(t.doubts, endpoint)
	} else {
		t.doubts[endpoint] = doubt
	}
	return []Doubt{doubt}
}

// trustedFailures are the failures observed by witnesses that are not ignored, the weightiest first.
func (t *Tracker) trustedFailures(now float64, endpoint routing.EndpointID) []heldObservation {
	var failures []heldObservation
	for _, h := range t.held[endpoint] {
		if now < h.expiresAt && h.Health == Failing && t.witnesses[h.Witness].weight() > 0 {
			failures = append(failures, h)
		}
	}
	slices.SortFunc(failures, func(a, b heldObservation) int {
		byWeight := cmp.Compare(t.witnesses[b.Witness].weight(), t.witnesses[a.Witness].weight())
		return cmp.Or(byWeight, cmp.Compare(a.Witness, b.Witness))
	})
	return failures
}

// doubtFrom weighs failures. The weightiest maxByzantine witnesses may be the byzantine ones and do not count.
func (t *Tracker) doubtFrom(failures []heldObservation, endpoint routing.EndpointID) Doubt {
	perZone := map[string]int{}
	weight, until := 0.0, 0.0
	for _, h := range failures[min(len(failures), t.maxByzantine):] {
		weight += t.witnesses[h.Witness].weight() * math.Pow(sameZoneFactor, float64(perZone[h.Zone]))
		perZone[h.Zone]++
		until = max(until, h.expiresAt)
	}
	if weight == 0 {
		return Doubt{Endpoint: endpoint}
	}
	return Doubt{Endpoint: endpoint, Level: 1 - math.Exp2(-doubtPerWeight*weight), Until: until}
}
