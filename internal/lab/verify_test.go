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

// verifiedCluster is the report on a test cluster in which one request of object 5 got a part of a version, some
// time after a
// purge to version 2 was told.
func verifiedCluster(t *testing.T, change func(*testCluster, *clientResponse)) *report.Report {
	cluster, err := newTestCluster(Options{Seed: 3}, 1)
	require.NoError(t, err)
	defer cluster.close(nil)
	cluster.purge(4, false)
	cluster.purge(5, false)
	at := cluster.discovery.deliveryTime(cluster.purges[1].eventIndex)
	response := clientResponse{
		clientRequest: clientRequest{class: "video-part", object: 5, deadline: time.Second},
		sentAt:        at + purgeGraceSeconds + 0.1,
		doneAt:        at + purgeGraceSeconds + 0.2,
		code:          codeCompleted,
		body: edgecache.SyntheticBody(
			3,
			eviction.Key{Object: 5},
			2,
			cluster.content.MinBytes,
			cluster.content.MaxBytes,
		),
	}
	change(cluster, &response)
	cluster.recordResponse(response)
	rep := &report.Report{Counts: map[string]int64{}}
	cluster.verify(rep, []*clientGroup{{secondResponses: cluster.responses.all[0].retryAfter.Nanoseconds()}})
	return rep
}

// TestScenarioFolderIsMade holds that a named folder is made, with those above it, and kept; a temporary one is
// removed.
func TestScenarioFolderIsMade(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "not", "there")
	folder, remove, err := makeScenarioDirectory(missing)
	require.NoError(t, err)
	remove()
	assert.Equal(t, missing, folder)
	assert.DirExists(t, missing)

	folder, remove, err = makeScenarioDirectory("")
	require.NoError(t, err)
	assert.DirExists(t, folder)
	remove()
	assert.NoDirExists(t, folder)

	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, _, err = makeScenarioDirectory(filepath.Join(file, "below"))
	assert.ErrorContains(t, err, file, "the error names the folder")
}

// Each check is shown to fail where its rule is broken, and to hold where it is not.
func TestChecksSeeWhatIsBroken(t *testing.T) {
	old := func(cluster *testCluster, r *clientResponse) {
		content := &cluster.content
		r.body = edgecache.SyntheticBody(3, eviction.Key{Object: 5}, 1, content.MinBytes, content.MaxBytes)
	}
	for name, c := range map[string]struct {
		change func(*testCluster, *clientResponse)
		want   report.Rules
		wrong  int64
	}{
		"all well":           {func(*testCluster, *clientResponse) {}, report.Rules{}, 0},
		"older than a purge": {old, report.Rules{Purge: 1}, 0},
		"within the grace": {func(cluster *testCluster, r *clientResponse) {
			old(cluster, r)
			r.sentAt -= 0.2
		}, report.Rules{}, 0},
		"purged with a group": {func(cluster *testCluster, _ *clientResponse) {
			cluster.purges[0].wholeGroup, cluster.purges[0].group, cluster.purges[0].version = true, 5, 9
		}, report.Rules{Purge: 1}, 0},
		"a flipped bit": {func(_ *testCluster, r *clientResponse) { r.body[500] ^= 1 }, report.Rules{}, 1},
		"cut short":     {func(_ *testCluster, r *clientResponse) { r.body = r.body[:10] }, report.Rules{}, 1},
		"no answer":     {func(_ *testCluster, r *clientResponse) { r.code = noAnswer }, report.Rules{Lost: 1}, 0},
		"a late answer": {func(_ *testCluster, r *clientResponse) {
			r.doneAt = r.sentAt + 1.06
		}, report.Rules{Lost: 1}, 0},
		"a second answer": {func(_ *testCluster, r *clientResponse) {
			r.retryAfter = 1
		}, report.Rules{SecondAnswers: 1}, 0},
		"a second effect": {func(cluster *testCluster, _ *clientResponse) {
			cluster.executions["k"] = 2
		}, report.Rules{SecondEffects: 1}, 0},
	} {
		rep := verifiedCluster(t, c.change)
		assert.Equal(t, c.want, rep.Rules, name)
		assert.Equal(t, c.wrong, rep.Counts["wrong_bytes"], name)
	}
}

// The same seed draws the same day, and the choice's figures are the same.
func TestADayIsDrawnFromItsSeed(t *testing.T) {
	a, b, c := generateDay(1, 5000), generateDay(1, 5000), generateDay(2, 5000)
	assert.Equal(t, a, b)
	assert.NotEqual(t, a, c)
	x := playDay(a, eviction.NewLRU(1<<33), 1)
	y := playDay(b, eviction.NewLRU(1<<33), 1)
	assert.Equal(t, x, y)
}

// An order runs once a key and window; the same key after it is a second effect, which the judge counts.
func TestOrdersRunOnceAWindow(t *testing.T) {
	o := idempotencyRecords{}
	assert.Equal(
		t,
		[]bool{true, false, true, true},
		[]bool{
			o.shouldRun("a", 1),
			o.shouldRun("a", 1+keyRetentionSeconds-0.1),
			o.shouldRun("b", 2),
			o.shouldRun("a", 1+keyRetentionSeconds),
		},
	)
}

func TestAPhaseCountsWhatWasSentInIt(t *testing.T) {
	cluster := &testCluster{}
	for i := range 200 {
		cluster.responses.all = append(
			cluster.responses.all,
			observedResponse{
				clientResponse: clientResponse{code: 1, sentAt: float64(i), doneAt: float64(i) + 0.001*float64(i%100)},
			},
		)
	}
	cluster.responses.all[150].code, cluster.responses.all[150].deadline = noAnswer, time.Second
	ms, err := cluster.p99Millis(0, 100)
	require.NoError(t, err)
	assert.InDelta(t, 98, ms, 0.01)
	ms, err = cluster.p99Millis(150, 151)
	require.NoError(t, err)
	assert.Equal(t, 1000.0, ms)
	_, err = cluster.p99Millis(500, 600)
	assert.ErrorContains(t, err, "no txn")
}

// Two attempts of a request that were out together are seen; those that the machine's lateness can't tell apart are not
// counted.
func TestOverlapsAreToldFromLateness(t *testing.T) {
	for gap, want := range map[float64]int64{0.1: 1, 0.005: 0} {
		standIn := &endpointStandIn{
			attempts: []*attemptRecord{{
				id:        "a",
				class:     "record",
				startedAt: 1,
				endedAt:   2,
			}, {
				id:        "a",
				class:     "record",
				startedAt: 2 - gap,
				endedAt:   3,
			}, {
				id:        "b",
				class:     "record",
				startedAt: 1,
				endedAt:   2,
			}},
		}
		overlapping, repeats, said := findOverlappingAttempts(
			[]*endpointStandIn{standIn},
			(&schedulingDelay{}).orderingMargin(),
			map[string]bool{"record": true},
		)
		assert.Equal(t, want, overlapping, "%v s", gap)
		assert.Equal(t, int64(1), repeats)
		assert.Len(t, said, int(want)+1)
	}
	assert.InDelta(t, minOrderingMargin+0.08, (&schedulingDelay{maxSeconds: 0.04}).orderingMargin(), 1e-9)
}
