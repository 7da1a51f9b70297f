package verify

import (
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
)

// Times that the rules allow, in seconds.
const (
	DrainGraceSeconds = 1.0 // after a drain was delivered, for which requests may still come
	PurgeGraceSeconds = 0.5 // after a purge was delivered, for which older responses may still come
)

// Evidence is what clients, the origin and the discovery server recorded of a run. The checks read nothing else: in
// particular no counter of the router.
type Evidence struct {
	Responses       []Response
	Purges          []DeliveredPurge
	Executions      map[string]int // runs of a request, by its idempotency key
	SecondResponses int64          // responses to a stream that had its own already
	Groups          int            // purge groups that objects are spread over
}

// DeliveredPurge is a published purge and the time by which it had been delivered to all, Unix s.
type DeliveredPurge struct {
	Purge
	DeliveredAt float64
}

// Verify checks the rules that hold in every scenario.
func (e *Evidence) Verify(r *report.Report) {
	countOutcomes(r, e)
	answeredInTime(r, e)
	bodiesCorrect(r, e)
	purgesRespected(r, e)
	effectsRunOnce(r, e)
	answersOnlyOnce(r, e)
}

// concerns says whether a purge covers an object.
func (p *DeliveredPurge) concerns(object uint64, groups int) bool {
	if p.OfGroup {
		return p.Group == object%uint64(groups)
	}
	return p.Object == object
}

// countOutcomes counts how the requests ended. A request that was not answered in time counts as none of the outcomes.
func countOutcomes(r *report.Report, e *Evidence) {
	for i := range e.Responses {
		response := &e.Responses[i]
		r.Counts[report.Requests]++
		switch {
		case !response.inTime():
		case response.Code == standin.CodeRejected:
			r.Counts[report.Rejected]++
		case response.Code == standin.CodeAborted:
			r.Counts[report.Aborted]++
		default:
			r.Counts[report.Completed]++
		}
	}
	r.Counts[report.Purges] += int64(len(e.Purges))
	r.Counts[report.OrdersExecuted] += int64(len(e.Executions))
}

// answeredInTime checks that each request has an answer within its deadline.
func answeredInTime(r *report.Report, e *Evidence) {
	for i := range e.Responses {
		if response := &e.Responses[i]; !response.inTime() {
			r.Rules.Lost++
			r.Broke(
				"request %s of class %s sent at %.3f has no response before its deadline",
				response.ID,
				response.Class,
				response.SentAt,
			)
		}
	}
}

// bodiesCorrect checks that each body in a completed answer is the origin's, byte for byte.
func bodiesCorrect(r *report.Report, e *Evidence) {
	r.Counts[report.ChunksCorrupt] += 0 // the report has the key also where nothing was wrong
	for i := range e.Responses {
		response := &e.Responses[i]
		if !response.deliversContent() {
			continue
		}
		r.Counts[report.ChunksChecked]++
		if response.Corrupt {
			r.Counts[report.ChunksCorrupt]++
			r.Broke("request %s: object %d chunk %d has wrong bytes", response.ID, response.Object, response.Part)
		}
	}
}

// purgesRespected checks that no answer to a request sent after a purge is older than that purge.
func purgesRespected(r *report.Report, e *Evidence) {
	for i := range e.Responses {
		response := &e.Responses[i]
		if !response.deliversContent() || response.Corrupt {
			continue
		}
		purge := e.bindingPurge(response)
		if purge == nil || response.Version >= purge.Version {
			continue
		}
		r.Rules.Purge++
		r.Broke(
			"request %s sent %.3f s after a purge was delivered: object %d has version %d, at least %d is required",
			response.ID,
			response.SentAt-purge.DeliveredAt,
			response.Object,
			response.Version,
			purge.Version,
		)
	}
	r.Counts[report.StaleAfterPurge] = r.Rules.Purge
}

// bindingPurge is the purge that sets the lowest version that a response may have, or nil where none does. A purge
// binds the requests that were sent after its grace period.
func (e *Evidence) bindingPurge(response *Response) *DeliveredPurge {
	var binding *DeliveredPurge
	for i := range e.Purges {
		p := &e.Purges[i]
		if !p.concerns(response.Object, e.Groups) || p.DeliveredAt+PurgeGraceSeconds >= response.SentAt {
			continue
		}
		if binding == nil || p.Version > binding.Version {
			binding = p
		}
	}
	return binding
}

// effectsRunOnce checks that no request with an idempotency key was run more than once.
func effectsRunOnce(r *report.Report, e *Evidence) {
	for key, n := range e.Executions {
		if n > 1 {
			r.Rules.SecondEffects++
			r.Broke("request with idempotency key %s ran %d times", key, n)
		}
	}
}

// answersOnlyOnce checks that no request got a second answer.
func answersOnlyOnce(r *report.Report, e *Evidence) {
	r.Rules.SecondAnswers += e.SecondResponses
}

// DrainRespected checks that no request came to a drained endpoint once its drain, delivered at a time in Unix s, had
// been known for the grace period. The rule is about when a request was sent; one that comes later than the period and
// the protocol's margin was sent too late.
func DrainRespected(r *report.Report, requests []Request, drained string, deliveredAt float64) {
	for _, request := range requests {
		r.Counts[report.AttemptsSeen]++
		if request.Endpoint != drained {
			continue
		}
		if request.At > deliveredAt+DrainGraceSeconds+deadlineMarginSeconds {
			r.Rules.Drain++
			r.Broke("edge cache %s got a request %.3f s after its drain was delivered", drained, request.At-deliveredAt)
		}
	}
}
