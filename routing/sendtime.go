package routing

// Sending times that are learned from samples, of a class.
const (
	maxSendSamples = 64 // last sending times of a class that its mean is taken of: these vary widely
	minSendSamples = 8  // number of these before their mean is used
)

// setSendTime sets how long a request takes to send, and its objective with that. Where its size and the pace are known
// the time follows from them, and is a sample of its class's.
//
// Where they are not, the time is the mean of its class's answers from caches, which wait for no fill. It guards
// against attempts that count as no work at all: each router then sends a cold endpoint its usual load, and it goes
// down again (rule 4). Until there are enough samples, and where congestion stretches them, it is the objective at
// most, so that late answers still show.
func (r *Router) setSendTime(req *request, sizeKnown bool) {
	class := r.class(req.Class)
	if pace := r.number(SettingTransferRate, 0); sizeKnown && pace > 0 {
		req.sendSeconds = req.SizeKB / pace
		class.recordSendTime(req.sendSeconds)
	} else {
		req.sendTimeLearned = true
		learned := meanIfEnough(class.sendSecondsSamples, minSendSamples, class.objectiveSeconds)
		req.sendSeconds = min(learned, class.objectiveSeconds)
	}
	req.objectiveSeconds = class.objectiveSeconds + req.sendSeconds*class.objectiveStretch
}

// learnSendTime takes the time of an answer from a cache as a sample, where its request's size is not known.
func (r *Router) learnSendTime(req *request, end AttemptEnded) {
	if req.sendTimeLearned && end.answeredFromCache() {
		r.class(req.Class).recordSendTime(end.ElapsedSeconds)
	}
}

func (c *class) recordSendTime(seconds float64) {
	c.sendSecondsSamples = appendSample(c.sendSecondsSamples, seconds, maxSendSamples)
}
