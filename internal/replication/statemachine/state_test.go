package statemachine

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func reserve(now float64, key, group, requester string, number uint64) Command {
	return Command{
		Op:              OpReserve,
		Now:             now,
		Key:             key,
		Group:           group,
		LifetimeSeconds: 6,
		Requester:       requester,
		RequestNumber:   number,
	}
}

func settle(now float64, group, requester string, number uint64, status Status) Command {
	return Command{
		Op:            OpSettle,
		Now:           now,
		Key:           "k",
		Group:         group,
		Requester:     requester,
		RequestNumber: number,
		Status:        status,
	}
}

// TestRetryIsGrantedForTheReservedGroupOnly reserves a key again for the same and for another
// group. A retry that reaches a group which does not know the key would run a second time. Only the
// reserved group may be granted, until the client can no longer retry.
func TestRetryIsGrantedForTheReservedGroupOnly(t *testing.T) {
	s := New()
	assert.True(t, s.Apply(1, reserve(100, "k", "g1", "a", 1)).Granted)
	r := s.Apply(2, reserve(101, "k", "g2", "b", 1))
	assert.False(t, r.Granted)
	assert.Equal(t, []any{"g1", 106.0}, []any{r.Reservation.Group, r.Reservation.ExpiresAt})
	r = s.Apply(3, reserve(102, "k", "g1", "b", 2))
	assert.True(t, r.Granted)
	//nolint:testifylint // exact by intent
	assert.Equal(t, 106.0, r.Reservation.ExpiresAt, "the window starts with the first attempt")
	s.Apply(4, settle(103, "g1", "a", 1, StatusCompleted))
	r = s.Apply(5, reserve(104, "k", "g1", "c", 1))
	assert.False(t, r.Granted)
	assert.Equal(t, StatusCompleted, r.Reservation.Status)
	assert.False(t, s.Apply(6, reserve(106+RetentionSeconds, "k", "g2", "c", 2)).Granted, "the client may still retry")
	assert.True(t, s.Apply(7, reserve(106.1+RetentionSeconds, "k", "g2", "c", 3)).Granted)
}

// TestNothingIsGrantedNearTheEndOfTheWindow reserves a key shortly before its window ends. The
// attempt could arrive after the group has forgotten the key, and run a second time. The
// reservation must be denied.
func TestNothingIsGrantedNearTheEndOfTheWindow(t *testing.T) {
	s := New()
	s.Apply(1, reserve(100, "k", "g1", "a", 1))
	assert.True(t, s.Apply(2, reserve(106-WindowMarginSeconds, "k", "g1", "b", 1)).Granted)
	r := s.Apply(3, reserve(106.1, "k", "g1", "b", 2))
	assert.False(t, r.Granted, "the request could run a second time")
	assert.InDelta(t, -0.1, r.RemainingSeconds, 1e-9)
}

// TestKeyIsFreeOnceEachGrantWasNotExecuted settles grants as not executed, some of them twice. If a
// repeated settlement counted for another grant, the key would become free although an attempt may
// have run. Each grant must be settled individually, and with more than maxGrants grants the key
// must stay reserved.
func TestKeyIsFreeOnceEachGrantWasNotExecuted(t *testing.T) {
	s := New()
	s.Apply(1, reserve(100, "k", "g1", "a", 1))
	s.Apply(2, reserve(100, "k", "g1", "a", 1)) // a repeated command has the same grant
	s.Apply(3, reserve(100, "k", "g1", "b", 7))
	s.Apply(4, settle(101, "g1", "b", 7, StatusNotExecuted))
	s.Apply(5, settle(101, "g1", "b", 7, StatusNotExecuted)) // a repeated settlement must not count for the grant of a
	assert.False(t, s.Apply(6, reserve(101, "k", "g2", "c", 1)).Granted, "the attempt of a may have run")
	s.Apply(7, settle(101, "g1", "a", 1, StatusNotExecuted))
	assert.True(t, s.Apply(8, reserve(101, "k", "g2", "c", 1)).Granted)
	s = New()
	for i := range maxGrants + 2 {
		s.Apply(uint64(i+1), reserve(100, "k", "g", "a", uint64(i)))
	}
	for i := range maxGrants + 2 {
		s.Apply(uint64(100+i), settle(100, "g", "a", uint64(i), StatusNotExecuted))
	}
	assert.False(t, s.Apply(200, reserve(100, "k", "other", "b", 1)).Granted, "more grants than are tracked")
}

// TestTimeNeverGoesBack applies a command of a leader whose clock is behind. If time went back,
// expired reservations would become valid again, differently on each replica. The state's time must
// not change.
func TestTimeNeverGoesBack(t *testing.T) {
	s := New()
	s.Apply(1, reserve(1000, "k", "g1", "a", 1))
	r := s.Apply(2, reserve(100, "x", "g1", "a", 2)) // from a leader whose clock is behind
	assert.Equal(t, 1000.0, r.Reservation.CreatedAt) //nolint:testifylint // exact by intent
	assert.Equal(t, 1000.0, s.Now())                 //nolint:testifylint // exact by intent
}

