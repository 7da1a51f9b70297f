// Package wire is the datagrams between peers: CBOR with numbered keys, so that a later version's parts are skipped, signed
// with the sender's own Ed25519 key, addressed to one peer, counted. What a peer says of itself or of another is signed by it
// alone and travels on as it is. Docs: docs/peers-wire.md. No I/O.
package datagram

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"cairnfront/internal/cborcodec"
	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"

	"github.com/fxamacker/cbor/v2"
)

// Version is that of the envelope. One that is not ours is refused; what is new within it has new keys.
const Version = 1

// Bounds of what is taken in and put out.
const (
	MaxSize   = 1400 // bytes of a datagram: it fits an Ethernet frame with any headers
	mostName  = 32   // bytes of a name
	mostAddr  = 64   // bytes of an address
	mostSeal  = 400  // bytes of a claim or a charge with its signature
	mostList  = 32   // claims, charges or rows of a datagram
	window    = 256  // counters behind the highest that are still told apart
	mostKnown = 4096 // charges whose signature was found to hold
	sigSize   = ed25519.SignatureSize
)

// What is signed begins with what it is for: a signature for one use is none for another.
const (
	forDatagram = "cairnfront peers 1 datagram\x00"
	forClaim    = "cairnfront peers 1 claim\x00"
	forCharge   = "cairnfront peers 1 charge\x00"
	forProof    = "cairnfront peers 1 proof\x00"
	forRumour   = "cairnfront peers 1 rumour\x00"
)

// Why a datagram was not taken.
var (
	ErrMalformed          = errors.New("not a datagram of this protocol")
	ErrUnsupportedVersion = errors.New("another version")
	ErrUnknownMember      = errors.New("nobody of the roster")
	ErrWrongRecipient     = errors.New("not for this peer")
	ErrBadSignature       = errors.New("the signature does not hold")
	ErrReplayed           = errors.New("seen before")
	ErrStaleIncarnation   = errors.New("from an earlier life of its sender")
)

var enc, dec = cborcodec.Modes(64)

type envelope struct {
	V     uint            `cbor:"1,keyasint"`
	From  string          `cbor:"2,keyasint"`
	To    string          `cbor:"3,keyasint"`
	Start uint64          `cbor:"4,keyasint"`
	Count uint64          `cbor:"5,keyasint"`
	Body  cbor.RawMessage `cbor:"6,keyasint"`
}

type body struct {
	Kind    swim.MessageKind `cbor:"1,keyasint"`
	Nonce   uint64           `cbor:"2,keyasint,omitempty"`
	For     string           `cbor:"3,keyasint,omitempty"`
	Of      string           `cbor:"4,keyasint,omitempty"`
	Proof   []byte           `cbor:"5,keyasint,omitempty"`
	Digest  uint64           `cbor:"6,keyasint,omitempty"`
	Claims  [][]byte         `cbor:"7,keyasint,omitempty"`
	Charges [][]byte         `cbor:"8,keyasint,omitempty"`
	Rows    []row            `cbor:"9,keyasint,omitempty"`
	Rumours [][]byte         `cbor:"10,keyasint,omitempty"`
}

type row struct {
	Of    string     `cbor:"1,keyasint"`
	Start uint64     `cbor:"2,keyasint,omitempty"`
	Beat  uint32     `cbor:"3,keyasint,omitempty"`
	State swim.State `cbor:"4,keyasint,omitempty"`
}

type claim struct {
	Of    string     `cbor:"1,keyasint"`
	Start uint64     `cbor:"2,keyasint"`
	Beat  uint32     `cbor:"3,keyasint,omitempty"`
	Birth uint64     `cbor:"4,keyasint"`
	State swim.State `cbor:"5,keyasint"`
	Addr  string     `cbor:"6,keyasint"`
	Zone  string     `cbor:"7,keyasint,omitempty"`
}

type charge struct {
	By    string `cbor:"1,keyasint"`
	Of    string `cbor:"2,keyasint"`
	Start uint64 `cbor:"3,keyasint"`
	Beat  uint32 `cbor:"4,keyasint,omitempty"`
}

