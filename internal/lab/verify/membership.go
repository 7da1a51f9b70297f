package verify

import (
	"sort"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/sim/faults"
)

// Limits and intervals of the checks, in seconds.
const (
	detectionObjectiveSeconds = 3.0  // from a kill until all routers have detected it
	agreementObjectiveSeconds = 3.0  // from the end of a cut until all routers agree
	slowMachineMarginSeconds  = 2.0  // added to an objective, as a build may run on the same machine
	faultEffectSeconds        = 4.0  // after a cut or a pause, peers may still be declared failed for this long
	edgeCacheWindowSeconds    = 2.5  // a healthy edge cache gets at least one request in each such window
	agreementSearchSeconds    = 12.0 // limit of the search for agreement after a cut
	agreementStepSeconds      = 0.05 // interval between two checks for agreement
	partitionStepSeconds      = 0.1  // interval between two checks of the partition states
)

// States of a peer and of a partition in the routers' logs.
const (
	stateUnknown = "unknown"
	stateAlive   = "alive"
	stateSuspect = "suspect"
	stateStuck   = "stuck"
	stateFailed  = "failed"
	statePanic   = "panic" // not a state of a peer: the router logged a panic

	partitionComplete = "complete"
	partitionMajority = "majority"
	partitionMinority = "minority"
	partitionAlone    = "alone"
)

// Membership is the evidence of a run of routers that are peers of each other: the records of edge caches, the routers'
// logs, and the fault script, from which the true states follow.
type Membership struct {
	Script        faults.Script
	ScriptStart   time.Time
	Routers       []*RouterLog // the first processes of the script; the remaining ones are hostile peers
	Names         []string     // names of all processes
	EdgeCaches    []string     // ids of the edge caches, none of which has a fault
	Requests      []Request
	MarginSeconds float64 // added to each objective, for slow machines
}

// Verify checks a run and adds the figures that are derived from the routers' logs. The caller must have read the logs.
func (e *Membership) Verify(r *report.Report) {
	e.countFaults(r)
	e.checkFailureDetection(r)
	e.checkAgreementAfterCuts(r)
	e.checkNoPanics(r)
	e.checkNoForgeryAccepted(r)
	e.checkNoHealthyPeerFailed(r)
	e.checkEdgeCachesUsed(r)
	r.Figures[report.WrongPartitionState] = e.partitionStateErrorSeconds()
}

// countFaults counts the script's processes and faults.
func (e *Membership) countFaults(r *report.Report) {
	counts := map[string]int64{
		report.Processes:    int64(len(e.Routers)),
		report.HostilePeers: int64(e.Script.Processes - len(e.Routers)),
		report.LinkCuts:     0,
		report.Kills:        0,
		report.Pauses:       0,
	}
	for _, fault := range e.Script.Faults {
		switch fault.Kind {
		case faults.Cut:
			counts[report.LinkCuts]++
		case faults.Pause:
			counts[report.Pauses]++
		case faults.Kill, faults.Wipe:
			counts[report.Kills] += int64(len(fault.From))
		case faults.Loss, faults.Delay, faults.Reorder, faults.Duplicate, faults.Corrupt: // not counted
		case faults.Stall, faults.ClockSkew: // not counted
		}
	}
	for name, n := range counts {
		r.Counts[name] = n
	}
}

// checkFailureDetection checks that every running router declares a killed router failed, and in time. Two kinds of
// kills cannot be checked and are skipped: a router that restarts before all could detect its failure, and several
// routers killed at once, since most routers that could detect the failures are killed too.
func (e *Membership) checkFailureDetection(r *report.Report) {
	var slowest []float64 // seconds until the last router detected the kill, for each kill
	for _, fault := range e.Script.Faults {
		if fault.Kind != faults.Kill && fault.Kind != faults.Wipe {
			continue
		}
		if fault.End-fault.Start < detectionObjectiveSeconds+slowMachineMarginSeconds || len(fault.From) > 1 {
			continue
		}
		for _, killed := range fault.From {
			slowest = append(slowest, e.slowestDetection(r, fault, killed))
		}
	}
	if len(slowest) == 0 {
		return
	}
	sort.Float64s(slowest)
	last := slowest[len(slowest)-1]
	r.Figures[report.DetectionP50] = slowest[len(slowest)/2]
	r.Figures[report.DetectionP99] = last
	if last > detectionObjectiveSeconds+e.MarginSeconds {
		r.AddViolation("%.1f s until all routers had detected a kill", last)
	}
}

