package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestByzantineAccuserFailsNobodyThatAcks(t *testing.T) {
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
	assert.True(t, ignored, "an accuser that is refuted that often is ignored")
	c.HandleMessage(now, 4, pushAccusation(accusation(4, 1)))
	assert.NotEqual(t, Suspect, stateOf(c, 1))
}

func TestSilentMemberFailsAndOnlyNewerIncarnationBringsItBack(t *testing.T) {
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
	assert.Equal(t, Failed, stateOf(c, 2), "an old record does not bring it back")
	record.Incarnation = record.Incarnation.next()
	c.HandleMessage(13, 1, pushRecord(record))
	assert.Equal(t, Alive, stateOf(c, 2))
}

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

func TestStoppedMemberSuspectsNobody(t *testing.T) {
	c := newTestCore(4, Config{})
	runUntil(c, 0.1, 1, allAck)
	c.Tick(1.1)
	c.Tick(60) // a minute later
	for id := MemberID(1); id < 4; id++ {
		assert.Equal(t, Alive, stateOf(c, id))
	}
	assert.Positive(t, c.HealthScore(), "and it judges others more slowly for a while")
}
