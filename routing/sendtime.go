package routing

// Sampling of sending times per class.
const (
	maxSendSamples = 256 // chunks sampled per class: sending times vary widely
	minSendSamples = 8   // sampled chunks required before their mean is used
)

// sendSample is the sending time of a chunk: the duration of the shortest answer with it.
type sendSample struct {
	chunk   *chunk
	seconds float64
}

// setSendTime sets the expected sending time of a request and its latency objective, which depends on that. If its size
// and the transfer rate are known, they determine the sending time. Otherwise it is the mean of its class, bounded by
// the objective, so that late answers are still detected where congestion stretches all answers.
func (r *Router) setSendTime(req *request, sizeKnown bool) {
	class := r.class(req.Class)
	if pace := r.number(SettingTransferRate, 0); sizeKnown && pace > 0 {
		req.sendSeconds = req.SizeKB / pace
	} else {
		req.sendSeconds = min(class.meanSendSeconds(), class.objectiveSeconds)
	}
	req.objectiveSeconds = class.objectiveSeconds + req.sendSeconds*class.objectiveStretch
}

// observeSendTime records the duration of an answer as a sample, if it brought the chunk without a fill: from a copy,
// or of an uncacheable class.
//
// It guards against clients that determine what an attempt of others costs an endpoint in slow start (rule 4). The size
// of a request is the client's claim, so it is no sample: if it is too small, the endpoint gets more than it can do and
// fails again, and if it is too large, the endpoint gets nothing.
func (r *Router) observeSendTime(req *request, end AttemptEnded) {
	if !end.NotModified && (end.answeredFromCache() || r.uncacheable(req)) {
		r.class(req.Class).recordSendTime(req.chunk, end.ElapsedSeconds)
	}
}

// recordSendTime records a sample of a chunk. Each chunk has one, so that clients that request a few chunks often do
// not determine the mean; it is the shortest, because congestion stretches answers.
func (c *class) recordSendTime(sent *chunk, seconds float64) {
	for i := range c.sendSamples {
		if known := &c.sendSamples[i]; known.chunk == sent {
			known.seconds = min(known.seconds, seconds)
			return
		}
	}
	c.sendSamples = appendSample(c.sendSamples, sendSample{sent, seconds}, maxSendSamples)
}

// meanSendSeconds returns the mean sending time of the class's chunks, or its objective if there are too few samples.
func (c *class) meanSendSeconds() float64 {
	if len(c.sendSamples) < minSendSamples {
		return c.objectiveSeconds
	}
	sum := 0.0
	for _, sample := range c.sendSamples {
		sum += sample.seconds
	}
	return sum / float64(len(c.sendSamples))
}
