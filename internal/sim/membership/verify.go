package membership

import (
	"fmt"

	"cairnfront/internal/membership/swim"
)

// checkChange checks a state change that an observer reports against the faults in the script.
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

// recordDetection records the first time at which an observer detected the kill of an instance.
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

// checkFailure counts a false failure if an observer declared a running instance failed and no fault explains it.
func (s *simulation) checkFailure(observer *instance, change swim.StateChange) {
	now, member := s.scheduler.Now(), s.instances[change.Member]
	if observer.hostile || member.hostile || now <= settleTime {
		return
	}
	if s.config.Script.ExplainsUnreachable(observer.id, member.id, now, faultGraceTime) {
		return
	}
	s.result.FalseFailures++
	if len(s.result.FalseFailureDetails) < maxFailureDetails {
		detail := fmt.Sprintf("%.2f s: %d declared %d failed: %s", now, observer.id, member.id, change.Reason)
		s.result.FalseFailureDetails = append(s.result.FalseFailureDetails, detail)
	}
}

// checkAgreement polls until every running instance sees exactly the running instances, and then records the time in
// seconds that has passed since the given time.
func (s *simulation) checkAgreement(since float64) {
	if s.allAgree() {
		s.result.AgreementSeconds = s.scheduler.Now() - since
		return
	}
	s.scheduler.After(agreementPollInterval, func() { s.checkAgreement(since) })
}

func (s *simulation) allAgree() bool {
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
