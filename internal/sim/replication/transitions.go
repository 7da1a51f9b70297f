package replication

import "cairnfront/internal/sim/faults"

// applyTransition begins or ends a fault of routers. Faults of links affect each message when it is sent.
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
		case faults.Stall, faults.ClockSkew: // ignored: scripts of this simulation do not draw them
		case faults.Cut, faults.Loss, faults.Delay, faults.Reorder, faults.Duplicate, faults.Corrupt: // left out above
		}
	}
}

// applyPowerLoss loses the power in the middle of the disk's operations. At the end the router
// starts on its disk.
func (s *simulation) applyPowerLoss(r *router, end bool) {
	if !end {
		s.result.PowerCuts++
		r.fs.PowerLossAfter = r.fs.OpCount() + 1 + s.scheduler.Rand.IntN(maxPowerLossOperation)
		s.scheduler.After(powerLossSeconds, func() { s.stop(r) })
		return
	}
	s.stop(r)
	r.fs.Restart()
	s.start(r)
}

// applyDiskLoss loses a router with its disk. At the end it starts with an empty one.
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

// applyPause pauses a router. At the end it handles the events that it postponed.
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
