package observation

import (
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// Health is what a witness saw of an endpoint. Its values are on the wire.
type Health uint8

// The kinds of health.
const (
	Failing Health = iota + 1 // errors, refused connections and timeouts
	Slow                      // late answers; operators see them, but they raise no doubt: under a burst all are slow
	Healthy                   // takes either back
)

var healthNames = [...]string{Failing: "failing", Slow: "slow", Healthy: "well"}

func (h Health) valid() bool { return h >= Failing && h <= Healthy }

func (h Health) String() string {
	if !h.valid() {
		return "nothing"
	}
	return healthNames[h]
}

// Observation is what one witness observed of one endpoint.
type Observation struct {
	Witness            swim.MemberID
	WitnessStartMillis uint64 // the start of the witness, Unix ms
	Sequence           uint32 // of the witness's observations since that start
	Endpoint           routing.EndpointID
	Health             Health
	Zone               string // of the witness
	Signed             []byte // the signed encoding, opaque to this package; nil for an own one
}

// Doubt is how much an endpoint's health is doubted. It is given where it changes.
type Doubt struct {
	Endpoint routing.EndpointID
	Level    float64 // from 0, which ends a doubt, to 1
	Until    float64 // on the tracker's clock, s
}

// Classify is what the end of an attempt says about its endpoint, if anything. An answer is late after the
// latency objective of its request. What the request or its client caused says nothing; an overloaded endpoint is
// slow, not failing.
func Classify(result routing.AttemptResult, late bool) (health Health, ok bool) {
	switch result {
	case routing.Completed, routing.CacheMiss:
		if late {
			return Slow, true
		}
		return Healthy, true
	case routing.Overloaded:
		return Slow, true
	case routing.ServerError, routing.ConnectFailed, routing.ConnectionBroken, routing.TimedOut:
		return Failing, true
	case routing.Cancelled, routing.NotSent: // the request's or this router's doing
	}
	return 0, false
}
