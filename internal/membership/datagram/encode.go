package datagram

import (
	"crypto/ed25519"
	"fmt"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
)

// Encode encodes and signs a datagram. startMillis is the start time in the sender's incarnation. To stay within
// MaxSize, it leaves out parts: observations first, then all but one of the accusations, all but one of the records,
// and entries. It returns ErrTooLong if that is not enough.
func (c *Codec) Encode(
	startMillis uint64, to swim.MemberID, m swim.Message, observations [][]byte,
) ([]byte, error) {
	p, err := c.payloadOf(to, m)
	if err != nil {
		return nil, err
	}
	p.Observations = observations
	c.sendCounters[to]++
	for {
		text, err := c.encodeEnvelope(startMillis, to, p)
		if err != nil {
			return nil, fmt.Errorf("encode for %s: %w", c.Name(to), err)
		}
		if signatureSize+len(text) <= MaxSize {
			return c.sign(purposeDatagram, text), nil
		}
		if !p.shrink() {
			return nil, fmt.Errorf("encode for %s: %w: kind %d, over %d bytes", c.Name(to), ErrTooLong, m.Kind, MaxSize)
		}
	}
}

func (c *Codec) encodeEnvelope(startMillis uint64, to swim.MemberID, p *payload) ([]byte, error) {
	inner, err := encMode.Marshal(p)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(envelope{
		Version:     Version,
		From:        c.Name(c.self),
		To:          c.Name(to),
		StartMillis: startMillis,
		Counter:     c.sendCounters[to],
		Payload:     inner,
	})
}

// shrink removes an optional part and reports whether there was one.
func (p *payload) shrink() bool {
	switch {
	case len(p.Observations) > 0:
		p.Observations = p.Observations[:len(p.Observations)-1]
	case len(p.Accusations) > 1:
		p.Accusations = p.Accusations[:len(p.Accusations)-1]
	case len(p.Records) > 1:
		p.Records = p.Records[:len(p.Records)-1]
	case len(p.Entries) > 0:
		p.Entries = p.Entries[:len(p.Entries)/2]
	default:
		return false
	}
	return true
}

func (c *Codec) payloadOf(to swim.MemberID, m swim.Message) (*payload, error) {
	p := &payload{Kind: m.Kind, Nonce: m.Nonce, ViewHash: m.ViewHash}
	if hasRequester(m.Kind) {
		p.Requester = c.Name(m.Requester)
	}
	if hasTarget(m.Kind) {
		p.Target, p.Proof = c.Name(m.Target), m.Proof
	}
	if m.Kind == swim.Ack && m.Requester != to { // the recipient relays the ack to the requester
		p.Proof = ed25519.Sign(c.key, proofMessage(m.Nonce, p.Requester))
	}
	if err := c.addSigned(p, m); err != nil {
		return nil, err
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, wireEntry{
			Member:      c.Name(e.Member),
			StartMillis: e.Incarnation.StartMillis,
			Refutations: e.Incarnation.Refutations,
			State:       e.State,
		})
	}
	return p, nil
}

// hasRequester and hasTarget report whether messages of a kind have a requester and a target.
func hasRequester(kind swim.MessageKind) bool {
	return kind == swim.Ping || kind == swim.Ack || kind == swim.IndirectPing || kind == swim.IndirectAck
}

func hasTarget(kind swim.MessageKind) bool {
	return kind == swim.IndirectPing || kind == swim.IndirectAck
}

// addSigned adds the records and accusations of a message. Those of other members without a signed encoding are left
// out.
func (c *Codec) addSigned(p *payload, m swim.Message) error {
	for _, record := range m.Records {
		signed, err := c.signRecord(record)
		if err != nil {
			return fmt.Errorf("sign a record: %w", err)
		}
		if signed != nil {
			p.Records = append(p.Records, signed)
		}
	}
	for _, a := range m.Accusations {
		signed, err := c.signAccusation(a)
		if err != nil {
			return fmt.Errorf("sign an accusation: %w", err)
		}
		if signed != nil {
			p.Accusations = append(p.Accusations, signed)
		}
	}
	return nil
}

// signRecord returns the signed encoding of a record. The record of another member is returned as received; this
// member's own record is signed once per version.
func (c *Codec) signRecord(record swim.MemberRecord) ([]byte, error) {
	if record.Member != c.self {
		return record.Signed, nil
	}
	own := &c.ownRecord
	if own.signed != nil && own.incarnation == record.Incarnation && own.state == record.State {
		return own.signed, nil
	}
	text, err := c.encodeRecord(record)
	if err != nil {
		return nil, err
	}
	c.ownRecord = signedRecord{
		incarnation: record.Incarnation,
		state:       record.State,
		signed:      c.sign(purposeRecord, text),
	}
	return c.ownRecord.signed, nil
}

func (c *Codec) encodeRecord(record swim.MemberRecord) ([]byte, error) {
	return encMode.Marshal(wireRecord{
		Member:      c.Name(record.Member),
		StartMillis: record.Incarnation.StartMillis,
		Refutations: record.Incarnation.Refutations,
		InstanceID:  record.InstanceID,
		State:       record.State,
		Address:     c.address,
		Zone:        c.zone,
	})
}

// signAccusation returns the signed encoding of an accusation. An accusation by another member is returned as
// received.
func (c *Codec) signAccusation(a swim.Accusation) ([]byte, error) {
	if a.Accuser != c.self {
		return a.Signed, nil
	}
	text, err := encMode.Marshal(wireAccusation{
		Accuser:     c.Name(a.Accuser),
		Member:      c.Name(a.Member),
		StartMillis: a.Incarnation.StartMillis,
		Refutations: a.Incarnation.Refutations,
	})
	if err != nil {
		return nil, err
	}
	return c.sign(purposeAccusation, text), nil
}

// SignObservation returns the signed encoding of an observation by this member.
func (c *Codec) SignObservation(o observation.Observation) ([]byte, error) {
	text, err := encMode.Marshal(wireObservation{
		Witness:     c.Name(c.self),
		StartMillis: o.WitnessStartMillis,
		Sequence:    o.Sequence,
		Endpoint:    string(o.Endpoint),
		Health:      uint8(o.Health),
		Zone:        o.Zone,
	})
	if err != nil {
		return nil, fmt.Errorf("sign an observation: %w", err)
	}
	return c.sign(purposeObservation, text), nil
}

// ForgeRecord returns a record of another member under this member's signature, as a byzantine member could send.
// Only the lab and the tests use it.
func (c *Codec) ForgeRecord(id swim.MemberID, incarnation swim.Incarnation, state swim.State) []byte {
	text, err := c.encodeRecord(swim.MemberRecord{
		Member:      id,
		Incarnation: incarnation,
		InstanceID:  1,
		State:       state,
	})
	if err != nil {
		return nil
	}
	return c.sign(purposeRecord, text)
}
