package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestByzantineAccuserCannotFailRespondingMembers has one member accuse all others repeatedly while they ack. If
// accusations alone could fail a member, one byzantine member could take down the cluster. All members must stay
// present, and the accuser must be ignored.
func TestByzantineAccuserCannotFailRespondingMembers(t *testing.T) {
	c := newTestCore(5, Config{MaxByzantine: 1})
	now := 1.0
	for range 50 {
		for _, id := range []MemberID{1, 2, 3} {
			c.HandleMessage(now, 4, pushAccusation(accusation(4, id)))
		}
		runUntil(c, now, now+0.5, allAck)
		now += 0.5
	}
	for _, id := range []MemberID{1, 2, 3} {
		assert.True(t, stateOf(c, id).Present(), "member %d is %v", id, stateOf(c, id))
	}
	_, _, ignored := c.Reputation(4)
	assert.True(t, ignored, "an accuser whose accusations are refuted this often is ignored")
	c.HandleMessage(now, 4, pushAccusation(accusation(4, 1)))
	assert.NotEqual(t, Suspect, stateOf(c, 1))
}

// TestUnresponsiveMemberFailsUntilNewerIncarnation stops the acks of a member. It must be declared failed after
// indirect pings. A late ack or an old record must not make it present again: other members would still consider it
// failed, and the views would differ permanently.
func TestUnresponsiveMemberFailsUntilNewerIncarnation(t *testing.T) {
	c := newTestCore(4, Config{MaxByzantine: 1})
	actions := runUntil(c, 0.1, 12, func(s Send) bool { return s.To != 2 })
	require.Equal(t, Failed, stateOf(c, 2))
	assert.True(t, stateOf(c, 1).Present() && stateOf(c, 3).Present())
	indirect := 0
	for _, action := range actions {
		if send, ok := action.(Send); ok && send.Kind == IndirectPing && send.Target == 2 {
			indirect++
		}
	}
	assert.Positive(t, indirect, "indirect pings were sent")
	record := aliveRecord(2)
	c.HandleMessage(13, 2, Message{Kind: Ack, Nonce: 1, Requester: 0})
	c.HandleMessage(13, 1, pushRecord(record))
	assert.Equal(t, Failed, stateOf(c, 2), "an old record does not make it present again")
	record.Incarnation = record.Incarnation.next()
	c.HandleMessage(13, 1, pushRecord(record))
	assert.Equal(t, Alive, stateOf(c, 2))
}

// TestLateAckEndsSuspicion delivers an ack after its timeout. Without this rule, a member that answers slowly because
// of a garbage collection pause would be declared failed. The late ack must end its suspicion.
func TestLateAckEndsSuspicion(t *testing.T) {
	c := newTestCore(3, Config{})
	var ping Send
	for now := 0.0; now < 1.2 && stateOf(c, 1) != Suspect; now += 0.02 {
		for _, action := range c.Tick(now) {
			if send, ok := action.(Send); ok && send.Kind == Ping && send.To == 1 {
				ping = send
			}
		}
	}
	require.Equal(t, Suspect, stateOf(c, 1))
	c.HandleMessage(1.3, 1, Message{Kind: Ack, Nonce: ping.Nonce, Requester: 0})
	assert.Equal(t, Alive, stateOf(c, 1))
}

// TestNoSuspicionsAfterProcessPause pauses a router for a minute. When it resumes, all its probes are overdue, and it
// could declare every member failed. It must suspect no member, and use longer timeouts for a while.
func TestNoSuspicionsAfterProcessPause(t *testing.T) {
	c := newTestCore(4, Config{})
	runUntil(c, 0.1, 1, allAck)
	c.Tick(1.1)
	c.Tick(60) // a minute later
	for id := MemberID(1); id < 4; id++ {
		assert.Equal(t, Alive, stateOf(c, id))
	}
	assert.Positive(t, c.HealthScore(), "timeouts are longer for a while")
}

// TestDecisionOnSuspicion checks each rule of the decision: the timeout, failed probes by this router of which the
// last one is recent, and more accusers than may be byzantine for twice the longest timeout.
func TestDecisionOnSuspicion(t *testing.T) {
	const startedAt, deadline, longest = 100.0, 102.0, 6.0
	base := suspicionEvidence{
		startedAt:      startedAt,
		deadline:       deadline,
		longestTimeout: longest,
		failedProbes:   3,
		requiredProbes: 3,
		lastFailedAt:   deadline,
		accusers:       1,
	}
	with := func(change func(*suspicionEvidence)) suspicionEvidence {
		evidence := base
		change(&evidence)
		return evidence
	}
	tooFew := with(func(e *suspicionEvidence) { e.failedProbes = 2 })
	oneProbe := with(func(e *suspicionEvidence) { e.failedProbes, e.requiredProbes = 1, 1 })
	accused := with(func(e *suspicionEvidence) { e.failedProbes, e.accusers = 0, 3 })
	accusedOnce := with(func(e *suspicionEvidence) { e.failedProbes, e.accusers = 0, 2 })
	for name, test := range map[string]struct {
		now      float64
		config   Config
		evidence suspicionEvidence
		want     suspicionDecision
	}{
		"before the deadline":           {deadline - 0.1, Config{}, base, keepSuspecting},
		"own probes failed":             {deadline, Config{}, base, declareFailure},
		"packet loss explains failures": {deadline, Config{}, tooFew, keepSuspecting},
		"one failed probe":              {deadline, Config{}, oneProbe, keepSuspecting},
		"the last failure is recent":    {deadline + maxFailedProbeAge, Config{}, base, declareFailure},
		"the last failure is too old":   {deadline + maxFailedProbeAge + 0.1, Config{}, base, probeAgain},
		"accusers alone, early":         {startedAt + 2*longest - 1, Config{MaxByzantine: 1}, accused, keepSuspecting},
		"accusers alone, late":          {startedAt + 2*longest, Config{MaxByzantine: 1}, accused, declareFailure},
		"as many as may be byzantine":   {startedAt + 2*longest, Config{MaxByzantine: 1}, accusedOnce, keepSuspecting},
		"the published protocol, early": {deadline - 0.1, Config{PublishedSWIM: true}, oneProbe, keepSuspecting},
		"the published protocol":        {deadline, Config{PublishedSWIM: true}, oneProbe, declareFailure},
	} {
		assert.Equal(t, test.want, decideSuspicion(test.now, test.config, test.evidence), name)
	}
}
