// Package record is what a slice of the ledger holds: promises, each with an end of life, and the commands that change them. It
// is a state machine: the same commands in the same order give the same state on every holder, byte for byte. No I/O and no
// clock: the time that counts is that of the commands, which the slice's leader sets, and it never goes back.
package statemachine

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"slices"

	"cairnfront/internal/cborcodec"

	"github.com/google/btree"
)

// Kind of a promise.
type Kind uint8

// The kinds. Whereabouts is where a keyed txn's hops may have run; Verdict how a caller's txn ended; Purge and Drain were
// acknowledged at an operators' door; Return is a time to come back that was told with a place kept; Order an operator's word
// to the fleet.
const (
	KindAttemptLocation Kind = iota + 1
	KindRequestOutcome
	KindPurge
	KindDrain
	KindReturnTime
	KindOperatorOrder
	kindEnd
)

var kindNames = [...]string{"", "whereabouts", "verdict", "purge", "drain", "return", "order"}

func (k Kind) String() string {
	if k == 0 || k >= kindEnd {
		return fmt.Sprintf("kind-%d", uint8(k))
	}
	return kindNames[k]
}

// How a keyed txn stands.
const (
	StatusOpen        = uint8(iota) // a hop may have run
	StatusCompleted                 // it ran, and its answer was given
	StatusNotExecuted               // it surely did not run: the claim may be taken by another group
)

// Tuned values.
const (
	// Skew is the s by which a machine's clock may be off; a promise lives that much longer than its own end says, on the
	// clock of whoever leads. Twice what the installation's clocks are held to, so that two of them may stand at either end.
	ClockSkewSeconds = 4.0
	// Linger is the s past its window for which a whereabouts stays: a client that asks again then must not have its order run
	// a second time, though its group drops repeats no more. Clients give a keyed txn up long before.
	RetentionSeconds = 60.0
	// Margin is the s before a window's end in which nothing more is let into its group: the way to a member, and the clocks'
	// rates.
	WindowMarginSeconds = 0.5
	// MostValue is the bytes of a promise's value.
	MaxValueBytes = 1024
	// MostKey is the bytes of a key: a client's idempotency key has 32.
	MaxKeyBytes = 128
	// sweepMost is how many promises one command may let run out: no command takes longer than some ms.
	sweepMost = 256
	// mostGrants is how many claims of one key are told apart: tries of a client at several routers.
	maxGrants = 8
)

// Promise is one entry: about 200 bytes with its place in the tree.
type Reservation struct {
	Kind      Kind    `cbor:"1,keyasint"`
	Key       string  `cbor:"2,keyasint"`
	Group     string  `cbor:"3,keyasint,omitempty"` // of a whereabouts: where a hop may have run
	CreatedAt float64 `cbor:"4,keyasint,omitempty"` // Unix s of the first such hop, by the leader's clock
	ExpiresAt float64 `cbor:"5,keyasint"`           // Unix s of its end
	Status    uint8   `cbor:"6,keyasint,omitempty"`
	Value     []byte  `cbor:"7,keyasint,omitempty"`
	Revision  uint64  `cbor:"8,keyasint"` // of the command that wrote it
	// Of an open whereabouts: the claims on which a hop may have run, by asker and number. Only when each of them was settled as
	// harmless is the whole so. Beyond mostGrants nobody can tell any more, and it stays open to its end.
	Grants           []uint64 `cbor:"9,keyasint,omitempty"`
	GrantsOverflowed bool     `cbor:"10,keyasint,omitempty"`
}

// end is when a promise is dropped.
func (p *Reservation) end() float64 {
	if p.Kind == KindAttemptLocation {
		return p.ExpiresAt + RetentionSeconds
	}
	return p.ExpiresAt + ClockSkewSeconds
}

// Op is what a command does.
type Op uint8

// The operations.
const (
	OpReserve     Op = iota + 1 // a whereabouts, unless there is one in another group
	OpSettle                    // how a claimed txn ended
	OpPut                       // any other promise; it goes over an older one
	OpAdvanceTime               // time passes
)

// Command is one entry of a slice's log. Now is the leader's Unix time.
type Command struct {
	Op              Op      `cbor:"1,keyasint"`
	Now             float64 `cbor:"2,keyasint"`
	Kind            Kind    `cbor:"3,keyasint,omitempty"`
	Key             string  `cbor:"4,keyasint,omitempty"`
	Group           string  `cbor:"5,keyasint,omitempty"`
	LifetimeSeconds float64 `cbor:"6,keyasint,omitempty"` // s from Now to its end
	Status          uint8   `cbor:"7,keyasint,omitempty"`
	Value           []byte  `cbor:"8,keyasint,omitempty"`
	Requester       string  `cbor:"9,keyasint,omitempty"`  // router and
	RequestNumber   uint64  `cbor:"10,keyasint,omitempty"` // its number, by which the asker finds its answer
}

