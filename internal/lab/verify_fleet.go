package lab

import (
	"encoding/json"
	"fmt"
	"sort"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
)

// Bounds of the checks of a fleet.
const (
	detectionObjective     = 3.0  // s after a kill until all know of it
	agreementObjective     = 3.0  // s after a cut until all agree
	marginFull             = 2.0  // s beyond an objective, for a machine that builds beside the run
	marginSmall            = 5.0  // s beyond an objective at small size, which runs beside anything
	faultEffectSeconds     = 4.0  // s after a cut or a pause in which a drop that it caused may still come
	edgeCacheWindowSeconds = 2.5  // s in which a healthy edge cache gets a request at least once
	agreementSearchSeconds = 12.0 // s after a cut in which agreement is looked for
	agreementStepSeconds   = 0.05 // s between two looks for agreement
	partitionStepSeconds   = 0.1  // s between two looks at the partition states
)

// States of a peer and of a partition, as the routers' logs name them.
const (
	stateUnknown = "unknown"
	stateAlive   = "alive"
	stateSuspect = "suspect"
	stateStuck   = "stuck"
	stateFailed  = "failed"
	statePanic   = "panic" // not of a peer: the router logged a panic

	partitionWhole    = "whole"
	partitionMajority = "majority"
	partitionMinority = "minority"
	partitionAlone    = "alone"
)

// verify checks a run from what clients, edge caches, origin and relays recorded, and from what each router's log
// says that it knew, against what the script made true.
func (fleet *routerFleet) verify(r *report.Report) error {
	fleet.cluster.verify(r, fleet.clientGroups)
	if err := fleet.readLogs(); err != nil {
		return err
	}
	fleet.countFaults(r)
	fleet.failuresDetected(r)
	fleet.agreedAfterCuts(r)
	fleet.noPanics(r)
	fleet.noForgeryTaken(r)
	fleet.noHealthyPeerDropped(r)
	fleet.edgeCachesUsed(r)
	r.Figures["standing_wrong_s"] = fleet.partitionStateErrorSeconds()
	fleet.addPlots(r, fleet.datagramRate(r))
	for _, peer := range fleet.hostilePeers {
		for name, n := range peer.counts {
			r.Counts["hostile_"+name] += n
		}
	}
	return fleet.describe(r)
}

// margin is how much later than an objective a slow machine may be, s.
func (fleet *routerFleet) margin() float64 {
	if fleet.options.Full {
		return marginFull
	}
	return marginSmall
}

// countFaults counts the script's processes and faults.
func (fleet *routerFleet) countFaults(r *report.Report) {
	counts := map[string]int64{
		"processes": fleetSize,
		"hostile":   int64(len(fleet.hostilePeers)),
		"cuts":      0,
		"kills":     0,
		"pauses":    0,
	}
	for _, fault := range fleet.script.Faults {
		switch fault.Kind {
		case faults.Cut:
			counts["cuts"]++
		case faults.Pause:
			counts["pauses"]++
		case faults.Kill, faults.Wipe:
			counts["kills"] += int64(len(fault.From))
		}
	}
	for name, n := range counts {
		r.Counts[name] = n
	}
}

// failuresDetected checks that every running router drops a killed one, and in time. Kills that cannot be judged are
// left out: of a router that is back before all could know, and of several at once, as most of those who could tell
// are gone.
func (fleet *routerFleet) failuresDetected(r *report.Report) {
	var slowest []float64 // s until the last router knew, one for each kill
	for _, fault := range fleet.script.Faults {
		if fault.Kind != faults.Kill && fault.Kind != faults.Wipe {
			continue
		}
		if fault.End-fault.Start < detectionObjective+marginFull || len(fault.From) > 1 {
			continue
		}
		for _, killed := range fault.From {
			slowest = append(slowest, fleet.slowestDetection(r, fault, killed))
		}
	}
	if len(slowest) == 0 {
		return
	}
	sort.Float64s(slowest)
	last := slowest[len(slowest)-1]
	r.Figures["detect_p50_s"] = slowest[len(slowest)/2]
	r.Figures["detect_p99_s"] = last
	if last > detectionObjective+fleet.margin() {
		r.Broke("%.1f s until all knew of a kill", last)
	}
}

