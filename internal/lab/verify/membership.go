package verify

import (
	"sort"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/sim/faults"
)

// Bounds of the checks, in seconds.
const (
	detectionObjective     = 3.0  // after a kill until all have detected it
	agreementObjective     = 3.0  // after a cut until all agree
	machineMargin          = 2.0  // beyond an objective, for a machine that builds beside the run
	faultEffectSeconds     = 4.0  // after a cut or a pause in which a failure that it caused may still be declared
	edgeCacheWindowSeconds = 2.5  // in which a healthy edge cache gets a request at least once
	agreementSearchSeconds = 12.0 // after a cut in which agreement is looked for
	agreementStepSeconds   = 0.05 // between two checks for agreement
	partitionStepSeconds   = 0.1  // between two checks of the partition states
)

// States of a peer and of a partition, as the routers' logs name them.
const (
	stateUnknown = "unknown"
	stateAlive   = "alive"
	stateSuspect = "suspect"
	stateStuck   = "stuck"
	stateFailed  = "failed"
	statePanic   = "panic" // not of a peer: the router logged a panic

	partitionComplete = "complete"
	partitionMajority = "majority"
	partitionMinority = "minority"
	partitionAlone    = "alone"
)

// Membership is what edge caches and the routers' logs recorded of a run of routers that are peers of each other, and
// the script that says what was true.
type Membership struct {
	Script        faults.Script
	ScriptStart   time.Time
	Routers       []*RouterLog // the first of the script's processes; the others are hostile peers
	Names         []string     // of all processes
	EdgeCaches    []string     // ids; none of them has a fault
	Requests      []Request
	MarginSeconds float64 // that a slow machine may take beyond an objective
}

// Verify checks a run, and adds the figures that follow from the routers' logs. The logs must have been read.
func (e *Membership) Verify(r *report.Report) {
	e.countFaults(r)
	e.failuresDetected(r)
	e.agreedAfterCuts(r)
	e.noPanics(r)
	e.noForgeryAccepted(r)
	e.noHealthyPeerFailed(r)
	e.edgeCachesUsed(r)
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
		case faults.Loss, faults.Delay, faults.Reorder, faults.Duplicate, faults.Corrupt: // are not counted
		case faults.Stall, faults.ClockSkew: // are not counted
		}
	}
	for name, n := range counts {
		r.Counts[name] = n
	}
}

