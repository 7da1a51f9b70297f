package address

import (
	"math"
	"slices"

	"cairnfront/routing"
)

const (
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

// Condition says what is held against an address. These are all transitions; address.setCondition makes them and no
// other. A fault is Refused, TimedOut, Broken or Silent:
//
//	from                       to        when
//	Healthy                    a fault   a dial, a connection or an attempt failed that way (startCooldown)
//	a fault                    a fault   likewise, another way or after its cooldown (startCooldown)
//	Refused, TimedOut, Broken  Healthy   a dial succeeded (DialEnded)
//	a fault                    Healthy   a response came (ResponseReceived)
//	any                        Disabled  an operator wants it (Disable)
//	any                        Healthy   an operator wants it (Reinstate)
//
// So nothing but an operator changes a Disabled address.
type Condition int

// The conditions. A connection alone does not reinstate an address that is Silent or Disabled.
const (
	Healthy  Condition = iota
	Refused            // a dial was refused
	TimedOut           // a dial was not established in its time
	Broken             // a connection ended while attempts were open on it
	Silent             // it accepted, took an attempt and sent nothing
	Disabled           // by an operator
	conditionCount
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

// endsWithConnection says whether a connection that is established shows that the fault is over.
func (c Condition) endsWithConnection() bool { return c == Refused || c == TimedOut || c == Broken }

// setCondition changes what is held against an address. A trial of a silent address is over with that. It says whether
// the change is allowed: a fault does not take a disabled address back into use.
func (a *address) setCondition(now float64, to Condition) bool {
	if a.condition == Disabled && to != Healthy && to != Disabled {
		return false
	}
	a.condition = to
	a.changedAt = now
	a.inTrial = false
	return true
}

// startCooldown puts an address into cooldown. Cooldowns grow by decorrelated jitter until the address has responded
// for a while.
func (s *Selector) startCooldown(e *endpoint, a *address, fault Condition) {
	a.inTrial = false
	repeated := a.condition == fault && a.inCooldown(s.now)
	if !e.hasAlternatives() || repeated || !a.setCondition(s.now, fault) {
		return
	}
	if a.healthySince > 0 && s.now-a.healthySince >= healthyResetSeconds {
		a.lastCooldownSeconds = 0
	}
	a.healthySince = 0
	a.lastCooldownSeconds = cooldownSeconds(a.lastCooldownSeconds, fault, s.random())
	a.cooldownUntil = s.now + a.lastCooldownSeconds
	switch fault {
	case Silent:
		e.inDoubt = true
	case Refused, TimedOut:
		a.connectSeconds = nil
	case Healthy, Broken, Disabled, conditionCount: // nothing more to note
	}
}

// cooldownSeconds returns how long a cooldown lasts, by the one before it, 0 for none, and by chance from 0 to 1.
//
// It guards against addresses that fail again and again: each time, attempts wait for a dial or a response in vain. The
// length varies by chance, so that routers that saw one failure do not all probe at once.
func cooldownSeconds(previous float64, fault Condition, chance float64) float64 {
	longest := maxCooldownSeconds
	if fault == Silent {
		longest = maxSilentCooldownSeconds
	}
	spread := max(previous, firstCooldownSeconds)*cooldownGrowth - firstCooldownSeconds
	return min(longest, firstCooldownSeconds+chance*spread)
}

// reinstate ends an address's cooldown.
func (a *address) reinstate(now float64) {
	a.setCondition(now, Healthy)
	a.cooldownUntil = 0
}

// Disable takes an address out of use until Reinstate, for an operator. It returns false for an unknown address, and
// for the endpoint's last one that is not disabled.
func (s *Selector) Disable(now float64, id routing.EndpointID, addr Addr) bool {
	e, a := s.lookup(now, id, addr)
	if a == nil || !e.hasOtherEnabled(a) {
		return false
	}
	a.setCondition(s.now, Disabled)
	a.cooldownUntil = math.Inf(1)
	return true
}

// hasOtherEnabled says whether another address of the endpoint is not disabled.
func (e *endpoint) hasOtherEnabled(a *address) bool {
	return slices.ContainsFunc(e.addresses, func(other *address) bool {
		return other != a && other.condition != Disabled
	})
}

// Reinstate ends any cooldown of an address, for an operator. It returns false for an unknown address.
func (s *Selector) Reinstate(now float64, id routing.EndpointID, addr Addr) bool {
	_, a := s.lookup(now, id, addr)
	if a == nil {
		return false
	}
	a.reinstate(s.now)
	a.lastCooldownSeconds = 0
	return true
}

// inCooldown says whether the address is not used for attempts now.
func (a *address) inCooldown(now float64) bool { return now < a.cooldownUntil }
