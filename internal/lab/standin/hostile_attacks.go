package standin

import (
	"bytes"
	"crypto/ed25519"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

const (
	accusationsPerMessage   = 4
	observationsPerMessage  = 3
	observationSequenceStep = 4  // more than the observations of a message
	forgedBytes             = 40 // at the end of a signed record, of which one is changed
	forgedRefutations       = 1 << 30
)

// attack makes the next of its attacks on a random peer, and floods if it is to.
func (peer *HostilePeer) attack(sequence uint32) {
	to, victim := peer.randomPeer(), peer.randomPeer()
	if to == peer.id {
		return
	}
	attacks := [...]func(){
		func() { peer.accuseAll(to) },
		func() { peer.reportEndpointsFailing(to, sequence) },
		func() { peer.forgeRecords(to, victim) },
		func() { peer.replay(to, victim) },
		func() { peer.answerFor(to, victim) },
		func() { peer.forgeRefutation(to, victim) },
	}
	attacks[sequence%uint32(len(attacks))]()
	peer.floodTurn(to)
}

func (peer *HostilePeer) randomPeer() swim.MemberID {
	return swim.MemberID(peer.rnd.IntN(len(peer.routes)))
}

// randomOf draws one of some texts.
func (peer *HostilePeer) randomOf(texts [][]byte) []byte { return texts[peer.rnd.IntN(len(texts))] }

// accuseAll accuses some peers and sends a table in which all have failed.
func (peer *HostilePeer) accuseAll(to swim.MemberID) {
	message := swim.Message{Kind: swim.PushPullReply, ViewHash: peer.rnd.Uint64()}
	for i := range peer.routes {
		member := swim.MemberID(i)
		_, record := peer.core.Lookup(member)
		message.Accusations = append(
			message.Accusations,
			swim.Accusation{Accuser: peer.id, Member: member, Incarnation: record.Incarnation},
		)
		message.Entries = append(
			message.Entries,
			swim.PushPullEntry{Member: member, Incarnation: record.Incarnation, State: swim.Failed},
		)
	}
	accusations := message.Accusations
	peer.rnd.Shuffle(len(accusations), func(i, j int) {
		accusations[i], accusations[j] = accusations[j], accusations[i]
	})
	message.Accusations = accusations[:min(len(accusations), accusationsPerMessage)]
	peer.send(to, message, nil)
	peer.Counts[report.HostileAccusations] += int64(len(message.Accusations))
}

// reportEndpointsFailing reports random endpoints as failing.
func (peer *HostilePeer) reportEndpointsFailing(to swim.MemberID, sequence uint32) {
	var signed [][]byte
	for range observationsPerMessage {
		text, err := peer.codec.SignObservation(observation.Observation{
			Witness:            peer.id,
			WitnessStartMillis: peer.core.SelfRecord().Incarnation.StartMillis,
			Sequence:           sequence*observationSequenceStep + uint32(len(signed)),
			Endpoint:           routing.EndpointID(peer.endpoints[peer.rnd.IntN(len(peer.endpoints))]),
			Health:             observation.Failing,
			Zone:               string(rune('a' + peer.rnd.IntN(26))),
		})
		if err == nil {
			signed = append(signed, text)
		}
	}
	peer.send(to, swim.Message{Kind: swim.Push, ViewHash: peer.core.ViewHash()}, signed)
	peer.Counts[report.HostileObservations] += int64(len(signed))
}

// forgeRecords sends records of another peer with its own signature, and one of that peer's with a changed bit.
func (peer *HostilePeer) forgeRecords(to, victim swim.MemberID) {
	incarnation := swim.Incarnation{StartMillis: ForgedIncarnation}
	message := swim.Message{Kind: swim.Push, ViewHash: peer.core.ViewHash()}
	forgeries := [][]byte{
		peer.codec.ForgeRecord(victim, incarnation, swim.Alive),
		peer.codec.ForgeRecord(victim, incarnation, swim.Left),
	}
	if len(peer.signedRecords) > 0 {
		changed := bytes.Clone(peer.randomOf(peer.signedRecords))
		changed[len(changed)-1-peer.rnd.IntN(forgedBytes)] ^= 1
		forgeries = append(forgeries, changed)
	}
	for _, forgery := range forgeries {
		message.Records = append(message.Records, swim.MemberRecord{Member: victim, Signed: forgery})
	}
	peer.send(to, message, nil)
	peer.Counts[report.HostileForgeries] += int64(len(message.Records))
}

// replay sends a datagram that it captured, and an old record under another peer's name.
func (peer *HostilePeer) replay(to, victim swim.MemberID) {
	if len(peer.captured) > 0 {
		peer.write(to, peer.randomOf(peer.captured))
		peer.Counts[report.HostileReplays]++
	}
	if len(peer.signedRecords) == 0 {
		return
	}
	record := swim.MemberRecord{Member: victim, Signed: peer.randomOf(peer.signedRecords)}
	message := swim.Message{
		Kind:     swim.Push,
		ViewHash: peer.core.ViewHash(),
		Records:  []swim.MemberRecord{record},
	}
	peer.send(to, message, nil)
}

// answerFor answers a health check in the name of a peer, which may have failed.
func (peer *HostilePeer) answerFor(to, victim swim.MemberID) {
	message := swim.Message{
		Kind:      swim.IndirectAck,
		Nonce:     peer.rnd.Uint64(),
		Requester: to,
		Target:    victim,
		Proof:     make([]byte, ed25519.SignatureSize),
	}
	peer.send(to, message, nil)
	peer.Counts[report.HostileFalseAcks]++
}

// forgeRefutation accuses a peer in an incarnation far ahead of its own.
func (peer *HostilePeer) forgeRefutation(to, victim swim.MemberID) {
	_, record := peer.core.Lookup(victim)
	incarnation := swim.Incarnation{
		StartMillis: record.Incarnation.StartMillis,
		Refutations: forgedRefutations,
	}
	message := swim.Message{
		Kind:        swim.Push,
		Records:     []swim.MemberRecord{{Member: victim, Incarnation: incarnation, Signed: record.Signed}},
		Accusations: []swim.Accusation{{Accuser: peer.id, Member: victim, Incarnation: incarnation}},
	}
	peer.send(to, message, nil)
}

// floodTurn sends captured datagrams while there are some left to flood with. The rest follows at the next attack.
func (peer *HostilePeer) floodTurn(to swim.MemberID) {
	if len(peer.captured) == 0 {
		return
	}
	for n := 0; n < floodDatagramsPerTurn && peer.flood.Load() > 0; n++ {
		peer.flood.Add(-1)
		peer.write(to, peer.randomOf(peer.captured))
		peer.Counts[report.HostileFlood]++
	}
}