// grant names the claim that a command is, or is about: asked again it is the same one.
func (c Command) grant() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", c.Requester, c.RequestNumber)
	return h.Sum64()
}

// Result is what a command came to.
type Result struct {
	Granted          bool        `cbor:"Granted"` // the claim is the asker's; the promise is written
	Reservation      Reservation `cbor:"Promise"` // what stands now
	RemainingSeconds float64     `cbor:"Left"`    // s of its life that were left when it was looked at, by the leader's clock: no other clock is needed
}

// Errors of commands.
var (
	ErrInvalid      = errors.New("not a command of the ledger")
	ErrNewerVersion = errors.New("the state was written by a later version")
)

// Check says what is wrong with a command, before it is proposed.
func (c Command) Validate() error {
	switch {
	case c.Op == 0 || c.Op > OpAdvanceTime:
		return fmt.Errorf("%w: operation %d", ErrInvalid, c.Op)
	case c.Op == OpAdvanceTime:
		return nil
	case c.Key == "" || len(c.Key) > MaxKeyBytes:
		return fmt.Errorf("%w: a key of %d bytes, 1 to %d are allowed", ErrInvalid, len(c.Key), MaxKeyBytes)
	case len(c.Value) > MaxValueBytes || len(c.Group) > MaxKeyBytes:
		return fmt.Errorf("%w: a value of %d and a group of %d bytes", ErrInvalid, len(c.Value), len(c.Group))
	case c.Op == OpPut && (c.Kind <= KindAttemptLocation || c.Kind >= kindEnd):
		return fmt.Errorf("%w: a put of %s", ErrInvalid, c.Kind)
	case !(c.LifetimeSeconds >= 0 && c.LifetimeSeconds <= 1e9):
		return fmt.Errorf("%w: it lasts %g s", ErrInvalid, c.LifetimeSeconds)
	case c.Op == OpSettle && c.Status != StatusCompleted && c.Status != StatusNotExecuted:
		return fmt.Errorf("%w: settled as %d", ErrInvalid, c.Status)
	}
	return nil
}

// mostEntries is how many promises a snapshot may hold.
const mostEntries = 1 << 24

var enc, dec = cborcodec.Modes(mostEntries)

// Encode writes a command, Decode reads one. Parts of later versions are skipped.
func (c Command) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return enc.Marshal(c)
}

// Decode reads a command.
func Decode(text []byte) (c Command, err error) {
	if err := dec.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c, c.Validate()
}

// State is a slice's. It belongs to one goroutine.
type State struct {
	now  float64
	rev  uint64
	keys map[string]*Reservation
	ends *btree.BTreeG[*Reservation] // by their ends
}

// New makes an empty state.
func New() *State {
	return &State{keys: map[string]*Reservation{}, ends: btree.NewG(32, func(a, b *Reservation) bool {
		if a.end() != b.end() {
			return a.end() < b.end()
		}
		return place(a) < place(b)
	})}
}

func place(p *Reservation) string { return string(rune(p.Kind)) + p.Key }

func at(k Kind, key string) string { return string(rune(k)) + key }

// Now is the slice's time, Rev the last command's number.
func (s *State) Now() float64 { return s.now }

// Rev is the number of the last command.
func (s *State) Revision() uint64 { return s.rev }

// Len is how many promises there are.
func (s *State) Len() int { return len(s.keys) }

// Get finds a promise. One whose time is over is none.
func (s *State) Get(k Kind, key string) (Reservation, bool) {
	p := s.keys[at(k, key)]
	if p == nil || s.now > p.end() {
		return Reservation{}, false
	}
	return *p, true
}

// Oldest is the promise that ends first.
func (s *State) FirstToExpire() (Reservation, bool) {
	if p, ok := s.ends.Min(); ok {
		return *p, true
	}
	return Reservation{}, false
}

// All gives the promises in the order of their ends, until the callback says no.
func (s *State) Ascend(f func(Reservation) bool) {
	s.ends.Ascend(func(p *Reservation) bool { return f(*p) })
}

func (s *State) put(p Reservation) {
	place := at(p.Kind, p.Key)
	if old := s.keys[place]; old != nil {
		s.ends.Delete(old)
	}
	s.keys[place] = &p
	s.ends.ReplaceOrInsert(&p)
}

// Apply carries out a command with its number. Every holder comes to the same.
func (s *State) Apply(rev uint64, c Command) Result {
	s.rev, s.now = rev, max(s.now, c.Now)
	s.sweep()
	return s.WithRemaining(s.apply(rev, c))
}

// Left fills in what is left of a result's promise.
func (s *State) WithRemaining(r Result) Result {
	if r.Reservation.Key != "" {
		r.RemainingSeconds = r.Reservation.ExpiresAt - s.now
	}
	return r
}

