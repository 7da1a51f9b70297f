package swim

import "math"

// Times in seconds.
const (
	minAckTimeout       = 0.08 // longer than a pause of the garbage collector or the scheduler
	maxAckTimeout       = 2.0  // a member with a longer round-trip time is of no use for probes
	initialAckTimeout   = 0.15 // before the first round-trip time sample
	maxScaledAckTimeout = 2.0  // limit of the scaling by health score, so that probes detect short failures

	timeoutDeviations = 4        // deviations above the mean round-trip time, as in TCP
	rttGain           = 1.0 / 8  // weight of a sample, as in TCP
	deviationGain     = 1.0 / 4  // weight of a sample, as in TCP
	lossGain          = 1.0 / 32 // weight of a sample
)

// roundTrips estimates the round-trip time and the loss rate from the probes of this router.
type roundTrips struct {
	mean      float64 // smoothed time from ping to ack, s; 0 if unknown
	deviation float64 // smoothed mean deviation of that time, s
	lossRate  float64 // smoothed fraction of probes whose first ping was lost and whose second one was acked
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

// ackTimeout returns the ack timeout in seconds: the smoothed round-trip time plus four deviations, scaled by this
// router's health score.
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
	return min(max(r.mean+timeoutDeviations*r.deviation, minAckTimeout), maxAckTimeout)
}

// scaledAckTimeout scales a timeout by the health score up to maxScaledAckTimeout. It never shortens a timeout: one
// above that limit is returned unchanged.
func scaledAckTimeout(timeout float64, health healthScore) float64 {
	return max(timeout, min(timeout*health.multiplier(), maxScaledAckTimeout))
}
