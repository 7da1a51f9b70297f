package datagram

import (
	"crypto/ed25519"
	"slices"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// Received is a datagram that was decoded and accepted.
type Received struct {
	From         swim.MemberID
	StartMillis  uint64
	Message      swim.Message
	Observations []observation.Observation
	Skipped      int // number of refused signed parts, for example with an invalid signature or an unknown member
}

// Decode verifies and decodes a datagram. It must be addressed to this member by another member of the roster,
// validly signed, from the sender's latest start, and not replayed. isNewer reports whether a record would change the
// view; the signature of a record that would not is not verified. If the error is ErrStaleIncarnation, the result has
// the sender in From.
func (c *Codec) Decode(raw []byte, isNewer func(swim.MemberID, swim.Incarnation) bool) (Received, error) {
	from, e, err := c.openEnvelope(raw)
	if err != nil {
		return Received{From: from}, err
	}
	if err := c.replayGuards[from].accept(e.StartMillis, e.Counter); err != nil {
		return Received{}, err
	}
	var p payload
	if decMode.Unmarshal(e.Payload, &p) != nil || !p.withinBounds() {
		return Received{}, ErrMalformed
	}
	r := Received{From: from, StartMillis: e.StartMillis}
	if err := c.decodeHeader(&p, &r.Message); err != nil {
		return r, err
	}
	c.decodeSigned(&p, &r, isNewer)
	c.decodeEntries(p.Entries, &r.Message)
	return r, nil
}

// openEnvelope verifies that a datagram is addressed to this member, signed by its sender, and not from an earlier
// start of the sender.
func (c *Codec) openEnvelope(raw []byte) (swim.MemberID, *envelope, error) {
	if len(raw) < signatureSize || len(raw) > MaxSize {
		return 0, nil, ErrMalformed
	}
	var e envelope
	if decMode.Unmarshal(raw[signatureSize:], &e) != nil {
		return 0, nil, ErrMalformed
	}
	if e.Version != Version {
		return 0, nil, ErrUnsupportedVersion
	}
	from, known := c.byName[e.From]
	if !known || from == c.self {
		return 0, nil, ErrUnknownMember
	}
	if e.To != c.Name(c.self) {
		return 0, nil, ErrWrongRecipient
	}
	if !c.verify(purposeDatagram, from, raw) {
		return from, nil, ErrBadSignature
	}
	if e.StartMillis < c.replayGuards[from].startMillis {
		return from, nil, ErrStaleIncarnation
	}
	return from, &e, nil
}

// decodeHeader decodes all fields of a message except its lists, and verifies the proof of an IndirectAck.
func (c *Codec) decodeHeader(p *payload, m *swim.Message) error {
	m.Kind, m.Nonce, m.ViewHash = p.Kind, p.Nonce, p.ViewHash
	if m.Kind < swim.Ping || m.Kind > swim.Push {
		m.Kind = 0 // kind of a later version; only its lists are used
	}
	var known bool
	if hasRequester(m.Kind) {
		if m.Requester, known = c.byName[p.Requester]; !known {
			return ErrUnknownMember
		}
	}
	if hasTarget(m.Kind) {
		if m.Target, known = c.byName[p.Target]; !known {
			return ErrUnknownMember
		}
	}
	if m.Kind == swim.Ack {
		m.Proof = p.Proof
	}
	if m.Kind == swim.IndirectAck {
		proofValid := ed25519.Verify(c.identities[m.Target].Key, proofMessage(m.Nonce, c.Name(c.self)), p.Proof)
		if !proofValid {
			return ErrBadSignature
		}
	}
	return nil
}

// decodeSigned decodes the parts that are signed by their authors, and counts those it refuses: malformed ones, those
// with an invalid signature or an unknown member, and this member's own observations.
func (c *Codec) decodeSigned(p *payload, r *Received, isNewer func(swim.MemberID, swim.Incarnation) bool) {
	for _, signed := range p.Records {
		if record, ok := c.openRecord(signed, isNewer); ok {
			r.Message.Records = append(r.Message.Records, record)
		} else {
			r.Skipped++
		}
	}
	for _, signed := range p.Accusations {
		if a, ok := c.openAccusation(signed); ok {
			r.Message.Accusations = append(r.Message.Accusations, a)
		} else {
			r.Skipped++
		}
	}
	for _, signed := range p.Observations {
		if o, ok := c.VerifyObservation(signed); ok {
			r.Observations = append(r.Observations, o)
		} else {
			r.Skipped++
		}
	}
}

// decodeEntries decodes the entries of roster members whose state is known to this version.
func (c *Codec) decodeEntries(entries []wireEntry, m *swim.Message) {
	for _, e := range entries {
		id, known := c.byName[e.Member]
		if !known || e.State > swim.Left {
			continue
		}
		m.Entries = append(m.Entries, swim.PushPullEntry{
			Member:      id,
			Incarnation: swim.Incarnation{StartMillis: e.StartMillis, Refutations: e.Refutations},
			State:       e.State,
		})
	}
}

// unmarshalSigned decodes the message that follows a signature.
func unmarshalSigned(signed []byte, into any) bool {
	return len(signed) > signatureSize && len(signed) <= maxSignedBytes &&
		decMode.Unmarshal(signed[signatureSize:], into) == nil
}

func (c *Codec) openRecord(
	signed []byte, isNewer func(swim.MemberID, swim.Incarnation) bool,
) (swim.MemberRecord, bool) {
	var w wireRecord
	if !unmarshalSigned(signed, &w) {
		return swim.MemberRecord{}, false
	}
	id, known := c.byName[w.Member]
	isSelfReported := w.State == swim.Alive || w.State == swim.Stuck || w.State == swim.Left
	if !known || !isSelfReported || len(w.Address) > maxAddressBytes || len(w.Zone) > maxNameBytes {
		return swim.MemberRecord{}, false
	}
	record := swim.MemberRecord{
		Member:      id,
		Incarnation: swim.Incarnation{StartMillis: w.StartMillis, Refutations: w.Refutations},
		InstanceID:  w.InstanceID,
		State:       w.State,
		Signed:      slices.Clone(signed),
	}
	if !isNewer(id, record.Incarnation) {
		return record, true // the record has no effect, so its signature does not matter
	}
	return record, c.verifyCached(purposeRecord, id, signed)
}

func (c *Codec) openAccusation(signed []byte) (swim.Accusation, bool) {
	var w wireAccusation
	if !unmarshalSigned(signed, &w) {
		return swim.Accusation{}, false
	}
	accuser, accuserKnown := c.byName[w.Accuser]
	id, known := c.byName[w.Member]
	if !accuserKnown || !known || accuser == id || !c.verifyCached(purposeAccusation, accuser, signed) {
		return swim.Accusation{}, false
	}
	return swim.Accusation{
		Accuser:     accuser,
		Member:      id,
		Incarnation: swim.Incarnation{StartMillis: w.StartMillis, Refutations: w.Refutations},
		Signed:      slices.Clone(signed),
	}, true
}

// VerifyObservation decodes an observation and verifies its witness's signature.
func (c *Codec) VerifyObservation(signed []byte) (observation.Observation, bool) {
	var w wireObservation
	if !unmarshalSigned(signed, &w) {
		return observation.Observation{}, false
	}
	witness, known := c.byName[w.Witness]
	if !known || witness == c.self || len(w.Endpoint) > maxNameBytes || len(w.Zone) > maxNameBytes {
		return observation.Observation{}, false
	}
	if !c.verifyCached(purposeObservation, witness, signed) {
		return observation.Observation{}, false
	}
	return observation.Observation{
		Witness:            witness,
		WitnessStartMillis: w.StartMillis,
		Sequence:           w.Sequence,
		Endpoint:           routing.EndpointID(w.Endpoint),
		Health:             observation.Health(w.Health),
		Zone:               w.Zone,
		Signed:             slices.Clone(signed),
	}, true
}

// RecordLocation returns the address and the zone in a member's signed record.
func RecordLocation(signed []byte) (address, zone string) {
	var w wireRecord
	if len(signed) > signatureSize && decMode.Unmarshal(signed[signatureSize:], &w) == nil {
		return w.Address, w.Zone
	}
	return "", ""
}
