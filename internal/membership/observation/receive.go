package observation

import (
	"slices"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

const (
	// maxSequenceAhead limits how far one observation may advance its witness's sequence number, so that the
	// numbers of one start are not exhausted at once. The first observation received from a start may have any number.
	maxSequenceAhead = 100000
	// maxSequenceBehind limits how far a delayed observation may be behind the latest sequence number of its
	// witness.
	maxSequenceBehind = 64
)

// HandleObservation handles an observation whose signature the caller has verified. fresh is false, and the
// observation is ignored, if it is invalid or by this router, if there is no space for it, if it is from an earlier
// start of the witness, or if acceptSequence refuses its number.
func (t *Tracker) HandleObservation(now float64, o Observation) (doubts []Doubt, fresh bool) {
	if o.Witness == t.self || !o.Health.valid() || o.Endpoint == "" {
		return nil, false
	}
	if !t.ensureCapacity(now, o.Endpoint) { // before the number is recorded: a later copy may be accepted
		return nil, false
	}
	if !t.acceptSequence(now, o) || !t.store(now, o) {
		return nil, false
	}
	t.Enqueue(o)
	if evidence := t.local[o.Endpoint]; evidence != nil {
		t.verifyWitnesses(now, o.Endpoint, evidence)
	}
	return t.updateDoubt(now, o.Endpoint), true
}

// acceptSequence checks an observation's sequence number against the latest of its witness and advances the latter.
// Because observations can arrive in any order, a slightly older number is accepted if no observation of that
// endpoint by the witness is stored.
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
		return w.sequence-o.Sequence <= maxSequenceBehind && !t.hasObservationFrom(o.Endpoint, o.Witness)
	case w.startMillis != 0 && o.Sequence-w.sequence > maxSequenceAhead:
		return false
	}
	w.startMillis, w.sequence = o.WitnessStartMillis, o.Sequence
	return true
}

func (t *Tracker) hasObservationFrom(endpoint routing.EndpointID, witness swim.MemberID) bool {
	return slices.ContainsFunc(t.stored[endpoint], func(h storedObservation) bool { return h.Witness == witness })
}

// ensureCapacity expires observations if the limits are reached, and reports whether another one can be stored.
func (t *Tracker) ensureCapacity(now float64, endpoint routing.EndpointID) bool {
	if t.hasCapacity(endpoint) {
		return true
	}
	t.expire(now)
	return t.hasCapacity(endpoint)
}

func (t *Tracker) hasCapacity(endpoint routing.EndpointID) bool {
	return (t.stored[endpoint] != nil || len(t.stored) < maxEndpoints) && t.storedCount < maxStored
}

// store stores an observation and replaces an older one by the same witness of the same endpoint.
func (t *Tracker) store(now float64, o Observation) bool {
	list := t.stored[o.Endpoint]
	older := slices.IndexFunc(list, func(h storedObservation) bool { return h.Witness == o.Witness })
	if older >= 0 {
		h := &list[older]
		sameStart := h.WitnessStartMillis == o.WitnessStartMillis
		if sameStart && h.Sequence >= o.Sequence || h.WitnessStartMillis > o.WitnessStartMillis {
			return false
		}
		list = slices.Delete(list, older, older+1)
		t.storedCount--
	}
	if len(list) >= maxPerEndpoint {
		list = slices.Delete(list, 0, 1)
		t.storedCount--
	}
	t.stored[o.Endpoint] = append(list, storedObservation{Observation: o, expiresAt: now + observationTTL})
	t.storedCount++
	return true
}
