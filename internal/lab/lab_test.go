package lab

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// judged is a town in which one txn of object 5 got a part of a version, some time after a purge to version 2 was told.
func judged(t *testing.T, change func(*town, *reply)) *report.Report {
	x, err := newTown(Setting{Seed: 3}, 1)
	require.NoError(t, err)
	defer x.close(nil)
	x.purge(4, false)
	x.purge(5, false)
	at := x.board.toldAt(x.purges[1].event)
	r := reply{ask: ask{rule: "video-part", object: 5, ttl: time.Second}, sent: at + purgeGrace + 0.1, done: at + purgeGrace + 0.2, code: 1,
		body: edgecache.SyntheticBody(3, eviction.Key{Object: 5}, 2, x.made.MinBytes, x.made.MaxBytes)}
	change(x, &r)
	x.hear(r)
	rep := &report.Report{Counts: map[string]int64{}}
	x.judge(rep, []*crowd{{second: x.replies.all[0].pushback.Nanoseconds()}})
	return rep
}

// TestScenarioFolderIsMade holds that a named folder is made, with those above it, and kept; a temporary one is removed.
func TestScenarioFolderIsMade(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "not", "there")
	folder, remove, err := scenarioFolder(missing)
	require.NoError(t, err)
	remove()
	assert.Equal(t, missing, folder)
	assert.DirExists(t, missing)

	folder, remove, err = scenarioFolder("")
	require.NoError(t, err)
	assert.DirExists(t, folder)
	remove()
	assert.NoDirExists(t, folder)

	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, _, err = scenarioFolder(filepath.Join(file, "below"))
	assert.ErrorContains(t, err, file, "the error names the folder")
}

// Each check is shown to fail where its rule is broken, and to hold where it is not.
func TestChecksSeeWhatIsBroken(t *testing.T) {
	old := func(x *town, r *reply) {
		r.body = edgecache.SyntheticBody(3, eviction.Key{Object: 5}, 1, x.made.MinBytes, x.made.MaxBytes)
	}
	for name, c := range map[string]struct {
		change func(*town, *reply)
		want   report.Rules
		wrong  int64
	}{
		"all well":            {func(*town, *reply) {}, report.Rules{}, 0},
		"older than a purge":  {old, report.Rules{Purge: 1}, 0},
		"within the grace":    {func(x *town, r *reply) { old(x, r); r.sent -= 0.2 }, report.Rules{}, 0},
		"purged with a group": {func(x *town, _ *reply) { x.purges[0].all, x.purges[0].group, x.purges[0].version = true, 5, 9 }, report.Rules{Purge: 1}, 0},
		"a flipped bit":       {func(_ *town, r *reply) { r.body[500] ^= 1 }, report.Rules{}, 1},
		"cut short":           {func(_ *town, r *reply) { r.body = r.body[:10] }, report.Rules{}, 1},
		"no answer":           {func(_ *town, r *reply) { r.code = noAnswer }, report.Rules{Lost: 1}, 0},
		"a late answer":       {func(_ *town, r *reply) { r.done = r.sent + 1.06 }, report.Rules{Lost: 1}, 0},
		"a second answer":     {func(_ *town, r *reply) { r.pushback = 1 }, report.Rules{SecondAnswers: 1}, 0},
		"a second effect":     {func(x *town, _ *reply) { x.ran["k"] = 2 }, report.Rules{SecondEffects: 1}, 0},
	} {
		rep := judged(t, c.change)
		assert.Equal(t, c.want, rep.Rules, name)
		assert.Equal(t, c.wrong, rep.Counts["wrong_bytes"], name)
	}
}

// The same seed draws the same day, and the choice's figures are the same.
func TestADayIsDrawnFromItsSeed(t *testing.T) {
	a, b, c := drawDay(1, 5000), drawDay(1, 5000), drawDay(2, 5000)
	assert.Equal(t, a, b)
	assert.NotEqual(t, a, c)
	x, _, _ := efficiency(a, eviction.NewLRU(1<<33), 1)
	y, _, _ := efficiency(b, eviction.NewLRU(1<<33), 1)
	assert.Equal(t, x, y)
}

// An order runs once a key and window; the same key after it is a second effect, which the judge counts.
func TestOrdersRunOnceAWindow(t *testing.T) {
	o := orderBook{}
	assert.Equal(t, []bool{true, false, true, true}, []bool{o.runs("a", 1), o.runs("a", 1+keyWindow-0.1), o.runs("b", 2), o.runs("a", 1+keyWindow)})
}

func TestAPhaseCountsWhatWasSentInIt(t *testing.T) {
	x := &town{}
	for i := range 200 {
		x.replies.all = append(x.replies.all, heard{reply: reply{code: 1, sent: float64(i), done: float64(i) + 0.001*float64(i%100)}})
	}
	x.replies.all[150].code, x.replies.all[150].ttl = noAnswer, time.Second
	ms, err := x.p99(0, 100)
	require.NoError(t, err)
	assert.InDelta(t, 98, ms, 0.01)
	ms, err = x.p99(150, 151)
	require.NoError(t, err)
	assert.Equal(t, 1000.0, ms)
	_, err = x.p99(500, 600)
	assert.ErrorContains(t, err, "no txn")
}

// Two hops of a txn that were out together are seen; those that the machine's lateness can't tell apart are not counted.
func TestOverlapsAreToldFromLateness(t *testing.T) {
	for gap, want := range map[float64]int64{0.1: 1, 0.005: 0} {
		m := &manyDoors{hops: []*hopSeen{{id: "a", rule: "record", from: 1, to: 2}, {id: "a", rule: "record", from: 2 - gap, to: 3}, {id: "b", rule: "record", from: 1, to: 2}}}
		overlapping, repeats, said := overlaps([]*manyDoors{m}, (&lateness{}).lag(), map[string]bool{"record": true})
		assert.Equal(t, want, overlapping, "%v s", gap)
		assert.Equal(t, int64(1), repeats)
		assert.Len(t, said, int(want)+1)
	}
	assert.InDelta(t, readLag+0.08, (&lateness{most: 0.04}).lag(), 1e-9)
}
