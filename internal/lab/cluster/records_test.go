package cluster

import (
	"testing"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/verify"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// verifyCluster returns the report on a test cluster in which one request for object 5 received a chunk of version 2,
// some time after the purge to that version was delivered. The change function may modify the cluster and the response
// before they are verified.
func verifyCluster(t *testing.T, change func(*Cluster, *standin.ClientResponse)) *report.Report {
	t.Helper()
	cluster, err := New(Options{Seed: 3}, 1)
	require.NoError(t, err)
	defer cluster.Close(nil)
	cluster.Purge(4, false)
	cluster.Purge(5, false)
	at := cluster.Discovery.DeliveryTime(cluster.purges[1].EventIndex)
	response := standin.ClientResponse{
		ClientRequest: standin.ClientRequest{Class: "video-part", Object: 5, Deadline: time.Second},
		SentAt:        at + verify.PurgeGraceSeconds + 0.1,
		DoneAt:        at + verify.PurgeGraceSeconds + 0.2,
		Code:          standin.CodeCompleted,
		Body: edgecache.SyntheticBody(
			3,
			eviction.Key{Object: 5},
			2,
			cluster.Content.MinBytes,
			cluster.Content.MaxBytes,
		),
	}
	change(cluster, &response)
	cluster.RecordResponse(response)
	result := &report.Report{Counts: map[string]int64{}}
	cluster.Verify(result, []*standin.ClientGroup{{SecondResponses: cluster.responses.all[0].RetryAfter.Nanoseconds()}})
	return result
}

// TestChecksDetectViolations: a check that never fails reports every run as correct, whatever the router did. Each
// check must fail when its rule is violated, and pass when it is not.
func TestChecksDetectViolations(t *testing.T) {
	old := func(cluster *Cluster, r *standin.ClientResponse) {
		content := &cluster.Content
		r.Body = edgecache.SyntheticBody(3, eviction.Key{Object: 5}, 1, content.MinBytes, content.MaxBytes)
	}
	for name, c := range map[string]struct {
		change  func(*Cluster, *standin.ClientResponse)
		want    report.Rules
		corrupt int64
	}{
		"no violation":       {func(*Cluster, *standin.ClientResponse) {}, report.Rules{}, 0},
		"older than a purge": {old, report.Rules{Purge: 1}, 0},
		"within the grace period": {func(cluster *Cluster, r *standin.ClientResponse) {
			old(cluster, r)
			r.SentAt -= 0.2
		}, report.Rules{}, 0},
		"purged with a group": {func(cluster *Cluster, _ *standin.ClientResponse) {
			cluster.purges[0].OfGroup, cluster.purges[0].Group, cluster.purges[0].Version = true, 5, 9
		}, report.Rules{Purge: 1}, 0},
		"a flipped bit": {func(_ *Cluster, r *standin.ClientResponse) { r.Body[500] ^= 1 }, report.Rules{}, 1},
		"truncated":     {func(_ *Cluster, r *standin.ClientResponse) { r.Body = r.Body[:10] }, report.Rules{}, 1},
		"no answer": {func(_ *Cluster, r *standin.ClientResponse) {
			r.Code = standin.NoAnswer
		}, report.Rules{Lost: 1}, 0},
		"a late answer": {func(_ *Cluster, r *standin.ClientResponse) {
			r.DoneAt = r.SentAt + 1.06
		}, report.Rules{Lost: 1}, 0},
		"a second answer": {func(_ *Cluster, r *standin.ClientResponse) {
			r.RetryAfter = 1
		}, report.Rules{SecondAnswers: 1}, 0},
		"a second effect": {func(cluster *Cluster, _ *standin.ClientResponse) {
			cluster.executions["k"] = 2
		}, report.Rules{SecondEffects: 1}, 0},
	} {
		result := verifyCluster(t, c.change)
		assert.Equal(t, c.want, result.Rules, name)
		assert.Equal(t, c.corrupt, result.Counts[report.ChunksCorrupt], name)
	}
}