type word struct {
	By     string `cbor:"1,keyasint"`
	Start  uint64 `cbor:"2,keyasint"`
	Seq    uint32 `cbor:"3,keyasint"`
	Member string `cbor:"4,keyasint"`
	Says   uint8  `cbor:"5,keyasint"`
	Zone   string `cbor:"6,keyasint,omitempty"`
}

// Person is one of the roster.
type Identity struct {
	Name string
	Key  ed25519.PublicKey
}

// guard is which counters of a sender's life were seen: 56 bytes a peer.
type guard struct {
	start, high uint64
	seen        [window / 64]uint64
}

// fresh says whether a counter is new, and notes it.
func (g *guard) fresh(start, count uint64) error {
	switch {
	case start < g.start:
		return ErrStaleIncarnation
	case start > g.start:
		*g = guard{start: start}
	}
	if count > g.high {
		for n := count - g.high; n > 0; {
			step := min(n, window)
			for i := uint64(1); i <= step; i++ {
				at := (g.high + i) % window
				g.seen[at/64] &^= 1 << (at % 64)
			}
			if n > window {
				g.high, n = count-window, window
				continue
			}
			g.high, n = g.high+step, n-step
		}
	} else if g.high-count >= window {
		return ErrReplayed
	}
	at := count % window
	if g.seen[at/64]&(1<<(at%64)) != 0 {
		return ErrReplayed
	}
	g.seen[at/64] |= 1 << (at % 64)
	return nil
}

type sealed struct {
	at    swim.Incarnation
	state swim.State
	text  []byte
}

// Codec is one peer's. It belongs to one goroutine.
type Codec struct {
	me     swim.MemberID
	key    ed25519.PrivateKey
	addr   string
	zone   string
	people []Identity
	index  map[string]swim.MemberID
	counts []uint64
	guards []guard
	own    sealed
	held   map[string]bool // claims and charges whose signature holds, by their text
}

// New makes the codec of a peer with its key, the address at which it is reached, and its zone.
func New(me swim.MemberID, key ed25519.PrivateKey, addr, zone string, people []Identity) (*Codec, error) {
	c := &Codec{me: me, key: key, addr: addr, zone: zone, index: map[string]swim.MemberID{}, held: map[string]bool{}}
	if len(addr) > mostAddr || len(zone) > mostName {
		return nil, fmt.Errorf("the address %q or the zone %q is too long", addr, zone)
	}
	if err := c.SetRoster(people); err != nil {
		return nil, err
	}
	if int(me) >= len(people) || !key.Public().(ed25519.PublicKey).Equal(people[me].Key) {
		return nil, errors.New("the own key is not the one in the roster")
	}
	return c, nil
}

// Grow takes a longer roster; the names that were there stay in their places.
func (c *Codec) SetRoster(people []Identity) error {
	for i := range people {
		p := people[i]
		switch {
		case p.Name == "" || len(p.Name) > mostName:
			return fmt.Errorf("peer %q: a name has 1 to %d bytes", p.Name, mostName)
		case len(p.Key) != ed25519.PublicKeySize:
			return fmt.Errorf("peer %q: its key has %d bytes, not %d", p.Name, len(p.Key), ed25519.PublicKeySize)
		case i < len(c.people) && c.people[i].Name != p.Name:
			return fmt.Errorf("peer %q stands where %q did", p.Name, c.people[i].Name)
		}
		if at, ok := c.index[p.Name]; ok && int(at) != i {
			return fmt.Errorf("peer %q stands twice", p.Name)
		}
		c.index[p.Name] = swim.MemberID(i)
	}
	c.people = slices.Clone(people)
	for len(c.counts) < len(people) {
		c.counts, c.guards = append(c.counts, 0), append(c.guards, guard{})
	}
	return nil
}

// Name of a peer.
func (c *Codec) Name(p swim.MemberID) string { return c.people[p].Name }

// Moved sets the address at which this peer says that it is reached.
func (c *Codec) SetAddress(addr string) { c.addr, c.own = addr, sealed{} }

func (c *Codec) sign(use string, text []byte) []byte {
	return append(ed25519.Sign(c.key, append([]byte(use), text...)), text...)
}

