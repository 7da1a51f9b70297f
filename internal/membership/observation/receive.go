package observation

import (
	"slices"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

const (
	// maxSequenceAhead is by how much a witness may advance with one observation: the numbers of a start are not used
	// up at once.
	maxSequenceAhead = 100000
	// maxSequenceBehind is by how many observations of its witness one may arrive late.
	maxSequenceBehind = 64
)

// HandleObservation takes an observation whose signature the caller has verified. It is not fresh, and ignored, if
// its witness said something later, or if it is from an earlier start of the witness.
func (t *Tracker) HandleObservation(now float64, o Observation) (doubts []Doubt, fresh bool) {
	if o.Witness == t.self || !o.Health.valid() || o.Endpoint == "" {
		return nil, false
	}
	if !t.makeRoom(now, o.Endpoint) { // before its number is used up: a later copy may find room
		return nil, false
	}
	if !t.acceptSequence(now, o) || !t.hold(now, o) {
		return nil, false
	}
	t.Enqueue(o)
	if evidence := t.local[o.Endpoint]; evidence != nil {
		t.verifyWitnesses(now, o.Endpoint, evidence)
	}
	return t.updateDoubt(now, o.Endpoint), true
}

// acceptSequence checks an observation's number against the latest of its witness and advances that. A number that
// is a little late is accepted if no observation of the witness is held on that endpoint: they can arrive in any
// order.
func (t *Tracker) acceptSequence(now float64, o Observation) bool {
	w := t.witnesses[o.Witness]
	if w == nil {
		w = &witness{decayedAt: now}
		t.witnesses[o.Witness] = w
	}
	switch {
	case o.WitnessStartMillis < w.startMillis:
		return false
	case o.WitnessStartMillis > w.startMillis:
	case o.Sequence == w.sequence:
		return false
	case o.Sequence < w.sequence:
		return w.sequence-o.Sequence <= maxSequenceBehind && !t.holdsFrom(o.Endpoint, o.Witness)
	case w.startMillis != 0 && o.Sequence-w.sequence > maxSequenceAhead:
		return false
	}
	w.startMillis, w.sequence = o.WitnessStartMillis, o.Sequence
	return true
}

func (t *Tracker) holdsFrom(endpoint routing.EndpointID, witness swim.MemberID) bool {
	return slices.ContainsFunc(t.held[endpoint], func(h heldObservation) bool { return h.Witness == witness })
}

// makeRoom expires observations if the bounds are reached, and reports whether one more fits.
func (t *Tracker) makeRoom(now float64, endpoint routing.EndpointID) bool {
	if t.hasRoom(endpoint) {
		return true
	}
	t.expire(now)
	return t.hasRoom(endpoint)
}

func (t *Tracker) hasRoom(endpoint routing.EndpointID) bool {
	return (t.held[endpoint] != nil || len(t.held) < maxEndpoints) && t.heldCount < maxHeld
}

// hold keeps an observation in place of an older one of its witness on the endpoint.
func (t *Tracker) hold(now float64, o Observation) bool {
	list := t.held[o.Endpoint]
	older := slices.IndexFunc(list, func(h heldObservation) bool { return h.Witness == o.Witness })
	if older >= 0 {
		h := &list[older]
		sameStart := h.WitnessStartMillis == o.WitnessStartMillis
		if sameStart && h.Sequence >= o.Sequence || h.WitnessStartMillis > o.WitnessStartMillis {
			return false
		}
		list = slices.Delete(list, older, older+1)
		t.heldCount--
	}
	if len(list) >= maxPerEndpoint {
		list = slices.Delete(list, 0, 1)
		t.heldCount--
	}
	t.held[o.Endpoint] = append(list, heldObservation{Observation: o, expiresAt: now + expiry})
	t.heldCount++
	return true
}
