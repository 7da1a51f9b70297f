package validity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

const t0 = int64(1_800_000_000_000)

// followed is a box that followed a board up to event 7 and holds ten records.
func followed() (*Tracker, []Record) {
	c := NewTracker(0)
	c.StreamOpened()
	var log []Record
	for n := range uint64(7) {
		w, _ := c.Apply(t0, 10, Event{Number: n + 1, Checksum: uint32(n) + 100})
		log = append(log, w...)
	}
	c.Apply(t0, 10, Event{Heartbeat: true})
	return c, log
}

func again(log []Record, now int64) *Tracker {
	c := NewTracker(0)
	c.Restore(log, 10, now)
	c.StreamOpened()
	return c
}

var old = Copy{Object: 1, Group: 3, IssuedAt: t0 - 5000, Seq: 4}

func TestAPurgeVoidsWhatIsNotYounger(t *testing.T) {
	c, _ := followed()
	assert.Equal(t, Valid, c.Evaluate(t0, old))
	c.Apply(t0, 10, Event{Number: 8, Purge: true, Object: 1, PurgedAt: t0 - 5000})
	assert.Equal(t, Invalidated, c.Evaluate(t0, old), "the same millisecond")
	assert.Equal(t, Valid, c.Evaluate(t0, Copy{Object: 1, Group: 3, IssuedAt: t0 - 4999, Seq: 4}))
	assert.Equal(t, Valid, c.Evaluate(t0, Copy{Object: 2, Group: 3, IssuedAt: t0 - 9000, Seq: 4}))
	c.Apply(t0, 10, Event{Number: 9, Purge: true, WholeGroup: true, Group: 3, PurgedAt: t0 - 4000})
	assert.Equal(t, Invalidated, c.Evaluate(t0, Copy{Object: 2, Group: 3, IssuedAt: t0 - 4500, Seq: 4}))
	assert.Equal(t, Invalidated, c.Evaluate(t0, Copy{Object: 2, Group: UnknownGroup, IssuedAt: t0 - 4500}), "a group that nobody told")
}

func TestPurgesOutlastAStart(t *testing.T) {
	c, log := followed()
	w, _ := c.Apply(t0, 10, Event{Number: 8, Checksum: 5, Purge: true, Object: 1, PurgedAt: t0})
	c = again(append(log, w...), t0+1000)
	assert.Equal(t, Invalidated, c.Evaluate(t0+1000, old))
	assert.Equal(t, uint64(7), c.ResumeAfter())
}

func TestAfterAStartCopiesAreOnProbationUntilCaughtUp(t *testing.T) {
	_, log := followed()
	c := again(log, t0+9000)
	assert.Equal(t, Unconfirmed, c.Evaluate(t0+9000, old), "nothing heard")
	_, re := c.Apply(t0+9000, 10, Event{Number: 7, Checksum: 106})
	assert.False(t, re)
	assert.Equal(t, Unconfirmed, c.Evaluate(t0+9000, old), "continuity proved, not caught up")
	c.Apply(t0+9000, 10, Event{Number: 8, Purge: true, Object: 1, PurgedAt: t0 + 3000})
	c.Apply(t0+9000, 10, Event{Heartbeat: true})
	assert.Equal(t, Invalidated, c.Evaluate(t0+9000, old), "purged while it was down")
	assert.Equal(t, Valid, c.Evaluate(t0+9000, Copy{Object: 2, IssuedAt: t0, Seq: 5}))
}

// The board tells another event under the last number, nothing from there on, or later ones only: in each case what
// was held stays on probation, at the next start too, until its source confirms it.
func TestNumbersThatDoNotGoOnLeaveDoubt(t *testing.T) {
	for name, first := range map[string]Event{"another event": {Number: 7, Checksum: 1}, "nothing": {Heartbeat: true}, "a gap": {Number: 9, Checksum: 3}} {
		t.Run(name, func(t *testing.T) {
			_, log := followed()
			c := again(log, t0+9000)
			w, re := c.Apply(t0+9000, 10, first)
			assert.True(t, re, "all numbers have to be read")
			assert.Equal(t, uint64(0), c.ResumeAfter())
			log = append(log, w...)
			c.StreamOpened()
			for n := range uint64(3) {
				w, _ = c.Apply(t0+9100, 10, Event{Number: n + 1, Checksum: uint32(n)})
				log = append(log, w...)
			}
			c.Apply(t0+9100, 10, Event{Heartbeat: true})
			assert.Equal(t, Unconfirmed, c.Evaluate(t0+9100, old))
			assert.Equal(t, Valid, c.Evaluate(t0+9100, Copy{Object: 1, IssuedAt: t0 + 9050, Seq: 11}), "filled since")
			confirmed := old
			confirmed.ConfirmedEpoch = c.Epoch()
			assert.Equal(t, Valid, c.Evaluate(t0+9100, confirmed))

			c = again(log, t0+20000)
			c.Apply(t0+20000, 11, Event{Number: 3, Checksum: 2})
			c.Apply(t0+20000, 11, Event{Heartbeat: true})
			assert.Equal(t, Unconfirmed, c.Evaluate(t0+20000, old), "a start does not end a doubt")
			assert.Equal(t, Valid, c.Evaluate(t0+20000, Copy{Object: 1, IssuedAt: t0 + 9050, Seq: 11}))
		})
	}
}

