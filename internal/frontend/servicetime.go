package frontend

import (
	"slices"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/routing"
)

// serviceTimeWeight is the weight of a response in the mean service time of its class.
const serviceTimeWeight = 0.125

// serviceTimes are the mean times in seconds from the handover of a request to its response, by class, of the responses
// on one connection. An entry takes about 20 bytes; there is at most one for each class of the settings.
type serviceTimes map[routing.ClassIndex]float64

// record adds the time that a request took.
func (s serviceTimes) record(class routing.ClassIndex, took time.Duration) {
	mean, known := s[class]
	if !known {
		s[class] = took.Seconds()
		return
	}
	s[class] = mean + serviceTimeWeight*(took.Seconds()-mean)
}

// mean returns the mean time of a class, 0 if none is known.
func (s serviceTimes) mean(class routing.ClassIndex) time.Duration {
	return time.Duration(s[class] * float64(time.Second))
}

// objective returns the latency objective of a class, 0 if the settings have none.
func (w *responseWriter) objective(class routing.ClassIndex) time.Duration {
	if class < 0 || int(class) >= len(w.objectives) {
		return 0
	}
	return w.objectives[class]
}

// lastHandOverLocked returns the time after which a request cannot be answered in time any more: by its deadline, an
// attempt has to be made, and what is sent before its response has to be written, as has the response itself.
func (w *responseWriter) lastHandOverLocked(r *request.Request) clock.Instant {
	deadline := clock.FromSeconds(r.Deadline)
	unsentBytes := w.writingBodyBytes + w.queue.bytesBefore(deadline) + w.window.sizes.expect(r)
	return deadline.Add(-w.window.times.mean(r.Class) - w.pace.timeFor(int64(unsentBytes)))
}

// rejection returns the response to a request that is rejected because of what its own connection holds, or because
// the process has no room for it.
func (w *responseWriter) rejection(r *request.Request, reason request.Reason) request.Response {
	return request.Response{
		Result:            request.Rejected,
		Reason:            reason,
		RetryAfterSeconds: min(w.expectedBacklogTime(r), w.maxRetryAfter).Seconds(),
	}
}

// expectedBacklogTime returns how long it is expected to take until there is room for a request: those that are open
// now end within their latency objective, and the client has to take what is unsent. A request that was not decoded
// counts as one of the class with the shortest objective.
func (w *responseWriter) expectedBacklogTime(r *request.Request) time.Duration {
	objective := w.objective(r.Class)
	if r.ClassName == unknownClass && len(w.objectives) > 0 {
		objective = slices.Min(w.objectives)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return objective + w.pace.timeFor(int64(w.writingBodyBytes+w.queue.bodyBytes()))
}