func (c *Codec) holds(use string, p swim.MemberID, signed []byte) bool {
	if len(signed) < sigSize {
		return false
	}
	return ed25519.Verify(c.people[p].Key, append([]byte(use), signed[sigSize:]...), signed[:sigSize])
}

func proofText(nonce uint64, asker string) []byte {
	return append(binary.BigEndian.AppendUint64([]byte(forProof), nonce), asker...)
}

// seal is the signed text of a claim: a foreign one as it came, our own signed once.
func (c *Codec) seal(cl swim.MemberRecord) ([]byte, error) {
	if cl.Member != c.me {
		return cl.Signed, nil
	}
	if c.own.text == nil || c.own.at != cl.Incarnation || c.own.state != cl.State {
		text, err := enc.Marshal(claim{c.people[cl.Member].Name, cl.Incarnation.StartMillis, cl.Incarnation.Refutations, cl.InstanceID, cl.State, c.addr, c.zone})
		if err != nil {
			return nil, err
		}
		c.own = sealed{cl.Incarnation, cl.State, c.sign(forClaim, text)}
	}
	return c.own.text, nil
}

func (c *Codec) charge(ch swim.Accusation) ([]byte, error) {
	if ch.Accuser != c.me {
		return ch.Signed, nil
	}
	text, err := enc.Marshal(charge{c.people[ch.Accuser].Name, c.people[ch.Member].Name, ch.Incarnation.StartMillis, ch.Incarnation.Refutations})
	if err != nil {
		return nil, err
	}
	return c.sign(forCharge, text), nil
}

// Encode makes a datagram. Start is the sender's incarnation. What does not fit is left out, rumours first, then charges, claims
// and rows.
func (c *Codec) Encode(start uint64, to swim.MemberID, m swim.Message, rumours [][]byte) ([]byte, error) {
	b := body{Kind: m.Kind, Nonce: m.Nonce, Digest: m.ViewHash, Rumours: rumours}
	switch m.Kind {
	case swim.Ping, swim.Ack, swim.IndirectPing, swim.IndirectAck:
		b.For = c.people[m.Requester].Name
	}
	switch m.Kind {
	case swim.IndirectPing, swim.IndirectAck:
		b.Of, b.Proof = c.people[m.Target].Name, m.Proof
	case swim.Ack:
		if m.Requester != to { // the one who asked for it only hands it on
			b.Proof = ed25519.Sign(c.key, proofText(m.Nonce, b.For))
		}
	}
	for _, cl := range m.Records {
		text, err := c.seal(cl)
		if err != nil {
			return nil, fmt.Errorf("sealing a claim: %w", err)
		}
		if text != nil {
			b.Claims = append(b.Claims, text)
		}
	}
	for _, ch := range m.Accusations {
		text, err := c.charge(ch)
		if err != nil {
			return nil, fmt.Errorf("sealing a charge: %w", err)
		}
		if text != nil {
			b.Charges = append(b.Charges, text)
		}
	}
	for _, r := range m.Entries {
		b.Rows = append(b.Rows, row{c.people[r.Member].Name, r.Incarnation.StartMillis, r.Incarnation.Refutations, r.State})
	}
	c.counts[to]++
	for {
		inner, err := enc.Marshal(b)
		if err != nil {
			return nil, fmt.Errorf("encoding for %s: %w", c.people[to].Name, err)
		}
		text, err := enc.Marshal(envelope{Version, c.people[c.me].Name, c.people[to].Name, start, c.counts[to], inner})
		if err != nil {
			return nil, fmt.Errorf("encoding for %s: %w", c.people[to].Name, err)
		}
		if sigSize+len(text) <= MaxSize {
			return c.sign(forDatagram, text), nil
		}
		switch {
		case len(b.Rumours) > 0:
			b.Rumours = b.Rumours[:len(b.Rumours)-1]
		case len(b.Charges) > 1:
			b.Charges = b.Charges[:len(b.Charges)-1]
		case len(b.Claims) > 1:
			b.Claims = b.Claims[:len(b.Claims)-1]
		case len(b.Rows) > 0:
			b.Rows = b.Rows[:len(b.Rows)/2]
		default:
			return nil, fmt.Errorf("a message of kind %d does not fit %d bytes", m.Kind, MaxSize)
		}
	}
}

