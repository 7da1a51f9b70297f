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

// verifiedCluster is the report on a test cluster in which one request of object 5 got a part of a version, some time
// after a purge to version 2 was delivered.
func verifiedCluster(t *testing.T, change func(*Cluster, *standin.ClientResponse)) *report.Report {
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
	rep := &report.Report{Counts: map[string]int64{}}
	cluster.Verify(rep, []*standin.ClientGroup{{SecondResponses: cluster.responses.all[0].RetryAfter.Nanoseconds()}})
	return rep
}

// TestChecksSeeWhatIsBroken: a verdict whose check finds nothing says that all rules held, whatever the router did.
// Each check must fail where its rule is broken, and hold where it is not.
func TestChecksSeeWhatIsBroken(t *testing.T) {
	old := func(cluster *Cluster, r *standin.ClientResponse) {
		content := &cluster.Content
		r.Body = edgecache.SyntheticBody(3, eviction.Key{Object: 5}, 1, content.MinBytes, content.MaxBytes)
	}
	for name, c := range map[string]struct {
		change func(*Cluster, *standin.ClientResponse)
		want   report.Rules
		wrong  int64
	}{
		"all well":           {func(*Cluster, *standin.ClientResponse) {}, report.Rules{}, 0},
		"older than a purge": {old, report.Rules{Purge: 1}, 0},
		"within the grace": {func(cluster *Cluster, r *standin.ClientResponse) {
			old(cluster, r)
			r.SentAt -= 0.2
		}, report.Rules{}, 0},
		"purged with a group": {func(cluster *Cluster, _ *standin.ClientResponse) {
			cluster.purges[0].OfGroup, cluster.purges[0].Group, cluster.purges[0].Version = true, 5, 9
		}, report.Rules{Purge: 1}, 0},
		"a flipped bit": {func(_ *Cluster, r *standin.ClientResponse) { r.Body[500] ^= 1 }, report.Rules{}, 1},
		"cut short":     {func(_ *Cluster, r *standin.ClientResponse) { r.Body = r.Body[:10] }, report.Rules{}, 1},
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
		rep := verifiedCluster(t, c.change)
		assert.Equal(t, c.want, rep.Rules, name)
		assert.Equal(t, c.wrong, rep.Counts[report.ChunksCorrupt], name)
	}
}
