package address

import (
	"slices"

	"cairnfront/routing"
)

const (
	// minSilenceSeconds is the minimum wait without input after which an address is considered silent. It is shorter
	// than the silence after which routing ejects an endpoint, so that the address is marked as faulty before its
	// endpoint is.
	minSilenceSeconds = 0.12

	// silenceFactor is the multiple of the mean response time after which an address is considered silent.
	silenceFactor = 4.0
)

// DialResult is the result of dialing an address.
type DialResult int

// Results of a dial.
const (
	DialSucceeded    DialResult = iota
	DialRefused                 // refused, or failed immediately for another reason
	DialTimedOut                // timed out
	DialInconclusive            // cancelled, or failed for lack of local resources; reveals nothing about the address
)

// lookup returns an endpoint and one of its addresses. The address is nil if the endpoint does not have it; both are
// nil for an unknown endpoint.
func (s *Selector) lookup(now float64, id routing.EndpointID, addr Addr) (*endpoint, *address) {
	s.advance(now)
	e := s.endpoints[id]
	if e == nil {
		return nil, nil
	}
	return e, e.find(addr)
}

// AttemptSent reports that an attempt was started over an address. If the address is silent, the attempt is its trial,
// and no other attempt is sent there.
func (s *Selector) AttemptSent(now float64, id routing.EndpointID, addr Addr) {
	if _, a := s.lookup(now, id, addr); a != nil && a.condition == Silent {
		a.inTrial = true
	}
}

// DialEnded reports the result of dialing an address. The duration of the dial, in seconds, is used only if it
// succeeded.
func (s *Selector) DialEnded(now float64, id routing.EndpointID, addr Addr, result DialResult, seconds float64) {
	e, a := s.lookup(now, id, addr)
	if a == nil {
		return
	}
	a.probing = false
	switch result {
	case DialSucceeded:
		a.connectSeconds.add(seconds)
		if a.condition.clearedByConnection() {
			a.reinstate(s.now)
		}
	case DialRefused:
		s.startCooldown(e, a, Refused)
	case DialTimedOut:
		s.startCooldown(e, a, TimedOut)
	case DialInconclusive: // reveals nothing about the address
	}
}

// ResponseReceived reports that an endpoint sent a response over an address. WaitSeconds is the response time: from the
// start of writing the attempt or health check until its end, after the complete response, is handled.
func (s *Selector) ResponseReceived(now float64, id routing.EndpointID, addr Addr, waitSeconds float64) {
	_, a := s.lookup(now, id, addr)
	if a == nil || a.condition == Disabled {
		return
	}
	a.responseSeconds.add(waitSeconds)
	a.respondedAt = s.now
	a.inTrial = false
	if a.condition != Healthy {
		a.reinstate(s.now)
	}
	if a.healthySince == 0 {
		a.healthySince = s.now
	}
}

// MarkIfSilent reports that an attempt was written over an address waitSeconds ago and that no input has arrived on
// that connection since. It returns whether the address is now considered silent, so that no other attempt is sent
// there. Whether the endpoint itself is silent follows from its other addresses; see ReachableOverOtherAddress.
func (s *Selector) MarkIfSilent(now float64, id routing.EndpointID, addr Addr, waitSeconds float64) bool {
	e, a := s.lookup(now, id, addr)
	if a == nil || !e.hasAlternatives() || a.condition == Disabled {
		return false
	}
	if a.condition == Silent && a.inCooldown(s.now) {
		return true
	}
	if !isSilent(waitSeconds, a.responseSeconds.mean()) {
		return false
	}
	s.startCooldown(e, a, Silent)
	return true
}

// isSilent reports whether a wait without input is long enough for an address to count as silent, given its mean
// response time (0 if unknown).
//
// It guards against addresses that accept connections and attempts but never respond, as behind a broken forwarder:
// attempts there time out although the endpoint responds over another address. An address with slow responses does not
// count as silent, since the wait must be a multiple of its mean.
func isSilent(waitSeconds, usualSeconds float64) bool {
	return waitSeconds >= max(minSilenceSeconds, silenceFactor*usualSeconds)
}

// ReachableOverOtherAddress reports whether an endpoint has sent a response over another address since the given time,
// or has another address that is usable now. In that case the silent address is at fault rather than its endpoint. If
// every other address is silent too, all are in cooldown and the next attempt fails immediately.
func (s *Selector) ReachableOverOtherAddress(now float64, id routing.EndpointID, addr Addr, since float64) bool {
	s.advance(now)
	e := s.endpoints[id]
	return e != nil && slices.ContainsFunc(e.addresses, func(a *address) bool {
		return a.Addr != addr && (a.respondedAt > since || a.isUsable(s.now, false))
	})
}

// ConnectionBroken reports that a connection over an address ended while attempts were open on it.
func (s *Selector) ConnectionBroken(now float64, id routing.EndpointID, addr Addr) {
	if e, a := s.lookup(now, id, addr); a != nil {
		s.startCooldown(e, a, Broken)
	}
}
