package faults

import "math/rand/v2"

// maxDuplicateDelay is the most seconds by which a duplicate comes after its original.
const maxDuplicateDelay = 0.05

// Link is the state of a link from one process to another at a time. Shares are from 0 to 1.
type Link struct {
	Cut            bool
	Loss           float64 // share
	Duplicate      float64 // share
	Corrupt        float64 // share
	Reorder        float64 // share
	DelaySeconds   float64
	ReorderSeconds float64 // the most that is added to the delay
}

// LinkAt is the state of the link from one process to another at a time, in seconds from the start of the script.
func (s *Script) LinkAt(from, to int, time float64) Link {
	var link Link
	for i := range s.Faults {
		fault := &s.Faults[i]
		if fault.isActive(time) && fault.IsLinkFault() && fault.AffectsLink(from, to) {
			link.add(fault)
		}
	}
	return link
}

// add combines a fault with those that the link has.
func (l *Link) add(fault *Fault) {
	switch fault.Kind {
	case Cut:
		l.Cut = true
	case Loss:
		l.Loss = 1 - (1-l.Loss)*(1-fault.Share)
	case Delay:
		l.DelaySeconds += fault.Seconds
	case Reorder:
		l.Reorder = max(l.Reorder, fault.Share)
		l.ReorderSeconds = max(l.ReorderSeconds, fault.Seconds)
	case Duplicate:
		l.Duplicate = max(l.Duplicate, fault.Share)
	case Corrupt:
		l.Corrupt = max(l.Corrupt, fault.Share)
	case Kill, Wipe, Pause, Stall, ClockSkew: // faults of processes; the caller leaves them out
	}
}

// Deliver draws how one datagram is delivered: the delay in seconds of each copy that arrives, and whether the copies
// are corrupt.
func (l Link) Deliver(rnd *rand.Rand) (delays []float64, corrupt bool) {
	if l.Cut || draw(rnd, l.Loss) {
		return nil, false
	}
	delay := l.DelaySeconds
	if draw(rnd, l.Reorder) {
		delay += rnd.Float64() * l.ReorderSeconds
	}
	delays = []float64{delay}
	if draw(rnd, l.Duplicate) {
		delays = append(delays, delay+rnd.Float64()*maxDuplicateDelay)
	}
	return delays, draw(rnd, l.Corrupt)
}

// draw returns true with a probability. It uses no randomness where that is 0.
func draw(rnd *rand.Rand, probability float64) bool {
	return probability > 0 && rnd.Float64() < probability
}

// undelivered is the share of the datagrams that are lost or corrupt.
func (l Link) undelivered() float64 { return 1 - (1-l.Loss)*(1-l.Corrupt) }
