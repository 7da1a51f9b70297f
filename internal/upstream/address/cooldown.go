package address

import (
	"math"
	"slices"

	"cairnfront/routing"
)

const (
	// minCooldownSeconds and maxCooldownSeconds are the minimum and maximum cooldown of an address that a probe can
	// reinstate.
	minCooldownSeconds = 0.2
	maxCooldownSeconds = 5.0

	// maxSilentCooldownSeconds is the maximum cooldown of a silent address: only an attempt or a health check can show
	// that it responds.
	maxSilentCooldownSeconds = 20.0

	// cooldownGrowth limits a cooldown to a multiple of the previous one (decorrelated jitter).
	cooldownGrowth = 3.0

	// healthyResetSeconds is how long an address must respond without failures before its cooldown is reset to the
	// minimum. A flapping address does not reach it.
	healthyResetSeconds = 2.0
)

// Condition is the health state of an address. The table lists all transitions; only address.setCondition performs
// them. A fault is Refused, TimedOut, Broken or Silent:
//
//	from                       to        when
//	Healthy                    a fault   a dial, a connection or an attempt failed that way (startCooldown)
//	a fault                    a fault   another kind of failure, or one after its cooldown (startCooldown)
//	Refused, TimedOut, Broken  Healthy   a dial succeeded (DialEnded)
//	a fault                    Healthy   a response arrived (ResponseReceived)
//	any                        Disabled  an operator disabled it (Disable)
//	any                        Healthy   an operator reinstated it (Reinstate)
//
// Only an operator can change the condition of a Disabled address.
type Condition int

// Conditions of an address. An established connection alone does not reinstate an address that is Silent or Disabled.
const (
	Healthy  Condition = iota
	Refused            // a dial was refused
	TimedOut           // a dial timed out
	Broken             // a connection broke while attempts were open on it
	Silent             // it accepted a connection and an attempt, but sent no response
	Disabled           // disabled by an operator
	conditionCount
)

// conditionNames lists the names of the conditions for log lines and other printed text.
var conditionNames = [...]string{
	Healthy:  "healthy",
	Refused:  "connect_refused",
	TimedOut: "connect_timed_out",
	Broken:   "connection_broken",
	Silent:   "unresponsive",
	Disabled: "disabled",
}

// conditionWireNames lists the names of the conditions in the JSON of a Status.
var conditionWireNames = [...]string{
	Healthy:  "well",
	Refused:  "refused",
	TimedOut: "hung",
	Broken:   "broken",
	Silent:   "quiet",
	Disabled: "by-hand",
}

// String returns the condition's name for printed text.
func (c Condition) String() string { return conditionNames[c] }

// WireName returns the condition's name in the JSON of a Status.
func (c Condition) WireName() string { return conditionWireNames[c] }

// ParseConditionWireName returns the condition that has the given name in the JSON of a Status. It returns false for an
// unknown name.
func ParseConditionWireName(name string) (Condition, bool) {
	for condition := Healthy; condition <= Disabled; condition++ {
		if condition.WireName() == name {
			return condition, true
		}
	}
	return Healthy, false
}

// clearedByConnection reports whether an established connection shows that the fault is over.
func (c Condition) clearedByConnection() bool { return c == Refused || c == TimedOut || c == Broken }

// setCondition changes the condition of an address and ends the trial of a silent address. It reports whether the
// change is allowed: a fault must not bring a disabled address back into use.
func (a *address) setCondition(now float64, to Condition) bool {
	if a.condition == Disabled && to != Healthy && to != Disabled {
		return false
	}
	a.condition = to
	a.changedAt = now
	a.inTrial = false
	return true
}

// startCooldown puts an address into cooldown. Cooldowns grow with decorrelated jitter until the address has responded
// for healthyResetSeconds.
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
		e.needsHealthCheck = true
	case Refused, TimedOut:
		a.connectSeconds = nil
	case Healthy, Broken, Disabled, conditionCount: // no further state changes
	}
}

// cooldownSeconds returns the duration of a cooldown, given the previous one (0 if there was none) and a random number
// from 0 to 1.
//
// It guards against addresses that fail repeatedly: each failure makes attempts wait in vain for a dial or a response.
// The duration is random, so that routers that observed the same failure do not all probe at the same time.
func cooldownSeconds(previous float64, fault Condition, randomFraction float64) float64 {
	longest := maxCooldownSeconds
	if fault == Silent {
		longest = maxSilentCooldownSeconds
	}
	spread := max(previous, minCooldownSeconds)*cooldownGrowth - minCooldownSeconds
	return min(longest, minCooldownSeconds+randomFraction*spread)
}

// reinstate ends an address's cooldown.
func (a *address) reinstate(now float64) {
	a.setCondition(now, Healthy)
	a.cooldownUntil = 0
}

// Disable takes an address out of use until Reinstate is called, on behalf of an operator. It returns false for an
// unknown address, and for the last address of the endpoint that is not disabled.
func (s *Selector) Disable(now float64, id routing.EndpointID, addr Addr) bool {
	e, a := s.lookup(now, id, addr)
	if a == nil || !e.hasOtherEnabled(a) {
		return false
	}
	a.setCondition(s.now, Disabled)
	a.cooldownUntil = math.Inf(1)
	return true
}

// hasOtherEnabled reports whether the endpoint has another address that is not disabled.
func (e *endpoint) hasOtherEnabled(a *address) bool {
	return slices.ContainsFunc(e.addresses, func(other *address) bool {
		return other != a && other.condition != Disabled
	})
}

// Reinstate ends the cooldown of an address on behalf of an operator. It returns false for an unknown address.
func (s *Selector) Reinstate(now float64, id routing.EndpointID, addr Addr) bool {
	_, a := s.lookup(now, id, addr)
	if a == nil {
		return false
	}
	a.reinstate(s.now)
	a.lastCooldownSeconds = 0
	return true
}

// inCooldown reports whether the address is currently excluded from attempts.
func (a *address) inCooldown(now float64) bool { return now < a.cooldownUntil }
