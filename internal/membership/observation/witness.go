package observation

import (
	"math"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

const (
	verificationWindow = 3.0   // s; maximum age of a local attempt that confirms or refutes a witness
	trustHalfLife      = 120.0 // s in which confirmed and refuted decay by half
	minRefuted         = 2.5   // refuted observations from which a witness may be ignored
	maxRefutedRatio    = 2.0   // ratio of refuted to confirmed observations above which a witness is ignored
)

// witness is the state of a member as a witness: 40 bytes. The counts decay with trustHalfLife.
type witness struct {
	startMillis uint64
	sequence    uint32 // sequence number of the witness's latest observation
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

// weight returns the weight of the witness's observations, from 0 if they are often refuted to 1.
func (w *witness) weight() float64 {
	if w.refuted >= minRefuted && w.refuted > maxRefutedRatio*w.confirmed {
		return 0
	}
	return (w.confirmed + 1) / (w.confirmed + w.refuted + 1)
}

// verifyWitnesses compares the stored failures of an endpoint with recent attempts by this router. Slow is not
// compared, because latency depends on the location of the observer.
func (t *Tracker) verifyWitnesses(now float64, endpoint routing.EndpointID, e *localEvidence) {
	for i := range t.stored[endpoint] {
		h := &t.stored[endpoint][i]
		if h.verified || now >= h.expiresAt || h.Health != Failing {
			continue
		}
		w := t.witnesses[h.Witness]
		w.decay(now)
		switch {
		case e.failedRecently(now):
			h.verified = true
			w.confirmed++
		case e.succeededRecently(now):
			h.verified = true
			w.refuted++
		}
	}
}

func (e *localEvidence) failedRecently(now float64) bool {
	return e.lastFailureAt > 0 && now-e.lastFailureAt < verificationWindow
}

func (e *localEvidence) succeededRecently(now float64) bool {
	return e.lastSuccessAt > 0 && now-e.lastSuccessAt < verificationWindow &&
		e.last != Failing && e.consecutive >= successesToReport
}

// ForgetWitness removes the state of a member that is no longer in the roster, and its stored observations. The next
// Tick returns the doubts that change as a result.
//
// It guards against a panic when an observation is weighed whose witness is not known any more.
func (t *Tracker) ForgetWitness(id swim.MemberID) {
	delete(t.witnesses, id)
	t.removeStored(func(h storedObservation) bool { return h.Witness == id })
}

// Reputation returns the decayed counts of a member's confirmed and refuted observations, and whether the member is
// trusted.
func (t *Tracker) Reputation(id swim.MemberID) (confirmed, refuted float64, trusted bool) {
	w := t.witnesses[id]
	if w == nil {
		return 0, 0, true
	}
	return w.confirmed, w.refuted, w.weight() > 0
}
