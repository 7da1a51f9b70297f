// Package statemachine implements the replicated state of a shard: reservations with an expiry
// time, and the commands that change them.
//
// It is deterministic: the same commands in the same order give the same state on each replica,
// byte for byte. The package owns the encoding of commands and snapshots. It does no I/O and has no
// clock: it uses the time in the commands, which the shard's leader sets and which never goes back.
// Consensus on the commands is the job of package shard.
package statemachine

import (
	"slices"

	"github.com/google/btree"
)

const (
	// maxRemovedPerCommand bounds the expired reservations that one command removes, so that no
	// command takes longer than a few milliseconds.
	maxRemovedPerCommand = 256
	// treeDegree is the degree of the B-tree ordered by removal time.
	treeDegree = 32
)

// State holds a shard's reservations. It is not safe for concurrent use.
type State struct {
	now       float64 // Unix time in seconds of the latest command
	revision  uint64
	byKey     map[string]*Reservation
	byRemoval *btree.BTreeG[*Reservation]
}

// New returns an empty state.
func New() *State {
	return &State{
		byKey:     map[string]*Reservation{},
		byRemoval: btree.NewG(treeDegree, removedBefore),
	}
}

func removedBefore(a, b *Reservation) bool {
	if a.removeAt() != b.removeAt() {
		return a.removeAt() < b.removeAt()
	}
	return mapKey(a.Kind, a.Key) < mapKey(b.Kind, b.Key)
}

func mapKey(kind Kind, key string) string { return string(rune(kind)) + key }

// Now returns the state's time in Unix seconds.
func (s *State) Now() float64 { return s.now }

// Revision returns the log index of the last command.
func (s *State) Revision() uint64 { return s.revision }

// Len returns the number of reservations, including expired ones that are not yet removed.
func (s *State) Len() int { return len(s.byKey) }

// Get returns a reservation that is not yet due for removal.
func (s *State) Get(kind Kind, key string) (Reservation, bool) {
	r := s.byKey[mapKey(kind, key)]
	if r == nil || s.now > r.removeAt() {
		return Reservation{}, false
	}
	return *r, true
}

// FirstToExpire returns the reservation that will be removed next. Another one may have an earlier
// expiry time, because the time from expiry to removal depends on the kind.
func (s *State) FirstToExpire() (Reservation, bool) {
	if r, ok := s.byRemoval.Min(); ok {
		return *r, true
	}
	return Reservation{}, false
}

// Ascend calls visit for the reservations in the order of their removal, until visit returns false.
func (s *State) Ascend(visit func(Reservation) bool) {
	s.byRemoval.Ascend(func(r *Reservation) bool { return visit(*r) })
}

func (s *State) put(r Reservation) {
	key := mapKey(r.Kind, r.Key)
	if old := s.byKey[key]; old != nil {
		s.byRemoval.Delete(old)
	}
	s.byKey[key] = &r
	s.byRemoval.ReplaceOrInsert(&r)
}

// Apply applies a command. revision is its log index.
func (s *State) Apply(revision uint64, c Command) Result {
	s.revision = revision
	s.now = max(s.now, c.Now)
	s.removeExpired()
	switch c.Op {
	case OpReserve:
		return s.WithRemaining(s.reserve(revision, c))
	case OpSettle:
		return s.WithRemaining(s.settle(revision, c))
	case OpPut:
		return s.WithRemaining(s.overwrite(revision, c))
	case OpAdvanceTime:
	}
	return Result{}
}

// WithRemaining sets the remaining lifetime of the reservation in a result.
func (s *State) WithRemaining(result Result) Result {
	if result.Reservation.Key != "" {
		result.RemainingSeconds = result.Reservation.ExpiresAt - s.now
	}
	return result
}

// reserve grants an attempt location unless an existing one blocks it. A further grant for the same
// group does not extend the window, because the group drops repeats from the first attempt on.
func (s *State) reserve(revision uint64, c Command) Result {
	r, found := s.Get(KindAttemptLocation, c.Key)
	if found && r.blocks(c.Group, s.now) {
		return Result{Reservation: r}
	}
	if !found || r.Status == StatusNotExecuted {
		r = Reservation{
			Kind:      KindAttemptLocation,
			Key:       c.Key,
			Group:     c.Group,
			CreatedAt: s.now,
			ExpiresAt: s.now + c.LifetimeSeconds,
		}
	}
	if grant := c.grant(); !slices.Contains(r.Grants, grant) {
		r.GrantsOverflowed = r.GrantsOverflowed || len(r.Grants) >= maxGrants
		if !r.GrantsOverflowed {
			r.Grants = append(slices.Clone(r.Grants), grant)
		}
	}
	r.Revision = revision
	s.put(r)
	return Result{Granted: true, Reservation: r}
}

// settle records that a reserved request completed, or removes the grant of one that was not
// executed.
func (s *State) settle(revision uint64, c Command) Result {
	r, found := s.Get(KindAttemptLocation, c.Key)
	if !found || r.Group != c.Group || r.Status != StatusOpen {
		return Result{Reservation: r}
	}
	if c.Status == StatusCompleted {
		r.Status = StatusCompleted
		r.Value = c.Value
		r.Grants = nil
	} else {
		remaining := slices.DeleteFunc(slices.Clone(r.Grants), func(grant uint64) bool { return grant == c.grant() })
		unknownGrant := len(remaining) == len(r.Grants)
		r.Grants = remaining
		if unknownGrant || r.GrantsOverflowed {
			return Result{Reservation: r}
		}
		if len(r.Grants) == 0 {
			r.Status = StatusNotExecuted
		}
	}
	r.Revision = revision
	s.put(r)
	return Result{Granted: true, Reservation: r}
}

func (s *State) overwrite(revision uint64, c Command) Result {
	r := Reservation{
		Kind:      c.Kind,
		Key:       c.Key,
		Group:     c.Group,
		CreatedAt: s.now,
		ExpiresAt: s.now + c.LifetimeSeconds,
		Status:    c.Status,
		Value:     c.Value,
		Revision:  revision,
	}
	s.put(r)
	return Result{Granted: true, Reservation: r}
}

// removeExpired removes reservations that are due for removal, at most maxRemovedPerCommand at a
// time.
func (s *State) removeExpired() {
	for range maxRemovedPerCommand {
		r, ok := s.byRemoval.Min()
		if !ok || s.now <= r.removeAt() {
			return
		}
		s.byRemoval.DeleteMin()
		delete(s.byKey, mapKey(r.Kind, r.Key))
	}
}
