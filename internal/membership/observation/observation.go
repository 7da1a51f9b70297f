package observation

import (
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// Health is the health of an endpoint as observed by a witness. Its values are sent in datagrams.
type Health uint8

// The values of Health.
const (
	Failing Health = iota + 1 // errors, refused connections and timeouts
	Slow                      // late responses; only shown to operators, because all endpoints are slow during a burst
	Healthy                   // revokes an earlier Failing or Slow
)

// healthNames are the texts for operators. The text of Healthy is "well".
var healthNames = [...]string{Failing: "failing", Slow: "slow", Healthy: "well"}

func (h Health) valid() bool { return h >= Failing && h <= Healthy }

// String returns the text for operators, which is "nothing" for a value that is not one of the constants.
func (h Health) String() string {
	if !h.valid() {
		return "nothing"
	}
	return healthNames[h]
}

// Observation is one witness's observation of one endpoint.
type Observation struct {
	Witness            swim.MemberID
	WitnessStartMillis uint64 // start time of the witness, Unix ms
	Sequence           uint32 // sequence number among the witness's observations since that start
	Endpoint           routing.EndpointID
	Health             Health
	Zone               string // zone of the witness
	Signed             []byte // signed encoding, opaque to this package; nil in observations by this router
}

// Doubt is the degree to which an endpoint's health is doubted. The tracker returns a doubt when it changes.
type Doubt struct {
	Endpoint routing.EndpointID
	Level    float64 // 0 to 1; 0 ends the doubt
	Until    float64 // expiry time on the tracker's clock, s
}

// Classify returns the health of an endpoint that the result of an attempt implies, and false if it implies none. A
// response is late if it exceeds the latency objective of its request. A result caused by the request or its client
// implies nothing about the endpoint. An overloaded endpoint is slow, not failing.
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
	case routing.Cancelled, routing.NotSent: // caused by the client or this router
	}
	return 0, false
}
