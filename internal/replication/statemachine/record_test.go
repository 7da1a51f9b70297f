package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func claim(now float64, key, group, asker string, ask uint64) Command {
	return Command{Op: OpReserve, Now: now, Key: key, Group: group, LifetimeSeconds: 6, Requester: asker, RequestNumber: ask}
}

func settle(now float64, key, group, asker string, ask uint64, state uint8) Command {
	return Command{Op: OpSettle, Now: now, Key: key, Group: group, Requester: asker, RequestNumber: ask, Status: state}
}

func TestSecondTryFollowsIntoItsGroup(t *testing.T) {
	s := New()
	assert.True(t, s.Apply(1, claim(100, "k", "g1", "a", 1)).Granted)
	r := s.Apply(2, claim(101, "k", "g2", "b", 1))
	assert.False(t, r.Granted)
	assert.Equal(t, []any{"g1", 106.0}, []any{r.Reservation.Group, r.Reservation.ExpiresAt})
	r = s.Apply(3, claim(102, "k", "g1", "b", 2))
	assert.True(t, r.Granted)
	assert.Equal(t, 106.0, r.Reservation.ExpiresAt, "the window runs from the first hop")
	s.Apply(4, settle(103, "k", "g1", "a", 1, StatusCompleted))
	r = s.Apply(5, claim(104, "k", "g1", "c", 1))
	assert.False(t, r.Granted)
	assert.Equal(t, StatusCompleted, r.Reservation.Status)
	assert.False(t, s.Apply(6, claim(106+RetentionSeconds, "k", "g2", "c", 2)).Granted, "its client may still ask")
	assert.True(t, s.Apply(7, claim(106.1+RetentionSeconds, "k", "g2", "c", 3)).Granted)
}

func TestNothingGoesIntoAGroupThatDropsRepeatsNoMore(t *testing.T) {
	s := New()
	s.Apply(1, claim(100, "k", "g1", "a", 1))
	assert.True(t, s.Apply(2, claim(106-WindowMarginSeconds, "k", "g1", "b", 1)).Granted)
	r := s.Apply(3, claim(106.1, "k", "g1", "b", 2))
	assert.False(t, r.Granted, "it would run a second time")
	assert.InDelta(t, -0.1, r.RemainingSeconds, 1e-9)
}

func TestHarmlessOnlyWhenAllClaimsAreSo(t *testing.T) {
	s := New()
	s.Apply(1, claim(100, "k", "g1", "a", 1))
	s.Apply(2, claim(100, "k", "g1", "a", 1)) // asked again: the same one
	s.Apply(3, claim(100, "k", "g1", "b", 7))
	s.Apply(4, settle(101, "k", "g1", "b", 7, StatusNotExecuted))
	s.Apply(5, settle(101, "k", "g1", "b", 7, StatusNotExecuted)) // told again: it must not stand for a's
	assert.False(t, s.Apply(6, claim(101, "k", "g2", "c", 1)).Granted, "a's hop may have run")
	s.Apply(7, settle(101, "k", "g1", "a", 1, StatusNotExecuted))
	assert.True(t, s.Apply(8, claim(101, "k", "g2", "c", 1)).Granted)
	s = New()
	for i := range maxGrants + 2 {
		s.Apply(uint64(i+1), claim(100, "k", "g", "a", uint64(i)))
	}
	for i := range maxGrants + 2 {
		s.Apply(uint64(100+i), settle(100, "k", "g", "a", uint64(i), StatusNotExecuted))
	}
	assert.False(t, s.Apply(200, claim(100, "k", "other", "b", 1)).Granted, "too many to tell apart: it stays open")
}

func TestTimeNeverGoesBack(t *testing.T) {
	s := New()
	s.Apply(1, claim(1000, "k", "g1", "a", 1))
	r := s.Apply(2, claim(100, "x", "g1", "a", 2)) // a leader whose clock is behind
	assert.Equal(t, 1000.0, r.Reservation.CreatedAt)
	assert.Equal(t, 1000.0, s.Now())
}