// failuresDetected checks that every running router declares a killed one failed, and in time. Kills that cannot be
// checked are left out: of a router that is back before all could detect it, and of several at once, as most of the
// routers that could detect them are killed too.
func (e *Membership) failuresDetected(r *report.Report) {
	var slowest []float64 // s until the last router had detected it, one for each kill
	for _, fault := range e.Script.Faults {
		if fault.Kind != faults.Kill && fault.Kind != faults.Wipe {
			continue
		}
		if fault.End-fault.Start < detectionObjective+machineMargin || len(fault.From) > 1 {
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
	if last > detectionObjective+e.MarginSeconds {
		r.Broke("%.1f s until all routers had detected a kill", last)
	}
}

// slowestDetection is how long after a kill the last running router declared the killed one failed, s.
func (e *Membership) slowestDetection(r *report.Report, kill faults.Fault, killed int) float64 {
	slowest := 0.0
	for _, router := range e.Routers {
		if router.index == killed || !e.Script.IsRunning(router.index, kill.Start) {
			continue
		}
		took, found := router.detectionSeconds(killed, kill.Start, kill.End)
		if !found {
			r.Broke("%s never declared %s failed, which was killed at %.1f s", router.name, e.Names[killed], kill.Start)
			continue
		}
		slowest = max(slowest, took)
	}
	return slowest
}

// detectionSeconds is how long after a kill a router declared a peer failed. It is not found where the router did not
// do so before the peer was started again.
func (router *RouterLog) detectionSeconds(peer int, killedAt, restartedAt float64) (took float64, found bool) {
	for _, event := range router.peerEvents {
		inTime := event.at >= killedAt && event.at < restartedAt
		if inTime && event.peer == peer && event.state == stateFailed {
			return event.at - killedAt, true
		}
	}
	return 0, router.peerStateAt(peer, restartedAt) == stateFailed // it had failed already before the kill
}

// agreedAfterCuts checks that all routers agree, in time, on who runs once a cut has ended.
func (e *Membership) agreedAfterCuts(r *report.Report) {
	slowest, measured := 0.0, false
	for _, fault := range e.Script.Faults {
		if fault.Kind != faults.Cut || e.faultFollows(fault.End) {
			continue
		}
		took, agreed := e.agreementSeconds(fault.End)
		if !agreed {
			r.Broke(
				"after the cut that ended at %.1f s not all routers agreed within %.0f s",
				fault.End,
				agreementSearchSeconds,
			)
			continue
		}
		slowest, measured = max(slowest, took), true
	}
	if !measured {
		return
	}
	r.Figures[report.AgreementAfterCut] = slowest
	if slowest > agreementObjective+e.MarginSeconds {
		r.Broke("%.1f s after a cut until all routers agreed", slowest)
	}
}

// faultFollows says whether a fault other than a loss falls into the time in which agreement is expected.
func (e *Membership) faultFollows(end float64) bool {
	for _, fault := range e.Script.Faults {
		if fault.Start <= end+agreementObjective+machineMargin && fault.End > end && fault.Kind != faults.Loss {
			return true
		}
	}
	return false
}

// agreementSeconds is how long after a time each router saw just those who ran.
func (e *Membership) agreementSeconds(from float64) (took float64, agreed bool) {
	until := min(from+agreementSearchSeconds, e.Script.Duration)
	for at := from; at < until; at += agreementStepSeconds {
		if e.agreesAt(at) {
			return at - from, true
		}
	}
	return 0, false
}

// agreesAt says whether each router saw at a time just those peers who ran.
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

// noPanics checks that no router logged a panic.
func (e *Membership) noPanics(r *report.Report) {
	r.Counts[report.Panics] = 0
	for _, router := range e.Routers {
		for _, event := range router.peerEvents {
			if event.state == statePanic {
				r.Counts[report.Panics]++
				r.Broke("%s: a panic at %.1f s", router.name, event.at)
			}
		}
	}
}

// noForgeryAccepted checks that no router accepted an incarnation that only the hostile peers' forgeries have.
func (e *Membership) noForgeryAccepted(r *report.Report) {
	r.Counts[report.ForgeriesAccepted] = 0
	for _, router := range e.Routers {
		for _, event := range router.peerEvents {
			if event.state != statePanic && event.incarnation >= standin.ForgedIncarnation {
				r.Counts[report.ForgeriesAccepted]++
				r.Broke("%s accepted a forged incarnation of %s", router.name, e.Names[event.peer])
			}
		}
	}
}

// noHealthyPeerFailed checks that no router declared a peer failed that ran and that no fault separated from it.
func (e *Membership) noHealthyPeerFailed(r *report.Report) {
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
			r.Broke("%s declared %s failed at %.2f s, which ran", router.name, e.Names[event.peer], event.at)
		}
	}
}

// edgeCachesUsed checks that each edge cache, all of which are healthy, got requests throughout, whatever hostile peers
// reported of it.
func (e *Membership) edgeCachesUsed(r *report.Report) {
	r.Counts[report.EndpointsUnused] = 0
	from := timing.UnixSeconds(e.ScriptStart)
	for _, edgeCache := range e.EdgeCaches {
		used := map[int]bool{} // windows with a request
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
			r.Broke(
				"edge cache %s got no request from %.1f to %.1f s",
				edgeCache,
				float64(window)*edgeCacheWindowSeconds,
				float64(window+1)*edgeCacheWindowSeconds,
			)
		}
	}
}

// partitionStateErrorSeconds is for how long a router's partition state was not the true one, s a router.
func (e *Membership) partitionStateErrorSeconds() float64 {
	wrong := 0.0
	for at := 0.0; at < e.Script.Duration; at += partitionStepSeconds {
		for _, router := range e.Routers {
			if !e.Script.IsRunning(router.index, at) {
				continue
			}
			if router.partitionStateAt(at) != e.truePartitionState(router.index, at) {
				wrong += partitionStepSeconds
			}
		}
	}
	return wrong / float64(len(e.Routers))
}

// truePartitionState is the partition state that a router should have, from how many processes it can reach.
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
