package observation

import (
	"cmp"
	"math"
	"slices"

	"cairnfront/routing"
)

const (
	sameZoneFactor = 0.5 // factor on a witness's weight for each earlier one of its zone, as they share a switch
	doubtPerWeight = 2.0 // number of times that a witness of weight 1 halves the remaining trust
	minDoubtChange = 0.1 // minimum change of the level that is reported
	minUntilChange = 2.5 // minimum extension of the expiry that is reported, s
)

// updateDoubt computes the doubt about an endpoint and returns it if it changed. Byzantine witnesses alone cause no
// doubt, however many observations they send.
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

// trustedFailures returns the failures observed by witnesses that are not ignored, sorted by descending weight.
func (t *Tracker) trustedFailures(now float64, endpoint routing.EndpointID) []storedObservation {
	var failures []storedObservation
	for _, h := range t.stored[endpoint] {
		if now < h.expiresAt && h.Health == Failing && t.witnesses[h.Witness].weight() > 0 {
			failures = append(failures, h)
		}
	}
	slices.SortFunc(failures, func(a, b storedObservation) int {
		byWeight := cmp.Compare(t.witnesses[b.Witness].weight(), t.witnesses[a.Witness].weight())
		return cmp.Or(byWeight, cmp.Compare(a.Witness, b.Witness))
	})
	return failures
}

// doubtFrom computes a doubt from failures. The maxByzantine witnesses with the highest weights are skipped, because
// they may be the byzantine ones.
func (t *Tracker) doubtFrom(failures []storedObservation, endpoint routing.EndpointID) Doubt {
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
