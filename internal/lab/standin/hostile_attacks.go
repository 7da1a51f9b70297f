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
	observationSequenceStep = 4  // must exceed observationsPerMessage
	forgedSuffixBytes       = 40 // length of the signed record's end in which one bit is flipped
	forgedRefutations       = 1 << 30
)

// attack sends the next kind of attack to a random peer, and a batch of flood datagrams while a flood is active.
func (peer *HostilePeer) attack(sequence uint32) {
	to, victim := peer.randomPeer(), peer.randomPeer()
	if to == peer.id {
		return
	}
	attacks := [...]func(){
		func() { peer.accusePeers(to) },
		func() { peer.reportEndpointsFailing(to, sequence) },
		func() { peer.forgeRecords(to, victim) },
		func() { peer.replay(to, victim) },
		func() { peer.forgeIndirectAck(to, victim) },
		func() { peer.forgeRefutation(to, victim) },
	}
	attacks[sequence%uint32(len(attacks))]()
	peer.sendFloodBatch(to)
}

func (peer *HostilePeer) randomPeer() swim.MemberID {
	return swim.MemberID(peer.rnd.IntN(len(peer.routes)))
}

// randomElement returns a random element of a list.
func (peer *HostilePeer) randomElement(elements [][]byte) []byte {
	return elements[peer.rnd.IntN(len(elements))]
}

// accusePeers accuses some peers, and sends a state table in which all peers have failed.
func (peer *HostilePeer) accusePeers(to swim.MemberID) {
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

// reportEndpointsFailing sends observations that random endpoints are failing.
func (peer *HostilePeer) reportEndpointsFailing(to swim.MemberID, sequence uint32) {
	var signed [][]byte
	for range observationsPerMessage {
		payload, err := peer.codec.SignObservation(observation.Observation{
			Witness:            peer.id,
			WitnessStartMillis: peer.core.SelfRecord().Incarnation.StartMillis,
			Sequence:           sequence*observationSequenceStep + uint32(len(signed)),
			Endpoint:           routing.EndpointID(peer.endpoints[peer.rnd.IntN(len(peer.endpoints))]),
			Health:             observation.Failing,
			Zone:               string(rune('a' + peer.rnd.IntN(26))),
		})
		if err == nil {
			signed = append(signed, payload)
		}
	}
	peer.send(to, swim.Message{Kind: swim.Push, ViewHash: peer.core.ViewHash()}, signed)
	peer.Counts[report.HostileObservations] += int64(len(signed))
}

// forgeRecords sends records of another peer that are signed with the hostile peer's own key, and one valid record of a
// peer with a flipped bit.
func (peer *HostilePeer) forgeRecords(to, victim swim.MemberID) {
	incarnation := swim.Incarnation{StartMillis: ForgedIncarnation}
	message := swim.Message{Kind: swim.Push, ViewHash: peer.core.ViewHash()}
	forgeries := [][]byte{
		peer.codec.ForgeRecord(victim, incarnation, swim.Alive),
		peer.codec.ForgeRecord(victim, incarnation, swim.Left),
	}
	if len(peer.signedRecords) > 0 {
		changed := bytes.Clone(peer.randomElement(peer.signedRecords))
		changed[len(changed)-1-peer.rnd.IntN(forgedSuffixBytes)] ^= 1
		forgeries = append(forgeries, changed)
	}
	for _, forgery := range forgeries {
		message.Records = append(message.Records, swim.MemberRecord{Member: victim, Signed: forgery})
	}
	peer.send(to, message, nil)
	peer.Counts[report.HostileForgeries] += int64(len(message.Records))
}

// replay sends a captured datagram again, and an old signed record under another peer's name.
func (peer *HostilePeer) replay(to, victim swim.MemberID) {
	if len(peer.captured) > 0 {
		peer.write(to, peer.randomElement(peer.captured))
		peer.Counts[report.HostileReplays]++
	}
	if len(peer.signedRecords) == 0 {
		return
	}
	record := swim.MemberRecord{Member: victim, Signed: peer.randomElement(peer.signedRecords)}
	message := swim.Message{
		Kind:     swim.Push,
		ViewHash: peer.core.ViewHash(),
		Records:  []swim.MemberRecord{record},
	}
	peer.send(to, message, nil)
}

// forgeIndirectAck sends a forged reply to an indirect probe, in the name of a peer that may have failed.
func (peer *HostilePeer) forgeIndirectAck(to, victim swim.MemberID) {
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

// forgeRefutation accuses a peer in an incarnation far ahead of the peer's own one.
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

// sendFloodBatch sends captured datagrams until the batch size is reached or the flood is complete. The next attack
// continues the flood.
func (peer *HostilePeer) sendFloodBatch(to swim.MemberID) {
	if len(peer.captured) == 0 {
		return
	}
	for n := 0; n < floodBatchDatagrams && peer.flood.Load() > 0; n++ {
		peer.flood.Add(-1)
		peer.write(to, peer.randomElement(peer.captured))
		peer.Counts[report.HostileFlood]++
	}
}