// slowestDetection is how long after a kill the last running router dropped the killed one, s.
func (fleet *routerFleet) slowestDetection(r *report.Report, kill faults.Fault, killed int) float64 {
	slowest := 0.0
	for _, router := range fleet.routers {
		if router.index == killed || !fleet.script.IsRunning(router.index, kill.Start) {
			continue
		}
		took, found := router.detectionSeconds(killed, kill.Start, kill.End)
		if !found {
			r.Broke("%s never dropped %s, killed at %.1f s", router.name, fleet.names[killed], kill.Start)
			continue
		}
		slowest = max(slowest, took)
	}
	return slowest
}

// detectionSeconds is how long after a kill a router dropped a peer. It is not found where the router did not do so
// before the peer was started again.
func (router *fleetRouter) detectionSeconds(peer int, killedAt, restartedAt float64) (took float64, found bool) {
	for _, event := range router.peerEvents {
		inTime := event.at >= killedAt && event.at < restartedAt
		if inTime && event.peer == peer && event.state == stateFailed {
			return event.at - killedAt, true
		}
	}
	return 0, router.peerStateAt(peer, restartedAt) == stateFailed // it was dropped already before the kill
}

// agreedAfterCuts checks that all routers agree, in time, on who runs once a cut has ended.
func (fleet *routerFleet) agreedAfterCuts(r *report.Report) {
	slowest, measured := 0.0, false
	for _, fault := range fleet.script.Faults {
		if fault.Kind != faults.Cut || fleet.faultFollows(fault.End) {
			continue
		}
		took, agreed := fleet.agreementSeconds(fault.End)
		if !agreed {
			r.Broke(
				"after the cut that ended at %.1f s not all agreed within %.0f s", fault.End, agreementSearchSeconds,
			)
			continue
		}
		slowest, measured = max(slowest, took), true
	}
	if !measured {
		return
	}
	r.Figures["agree_after_cut_s"] = slowest
	if slowest > agreementObjective+fleet.margin() {
		r.Broke("%.1f s after a cut until all agreed", slowest)
	}
}

// faultFollows says whether a fault other than a loss falls into the time in which agreement is expected.
func (fleet *routerFleet) faultFollows(end float64) bool {
	for _, fault := range fleet.script.Faults {
		if fault.Start <= end+agreementObjective+marginFull && fault.End > end && fault.Kind != faults.Loss {
			return true
		}
	}
	return false
}

// agreementSeconds is how long after a time each router saw just those who ran.
func (fleet *routerFleet) agreementSeconds(from float64) (took float64, agreed bool) {
	until := min(from+agreementSearchSeconds, fleet.script.Duration)
	for at := from; at < until; at += agreementStepSeconds {
		if fleet.agreesAt(at) {
			return at - from, true
		}
	}
	return 0, false
}

// agreesAt says whether each router saw at a time just those peers who ran.
func (fleet *routerFleet) agreesAt(at float64) bool {
	for _, router := range fleet.routers {
		for peer := range fleetSize {
			if peer != router.index && isPresent(router.peerStateAt(peer, at)) != fleet.script.IsRunning(peer, at) {
				return false
			}
		}
	}
	return true
}

// noPanics checks that no router logged a panic.
func (fleet *routerFleet) noPanics(r *report.Report) {
	r.Counts["panics"] = 0
	for _, router := range fleet.routers {
		for _, event := range router.peerEvents {
			if event.state == statePanic {
				r.Counts["panics"]++
				r.Broke("%s: a panic at %.1f s", router.name, event.at)
			}
		}
	}
}

