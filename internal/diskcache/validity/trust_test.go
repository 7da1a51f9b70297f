package validity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

const t0 = int64(1_800_000_000_000)

// followed is a box that followed a board up to event 7 and holds ten records.
func followed() (*Core, []Record) {
	c := New(0)
	c.Connected()
	var log []Record
	for n := range uint64(7) {
		w, _ := c.Hear(t0, 10, Notice{Number: n + 1, Sum: uint32(n) + 100})
		log = append(log, w...)
	}
	c.Hear(t0, 10, Notice{Beat: true})
	return c, log
}

func again(log []Record, now int64) *Core {
	c := New(0)
	c.Restore(log, 10, now)
	c.Connected()
	return c
}

var old = Copy{Object: 1, Group: 3, Dated: t0 - 5000, Seq: 4}

func TestAPurgeVoidsWhatIsNotYounger(t *testing.T) {
	c, _ := followed()
	assert.Equal(t, Sound, c.Judge(t0, old))
	c.Hear(t0, 10, Notice{Number: 8, Purge: true, Object: 1, At: t0 - 5000})
	assert.Equal(t, Void, c.Judge(t0, old), "the same millisecond")
	assert.Equal(t, Sound, c.Judge(t0, Copy{Object: 1, Group: 3, Dated: t0 - 4999, Seq: 4}))
	assert.Equal(t, Sound, c.Judge(t0, Copy{Object: 2, Group: 3, Dated: t0 - 9000, Seq: 4}))
	c.Hear(t0, 10, Notice{Number: 9, Purge: true, All: true, Group: 3, At: t0 - 4000})
	assert.Equal(t, Void, c.Judge(t0, Copy{Object: 2, Group: 3, Dated: t0 - 4500, Seq: 4}))
	assert.Equal(t, Void, c.Judge(t0, Copy{Object: 2, Group: UnknownGroup, Dated: t0 - 4500}), "a group that nobody told")
}

func TestPurgesOutlastAStart(t *testing.T) {
	c, log := followed()
	w, _ := c.Hear(t0, 10, Notice{Number: 8, Sum: 5, Purge: true, Object: 1, At: t0})
	c = again(append(log, w...), t0+1000)
	assert.Equal(t, Void, c.Judge(t0+1000, old))
	assert.Equal(t, uint64(7), c.Ask())
}

func TestAfterAStartCopiesAreOnProbationUntilCaughtUp(t *testing.T) {
	_, log := followed()
	c := again(log, t0+9000)
	assert.Equal(t, Probation, c.Judge(t0+9000, old), "nothing heard")
	_, re := c.Hear(t0+9000, 10, Notice{Number: 7, Sum: 106})
	assert.False(t, re)
	assert.Equal(t, Probation, c.Judge(t0+9000, old), "continuity proved, not caught up")
	c.Hear(t0+9000, 10, Notice{Number: 8, Purge: true, Object: 1, At: t0 + 3000})
	c.Hear(t0+9000, 10, Notice{Beat: true})
	assert.Equal(t, Void, c.Judge(t0+9000, old), "purged while it was down")
	assert.Equal(t, Sound, c.Judge(t0+9000, Copy{Object: 2, Dated: t0, Seq: 5}))
}

// The board tells another event under the last number, nothing from there on, or later ones only: in each case what
// was held stays on probation, at the next start too, until its source confirms it.
func TestNumbersThatDoNotGoOnLeaveDoubt(t *testing.T) {
	for name, first := range map[string]Notice{"another event": {Number: 7, Sum: 1}, "nothing": {Beat: true}, "a gap": {Number: 9, Sum: 3}} {
		t.Run(name, func(t *testing.T) {
			_, log := followed()
			c := again(log, t0+9000)
			w, re := c.Hear(t0+9000, 10, first)
			assert.True(t, re, "all numbers have to be read")
			assert.Equal(t, uint64(0), c.Ask())
			log = append(log, w...)
			c.Connected()
			for n := range uint64(3) {
				w, _ = c.Hear(t0+9100, 10, Notice{Number: n + 1, Sum: uint32(n)})
				log = append(log, w...)
			}
			c.Hear(t0+9100, 10, Notice{Beat: true})
			assert.Equal(t, Probation, c.Judge(t0+9100, old))
			assert.Equal(t, Sound, c.Judge(t0+9100, Copy{Object: 1, Dated: t0 + 9050, Seq: 11}), "filled since")
			confirmed := old
			confirmed.Confirmed = c.Doubts()
			assert.Equal(t, Sound, c.Judge(t0+9100, confirmed))

			c = again(log, t0+20000)
			c.Hear(t0+20000, 11, Notice{Number: 3, Sum: 2})
			c.Hear(t0+20000, 11, Notice{Beat: true})
			assert.Equal(t, Probation, c.Judge(t0+20000, old), "a start does not end a doubt")
			assert.Equal(t, Sound, c.Judge(t0+20000, Copy{Object: 1, Dated: t0 + 9050, Seq: 11}))
		})
	}
}

