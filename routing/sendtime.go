package routing

import "slices"

// Sampling of sending times per class.
const (
	maxSendSamples = 256 // chunks sampled per class: sending times vary widely
	minSendSamples = 8   // sampled chunks required before their mean is used
)

// setSize sets the size of a request. A client may claim too small a size; the size is then the largest that a client
// has claimed for the chunk, as far as the shortest answer with it allows.
//
// It guards against clients that claim small sizes for large chunks, which concerns all clients: their answers count as
// late and lower the limits, and their requests are the first of the queue. Where all claims for a chunk are true they
// stay as they are, and too large a claim raises another only to what answers show. Uncacheable requests for a chunk
// differ in size.
func (r *Router) setSize(req *request) {
	req.sizeKnown = req.SizeKB > 0
	if !req.sizeKnown {
		req.SizeKB = unknownSizeKB
		return
	}
	if r.uncacheable(req) {
		return
	}
	c := req.chunk
	c.largestClaimKB = max(c.largestClaimKB, req.SizeKB)
	shownKB := c.sendSeconds * r.number(SettingTransferRate, 0)
	req.SizeKB = max(req.SizeKB, min(c.largestClaimKB, shownKB))
}

// setSendTime sets the expected sending time of a request and its latency objective, which depends on that. If its size
// and the transfer rate are known, they determine the sending time. Otherwise it is the mean of its class, bounded by
// the objective, so that late answers are still detected where congestion stretches all answers.
func (r *Router) setSendTime(req *request) {
	class := r.class(req.Class)
	if pace := r.number(SettingTransferRate, 0); req.sizeKnown && pace > 0 {
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

// recordSendTime records the duration of an answer with a chunk. Each chunk is sampled once, so that clients that
// request a few chunks often do not determine the mean; its sending time is that of its shortest answer, because
// congestion stretches answers.
func (c *class) recordSendTime(sent *chunk, seconds float64) {
	if sent.sendSeconds == 0 || seconds < sent.sendSeconds {
		sent.sendSeconds = seconds
	}
	if !slices.Contains(c.sampledChunks, sent) {
		c.sampledChunks = appendSample(c.sampledChunks, sent, maxSendSamples)
	}
}

// meanSendSeconds returns the mean sending time of the class's chunks, or its objective if there are too few samples.
func (c *class) meanSendSeconds() float64 {
	if len(c.sampledChunks) < minSendSamples {
		return c.objectiveSeconds
	}
	sum := 0.0
	for _, sampled := range c.sampledChunks {
		sum += sampled.sendSeconds
	}
	return sum / float64(len(c.sampledChunks))
}
