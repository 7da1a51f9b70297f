package lab

import (
	"cairnfront/internal/lab/report"
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

// concerns says whether a purge covers an object.
func (p *deliveredPurge) concerns(object uint64, groups int) bool {
	if p.wholeGroup {
		return p.group == object%uint64(groups)
	}
	return p.object == object
}

// verify checks the rules from what clients, origin and the endpoints in this process recorded.
func (cluster *testCluster) verify(r *report.Report, groups []*clientGroup) {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	e := cluster.collectEvidence(groups)
	countOutcomes(r, e)
	answeredInTime(r, e)
	bytesWhole(r, e)
	purgesKept(r, e)
	effectsRunOnce(r, e)
	answersOnlyOnce(r, e)
}

// collectEvidence gathers the records of a run. The caller holds the locks of the cluster and of its response log.
func (cluster *testCluster) collectEvidence(groups []*clientGroup) *evidence {
	e := &evidence{
		responses:  cluster.responses.all,
		executions: cluster.executions,
		groups:     cluster.content.Groups,
	}
	for _, p := range cluster.purges {
		e.purges = append(e.purges, deliveredPurge{p, cluster.discovery.deliveryTime(p.eventIndex)})
	}
	for _, group := range groups {
		e.secondResponses += group.secondResponses
	}
	return e
}

// countOutcomes counts how the requests ended. A request that was not answered in time counts as none of the outcomes.
func countOutcomes(r *report.Report, e *evidence) {
	for i := range e.responses {
		response := &e.responses[i]
		r.Counts["txns"]++
		switch {
		case !response.inTime():
		case response.code == codeRejected:
			r.Counts["rejected"]++
		case response.code == codeAborted:
			r.Counts["aborted"]++
		default:
			r.Counts["completed"]++
		}
	}
	r.Counts["purges"] += int64(len(e.purges))
	r.Counts["orders_run"] += int64(len(e.executions))
}

// answeredInTime checks that each request has an answer within its deadline.
func answeredInTime(r *report.Report, e *evidence) {
	for i := range e.responses {
		if response := &e.responses[i]; !response.inTime() {
			r.Rules.Lost++
			r.Broke("txn %s of %s sent at %.3f has no answer in its time", response.id, response.class, response.sentAt)
		}
	}
}

// bytesWhole checks that each body in a completed answer is the origin's, byte for byte.
func bytesWhole(r *report.Report, e *evidence) {
	r.Counts["wrong_bytes"] += 0 // the report has the key also where nothing was wrong
	for i := range e.responses {
		response := &e.responses[i]
		if !response.deliversContent() {
			continue
		}
		r.Counts["parts_checked"]++
		if response.corrupt {
			r.Counts["wrong_bytes"]++
			r.Broke("txn %s: object %d part %d has wrong bytes", response.id, response.object, response.part)
		}
	}
}

// purgesKept checks that no answer to a request sent after a purge is older than that purge.
func purgesKept(r *report.Report, e *evidence) {
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
			"txn %s sent %.3f s after a purge was told: object %d has version %d, purged by %d",
			response.id,
			response.sentAt-purge.deliveredAt,
			response.object,
			response.version,
			purge.version,
		)
	}
	r.Counts["stale_after_purge"] = r.Rules.Purge
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
			r.Broke("the order with key %s ran %d times", key, n)
		}
	}
}

// answersOnlyOnce checks that no request got a second answer.
func answersOnlyOnce(r *report.Report, e *evidence) {
	r.Rules.SecondAnswers += e.secondResponses
}
