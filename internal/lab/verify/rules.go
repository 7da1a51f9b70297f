package verify

import (
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
)

// Grace periods of the rules, in seconds.
const (
	DrainGraceSeconds = 1.0 // requests may still arrive for this long after a drain was delivered
	PurgeGraceSeconds = 0.5 // older responses may still be served for this long after a purge was delivered
)

// Evidence is what clients, the origin and the discovery server recorded of a run. The checks use nothing else, in
// particular none of the router's own counters.
type Evidence struct {
	Responses       []Response
	Purges          []DeliveredPurge
	Executions      map[string]int // number of executions of a request, by idempotency key
	SecondResponses int64          // further responses on streams that already got a response
	Groups          int            // number of purge groups
}

// DeliveredPurge is a published purge and the Unix time in seconds by which it had been delivered to all watchers.
type DeliveredPurge struct {
	Purge
	DeliveredAt float64
}

// Verify checks the rules that apply to every scenario.
func (e *Evidence) Verify(r *report.Report) {
	countOutcomes(r, e)
	checkDeadlines(r, e)
	checkBodies(r, e)
	checkPurges(r, e)
	checkSingleExecution(r, e)
	checkSingleResponse(r, e)
}

// covers reports whether a purge covers an object.
func (p *DeliveredPurge) covers(object uint64, groups int) bool {
	if p.OfGroup {
		return p.Group == object%uint64(groups)
	}
	return p.Object == object
}

// countOutcomes counts the requests by outcome. A request without a response in time has none of the outcomes.
func countOutcomes(r *report.Report, e *Evidence) {
	for i := range e.Responses {
		response := &e.Responses[i]
		r.Counts[report.Requests]++
		switch {
		case !response.metDeadline():
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

// checkDeadlines checks that each request got a response within its deadline.
func checkDeadlines(r *report.Report, e *Evidence) {
	for i := range e.Responses {
		if response := &e.Responses[i]; !response.metDeadline() {
			r.Rules.Lost++
			r.AddViolation(
				"request %s of class %s sent at %.3f has no response before its deadline",
				response.ID,
				response.Class,
				response.SentAt,
			)
		}
	}
}

// checkBodies checks that each body in a completed response equals the origin's content, byte for byte.
func checkBodies(r *report.Report, e *Evidence) {
	r.Counts[report.ChunksCorrupt] += 0 // adds the key to the report even if no chunk is corrupt
	for i := range e.Responses {
		response := &e.Responses[i]
		if !response.hasVerifiableBody() {
			continue
		}
		r.Counts[report.ChunksChecked]++
		if response.Corrupt {
			r.Counts[report.ChunksCorrupt]++
			r.AddViolation("request %s: object %d chunk %d has wrong bytes",
				response.ID, response.Object, response.Part)
		}
	}
}

// checkPurges checks that no response to a request sent after a purge is older than the purge.
func checkPurges(r *report.Report, e *Evidence) {
	for i := range e.Responses {
		response := &e.Responses[i]
		if !response.hasVerifiableBody() || response.Corrupt {
			continue
		}
		purge := e.requiredPurge(response)
		if purge == nil || response.Version >= purge.Version {
			continue
		}
		r.Rules.Purge++
		r.AddViolation(
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

// requiredPurge returns the purge that determines the minimum version of a response, or nil if none does. A purge
// applies to requests that were sent after its grace period.
func (e *Evidence) requiredPurge(response *Response) *DeliveredPurge {
	var required *DeliveredPurge
	for i := range e.Purges {
		p := &e.Purges[i]
		if !p.covers(response.Object, e.Groups) || p.DeliveredAt+PurgeGraceSeconds >= response.SentAt {
			continue
		}
		if required == nil || p.Version > required.Version {
			required = p
		}
	}
	return required
}

// checkSingleExecution checks that no request with an idempotency key was executed more than once.
func checkSingleExecution(r *report.Report, e *Evidence) {
	for key, n := range e.Executions {
		if n > 1 {
			r.Rules.SecondEffects++
			r.AddViolation("request with idempotency key %s ran %d times", key, n)
		}
	}
}

// checkSingleResponse checks that no request got a second response.
func checkSingleResponse(r *report.Report, e *Evidence) {
	r.Rules.SecondAnswers += e.SecondResponses
}

// CheckDrain checks that no request arrived at a drained endpoint after the grace period, which starts when the drain
// was delivered (a Unix time in seconds). The rule limits when a request may be sent: one that arrives after the grace
// period and the protocol's margin was sent too late.
func CheckDrain(r *report.Report, requests []Request, drained string, deliveredAt float64) {
	for _, request := range requests {
		r.Counts[report.AttemptsSeen]++
		if request.Endpoint != drained {
			continue
		}
		if request.At > deliveredAt+DrainGraceSeconds+deadlineMarginSeconds {
			r.Rules.Drain++
			r.AddViolation("edge cache %s got a request %.3f s after its drain was delivered",
				drained, request.At-deliveredAt)
		}
	}
}
