package membership

import (
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"
)

// instance is one simulated member.
type instance struct {
	id          int
	core        *swim.Core
	up          bool
	paused      bool
	hostile     bool
	postponed   []func()     // events that a paused instance handles when it resumes
	timerNumber uint64       // number of the current timer; timers with older numbers are ignored
	detected    map[int]bool // killed instances that this instance has declared failed
	clockOffset float64      // seconds
}

func (i *instance) member() swim.MemberID { return swim.MemberID(i.id) }

// start starts or restarts an instance.
func (s *simulation) start(i *instance) {
	now := s.scheduler.Now()
	i.up, i.postponed = true, nil
	start := uint64((startUnixSeconds + now + i.clockOffset) * 1000)
	i.core = s.newCore(i, start, s.random.Uint64())
	if s.instanceIDs != nil && now < 1 {
		i.core = s.newCore(i, preloadedStartMillis, s.instanceIDs[i.id])
		i.core.Preload(now, s.preloadedRecords())
	}
	delete(s.killedAt, i.id)
	s.tick(i)
}

func (s *simulation) newCore(i *instance, startMillis, instanceID uint64) *swim.Core {
	seed := s.config.Script.Seed*1000 + uint64(i.id)
	return swim.New(s.config.SWIM, i.member(), s.nameHashes, seed, startMillis, instanceID, s.scheduler.Now())
}

func (s *simulation) preloadedRecords() []swim.MemberRecord {
	records := make([]swim.MemberRecord, len(s.instanceIDs))
	for i, instanceID := range s.instanceIDs {
		records[i] = swim.MemberRecord{
			Member:      swim.MemberID(i),
			Incarnation: swim.Incarnation{StartMillis: preloadedStartMillis},
			InstanceID:  instanceID,
			State:       swim.Alive,
		}
	}
	return records
}

// tick runs the due work of an instance and sets the timer for its next deadline.
func (s *simulation) tick(i *instance) {
	if !i.up || i.paused {
		return
	}
	s.executeActions(i, i.core.Tick(s.scheduler.Now()))
	s.setTimer(i)
}

func (s *simulation) setTimer(i *instance) {
	i.timerNumber++
	timerNumber := i.timerNumber
	s.scheduler.At(max(i.core.NextDeadline(), s.scheduler.Now()+minTimer), func() {
		if i.timerNumber != timerNumber {
			return
		}
		if i.paused {
			i.postponed = append([]func(){func() { s.tick(i) }}, i.postponed...)
			return
		}
		s.tick(i)
	})
}

// applyTransition starts or ends a process fault. Link faults need no transition: send looks them up by time.
func (s *simulation) applyTransition(transition faults.Transition) {
	for _, id := range transition.Fault.From {
		i := s.instances[id]
		switch transition.Fault.Kind {
		case faults.Kill, faults.Wipe:
			s.applyKill(i, transition.IsEnd)
		case faults.Pause:
			s.applyPause(i, transition.IsEnd)
		case faults.Stall:
			if i.up && !i.paused {
				s.executeActions(i, i.core.SetEventLoopWorking(s.scheduler.Now(), transition.IsEnd))
			}
		case faults.ClockSkew:
			i.clockOffset = transition.Fault.Seconds
		case faults.Cut, faults.Loss, faults.Delay, faults.Reorder, faults.Duplicate, faults.Corrupt: // link faults
		}
	}
}

func (s *simulation) applyKill(i *instance, restart bool) {
	switch {
	case restart && !i.up:
		s.result.Restarts++
		s.start(i)
	case !restart && i.up:
		i.up, i.paused = false, false
		i.timerNumber++
		s.killedAt[i.id] = s.scheduler.Now()
		for _, other := range s.instances {
			delete(other.detected, i.id)
		}
	}
}

func (s *simulation) applyPause(i *instance, resume bool) {
	i.paused = !resume
	if !resume {
		return
	}
	postponed := i.postponed
	i.postponed = nil
	if !i.up {
		return
	}
	s.tick(i)
	for _, f := range postponed {
		f()
	}
}