// Heard is a datagram that was taken.
type Received struct {
	From         swim.MemberID
	StartMillis  uint64
	Message      swim.Message
	Observations []observation.Observation
	Skipped      int // parts that were left out because their signature does not hold or they name nobody
}

// Decode takes a datagram: for us, from one of the roster, its signature, life and counter in order. Newer says whether a claim
// would be news; one that would not be is not looked into. An error of ErrOld names the sender all the same.
func (c *Codec) Decode(text []byte, newer func(swim.MemberID, swim.Incarnation) bool) (h Received, err error) {
	if len(text) < sigSize || len(text) > MaxSize {
		return h, ErrMalformed
	}
	var e envelope
	if dec.Unmarshal(text[sigSize:], &e) != nil {
		return h, ErrMalformed
	}
	if e.V != Version {
		return h, ErrUnsupportedVersion
	}
	from, ok := c.index[e.From]
	if !ok || from == c.me {
		return h, ErrUnknownMember
	}
	if e.To != c.people[c.me].Name {
		return h, ErrWrongRecipient
	}
	if e.Start < c.guards[from].start { // before the dear part: an old life's datagrams are known without it
		h.From = from
		if !c.holds(forDatagram, from, text) {
			return h, ErrBadSignature
		}
		return h, ErrStaleIncarnation
	}
	if !c.holds(forDatagram, from, text) {
		return h, ErrBadSignature
	}
	if err := c.guards[from].fresh(e.Start, e.Count); err != nil {
		return h, err
	}
	var b body
	if dec.Unmarshal(e.Body, &b) != nil || len(b.Claims) > mostList || len(b.Charges) > mostList || len(b.Rows) > mostList || len(b.Rumours) > mostList {
		return h, ErrMalformed
	}
	h.From, h.StartMillis = from, e.Start
	m := &h.Message
	m.Kind, m.Nonce, m.ViewHash = b.Kind, b.Nonce, b.Digest
	if m.Kind < swim.Ping || m.Kind > swim.Push {
		m.Kind = 0 // of a later version: what it carries counts
	}
	switch m.Kind {
	case swim.Ping, swim.Ack, swim.IndirectPing, swim.IndirectAck:
		if m.Requester, ok = c.index[b.For]; !ok {
			return h, ErrUnknownMember
		}
	}
	switch m.Kind {
	case swim.IndirectPing, swim.IndirectAck:
		if m.Target, ok = c.index[b.Of]; !ok {
			return h, ErrUnknownMember
		}
	}
	switch m.Kind {
	case swim.Ack:
		m.Proof = b.Proof
	case swim.IndirectAck:
		if !ed25519.Verify(c.people[m.Target].Key, proofText(m.Nonce, c.people[c.me].Name), b.Proof) {
			return h, ErrBadSignature
		}
	}
	for _, text := range b.Claims {
		cl, ok := c.openClaim(text, newer)
		if ok {
			m.Records = append(m.Records, cl)
		} else {
			h.Skipped++
		}
	}
	for _, text := range b.Charges {
		ch, ok := c.openCharge(text)
		if ok {
			m.Accusations = append(m.Accusations, ch)
		} else {
			h.Skipped++
		}
	}
	for _, text := range b.Rumours {
		if r, ok := c.VerifyObservation(text); ok {
			h.Observations = append(h.Observations, r)
		} else {
			h.Skipped++
		}
	}
	for _, r := range b.Rows {
		if of, ok := c.index[r.Of]; ok && r.State <= swim.Left {
			m.Entries = append(m.Entries, swim.PushPullEntry{Member: of, Incarnation: swim.Incarnation{StartMillis: r.Start, Refutations: r.Beat}, State: r.State})
		}
	}
	return h, nil
}

func (c *Codec) checked(use string, p swim.MemberID, text []byte) bool {
	if c.held[string(text)] {
		return true
	}
	if !c.holds(use, p, text) {
		return false
	}
	if len(c.held) >= mostKnown {
		clear(c.held)
	}
	c.held[string(text)] = true
	return true
}

