package faults

import "slices"

// cutEquivalentLoss is the share of undelivered datagrams above which an observer cannot distinguish loss from a cut
// link.
const cutEquivalentLoss = 0.4

// IsRunning reports whether a process is neither killed nor paused at the given time.
func (s *Script) IsRunning(process int, time float64) bool {
	return !s.isAffected(process, time, Kill, Wipe, Pause)
}

// IsWorking reports whether a process is running and not stalled at the given time.
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

// ReachableCount returns the number of running processes, including itself, that a running process can reach at the
// given time, directly or through other processes, over links that are open in both directions.
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

// ExplainsUnreachable reports whether the script justifies that an observer declared a peer failed at the given time.
// It does if, at that time or up to grace seconds earlier, the peer was paused or killed, or a link between the two was
// cut or lost more than cutEquivalentLoss of its datagrams. A pause of the observer itself does not justify it.
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
		return max(forward, backward) > cutEquivalentLoss
	case Delay, Reorder, Duplicate, Stall, ClockSkew: // the peer stays reachable
	}
	return false
}