func TestAGapOnALiveConnectionLeavesDoubt(t *testing.T) {
	c, _ := followed()
	c.Apply(t0, 10, Event{Number: 9})
	assert.Equal(t, Unconfirmed, c.Evaluate(t0, old))
	assert.Equal(t, Valid, c.Evaluate(t0, Copy{Object: 1, IssuedAt: t0, Seq: 11}))
}

func TestASilentBoardPutsAllOnProbation(t *testing.T) {
	c, _ := followed()
	assert.Equal(t, Valid, c.Evaluate(t0+silenceMost, old))
	assert.Equal(t, Unconfirmed, c.Evaluate(t0+silenceMost+1, old))
	c.StreamOpened()
	c.Apply(t0+9000, 10, Event{Number: 7, Checksum: 106})
	c.Apply(t0+9000, 10, Event{Heartbeat: true})
	assert.Equal(t, Valid, c.Evaluate(t0+9000, old), "it goes on where it stood")
}

func TestAClockSetBackLeavesDoubt(t *testing.T) {
	_, log := followed()
	c := NewTracker(0)
	w := c.Restore(log, 10, t0-60000)
	assert.Len(t, w, 1)
	c.StreamOpened()
	c.Apply(t0-60000, 10, Event{Number: 7, Checksum: 106})
	c.Apply(t0-60000, 10, Event{Heartbeat: true})
	assert.Equal(t, Unconfirmed, c.Evaluate(t0-60000, Copy{Object: 1, IssuedAt: t0 - 70000, Seq: 4}))
	assert.Equal(t, Unconfirmed, c.Evaluate(t0-60000, Copy{Object: 1, IssuedAt: t0, Seq: 11}), "dated in the future")
}

func TestForgottenPurgesLeaveProbation(t *testing.T) {
	c, _ := followed()
	c.most = 16
	var log []Record
	for n := range uint64(40) {
		w, _ := c.Apply(t0, 10, Event{Number: 8 + n, Purge: true, Object: 1000 + n, PurgedAt: t0 - 1000 + int64(n)})
		log = append(log, w...)
	}
	assert.LessOrEqual(t, len(c.objects), 16)
	assert.NotEqual(t, Valid, c.Evaluate(t0, Copy{Object: 1000, IssuedAt: t0 - 2000, Seq: 11}), "its purge may be forgotten")
	c = NewTracker(16)
	c.Restore(log, 10, t0)
	assert.NotEqual(t, Valid, c.Evaluate(t0, Copy{Object: 1000, IssuedAt: t0 - 2000, Seq: 11}))
}

// Every interleaving of what a board can say and a box can go through, to a depth of six: after none of them is a
// copy sound that a purge voids which the board has told.
func TestNoInterleavingForgetsAPurge(t *testing.T) {
	type world struct {
		log    []Record
		events []Event
	}
	steps := []string{"purge", "other", "restart", "reconnect", "reset"}
	var walk func(path []string)
	runs := 0
	play := func(path []string) {
		runs++
		w := world{events: []Event{{Number: 1, Checksum: 1}}}
		c, now, sum := NewTracker(0), t0, uint32(1)
		purged := int64(0)
		hear := func() {
			for range 3 { // a box asks again where it is told to
				from, re := c.ResumeAfter(), false
				c.StreamOpened()
				for _, n := range append(w.events, Event{Heartbeat: true}) {
					if !n.Heartbeat && n.Number <= from {
						continue
					}
					out, a := c.Apply(now, 5, n)
					w.log = append(w.log, out...)
					if re = a; a {
						break
					}
				}
				if !re {
					return
				}
			}
		}
		hear()
		for _, s := range path {
			now += 1000
			sum++
			switch s {
			case "purge":
				purged = now
				w.events = append(w.events, Event{Number: uint64(len(w.events) + 1), Checksum: sum, Purge: true, Object: 1, PurgedAt: now})
			case "other":
				w.events = append(w.events, Event{Number: uint64(len(w.events) + 1), Checksum: sum})
			case "restart":
				c = NewTracker(0)
				w.log = append(w.log, c.Restore(w.log, 5, now)...)
			case "reset": // the board starts its numbers anew and has forgotten the purge
				w.events = []Event{{Number: 1, Checksum: sum}}
			}
			if s != "purge" && s != "other" {
				hear()
			}
		}
		hear()
		now += 10
		v := c.Evaluate(now, Copy{Object: 1, IssuedAt: t0 - 1, Seq: 3})
		if purged > 0 && v == Valid {
			t.Fatalf("sound after %v", path)
		}
	}
	walk = func(path []string) {
		play(path)
		if len(path) == 6 {
			return
		}
		for _, s := range steps {
			walk(append(path[:len(path):len(path)], s))
		}
	}
	walk(nil)
	assert.Greater(t, runs, 15000)
}

func FuzzParseRecord(f *testing.F) {
	f.Add(AppendRecord(nil, Record{Kind: PurgeGroup, Group: 7, PurgedAt: t0, Number: 3, Checksum: 9, WrittenAt: t0, Seq: 2}))
	f.Add(make([]byte, RecordSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ParseRecord(b)
		if err == nil {
			back, err := ParseRecord(AppendRecord(nil, r))
			assert.NoError(t, err)
			assert.Equal(t, r, back)
		}
	})
}
