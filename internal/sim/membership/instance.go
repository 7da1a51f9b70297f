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
	waiting     []func()     // events that a paused instance handles when it continues
	timer       uint64       // of the timer that is set; older ones do nothing
	detected    map[int]bool // the killed instances that it has declared failed
	clockOffset float64      // s
}

func (i *instance) member() swim.MemberID { return swim.MemberID(i.id) }

// start starts an instance, or starts it again.
func (s *simulation) start(i *instance) {
	now := s.scheduler.Now()
	i.up, i.waiting = true, nil
	start := uint64((epochStart + now + i.clockOffset) * 1000)
	i.core = s.newCore(i, start, s.random.Uint64())
	if s.instanceIDs != nil && now < 1 {
		i.core = s.newCore(i, preloadedStart, s.instanceIDs[i.id])
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
			Incarnation: swim.Incarnation{StartMillis: preloadedStart},
			InstanceID:  instanceID,
			State:       swim.Alive,
		}
	}
	return records
}

// tick runs what an instance has to do now and sets its timer.
func (s *simulation) tick(i *instance) {
	if !i.up || i.paused {
		return
	}
	s.carryOut(i, i.core.Tick(s.scheduler.Now()))
	s.setTimer(i)
}

func (s *simulation) setTimer(i *instance) {
	i.timer++
	timer := i.timer
	s.scheduler.At(max(i.core.NextDeadline(), s.scheduler.Now()+minTimer), func() {
		if i.timer != timer {
			return
		}
		if i.paused {
			i.waiting = append([]func(){func() { s.tick(i) }}, i.waiting...)
			return
		}
		s.tick(i)
	})
}

// applyTransition begins or ends a fault of processes. Faults of the network depend on the time alone.
func (s *simulation) applyTransition(transition faults.Transition) {
	for _, id := range transition.Fault.From {
		i := s.instances[id]
		switch transition.Fault.Kind {
		case faults.Kill, faults.Wipe:
			s.killOrRestart(i, transition.IsEnd)
		case faults.Pause:
			s.pauseOrResume(i, transition.IsEnd)
		case faults.Stall:
			if i.up && !i.paused {
				s.carryOut(i, i.core.SetEventLoopWorking(s.scheduler.Now(), transition.IsEnd))
			}
		case faults.ClockSkew:
			i.clockOffset = transition.Fault.Seconds
		case faults.Cut, faults.Loss, faults.Delay, faults.Reorder, faults.Duplicate, faults.Corrupt: // the network's
		}
	}
}

func (s *simulation) killOrRestart(i *instance, restart bool) {
	switch {
	case restart && !i.up:
		s.result.Restarts++
		s.start(i)
	case !restart && i.up:
		i.up, i.paused = false, false
		i.timer++
		s.killedAt[i.id] = s.scheduler.Now()
		for _, other := range s.instances {
			delete(other.detected, i.id)
		}
	}
}

func (s *simulation) pauseOrResume(i *instance, resume bool) {
	i.paused = !resume
	if !resume {
		return
	}
	waiting := i.waiting
	i.waiting = nil
	if !i.up {
		return
	}
	s.tick(i)
	for _, f := range waiting {
		f()
	}
}