func TestAGapOnALiveConnectionLeavesDoubt(t *testing.T) {
	c, _ := followed()
	c.Hear(t0, 10, Notice{Number: 9})
	assert.Equal(t, Probation, c.Judge(t0, old))
	assert.Equal(t, Sound, c.Judge(t0, Copy{Object: 1, Dated: t0, Seq: 11}))
}

func TestASilentBoardPutsAllOnProbation(t *testing.T) {
	c, _ := followed()
	assert.Equal(t, Sound, c.Judge(t0+silenceMost, old))
	assert.Equal(t, Probation, c.Judge(t0+silenceMost+1, old))
	c.Connected()
	c.Hear(t0+9000, 10, Notice{Number: 7, Sum: 106})
	c.Hear(t0+9000, 10, Notice{Beat: true})
	assert.Equal(t, Sound, c.Judge(t0+9000, old), "it goes on where it stood")
}

func TestAClockSetBackLeavesDoubt(t *testing.T) {
	_, log := followed()
	c := New(0)
	w := c.Restore(log, 10, t0-60000)
	assert.Len(t, w, 1)
	c.Connected()
	c.Hear(t0-60000, 10, Notice{Number: 7, Sum: 106})
	c.Hear(t0-60000, 10, Notice{Beat: true})
	assert.Equal(t, Probation, c.Judge(t0-60000, Copy{Object: 1, Dated: t0 - 70000, Seq: 4}))
	assert.Equal(t, Probation, c.Judge(t0-60000, Copy{Object: 1, Dated: t0, Seq: 11}), "dated in the future")
}

func TestForgottenPurgesLeaveProbation(t *testing.T) {
	c, _ := followed()
	c.most = 16
	var log []Record
	for n := range uint64(40) {
		w, _ := c.Hear(t0, 10, Notice{Number: 8 + n, Purge: true, Object: 1000 + n, At: t0 - 1000 + int64(n)})
		log = append(log, w...)
	}
	assert.LessOrEqual(t, len(c.objects), 16)
	assert.NotEqual(t, Sound, c.Judge(t0, Copy{Object: 1000, Dated: t0 - 2000, Seq: 11}), "its purge may be forgotten")
	c = New(16)
	c.Restore(log, 10, t0)
	assert.NotEqual(t, Sound, c.Judge(t0, Copy{Object: 1000, Dated: t0 - 2000, Seq: 11}))
}

// Every interleaving of what a board can say and a box can go through, to a depth of six: after none of them is a
// copy sound that a purge voids which the board has told.
func TestNoInterleavingForgetsAPurge(t *testing.T) {
	type world struct {
		log    []Record
		events []Notice
	}
	steps := []string{"purge", "other", "restart", "reconnect", "reset"}
	var walk func(path []string)
	runs := 0
	play := func(path []string) {
		runs++
		w := world{events: []Notice{{Number: 1, Sum: 1}}}
		c, now, sum := New(0), t0, uint32(1)
		purged := int64(0)
		hear := func() {
			for range 3 { // a box asks again where it is told to
				from, re := c.Ask(), false
				c.Connected()
				for _, n := range append(w.events, Notice{Beat: true}) {
					if !n.Beat && n.Number <= from {
						continue
					}
					out, a := c.Hear(now, 5, n)
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
				w.events = append(w.events, Notice{Number: uint64(len(w.events) + 1), Sum: sum, Purge: true, Object: 1, At: now})
			case "other":
				w.events = append(w.events, Notice{Number: uint64(len(w.events) + 1), Sum: sum})
			case "restart":
				c = New(0)
				w.log = append(w.log, c.Restore(w.log, 5, now)...)
			case "reset": // the board starts its numbers anew and has forgotten the purge
				w.events = []Notice{{Number: 1, Sum: sum}}
			}
			if s != "purge" && s != "other" {
				hear()
			}
		}
		hear()
		now += 10
		v := c.Judge(now, Copy{Object: 1, Dated: t0 - 1, Seq: 3})
		if purged > 0 && v == Sound {
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
	f.Add(AppendRecord(nil, Record{Kind: PurgeGroup, Group: 7, At: t0, Number: 3, Sum: 9, Heard: t0, Seq: 2}))
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
