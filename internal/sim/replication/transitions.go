package replication

import "cairnfront/internal/sim/faults"

// applyTransition starts or ends a fault of routers. Link faults are ignored here: send applies them to each message.
func (s *simulation) applyTransition(transition faults.Transition) {
	if transition.Fault.IsLinkFault() {
		return
	}
	for _, i := range transition.Fault.From {
		if i >= len(s.routers) {
			continue
		}
		r := s.routers[i]
		switch transition.Fault.Kind {
		case faults.Kill:
			s.applyPowerLoss(r, transition.IsEnd)
		case faults.Wipe:
			s.applyDiskLoss(r, transition.IsEnd)
		case faults.Pause:
			s.applyPause(r, transition.IsEnd)
		case faults.Stall, faults.ClockSkew: // ignored: GenerateScript does not generate them
		case faults.Cut, faults.Loss, faults.Delay, faults.Reorder, faults.Duplicate, faults.Corrupt: // handled above
		}
	}
}

// applyPowerLoss makes a router lose power in the middle of one of its next disk operations. At the end of the fault
// the router restarts from its disk.
func (s *simulation) applyPowerLoss(r *router, end bool) {
	if !end {
		s.result.PowerCuts++
		r.fs.PowerLossAfter = r.fs.OpCount() + 1 + s.scheduler.Rand.IntN(maxPowerLossDiskOperation)
		s.scheduler.After(powerLossSeconds, func() { s.stop(r) })
		return
	}
	s.stop(r)
	r.fs.Restart()
	s.start(r)
}

// applyDiskLoss stops a router. At the end of the fault the router restarts with an empty disk.
func (s *simulation) applyDiskLoss(r *router, end bool) {
	if !end {
		s.result.MachinesLost++
		s.stop(r)
		return
	}
	if !r.up {
		s.startWithEmptyDisk(r)
	}
}

// applyPause pauses a router. At the end of the fault the router handles the events that were postponed meanwhile.
func (s *simulation) applyPause(r *router, end bool) {
	if !end {
		r.paused = r.up
		return
	}
	if !r.paused {
		return
	}
	r.paused = false
	postponed := r.postponed
	r.postponed = nil
	for _, event := range postponed {
		s.handle(r, event)
	}
}
