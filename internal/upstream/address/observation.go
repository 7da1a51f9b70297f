package address

import (
	"slices"

	"cairnfront/routing"
)

const (
	// minSilenceSeconds is the least wait without input after which an address is held to be silent. It is under the
	// silence for which routing ejects an endpoint, so that the address is at fault before its endpoint is.
	minSilenceSeconds = 0.12

	// silenceFactor is how many usual waits for a first byte tell of silence.
	silenceFactor = 4.0
)

// DialResult says how a dial of an address ended.
type DialResult int

// The results of a dial.
const (
	DialSucceeded    DialResult = iota
	DialRefused                 // refused, or failed at once in another way
	DialTimedOut                // not established in its time
	DialInconclusive            // called off, or failed for want of local resources: it says nothing of the address
)

// lookup returns an endpoint and one of its addresses, nil where it has not that address.
func (s *Selector) lookup(now float64, id routing.EndpointID, addr Addr) (*endpoint, *address) {
	s.advance(now)
	e := s.endpoints[id]
	if e == nil {
		return nil, nil
	}
	return e, e.find(addr)
}

// AttemptSent says that an attempt is on its way over an address. The one that tries a silent address is the only one
// there.
func (s *Selector) AttemptSent(now float64, id routing.EndpointID, addr Addr) {
	if _, a := s.lookup(now, id, addr); a != nil && a.condition == Silent {
		a.inTrial = true
	}
}

// DialEnded says how a dial of an address ended, and for one that succeeded how long it took.
func (s *Selector) DialEnded(now float64, id routing.EndpointID, addr Addr, result DialResult, seconds float64) {
	e, a := s.lookup(now, id, addr)
	if a == nil {
		return
	}
	a.probing = false
	switch result {
	case DialSucceeded:
		a.connectSeconds.add(seconds)
		if a.condition.endsWithConnection() {
			a.reinstate(s.now)
		}
	case DialRefused:
		s.startCooldown(e, a, Refused)
	case DialTimedOut:
		s.startCooldown(e, a, TimedOut)
	case DialInconclusive: // says nothing of the address
	}
}

// ResponseReceived says that an endpoint sent something over an address, so many seconds after what it responds to
// was written.
func (s *Selector) ResponseReceived(now float64, id routing.EndpointID, addr Addr, waitSeconds float64) {
	_, a := s.lookup(now, id, addr)
	if a == nil || a.condition == Disabled {
		return
	}
	a.firstByteSeconds.add(waitSeconds)
	a.respondedAt = s.now
	a.inTrial = false
	if a.condition != Healthy {
		a.reinstate(s.now)
	}
	if a.healthySince == 0 {
		a.healthySince = s.now
	}
}

// AwaitingResponse says that an attempt was written over an address so many seconds ago and no input came over that
// connection since. It returns whether the address is now held to be silent, so that no other attempt goes there.
// Whether the endpoint is silent follows from its other addresses; see ReachableElsewhere.
func (s *Selector) AwaitingResponse(now float64, id routing.EndpointID, addr Addr, waitSeconds float64) bool {
	e, a := s.lookup(now, id, addr)
	if a == nil || !e.hasAlternatives() || a.condition == Disabled {
		return false
	}
	if a.condition == Silent && a.inCooldown(s.now) {
		return true
	}
	if !isSilent(waitSeconds, a.firstByteSeconds.mean()) {
		return false
	}
	s.startCooldown(e, a, Silent)
	return true
}

// isSilent says whether a wait without input tells of silence over an address with a usual wait for a first byte; that
// is 0 where it is not known.
//
// It guards against addresses that accept connections and take attempts but never respond, as behind a broken
// forwarder: attempts there run into their deadline although the endpoint responds over another address. An address
// with slow responses is not held to be silent, since the wait has to be a multiple of what is usual there.
func isSilent(waitSeconds, usualSeconds float64) bool {
	return waitSeconds >= max(minSilenceSeconds, silenceFactor*usualSeconds)
}

// ReachableElsewhere says whether an endpoint has sent something over another address since a time, or may be asked
// over another one now: then a silent address is at fault before its endpoint is. Where every other address is
// silent too, all are in cooldown, and the next attempt fails at once.
func (s *Selector) ReachableElsewhere(now float64, id routing.EndpointID, addr Addr, since float64) bool {
	s.advance(now)
	e := s.endpoints[id]
	return e != nil && slices.ContainsFunc(e.addresses, func(a *address) bool {
		return a.Addr != addr && (a.respondedAt > since || a.isUsable(s.now, false))
	})
}

// ConnectionBroken says that a connection over an address ended while attempts were open on it.
func (s *Selector) ConnectionBroken(now float64, id routing.EndpointID, addr Addr) {
	if e, a := s.lookup(now, id, addr); a != nil {
		s.startCooldown(e, a, Broken)
	}
}