func (c *Codec) openClaim(text []byte, newer func(swim.MemberID, swim.Incarnation) bool) (swim.MemberRecord, bool) {
	var t claim
	if len(text) <= sigSize || len(text) > mostSeal || dec.Unmarshal(text[sigSize:], &t) != nil {
		return swim.MemberRecord{}, false
	}
	of, ok := c.index[t.Of]
	cl := swim.MemberRecord{Member: of, Incarnation: swim.Incarnation{StartMillis: t.Start, Refutations: t.Beat}, InstanceID: t.Birth, State: t.State, Signed: slices.Clone(text)}
	if !ok || t.State != swim.Alive && t.State != swim.Stuck && t.State != swim.Left || len(t.Addr) > mostAddr || len(t.Zone) > mostName {
		return cl, false
	}
	if !newer(of, cl.Incarnation) {
		return cl, true // it changes nothing, whoever wrote it
	}
	return cl, c.checked(forClaim, of, text)
}

func (c *Codec) openCharge(text []byte) (swim.Accusation, bool) {
	var t charge
	if len(text) <= sigSize || len(text) > mostSeal || dec.Unmarshal(text[sigSize:], &t) != nil {
		return swim.Accusation{}, false
	}
	by, ok := c.index[t.By]
	of, ok2 := c.index[t.Of]
	ch := swim.Accusation{Accuser: by, Member: of, Incarnation: swim.Incarnation{StartMillis: t.Start, Refutations: t.Beat}, Signed: slices.Clone(text)}
	return ch, ok && ok2 && by != of && c.checked(forCharge, by, text)
}

// Where tells what a signed claim says of its author's place.
func RecordLocation(seal []byte) (addr, zone string) {
	var t claim
	if len(seal) > sigSize && dec.Unmarshal(seal[sigSize:], &t) == nil {
		return t.Addr, t.Zone
	}
	return "", ""
}

// SealRumour signs a word of our own.
func (c *Codec) SignObservation(r observation.Observation) ([]byte, error) {
	text, err := enc.Marshal(word{c.people[c.me].Name, r.WitnessStartMillis, r.Sequence, string(r.Endpoint), uint8(r.Health), r.Zone})
	if err != nil {
		return nil, fmt.Errorf("sealing a rumour: %w", err)
	}
	return c.sign(forRumour, text), nil
}

// OpenRumour reads a word and checks that its witness signed it.
func (c *Codec) VerifyObservation(seal []byte) (observation.Observation, bool) {
	var t word
	if len(seal) <= sigSize || len(seal) > mostSeal || dec.Unmarshal(seal[sigSize:], &t) != nil {
		return observation.Observation{}, false
	}
	by, ok := c.index[t.By]
	if !ok || by == c.me || len(t.Member) > mostName || len(t.Zone) > mostName || !c.checked(forRumour, by, seal) {
		return observation.Observation{}, false
	}
	return observation.Observation{Witness: by, WitnessStartMillis: t.Start, Sequence: t.Seq, Endpoint: routing.EndpointID(t.Member), Health: observation.Health(t.Says), Zone: t.Zone, Signed: slices.Clone(seal)}, true
}

// NewKey makes a key and its public half as the operators' file has it.
func GenerateKey() (seed, public string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("a new key: %w", err)
	}
	return base64.StdEncoding.EncodeToString(priv.Seed()), base64.StdEncoding.EncodeToString(pub), nil
}

// Key reads a private key as NewKey wrote it, Public a public one.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	seed, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("not %d bytes in base64", ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// Public reads a public key.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("not %d bytes in base64", ed25519.PublicKeySize)
	}
	return key, nil
}

// Forge makes a claim in another's name under our own signature: what a liar would send, for the laboratory and the tests.
func (c *Codec) ForgeRecord(of swim.MemberID, at swim.Incarnation, state swim.State) []byte {
	text, err := enc.Marshal(claim{c.people[of].Name, at.StartMillis, at.Refutations, 1, state, c.addr, c.zone})
	if err != nil {
		return nil
	}
	return c.sign(forClaim, text)
}
