package address

import (
	"math"
	"slices"

	"cairnfront/routing"
)

const (
	// minSilenceSeconds is the least wait without input after which an address is held to be silent. It is
	// under the wait after which an endpoint is ejected (0.35 s).
	minSilenceSeconds = 0.12

	// silenceFactor is how many usual waits for a first byte tell of silence.
	silenceFactor = 4.0

	// firstCooldownSeconds and maxCooldownSeconds bound the cooldown of an address that a probe can reinstate.
	firstCooldownSeconds = 0.2
	maxCooldownSeconds   = 5.0

	// maxSilentCooldownSeconds bounds the cooldown of a silent address: only an attempt or a health check can
	// tell that it responds.
	maxSilentCooldownSeconds = 20.0

	// cooldownGrowth bounds a cooldown by the one before it (decorrelated jitter).
	cooldownGrowth = 3.0

	// healthyResetSeconds is how long an address has to respond until its next cooldown is a first one again.
	// An address that flaps does not reset it.
	healthyResetSeconds = 2.0
)

// Condition says what is held against an address.
type Condition int

// The conditions. A connection alone does not reinstate an address that is Silent or Disabled.
const (
	Healthy  Condition = iota
	Refused            // a dial was refused
	TimedOut           // a dial was not established in its time
	Broken             // a connection ended while attempts were open on it
	Silent             // it accepted, took an attempt and sent nothing
	Disabled           // by an operator
)

// conditionNames has the names of the conditions in printed text.
var conditionNames = [...]string{
	Healthy:  "healthy",
	Refused:  "connect_refused",
	TimedOut: "connect_timed_out",
	Broken:   "connection_broken",
	Silent:   "unresponsive",
	Disabled: "disabled",
}

// conditionWireNames has the names of the conditions in the JSON of a Status.
var conditionWireNames = [...]string{
	Healthy:  "well",
	Refused:  "refused",
	TimedOut: "hung",
	Broken:   "broken",
	Silent:   "quiet",
	Disabled: "by-hand",
}

// String returns the condition's name in printed text.
func (c Condition) String() string { return conditionNames[c] }

// WireName returns the condition's name in the JSON of a Status.
func (c Condition) WireName() string { return conditionWireNames[c] }

// ParseConditionWireName returns the condition with a name in the JSON of a Status, and false for an unknown name.
func ParseConditionWireName(name string) (Condition, bool) {
	for condition := Healthy; condition <= Disabled; condition++ {
		if condition.WireName() == name {
			return condition, true
		}
	}
	return Healthy, false
}

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
		if a.condition == Refused || a.condition == TimedOut || a.condition == Broken {
			a.reinstate(s.now)
		}
	case DialRefused:
		s.startCooldown(e, a, Refused)
	case DialTimedOut:
		s.startCooldown(e, a, TimedOut)
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
	if a == nil || len(e.addresses) < 2 || a.condition == Disabled {
		return false
	}
	if a.condition == Silent && a.inCooldown(s.now) {
		return true
	}
	if waitSeconds < max(minSilenceSeconds, silenceFactor*a.firstByteSeconds.mean()) {
		return false
	}
	s.startCooldown(e, a, Silent)
	return true
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

// startCooldown puts an address into cooldown. Cooldowns grow by decorrelated jitter until the address has responded
// for a while.
func (s *Selector) startCooldown(e *endpoint, a *address, condition Condition) {
	a.inTrial = false
	repeated := a.condition == condition && a.inCooldown(s.now)
	if a.condition == Disabled || len(e.addresses) < 2 || repeated {
		return
	}
	if a.healthySince > 0 && s.now-a.healthySince >= healthyResetSeconds {
		a.lastCooldownSeconds = 0
	}
	longest := maxCooldownSeconds
	if condition == Silent {
		longest = maxSilentCooldownSeconds
		e.inDoubt = true
	}
	a.healthySince = 0
	previous := max(a.lastCooldownSeconds, firstCooldownSeconds)
	a.lastCooldownSeconds = min(longest, firstCooldownSeconds+s.random()*(previous*cooldownGrowth-firstCooldownSeconds))
	a.condition = condition
	a.changedAt = s.now
	a.cooldownUntil = s.now + a.lastCooldownSeconds
	if condition == Refused || condition == TimedOut {
		a.connectSeconds = nil
	}
}

// reinstate ends an address's cooldown.
func (a *address) reinstate(now float64) {
	a.condition = Healthy
	a.changedAt = now
	a.cooldownUntil = 0
}

// Disable takes an address out of use until Reinstate, for an operator. It returns false for an unknown address, and
// for the endpoint's last one that is not disabled.
func (s *Selector) Disable(now float64, id routing.EndpointID, addr Addr) bool {
	e, a := s.lookup(now, id, addr)
	if a == nil {
		return false
	}
	othersEnabled := slices.ContainsFunc(e.addresses, func(other *address) bool {
		return other != a && other.condition != Disabled
	})
	if !othersEnabled {
		return false
	}
	a.condition = Disabled
	a.changedAt = s.now
	a.cooldownUntil = math.Inf(1)
	return true
}

// Reinstate ends any cooldown of an address, for an operator. It returns false for an unknown address.
func (s *Selector) Reinstate(now float64, id routing.EndpointID, addr Addr) bool {
	_, a := s.lookup(now, id, addr)
	if a == nil {
		return false
	}
	a.reinstate(s.now)
	a.lastCooldownSeconds = 0
	a.inTrial = false
	return true
}
