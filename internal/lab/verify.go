package lab

import (
	"cairnfront/internal/lab/report"
)

// Times that the rules allow, in seconds.
const (
	drainGraceSeconds = 1.0 // after a drain was delivered, for which requests may still come
	purgeGraceSeconds = 0.5 // after a purge was delivered, for which older responses may still come
)

// evidence is what clients, the origin and the discovery server recorded of a run. The checks read nothing else: in
// particular no counter of the router.
type evidence struct {
	responses       []observedResponse
	purges          []deliveredPurge
	executions      map[string]int // runs of a request, by its idempotency key
	secondResponses int64          // responses to a stream that had its own already
	groups          int            // purge groups that objects are spread over
}

// deliveredPurge is a published purge and the time by which it had been delivered to all, Unix s.
type deliveredPurge struct {
	publishedPurge
	deliveredAt float64
}

// verify checks the rules that hold in every scenario.
func (e *evidence) verify(r *report.Report) {
	countOutcomes(r, e)
	answeredInTime(r, e)
	bodiesCorrect(r, e)
	purgesRespected(r, e)
	effectsRunOnce(r, e)
	answersOnlyOnce(r, e)
}

// concerns says whether a purge covers an object.
func (p *deliveredPurge) concerns(object uint64, groups int) bool {
	if p.wholeGroup {
		return p.group == object%uint64(groups)
	}
	return p.object == object
}

// countOutcomes counts how the requests ended. A request that was not answered in time counts as none of the outcomes.
func countOutcomes(r *report.Report, e *evidence) {
	for i := range e.responses {
		response := &e.responses[i]
		r.Counts[report.Requests]++
		switch {
		case !response.inTime():
		case response.code == codeRejected:
			r.Counts[report.Rejected]++
		case response.code == codeAborted:
			r.Counts[report.Aborted]++
		default:
			r.Counts[report.Completed]++
		}
	}
	r.Counts[report.Purges] += int64(len(e.purges))
	r.Counts[report.OrdersExecuted] += int64(len(e.executions))
}

// answeredInTime checks that each request has an answer within its deadline.
func answeredInTime(r *report.Report, e *evidence) {
	for i := range e.responses {
		if response := &e.responses[i]; !response.inTime() {
			r.Rules.Lost++
			r.Broke(
				"request %s of class %s sent at %.3f has no response before its deadline",
				response.id,
				response.class,
				response.sentAt,
			)
		}
	}
}

// bodiesCorrect checks that each body in a completed answer is the origin's, byte for byte.
func bodiesCorrect(r *report.Report, e *evidence) {
	r.Counts[report.ChunksCorrupt] += 0 // the report has the key also where nothing was wrong
	for i := range e.responses {
		response := &e.responses[i]
		if !response.deliversContent() {
			continue
		}
		r.Counts[report.ChunksChecked]++
		if response.corrupt {
			r.Counts[report.ChunksCorrupt]++
			r.Broke("request %s: object %d chunk %d has wrong bytes", response.id, response.object, response.part)
		}
	}
}

// purgesRespected checks that no answer to a request sent after a purge is older than that purge.
func purgesRespected(r *report.Report, e *evidence) {
	for i := range e.responses {
		response := &e.responses[i]
		if !response.deliversContent() || response.corrupt {
			continue
		}
		purge := e.bindingPurge(response)
		if purge == nil || response.version >= purge.version {
			continue
		}
		r.Rules.Purge++
		r.Broke(
			"request %s sent %.3f s after a purge was delivered: object %d has version %d, at least %d is required",
			response.id,
			response.sentAt-purge.deliveredAt,
			response.object,
			response.version,
			purge.version,
		)
	}
	r.Counts[report.StaleAfterPurge] = r.Rules.Purge
}

// bindingPurge is the purge that sets the lowest version that a response may have, or nil where none does. A purge
// binds the requests that were sent after its grace period.
func (e *evidence) bindingPurge(response *observedResponse) *deliveredPurge {
	var binding *deliveredPurge
	for i := range e.purges {
		p := &e.purges[i]
		if !p.concerns(response.object, e.groups) || p.deliveredAt+purgeGraceSeconds >= response.sentAt {
			continue
		}
		if binding == nil || p.version > binding.version {
			binding = p
		}
	}
	return binding
}

// effectsRunOnce checks that no request with an idempotency key was run more than once.
func effectsRunOnce(r *report.Report, e *evidence) {
	for key, n := range e.executions {
		if n > 1 {
			r.Rules.SecondEffects++
			r.Broke("request with idempotency key %s ran %d times", key, n)
		}
	}
}

// answersOnlyOnce checks that no request got a second answer.
func answersOnlyOnce(r *report.Report, e *evidence) {
	r.Rules.SecondAnswers += e.secondResponses
}

// drainRespected checks that no request came to a drained endpoint once its drain, delivered at a time in Unix s, had
// been known for the grace period. The rule is about when a request was sent; one that comes later than the period and
// the protocol's margin was sent too late.
func drainRespected(r *report.Report, requests []requestRecord, drained string, deliveredAt float64) {
	for _, request := range requests {
		r.Counts[report.AttemptsSeen]++
		if request.endpoint != drained {
			continue
		}
		if request.at > deliveredAt+drainGraceSeconds+deadlineMarginSeconds {
			r.Rules.Drain++
			r.Broke("edge cache %s got a request %.3f s after its drain was delivered", drained, request.at-deliveredAt)
		}
	}
}
