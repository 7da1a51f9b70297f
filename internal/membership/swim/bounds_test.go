package swim

import (
	"testing"

	"pgregory.net/rapid"
)

// drawMessage draws a random message of any kind from a member. It has an accusation, an entry and, in most cases, a
// record.
func drawMessage(t *rapid.T, from MemberID) Message {
	incarnation := Incarnation{
		StartMillis: uint64(rapid.IntRange(90, 110).Draw(t, "start")),
		Refutations: uint32(rapid.IntRange(0, 3).Draw(t, "refutations")),
	}
	about := MemberID(rapid.IntRange(0, 4).Draw(t, "about"))
	m := Message{
		Kind:        MessageKind(rapid.IntRange(0, 9).Draw(t, "kind")),
		Nonce:       rapid.Uint64().Draw(t, "nonce"),
		Requester:   about,
		Target:      about,
		Accusations: []Accusation{{Accuser: from, Member: about, Incarnation: incarnation}},
		Entries: []PushPullEntry{{
			Member:      about,
			Incarnation: incarnation,
			State:       State(rapid.IntRange(0, 5).Draw(t, "state")),
		}},
	}
	if about != 0 {
		m.Records = []MemberRecord{{Member: about, Incarnation: incarnation, State: Alive}}
	}
	return m
}

// TestQueuesAreBounded checks that the sizes of queues and messages are bounded by the roster, whatever messages are
// received.
func TestQueuesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCore(5, Config{MaxByzantine: 1})
		now := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += rapid.Float64Range(0, 0.4).Draw(t, "step")
			from := MemberID(rapid.IntRange(1, 4).Draw(t, "from"))
			c.HandleMessage(now, from, drawMessage(t, from))
			for _, action := range c.Tick(now) {
				s, ok := action.(Send)
				overGossip := len(s.Records) > maxRecords+1 || len(s.Accusations) > maxAccusations+1
				if ok && (overGossip || len(s.Entries) > maxEntries) {
					t.Fatalf("a message exceeds its bounds: %+v", s)
				}
			}
			p := &c.prober
			if n := c.QueueLength(); n > 5*(1+maxAccusers+1) {
				t.Fatalf("%d gossip items queued", n)
			}
			if len(p.probes) > maxProbes || len(p.suspectQueue) > maxSuspectProbes || len(p.timedOut) > maxProbes {
				t.Fatalf("%d probes, %d suspects, %d timed out", len(p.probes), len(p.suspectQueue), len(p.timedOut))
			}
		}
	})
}
