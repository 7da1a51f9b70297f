package swim

import "math"

// Times in seconds.
const (
	minAckTimeout       = 0.08 // a pause of the garbage collector or of the scheduler is shorter
	maxAckTimeout       = 2.0  // a member with a longer round trip is no help in a probe
	initialAckTimeout   = 0.15 // until a round trip time is known
	maxScaledAckTimeout = 2.0  // with the health score: a probe must not outlast a short failure

	deviationsOfTimeout = 4        // deviations over the mean round trip time: TCP's factor
	rttGain             = 1.0 / 8  // of a sample: TCP's
	deviationGain       = 1.0 / 4  // of a sample: TCP's
	lossGain            = 1.0 / 32 // of a sample
)

// roundTrips estimates from own probes how long an ack takes and how many are lost.
type roundTrips struct {
	mean      float64 // smoothed time from ping to ack, s; 0: unknown
	deviation float64 // s
	lossRate  float64 // smoothed share of first pings that were lost, at members that acked the second
}

func (r *roundTrips) sampleTime(seconds float64) {
	if r.mean == 0 {
		r.mean = seconds
		r.deviation = seconds / 2
		return
	}
	r.deviation += (math.Abs(seconds-r.mean) - r.deviation) * deviationGain
	r.mean += (seconds - r.mean) * rttGain
}

func (r *roundTrips) sampleLoss(lost bool) {
	r.lossRate += (float64(boolToInt(lost)) - r.lossRate) * lossGain
}

// ackTimeout is how long an ack may take, in seconds: the smoothed round trip time and four deviations, longer with
// our health score.
func (c *Core) ackTimeout() float64 {
	timeout := unscaledAckTimeout(c.roundTrips)
	if c.config.PublishedSWIM {
		return timeout
	}
	return scaledAckTimeout(timeout, c.health)
}

func unscaledAckTimeout(r roundTrips) float64 {
	if r.mean <= 0 {
		return initialAckTimeout
	}
	return min(max(r.mean+deviationsOfTimeout*r.deviation, minAckTimeout), maxAckTimeout)
}

// scaledAckTimeout never shortens a timeout: one over maxScaledAckTimeout stays as it is.
func scaledAckTimeout(timeout float64, health healthScore) float64 {
	return max(timeout, min(timeout*health.multiplier(), maxScaledAckTimeout))
}
