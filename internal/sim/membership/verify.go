package membership

import (
	"fmt"

	"cairnfront/internal/membership/swim"
)

// checkChange compares a state change with what the script says is true.
func (s *simulation) checkChange(observer *instance, change swim.StateChange) {
	_, _ = fmt.Fprintf(s.trace, "%.6f %d %d %d %d\n", // a hash never returns an error
		s.scheduler.Now(), observer.id, change.Member, change.From, change.To)
	key := observedMember{observer: observer.id, member: int(change.Member)}
	switch {
	case change.To == swim.Suspect:
		s.result.Suspicions++
	case change.To == swim.Failed:
		s.failedAt[key] = change.Incarnation
		if killedAt, killed := s.killedAt[key.member]; killed {
			s.recordDetection(observer, key.member, killedAt)
		} else {
			s.checkFailure(observer, change)
		}
	case change.From == swim.Failed && change.To.Present():
		if !s.failedAt[key].Less(change.Incarnation) {
			s.result.Resurrected++
		}
		delete(observer.detected, key.member)
	}
}

// recordDetection notes that an observer detected a kill.
func (s *simulation) recordDetection(observer *instance, killed int, killedAt float64) {
	if observer.detected[killed] || observer.hostile {
		return
	}
	if observer.detected == nil {
		observer.detected = map[int]bool{}
	}
	observer.detected[killed] = true
	s.result.DetectionSeconds = append(s.result.DetectionSeconds, s.scheduler.Now()-killedAt)
	for _, i := range s.instances {
		if i.up && !i.hostile && i.id != killed && !i.detected[killed] {
			return
		}
	}
	s.result.FullDetectionSeconds = append(s.result.FullDetectionSeconds, s.scheduler.Now()-killedAt)
}

// checkFailure counts the failure of a running instance if the script gives no reason for it.
func (s *simulation) checkFailure(observer *instance, change swim.StateChange) {
	now, member := s.scheduler.Now(), s.instances[change.Member]
	if observer.hostile || member.hostile || now <= settleTime {
		return
	}
	if s.config.Script.ExplainsUnreachable(observer.id, member.id, now, blameTime) {
		return
	}
	s.result.FalseFailures++
	if len(s.result.FalseFailureDetails) < maxFailureDetails {
		detail := fmt.Sprintf("%.2f s: %d declared %d failed: %s", now, observer.id, member.id, change.Reason)
		s.result.FalseFailureDetails = append(s.result.FalseFailureDetails, detail)
	}
}

// checkAgreement checks again and again until all running instances see just the running ones, and measures the time
// from since, s.
func (s *simulation) checkAgreement(since float64) {
	if s.agree() {
		s.result.AgreementSeconds = s.scheduler.Now() - since
		return
	}
	s.scheduler.After(agreementPoll, func() { s.checkAgreement(since) })
}

func (s *simulation) agree() bool {
	for _, observer := range s.instances {
		if !observer.up || observer.hostile {
			continue
		}
		for _, member := range s.instances {
			state, _ := observer.core.Lookup(member.member())
			if state.Present() != member.up && !member.hostile {
				return false
			}
		}
	}
	return true
}
