package replication

import "cairnfront/internal/sim/faults"

// playMoment begins or ends a fault of routers. Faults of the network act on each message that is sent.
func (s *simulation) playMoment(moment faults.Transition) {
	if moment.Fault.IsLinkFault() {
		return
	}
	for _, i := range moment.Fault.From {
		if i >= len(s.routers) {
			continue
		}
		r := s.routers[i]
		switch moment.Fault.Kind {
		case faults.Kill:
			s.playPowerLoss(r, moment.IsEnd)
		case faults.Wipe:
			s.playDiskLoss(r, moment.IsEnd)
		case faults.Pause:
			s.playPause(r, moment.IsEnd)
		}
	}
}

// playPowerLoss loses the power in the middle of the disk's operations. At the end the router
// starts on its disk.
func (s *simulation) playPowerLoss(r *router, end bool) {
	if !end {
		s.result.PowerCuts++
		r.fs.PowerLossAfter = r.fs.OpCount() + 1 + s.world.Rand.IntN(maxPowerLossOperation)
		s.world.After(powerLossSeconds, func() { s.stop(r) })
		return
	}
	s.stop(r)
	r.fs.Restart()
	s.start(r)
}

// playDiskLoss loses a router with its disk. At the end it starts with an empty one.
func (s *simulation) playDiskLoss(r *router, end bool) {
	if !end {
		s.result.MachinesLost++
		s.stop(r)
		return
	}
	if !r.up {
		s.startWithEmptyDisk(r)
	}
}

// playPause pauses a router. At the end it handles what came meanwhile.
func (s *simulation) playPause(r *router, end bool) {
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
