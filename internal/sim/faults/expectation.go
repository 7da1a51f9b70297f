package faults

import "slices"

// lossLikeCut is the share of undelivered datagrams from which a link cannot be distinguished from a cut one.
const lossLikeCut = 0.4

// IsRunning reports whether a process exists and is not stopped at a time.
func (s *Script) IsRunning(process int, time float64) bool {
	return !s.isAffected(process, time, Kill, Wipe, Pause)
}

// IsWorking reports whether a process runs and its work makes progress at a time.
func (s *Script) IsWorking(process int, time float64) bool {
	return s.IsRunning(process, time) && !s.isAffected(process, time, Stall)
}

func (s *Script) isAffected(process int, time float64, by ...Kind) bool {
	for i := range s.Faults {
		fault := &s.Faults[i]
		if slices.Contains(by, fault.Kind) && fault.isActive(time) && slices.Contains(fault.From, process) {
			return true
		}
	}
	return false
}

// ReachableCount is the number of running processes, itself among them, that a running process can work with at a time:
// over links that are open both ways, also through other processes.
func (s *Script) ReachableCount(process int, time float64) int {
	reached := map[int]bool{process: true}
	pending := []int{process}
	for len(pending) > 0 {
		current := pending[0]
		pending = pending[1:]
		for other := range s.Processes {
			if reached[other] || !s.IsRunning(other, time) || s.isCutEitherWay(current, other, time) {
				continue
			}
			reached[other] = true
			pending = append(pending, other)
		}
	}
	return len(reached)
}

func (s *Script) isCutEitherWay(a, b int, time float64) bool {
	return s.LinkAt(a, b, time).Cut || s.LinkAt(b, a, time).Cut
}

// ExplainsUnreachable reports whether the script gave an observer a reason to declare a peer failed. At the time, or
// up to grace seconds before, the peer was stopped or killed, or a link between them was cut or lost as much as a cut
// one. That the observer itself was stopped is no reason.
func (s *Script) ExplainsUnreachable(observer, peer int, time, grace float64) bool {
	for i := range s.Faults {
		fault := &s.Faults[i]
		if time < fault.Start || fault.End != 0 && time > fault.End+grace {
			continue
		}
		if s.faultExplains(fault, observer, peer, time, grace) {
			return true
		}
	}
	return false
}

func (s *Script) faultExplains(fault *Fault, observer, peer int, time, grace float64) bool {
	switch fault.Kind {
	case Pause, Kill, Wipe:
		return slices.Contains(fault.From, peer)
	case Cut:
		return fault.AffectsLink(observer, peer) || fault.AffectsLink(peer, observer)
	case Loss, Corrupt:
		lossTime := min(time, max(fault.Start, time-grace))
		forward := s.LinkAt(observer, peer, lossTime).undelivered()
		backward := s.LinkAt(peer, observer, lossTime).undelivered()
		return max(forward, backward) > lossLikeCut
	case Delay, Reorder, Duplicate, Stall, ClockSkew: // they leave a process reachable
	}
	return false
}