// TestAnyHistoryIsTheSameEverywhere: two holders with the same commands, one of them restored from a snapshot at any moment, have
// the same bytes; no key is granted to two groups while an earlier claim may have run.
func TestAnyHistoryIsTheSameEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		now := 100.0
		holds := map[string]string{} // by key, the group of a granted claim that was not settled
		until := map[string]float64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Float64Range(-1, 4).Draw(t, "step")
			key, group := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")), fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "group"))
			c := Command{Op: Op(rapid.IntRange(1, 4).Draw(t, "op")), Now: now, Key: key, Group: group, LifetimeSeconds: 6, Status: uint8(rapid.IntRange(1, 2).Draw(t, "state")),
				Requester: "r", RequestNumber: uint64(rapid.IntRange(0, 3).Draw(t, "ask")), Kind: KindPurge}
			text, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			d, err := Decode(text)
			if err != nil {
				t.Fatal(err)
			}
			ra, rb := a.Apply(uint64(i+1), c), b.Apply(uint64(i+1), d)
			if fmt.Sprint(ra) != fmt.Sprint(rb) {
				t.Fatalf("%+v, %+v", ra, rb)
			}
			if c.Op == OpReserve && ra.Granted {
				if g, ok := holds[key]; ok && a.Now() <= until[key]+RetentionSeconds {
					if g != group || a.Now() > until[key]-WindowMarginSeconds {
						t.Fatalf("%s granted to %s at %v while %s may have run, window to %v", key, group, a.Now(), g, until[key])
					}
				} else {
					holds[key], until[key] = group, ra.Reservation.ExpiresAt
				}
			}
			if c.Op == OpSettle && ra.Granted && ra.Reservation.Status == StatusNotExecuted {
				delete(holds, key)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				image, err := b.Snapshot()
				if err == nil {
					b, err = Restore(image)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			x, _ := a.Snapshot()
			y, _ := b.Snapshot()
			if !bytes.Equal(x, y) {
				t.Fatal("two holders differ")
			}
		}
	})
}

func TestWhatRanOutGoes(t *testing.T) {
	s := New()
	for i := range 10_000 {
		s.Apply(uint64(i+1), claim(100+float64(i)/1000, fmt.Sprint(i), "g", "a", 1))
	}
	assert.Equal(t, 10_000, s.Len())
	for i := range 60 {
		s.Apply(uint64(20_000+i), Command{Op: OpAdvanceTime, Now: 200})
	}
	assert.Zero(t, s.Len())
	_, ok := s.FirstToExpire()
	assert.False(t, ok)
}

func TestBadCommandsAndSnapshots(t *testing.T) {
	for _, c := range []Command{{}, {Op: 9, Key: "k"}, {Op: OpReserve}, {Op: OpReserve, Key: string(make([]byte, MaxKeyBytes+1))}, {Op: OpPut, Key: "k", Kind: KindAttemptLocation},
		{Op: OpPut, Key: "k", Kind: kindEnd}, {Op: OpReserve, Key: "k", LifetimeSeconds: -1}, {Op: OpSettle, Key: "k", Status: 7}, {Op: OpPut, Key: "k", Kind: KindPurge, Value: make([]byte, MaxValueBytes+1)}} {
		_, err := c.Encode()
		assert.ErrorIs(t, err, ErrInvalid, "%+v", c)
	}
	s := New()
	s.Apply(1, claim(100, "k", "g", "a", 1))
	image, err := s.Snapshot()
	require.NoError(t, err)
	for i := range image {
		bad := bytes.Clone(image)
		bad[i] ^= 1
		_, err := Restore(bad)
		assert.ErrorIs(t, err, ErrInvalid, "byte %d", i)
	}
	for n := range image {
		_, err := Restore(image[:n])
		assert.Error(t, err)
	}
}

func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(1, claim(100, "k", "g", "a", 1))
	image, err := s.Snapshot()
	require.NoError(f, err)
	f.Add(image)
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Restore(text); err == nil {
			if _, err := s.Snapshot(); err != nil {
				t.Fatal(err)
			}
		}
		_, _ = Decode(text)
	})
}
