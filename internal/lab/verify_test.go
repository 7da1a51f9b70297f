package lab

import (
	"testing"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// verifiedCluster is the report on a test cluster in which one request of object 5 got a part of a version, some time
// after a purge to version 2 was delivered.
func verifiedCluster(t *testing.T, change func(*testCluster, *clientResponse)) *report.Report {
	cluster, err := newTestCluster(clusterOptions{Seed: 3}, 1)
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

// TestChecksSeeWhatIsBroken: each check is shown to fail where its rule is broken, and to hold where it is not.
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
		assert.Equal(t, c.wrong, rep.Counts[report.ChunksCorrupt], name)
	}
}
