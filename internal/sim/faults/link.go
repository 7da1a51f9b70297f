package faults

import "math/rand/v2"

// maxDuplicateDelay is the maximum delay in seconds between a datagram and its duplicate.
const maxDuplicateDelay = 0.05

// Link is the state of a one-way link between two processes at a point in time. Shares are between 0 and 1.
type Link struct {
	Cut            bool
	Loss           float64 // share of lost datagrams
	Duplicate      float64 // share of duplicated datagrams
	Corrupt        float64 // share of corrupted datagrams
	Reorder        float64 // share of datagrams with an additional delay
	DelaySeconds   float64
	ReorderSeconds float64 // maximum additional delay of a reordered datagram
}

// LinkAt returns the state of the link from one process to another at a time in seconds since the start of the script.
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

// add combines a fault with the faults already applied to the link.
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
	case Kill, Wipe, Pause, Stall, ClockSkew: // process faults; the caller filters them out
	}
}

// Deliver decides at random how one datagram is delivered. It returns the delay in seconds of each copy that arrives,
// and whether the copies are corrupt.
func (l Link) Deliver(rnd *rand.Rand) (delays []float64, corrupt bool) {
	if l.Cut || randomBool(rnd, l.Loss) {
		return nil, false
	}
	delay := l.DelaySeconds
	if randomBool(rnd, l.Reorder) {
		delay += rnd.Float64() * l.ReorderSeconds
	}
	delays = []float64{delay}
	if randomBool(rnd, l.Duplicate) {
		delays = append(delays, delay+rnd.Float64()*maxDuplicateDelay)
	}
	return delays, randomBool(rnd, l.Corrupt)
}

// randomBool returns true with the given probability. It draws no random number if the probability is 0.
func randomBool(rnd *rand.Rand, probability float64) bool {
	return probability > 0 && rnd.Float64() < probability
}

// undelivered returns the share of datagrams that are lost or corrupt.
func (l Link) undelivered() float64 { return 1 - (1-l.Loss)*(1-l.Corrupt) }
