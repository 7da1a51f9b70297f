package lab

import (
	"strings"
	"testing"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBoundsSeeWhatIsBroken shows that each scenario's check on its figures breaks where its bound is passed, and
// holds just within it.
func TestBoundsSeeWhatIsBroken(t *testing.T) {
	tier := func(r *report.Report, change func(outcomes admitOutcomes)) {
		outcomes := admitOutcomes{}
		for _, policy := range []string{"lru", "xlru", "tier"} {
			for range admitSizes {
				outcomes[policy] = append(outcomes[policy], make([]admitOutcome, len(admitAlphas)))
			}
		}
		change(outcomes)
		outcomes.policyBeatsOthers(r)
	}
	pairs := func(r *report.Report, hung float64, full bool) {
		(&addressPairs{healthyMillis: []float64{10, 20, 60}, hungMillis: []float64{hung}}).hungAddressCheap(r, full)
	}
	for name, c := range map[string]struct {
		check func(r *report.Report)
		want  string // a part of the line; empty where the check holds
	}{
		"hits kept": {func(r *report.Report) {
			r.Figures["hit_before"], r.Figures["hit_disk"], r.Figures["hit_empty"] = 0.8, 0.73, 0.2
			(&diskRestartRun{}).diskKeepsHits(r)
		}, ""},
		"hits lost": {func(r *report.Report) {
			r.Figures["hit_before"], r.Figures["hit_disk"], r.Figures["hit_empty"] = 0.8, 0.71, 0.2
			(&diskRestartRun{}).diskKeepsHits(r)
		}, "after a restart with the disk 0.710"},
		"an empty disk as good": {func(r *report.Report) {
			r.Figures["hit_before"], r.Figures["hit_disk"], r.Figures["hit_empty"] = 0.8, 0.8, 0.8
			(&diskRestartRun{}).diskKeepsHits(r)
		}, "an emptied box gives as much"},
		"retries halved": {func(r *report.Report) {
			r.Figures["hops_a_txn.budget"], r.Figures["hops_a_txn.none"] = 1.4, 1.9
			retriesBounded(r)
		}, ""},
		"retries not halved": {func(r *report.Report) {
			r.Figures["hops_a_txn.budget"], r.Figures["hops_a_txn.none"] = 1.5, 1.9
			retriesBounded(r)
		}, "a txn costs 1.50 hops"},
		"cheap peers": {func(r *report.Report) {
			r.Figures["cores_with.idle"], r.Figures["mb_with.loaded"] = 0.04, 11
			peersCheap(r, 39)
		}, ""},
		"peers that use CPU": {func(r *report.Report) {
			r.Figures["cores_with.idle"] = 0.06
			peersCheap(r, 39)
		}, "0.060 of a core for 39 peers"},
		"peers that use memory": {func(r *report.Report) {
			r.Figures["mb_with.loaded"] = 13
			peersCheap(r, 39)
		}, "13.0 MB for 39 peers"},
		"gossip helps": {func(r *report.Report) {
			r.Figures["bad_hops.with"], r.Figures["bad_hops.without"] = 79, 100
			gossipHelps(r)
		}, ""},
		"gossip does not help": {func(r *report.Report) {
			r.Figures["bad_hops.with"], r.Figures["bad_hops.without"] = 81, 100
			gossipHelps(r)
		}, "81 hops failed"},
		"gossip does harm": {func(r *report.Report) {
			r.Figures["in_time.with.after"], r.Figures["in_time.without.after"] = 0.9, 0.906
			gossipHarmless(r, "with")
		}, "with, after: 0.9000 in time"},
		"many routers recover": {func(r *report.Report) {
			r.Figures["in_time.burst.after.003"], r.Figures["in_time.burst.after.300"] = 0.9, 0.73
			(&thinViewRuns{fault: namedFault{name: "burst"}}).verify(r)
		}, ""},
		"many routers do not recover": {func(r *report.Report) {
			r.Figures["in_time.burst.after.003"], r.Figures["in_time.burst.after.300"] = 0.9, 0.71
			(&thinViewRuns{fault: namedFault{name: "burst"}}).verify(r)
		}, "300 routers have 0.710"},
		"policies equal": {func(r *report.Report) { tier(r, func(admitOutcomes) {}) }, ""},
		"xLRU better at alpha 2": {func(r *report.Report) {
			tier(r, func(outcomes admitOutcomes) { outcomes["xlru"][0][2].efficiency = 0.1 })
		}, "alpha 2: the tier's choice has 0.000, xLRU 0.100"},
		"xLRU better at alpha 1": {func(r *report.Report) {
			tier(r, func(outcomes admitOutcomes) { outcomes["xlru"][0][1].efficiency = 0.1 })
		}, ""},
		"LRU better at alpha 1": {func(r *report.Report) {
			tier(r, func(outcomes admitOutcomes) { outcomes["lru"][1][1].efficiency = 0.1 })
		}, "alpha 1: the tier's choice has 0.000, LRU 0.100"},
		"more filled where fills are expensive": {func(r *report.Report) {
			tier(r, func(outcomes admitOutcomes) { outcomes["tier"][2][3].filled = 0.1 })
		}, "more is filled at alpha 4"},
		"a hung address, full":       {func(r *report.Report) { pairs(r, 59, true) }, ""},
		"a slow hung address, full":  {func(r *report.Report) { pairs(r, 61, true) }, "over the worst of all"},
		"a hung address, small":      {func(r *report.Report) { pairs(r, 119, false) }, ""},
		"a slow hung address, small": {func(r *report.Report) { pairs(r, 121, false) }, "with all good 20.0"},
	} {
		r := report.New(name, 1, "small")
		c.check(r)
		if c.want == "" {
			assert.Empty(t, r.Broken, name)
		} else {
			assert.Contains(t, strings.Join(r.Broken, "\n"), c.want, name)
		}
	}
}

// TestRequestsAfterADrainAreSeen shows that the drain check counts requests that come after the grace period to the
// drained endpoint, and no others.
func TestRequestsAfterADrainAreSeen(t *testing.T) {
	cluster, err := newTestCluster(Options{Seed: 3}, 1)
	require.NoError(t, err)
	defer cluster.close(nil)
	const deliveredAt, limit = 100.0, 100 + drainGraceSeconds + deadlineMarginSeconds
	cluster.requests = []requestRecord{
		{limit - 0.01, "drained", cacheproto.Command{}},
		{limit + 0.01, "drained", cacheproto.Command{}},
		{limit + 0.01, "other", cacheproto.Command{}},
	}
	demo := &demoRun{
		testCluster:      cluster,
		drained:          &clusterEndpoint{id: "drained"},
		drainDeliveredAt: deliveredAt,
	}
	r := report.New("demo", 1, "small")
	demo.drainKept(r)
	assert.Equal(t, int64(1), r.Rules.Drain)
	assert.Equal(t, int64(3), r.Counts["hops_seen"])
	assert.Len(t, r.Broken, 1)
}

// TestAClusterThatCannotStartSaysWhy holds that a failed set-up returns its error and ends what it had started.
func TestAClusterThatCannotStartSaysWhy(t *testing.T) {
	missing := Options{Seed: 3, Directory: t.TempDir() + "/not/there"}
	_, err := newMultiAddressCluster(missing, true)
	require.Error(t, err)
	_, err = newRouterFleet(missing, peersScript(missing), hostilePeersSmall)
	assert.Error(t, err)
}