// slowestDetection returns the time in seconds from a kill until the last running router declared the killed router
// failed.
func (e *Membership) slowestDetection(r *report.Report, kill faults.Fault, killed int) float64 {
	slowest := 0.0
	for _, router := range e.Routers {
		if router.index == killed || !e.Script.IsRunning(router.index, kill.Start) {
			continue
		}
		elapsed, found := router.detectionSeconds(killed, kill.Start, kill.End)
		if !found {
			r.AddViolation("%s never declared %s failed, which was killed at %.1f s",
				router.name, e.Names[killed], kill.Start)
			continue
		}
		slowest = max(slowest, elapsed)
	}
	return slowest
}

// detectionSeconds returns the time from a kill until a router declared the peer failed. Its result found is false if
// the router did not do so before the peer was restarted.
func (router *RouterLog) detectionSeconds(peer int, killedAt, restartedAt float64) (elapsed float64, found bool) {
	for _, event := range router.peerEvents {
		inTime := event.at >= killedAt && event.at < restartedAt
		if inTime && event.peer == peer && event.state == stateFailed {
			return event.at - killedAt, true
		}
	}
	return 0, router.peerStateAt(peer, restartedAt) == stateFailed // it may have been declared failed before the kill
}

// checkAgreementAfterCuts checks that, after a cut has ended, all routers agree in time on which routers run.
func (e *Membership) checkAgreementAfterCuts(r *report.Report) {
	slowest, measured := 0.0, false
	for _, fault := range e.Script.Faults {
		if fault.Kind != faults.Cut || e.hasFaultAfter(fault.End) {
			continue
		}
		elapsed, agreed := e.agreementSeconds(fault.End)
		if !agreed {
			r.AddViolation(
				"after the cut that ended at %.1f s not all routers agreed within %.0f s",
				fault.End,
				agreementSearchSeconds,
			)
			continue
		}
		slowest, measured = max(slowest, elapsed), true
	}
	if !measured {
		return
	}
	r.Figures[report.AgreementAfterCut] = slowest
	if slowest > agreementObjectiveSeconds+e.MarginSeconds {
		r.AddViolation("%.1f s after a cut until all routers agreed", slowest)
	}
}

// hasFaultAfter reports whether a fault other than datagram loss overlaps the time in which agreement is expected.
func (e *Membership) hasFaultAfter(end float64) bool {
	for _, fault := range e.Script.Faults {
		if fault.Start <= end+agreementObjectiveSeconds+slowMachineMarginSeconds && fault.End > end &&
			fault.Kind != faults.Loss {
			return true
		}
	}
	return false
}

// agreementSeconds returns the time until every router saw exactly the running routers as present.
func (e *Membership) agreementSeconds(from float64) (elapsed float64, agreed bool) {
	until := min(from+agreementSearchSeconds, e.Script.Duration)
	for at := from; at < until; at += agreementStepSeconds {
		if e.agreesAt(at) {
			return at - from, true
		}
	}
	return 0, false
}

// agreesAt reports whether at a time every router saw exactly the running routers as present.
func (e *Membership) agreesAt(at float64) bool {
	for _, router := range e.Routers {
		for peer := range len(e.Routers) {
			if peer != router.index && isPresent(router.peerStateAt(peer, at)) != e.Script.IsRunning(peer, at) {
				return false
			}
		}
	}
	return true
}