func (s *State) apply(rev uint64, c Command) (r Result) {
	switch c.Op {
	case OpReserve:
		p, ok := s.Get(KindAttemptLocation, c.Key)
		switch {
		case ok && p.Status == StatusCompleted, ok && p.Status == StatusOpen && (p.Group != c.Group || s.now > p.ExpiresAt-WindowMarginSeconds):
			return Result{Reservation: p}
		case !ok || p.Status == StatusNotExecuted:
			p = Reservation{Kind: KindAttemptLocation, Key: c.Key, Group: c.Group, CreatedAt: s.now, ExpiresAt: s.now + c.LifetimeSeconds}
		} // else it follows into its group, which drops what it has seen for as long as the window runs from the first hop
		if g := c.grant(); !slices.Contains(p.Grants, g) {
			p.GrantsOverflowed = p.GrantsOverflowed || len(p.Grants) >= maxGrants
			if !p.GrantsOverflowed {
				p.Grants = append(slices.Clone(p.Grants), g)
			}
		}
		p.Revision = rev
		s.put(p)
		return Result{Granted: true, Reservation: p}
	case OpSettle:
		p, ok := s.Get(KindAttemptLocation, c.Key)
		if !ok || p.Group != c.Group || p.Status != StatusOpen {
			return Result{Reservation: p}
		}
		if c.Status == StatusCompleted {
			p.Status, p.Value, p.Grants = StatusCompleted, c.Value, nil
		} else {
			n := len(p.Grants)
			if p.Grants = slices.DeleteFunc(slices.Clone(p.Grants), func(g uint64) bool { return g == c.grant() }); len(p.Grants) == n || p.GrantsOverflowed {
				return Result{Reservation: p}
			}
			if len(p.Grants) == 0 {
				p.Status = StatusNotExecuted
			}
		}
		p.Revision = rev
		s.put(p)
		return Result{Granted: true, Reservation: p}
	case OpPut:
		p := Reservation{Kind: c.Kind, Key: c.Key, Group: c.Group, CreatedAt: s.now, ExpiresAt: s.now + c.LifetimeSeconds, Status: c.Status, Value: c.Value, Revision: rev}
		s.put(p)
		return Result{Granted: true, Reservation: p}
	}
	return r
}

// sweep drops what has run out, some at a time.
func (s *State) sweep() {
	for range sweepMost {
		p, ok := s.ends.Min()
		if !ok || s.now <= p.end() {
			return
		}
		s.ends.DeleteMin()
		delete(s.keys, place(p))
	}
}

// The snapshot: a head that names its version, the promises in order, a checksum.
const (
	magic   = "cairnfront ledger slice\n"
	version = 1
)

type image struct {
	Version  uint          `cbor:"1,keyasint"`
	Now      float64       `cbor:"2,keyasint"`
	Rev      uint64        `cbor:"3,keyasint"`
	Promises []Reservation `cbor:"4,keyasint"`
}

// Snapshot writes the state. Two holders with the same commands write the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	x := image{Version: version, Now: s.now, Rev: s.rev, Promises: make([]Reservation, 0, len(s.keys))}
	s.Ascend(func(p Reservation) bool { x.Promises = append(x.Promises, p); return true })
	body, err := enc.Marshal(x)
	if err != nil {
		return nil, fmt.Errorf("writing a snapshot: %w", err)
	}
	out := append([]byte(magic), body...)
	sum := crc32.Checksum(out, crc32.MakeTable(crc32.Castagnoli))
	return append(out, byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum)), nil
}

// Restore reads a snapshot. One of a later version is refused, in one line; parts that it does not know are skipped.
func Restore(text []byte) (*State, error) {
	if len(text) < len(magic)+4 || !bytes.HasPrefix(text, []byte(magic)) {
		return nil, fmt.Errorf("%w: no snapshot of a slice", ErrInvalid)
	}
	body, tail := text[:len(text)-4], text[len(text)-4:]
	if sum := crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)); sum != uint32(tail[0])<<24|uint32(tail[1])<<16|uint32(tail[2])<<8|uint32(tail[3]) {
		return nil, fmt.Errorf("%w: the checksum of a snapshot does not hold", ErrInvalid)
	}
	var x image
	if err := dec.Unmarshal(body[len(magic):], &x); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if x.Version > version {
		return nil, fmt.Errorf("%w: version %d, this program reads %d", ErrNewerVersion, x.Version, version)
	}
	s := New()
	s.now, s.rev = x.Now, x.Rev
	slices.SortStableFunc(x.Promises, func(a, b Reservation) int { return cmp.Compare(a.end(), b.end()) })
	for _, p := range x.Promises {
		if p.Key == "" || p.Kind == 0 {
			return nil, fmt.Errorf("%w: a promise without a key", ErrInvalid)
		}
		s.put(p)
	}
	return s, nil
}
