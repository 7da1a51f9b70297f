package datagram

import (
	"crypto/ed25519"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"cairnfront/internal/membership/swim"
)

// maxVerified limits the number of signed parts that are remembered as verified.
const maxVerified = 4096

// Errors of New and SetRoster. Each is a configuration error.
var (
	// ErrKeyMismatch means that the codec's private key does not match this router's public key in the roster.
	ErrKeyMismatch = errors.New("datagram codec: the private key is not that of this router in the roster")
	// ErrInvalidLocation means that this router's address or zone is too long for its member record.
	ErrInvalidLocation = errors.New("datagram codec: address or zone is too long")
	// ErrInvalidIdentity means that a roster entry has an invalid name or key.
	ErrInvalidIdentity = errors.New("invalid name or key")
	// ErrRosterOrder means that a member is listed twice, or not at its previous index.
	ErrRosterOrder = errors.New("invalid place in the roster")
)

// ErrTooLong means that a message exceeds MaxSize even without its optional parts.
var ErrTooLong = errors.New("datagram: message is too long")

// Identity is the name and the public key of a roster member.
type Identity struct {
	Name string
	Key  ed25519.PublicKey
}

// Codec encodes and decodes the datagrams of one member. It is not safe for concurrent use.
type Codec struct {
	self         swim.MemberID
	key          ed25519.PrivateKey
	address      string
	zone         string
	identities   []Identity
	byName       map[string]swim.MemberID
	sendCounters []uint64 // by recipient
	replayGuards []replayGuard
	ownRecord    signedRecord
	verified     map[string]bool // signed parts by other members whose signature is valid
}

// signedRecord is the most recently signed version of this member's own record.
type signedRecord struct {
	incarnation swim.Incarnation
	state       swim.State
	signed      []byte
}

// New returns the codec of the member self, with its private key, its reachable address, and its zone.
func New(self swim.MemberID, key ed25519.PrivateKey, address, zone string, roster []Identity) (*Codec, error) {
	if len(address) > maxAddressBytes || len(zone) > maxNameBytes {
		return nil, fmt.Errorf("%w: address %q, zone %q: over %d or %d bytes",
			ErrInvalidLocation, address, zone, maxAddressBytes, maxNameBytes)
	}
	c := &Codec{
		self:     self,
		key:      key,
		address:  address,
		zone:     zone,
		byName:   map[string]swim.MemberID{},
		verified: map[string]bool{},
	}
	if err := c.SetRoster(roster); err != nil {
		return nil, err
	}
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok || int(self) >= len(roster) || !public.Equal(roster[self].Key) {
		return nil, ErrKeyMismatch
	}
	return c, nil
}

// SetRoster sets the roster. The members that are already in it must have the same indexes in the new roster, which
// may be longer. It returns ErrInvalidIdentity or ErrRosterOrder.
func (c *Codec) SetRoster(roster []Identity) error {
	for i, identity := range roster {
		if err := c.checkIdentity(i, identity); err != nil {
			return err
		}
		c.byName[identity.Name] = swim.MemberID(i)
	}
	c.identities = slices.Clone(roster)
	for len(c.sendCounters) < len(roster) {
		c.sendCounters = append(c.sendCounters, 0)
		c.replayGuards = append(c.replayGuards, replayGuard{})
	}
	return nil
}

func (c *Codec) checkIdentity(i int, identity Identity) error {
	switch {
	case identity.Name == "" || len(identity.Name) > maxNameBytes:
		return fmt.Errorf("peer %q: %w: a name has 1 to %d bytes", identity.Name, ErrInvalidIdentity, maxNameBytes)
	case len(identity.Key) != ed25519.PublicKeySize:
		return fmt.Errorf("peer %q: %w: its key has %d bytes, not %d",
			identity.Name, ErrInvalidIdentity, len(identity.Key), ed25519.PublicKeySize)
	case i < len(c.identities) && c.identities[i].Name != identity.Name:
		return fmt.Errorf("peer %q: %w: expected %q at this index", identity.Name, ErrRosterOrder, c.identities[i].Name)
	}
	if other, known := c.byName[identity.Name]; known && int(other) != i {
		return fmt.Errorf("peer %q: %w: listed more than once", identity.Name, ErrRosterOrder)
	}
	return nil
}

// Name returns a member's name.
func (c *Codec) Name(id swim.MemberID) string { return c.identities[id].Name }

// sign returns the signature over a purpose and a message, followed by the message.
func (c *Codec) sign(purpose string, text []byte) []byte {
	return append(ed25519.Sign(c.key, append([]byte(purpose), text...)), text...)
}

// verify reports whether signed is a message with a member's valid signature for a purpose.
func (c *Codec) verify(purpose string, signer swim.MemberID, signed []byte) bool {
	if len(signed) < signatureSize {
		return false
	}
	message := append([]byte(purpose), signed[signatureSize:]...)
	return ed25519.Verify(c.identities[signer].Key, message, signed[:signatureSize])
}

// verifyCached is verify with a cache, for parts that are received repeatedly.
func (c *Codec) verifyCached(purpose string, signer swim.MemberID, signed []byte) bool {
	if c.verified[string(signed)] {
		return true
	}
	if !c.verify(purpose, signer, signed) {
		return false
	}
	if len(c.verified) >= maxVerified {
		clear(c.verified)
	}
	c.verified[string(signed)] = true
	return true
}

// proofMessage returns the message that a member signs to prove to a requester that it received a ping.
func proofMessage(nonce uint64, requester string) []byte {
	return append(binary.BigEndian.AppendUint64([]byte(purposeProof), nonce), requester...)
}