// checkNoPanics checks that no router logged a panic.
func (e *Membership) checkNoPanics(r *report.Report) {
	r.Counts[report.Panics] = 0
	for _, router := range e.Routers {
		for _, event := range router.peerEvents {
			if event.state == statePanic {
				r.Counts[report.Panics]++
				r.AddViolation("%s: a panic at %.1f s", router.name, event.at)
			}
		}
	}
}

// checkNoForgeryAccepted checks that no router accepted an incarnation that occurs only in forgeries of hostile peers.
func (e *Membership) checkNoForgeryAccepted(r *report.Report) {
	r.Counts[report.ForgeriesAccepted] = 0
	for _, router := range e.Routers {
		for _, event := range router.peerEvents {
			if event.state != statePanic && event.incarnation >= standin.ForgedIncarnation {
				r.Counts[report.ForgeriesAccepted]++
				r.AddViolation("%s accepted a forged incarnation of %s", router.name, e.Names[event.peer])
			}
		}
	}
}

// checkNoHealthyPeerFailed checks that no router declared a peer failed while the peer was running and no fault
// separated the two.
func (e *Membership) checkNoHealthyPeerFailed(r *report.Report) {
	r.Counts[report.HealthyPeersFailed] = 0
	for _, router := range e.Routers {
		for _, event := range router.peerEvents {
			if event.state != stateFailed || event.incarnation >= standin.ForgedIncarnation {
				continue
			}
			if event.peer >= len(e.Routers) || event.at <= 0 {
				continue
			}
			if e.Script.ExplainsUnreachable(router.index, event.peer, event.at, faultEffectSeconds) {
				continue
			}
			r.Counts[report.HealthyPeersFailed]++
			r.AddViolation("%s declared %s failed at %.2f s, which ran", router.name, e.Names[event.peer], event.at)
		}
	}
}

// checkEdgeCachesUsed checks that each edge cache got requests throughout the run. All edge caches are healthy,
// whatever hostile peers reported about them.
func (e *Membership) checkEdgeCachesUsed(r *report.Report) {
	r.Counts[report.EndpointsUnused] = 0
	from := timing.UnixSeconds(e.ScriptStart)
	for _, edgeCache := range e.EdgeCaches {
		used := map[int]bool{} // by index of the window; true if it has a request
		for _, request := range e.Requests {
			if request.Endpoint == edgeCache && request.At >= from {
				used[int((request.At-from)/edgeCacheWindowSeconds)] = true
			}
		}
		for window := range int(e.Script.Duration / edgeCacheWindowSeconds) {
			if used[window] {
				continue
			}
			r.Counts[report.EndpointsUnused]++
			r.AddViolation(
				"edge cache %s got no request from %.1f to %.1f s",
				edgeCache,
				float64(window)*edgeCacheWindowSeconds,
				float64(window+1)*edgeCacheWindowSeconds,
			)
		}
	}
}

// partitionStateErrorSeconds returns how long a router's partition state differed from the true one, in seconds, as a
// mean over the routers.
func (e *Membership) partitionStateErrorSeconds() float64 {
	errorSeconds := 0.0
	for at := 0.0; at < e.Script.Duration; at += partitionStepSeconds {
		for _, router := range e.Routers {
			if !e.Script.IsRunning(router.index, at) {
				continue
			}
			if router.partitionStateAt(at) != e.truePartitionState(router.index, at) {
				errorSeconds += partitionStepSeconds
			}
		}
	}
	return errorSeconds / float64(len(e.Routers))
}

// truePartitionState returns the partition state that a router should have, given the number of processes that it can
// reach.
func (e *Membership) truePartitionState(router int, at float64) string {
	reachable, all := e.Script.ReachableCount(router, at), e.Script.Processes
	switch {
	case reachable == 1:
		return partitionAlone
	case 2*reachable <= all:
		return partitionMinority
	case reachable < all:
		return partitionMajority
	}
	return partitionComplete
}
