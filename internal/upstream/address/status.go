package address

import (
	"math"

	"cairnfront/routing"
)

// disabledCooldown is the cooldown reported to operators for a disabled address, which lasts until an operator ends it.
const disabledCooldown = -1

// Status is the state of an address as reported to operators.
type Status struct {
	Endpoint         routing.EndpointID `json:"member"`
	Addr             Addr               `json:"address"`
	Condition        string             `json:"state"`   // Condition.WireName
	SinceSeconds     float64            `json:"since_s"` // time since the condition was set
	CooldownSeconds  float64            `json:"rest_s"`  // remaining cooldown; -1 for a disabled address
	ConnectSeconds   float64            `json:"connect_s"`
	FirstByteSeconds float64            `json:"first_byte_s"` // mean response time (see ResponseReceived); 0 if unknown
	Rank             int                `json:"rank"`
}

// Status returns the status of every address, in dial order.
func (s *Selector) Status(now float64) []Status {
	s.advance(now)
	var list []Status
	for _, id := range s.ids() {
		for rank, a := range s.endpoints[id].byPreference() {
			list = append(list, Status{
				Endpoint:         id,
				Addr:             a.Addr,
				Condition:        a.condition.WireName(),
				SinceSeconds:     s.now - a.changedAt,
				CooldownSeconds:  a.cooldownLeft(s.now),
				ConnectSeconds:   a.connectSeconds.mean(),
				FirstByteSeconds: a.responseSeconds.mean(),
				Rank:             rank,
			})
		}
	}
	return list
}

// cooldownLeft returns the remaining seconds of the address's cooldown, as reported to operators.
func (a *address) cooldownLeft(now float64) float64 {
	left := max(a.cooldownUntil-now, 0)
	if math.IsInf(left, 1) {
		return disabledCooldown
	}
	return left
}
