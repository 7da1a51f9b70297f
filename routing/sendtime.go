package routing

// Sampling of sending times per class.
const (
	maxSendSamples = 64 // recent sending times sampled per class: they vary widely
	minSendSamples = 8  // sending times required before their mean is used
)

// setSendTime sets the expected sending time of a request and its latency objective, which depends on that. If its size
// and the transfer rate are known, they determine the sending time, which is also a sample of its class.
//
// Otherwise the sending time is the mean of the class's samples: the known sending times, and the durations of other
// requests' answers from caches, which include no fill. This guards against attempts that count as no work: each router
// would then send an endpoint in slow start its usual load, and the endpoint would fail again (rule 4). With too few
// samples, or with samples stretched by congestion, the sending time is bounded by the objective, so that late answers
// are still detected.
func (r *Router) setSendTime(req *request, sizeKnown bool) {
	class := r.class(req.Class)
	if pace := r.number(SettingTransferRate, 0); sizeKnown && pace > 0 {
		req.sendSeconds = req.SizeKB / pace
		class.recordSendTime(req.sendSeconds)
	} else {
		req.sendTimeEstimated = true
		learned := meanIfEnough(class.sendSecondsSamples, minSendSamples, class.objectiveSeconds)
		req.sendSeconds = min(learned, class.objectiveSeconds)
	}
	req.objectiveSeconds = class.objectiveSeconds + req.sendSeconds*class.objectiveStretch
}

// observeSendTime records the duration of an answer from a cache as a sample if its request's sending time is
// estimated.
func (r *Router) observeSendTime(req *request, end AttemptEnded) {
	if req.sendTimeEstimated && end.answeredFromCache() {
		r.class(req.Class).recordSendTime(end.ElapsedSeconds)
	}
}

func (c *class) recordSendTime(seconds float64) {
	c.sendSecondsSamples = appendSample(c.sendSecondsSamples, seconds, maxSendSamples)
}