// drawCommand draws a random valid command.
func drawCommand(t *rapid.T, now float64) Command {
	return Command{
		Op:              Op(rapid.IntRange(1, 4).Draw(t, "op")),
		Now:             now,
		Kind:            KindPurge,
		Key:             strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "key")),
		Group:           strconv.Itoa(rapid.IntRange(0, 1).Draw(t, "group")),
		LifetimeSeconds: 6,
		Status:          Status(rapid.IntRange(1, 2).Draw(t, "status")),
		Requester:       "r",
		RequestNumber:   uint64(rapid.IntRange(0, 3).Draw(t, "request number")),
	}
}

func roundTrip(t *rapid.T, c Command) Command {
	encoded, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func mustSnapshot(t *rapid.T, s *State) []byte {
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// unsettledGrants has the reservations on which an attempt may have run, by key.
type unsettledGrants map[string]Reservation

// check fails the test if a key was granted to a second group, or near the end of its window.
func (u unsettledGrants) check(t *rapid.T, now float64, c Command, result Result) {
	if c.Op == OpReserve && result.Granted {
		earlier, ok := u[c.Key]
		if !ok || now > earlier.ExpiresAt+RetentionSeconds {
			u[c.Key] = result.Reservation
		} else if earlier.Group != c.Group || now > earlier.ExpiresAt-WindowMarginSeconds {
			t.Fatalf("%s granted to %s at %v, but %s may have run with a window until %v",
				c.Key, c.Group, now, earlier.Group, earlier.ExpiresAt)
		}
	}
	if c.Op == OpSettle && result.Granted && result.Reservation.Status == StatusNotExecuted {
		delete(u, c.Key)
	}
}

// TestReplicasWithTheSameCommandsAreEqual applies the same commands to two replicas, one of which
// is restored from a snapshot at random points. Both must encode to the same bytes, and no key may
// be granted to two groups while an attempt on an earlier grant may have run.
func TestReplicasWithTheSameCommandsAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		now := 100.0
		unsettled := unsettledGrants{}
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Float64Range(-1, 4).Draw(t, "step")
			c := drawCommand(t, now)
			resultA := a.Apply(uint64(i+1), c)
			resultB := b.Apply(uint64(i+1), roundTrip(t, c))
			if fmt.Sprint(resultA) != fmt.Sprint(resultB) {
				t.Fatalf("%+v, %+v", resultA, resultB)
			}
			unsettled.check(t, a.Now(), c, resultA)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				restored, err := Restore(mustSnapshot(t, b))
				if err != nil {
					t.Fatal(err)
				}
				b = restored
			}
			if !bytes.Equal(mustSnapshot(t, a), mustSnapshot(t, b)) {
				t.Fatal("two replicas differ")
			}
		}
	})
}

// TestExpiredReservationsAreRemoved lets ten thousand reservations expire. If they were never
// removed, they would fill the memory of all replicas. Commands that only advance the time must
// remove them.
func TestExpiredReservationsAreRemoved(t *testing.T) {
	s := New()
	for i := range 10_000 {
		s.Apply(uint64(i+1), reserve(100+float64(i)/1000, strconv.Itoa(i), "g", "a", 1))
	}
	assert.Equal(t, 10_000, s.Len())
	for i := range 60 {
		s.Apply(uint64(20_000+i), Command{Op: OpAdvanceTime, Now: 200})
	}
	assert.Zero(t, s.Len())
	_, ok := s.FirstToExpire()
	assert.False(t, ok)
}

// TestInvalidCommandsAndSnapshotsAreRejected encodes commands that violate one rule each, and
// restores snapshots with one flipped bit or a missing end. A replica that applied what others
// reject would differ from them permanently. Each must be rejected.
func TestInvalidCommandsAndSnapshotsAreRejected(t *testing.T) {
	for _, c := range []Command{
		{},
		{Op: 9, Key: "k"},
		{Op: OpReserve},
		{Op: OpReserve, Key: string(make([]byte, MaxKeyBytes+1))},
		{Op: OpReserve, Key: "k", Group: string(make([]byte, MaxKeyBytes+1))},
		{Op: OpPut, Key: "k", Kind: KindAttemptLocation},
		{Op: OpPut, Key: "k", Kind: kindEnd},
		{Op: OpReserve, Key: "k", LifetimeSeconds: -1},
		{Op: OpReserve, Key: "k", LifetimeSeconds: math.NaN()},
		{Op: OpSettle, Key: "k", Status: 7},
		{Op: OpPut, Key: "k", Kind: KindPurge, Value: make([]byte, MaxValueBytes+1)},
	} {
		_, err := c.Encode()
		require.ErrorIs(t, err, ErrInvalid, "%+v", c)
	}
	s := New()
	s.Apply(1, reserve(100, "k", "g", "a", 1))
	snapshot, err := s.Snapshot()
	require.NoError(t, err)
	for i := range snapshot {
		bad := bytes.Clone(snapshot)
		bad[i] ^= 1
		_, err := Restore(bad)
		require.ErrorIs(t, err, ErrInvalid, "byte %d", i)
	}
	for n := range snapshot {
		_, err := Restore(snapshot[:n])
		assert.Error(t, err)
	}
}

// FuzzRestore restores arbitrary bytes as a snapshot and decodes them as a command. Neither may
// crash the process.
func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(1, reserve(100, "k", "g", "a", 1))
	snapshot, err := s.Snapshot()
	require.NoError(f, err)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Restore(text); err == nil {
			if _, err := s.Snapshot(); err != nil {
				t.Fatal(err)
			}
		}
		_, _ = Decode(text)
	})
}