// noForgeryTaken checks that no router took an incarnation that only the hostile peers' forgeries have.
func (fleet *routerFleet) noForgeryTaken(r *report.Report) {
	r.Counts["forged_taken"] = 0
	for _, router := range fleet.routers {
		for _, event := range router.peerEvents {
			if event.state != statePanic && event.incarnation >= forgedIncarnation {
				r.Counts["forged_taken"]++
				r.Broke("%s took a forged life of %s", router.name, fleet.names[event.peer])
			}
		}
	}
}

// noHealthyPeerDropped checks that no router dropped a peer that ran and that no fault kept from it.
func (fleet *routerFleet) noHealthyPeerDropped(r *report.Report) {
	r.Counts["wrongly_dropped"] = 0
	for _, router := range fleet.routers {
		for _, event := range router.peerEvents {
			if event.state != stateFailed || event.incarnation >= forgedIncarnation {
				continue
			}
			if event.peer >= fleetSize || event.at <= 0 {
				continue
			}
			if fleet.script.ExplainsUnreachable(router.index, event.peer, event.at, faultEffectSeconds) {
				continue
			}
			r.Counts["wrongly_dropped"]++
			r.Broke("%s dropped %s at %.2f s, which ran", router.name, fleet.names[event.peer], event.at)
		}
	}
}

// edgeCachesUsed checks that no healthy edge cache was left out because of what was said of it.
func (fleet *routerFleet) edgeCachesUsed(r *report.Report) {
	r.Counts["members_dropped"] = 0
	fleet.cluster.mu.Lock()
	defer fleet.cluster.mu.Unlock()
	from := unixSeconds(fleet.scriptStart)
	for _, endpoint := range fleet.edgeCaches {
		used := map[int]bool{} // windows with a request
		for _, request := range fleet.cluster.requests {
			if request.endpoint == endpoint.id && request.at >= from {
				used[int((request.at-from)/edgeCacheWindowSeconds)] = true
			}
		}
		for window := range int(fleet.script.Duration / edgeCacheWindowSeconds) {
			if used[window] {
				continue
			}
			r.Counts["members_dropped"]++
			r.Broke(
				"box %s was asked nothing from %.1f to %.1f s",
				endpoint.id,
				float64(window)*edgeCacheWindowSeconds,
				float64(window+1)*edgeCacheWindowSeconds,
			)
		}
	}
}

// partitionStateErrorSeconds is for how long a router's partition state was not the true one, s a router.
func (fleet *routerFleet) partitionStateErrorSeconds() float64 {
	wrong := 0.0
	for at := 0.0; at < fleet.script.Duration; at += partitionStepSeconds {
		for _, router := range fleet.routers {
			if !fleet.script.IsRunning(router.index, at) {
				continue
			}
			if router.partitionStateAt(at) != fleet.truePartitionState(router.index, at) {
				wrong += partitionStepSeconds
			}
		}
	}
	return wrong / float64(fleetSize)
}

// truePartitionState is the partition state that a router should have, from how many processes it can reach.
func (fleet *routerFleet) truePartitionState(router int, at float64) string {
	reachable, all := fleet.script.ReachableCount(router, at), fleet.script.Processes
	switch {
	case reachable == 1:
		return partitionAlone
	case 2*reachable <= all:
		return partitionMinority
	case reachable < all:
		return partitionMajority
	}
	return partitionWhole
}

// describe adds to the report what was done.
func (fleet *routerFleet) describe(r *report.Report) error {
	script, err := json.Marshal(&fleet.script)
	if err != nil {
		return fmt.Errorf("write the script to the report: %w", err)
	}
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d routers of the program and %d hostile peers, each way between two over a relay; a client at each, "+
				"two campuses of two boxes",
			fleetSize,
			len(fleet.hostilePeers),
		),
		"script: "+string(script),
	)
	return nil
}
