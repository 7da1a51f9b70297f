package observation

import (
	"math"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

const (
	witnessVerifiedWith = 3.0   // the age in seconds up to which an own attempt confirms or refutes a witness
	trustHalfLife       = 120.0 // of the counts, s
	minRefuted          = 2.5   // refuted observations before a witness may be ignored
	refutedOverTrue     = 2.0   // times the confirmed ones
)

// witness is what is known of a member as a witness: 40 bytes. The counts decay with trustHalfLife.
type witness struct {
	startMillis uint64
	sequence    uint32 // of its latest observation
	confirmed   float64
	refuted     float64
	decayedAt   float64
}

func (w *witness) decay(now float64) {
	k := math.Exp2(-(now - w.decayedAt) / trustHalfLife)
	w.confirmed *= k
	w.refuted *= k
	w.decayedAt = now
}

// weight is what an observation of the witness is worth, from 0 for one that is often refuted to 1.
func (w *witness) weight() float64 {
	if w.refuted >= minRefuted && w.refuted > refutedOverTrue*w.confirmed {
		return 0
	}
	return (w.confirmed + 1) / (w.confirmed + w.refuted + 1)
}

// verifyWitnesses compares the failures that are held of an endpoint with recent own attempts. Slowness is not
// compared: it depends on the place of the observer.
func (t *Tracker) verifyWitnesses(now float64, endpoint routing.EndpointID, e *localEvidence) {
	for i := range t.held[endpoint] {
		h := &t.held[endpoint][i]
		if h.verified || now >= h.expiresAt || h.Health != Failing {
			continue
		}
		w := t.witnesses[h.Witness]
		w.decay(now)
		switch {
		case e.failedLately(now):
			h.verified = true
			w.confirmed++
		case e.succeedsLately(now):
			h.verified = true
			w.refuted++
		}
	}
}

func (e *localEvidence) failedLately(now float64) bool {
	return e.lastFailureAt > 0 && now-e.lastFailureAt < witnessVerifiedWith
}

func (e *localEvidence) succeedsLately(now float64) bool {
	return e.lastSuccessAt > 0 && now-e.lastSuccessAt < witnessVerifiedWith &&
		e.last != Failing && e.run >= successesToReport
}

// ForgetWitness drops the record of a member that is no longer in the roster, and what is held of its observations. The
// next Tick brings the doubts that follow.
//
// It guards against observations without a witness to weigh them by, which panic.
func (t *Tracker) ForgetWitness(id swim.MemberID) {
	delete(t.witnesses, id)
	t.dropHeld(func(h heldObservation) bool { return h.Witness == id })
}

// Reputation is how many observations of a member were confirmed and refuted, decayed, and whether it is trusted.
func (t *Tracker) Reputation(id swim.MemberID) (confirmed, refuted float64, trusted bool) {
	w := t.witnesses[id]
	if w == nil {
		return 0, 0, true
	}
	return w.confirmed, w.refuted, w.weight() > 0
}
