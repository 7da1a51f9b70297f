package scenario

import (
	"strings"
	"testing"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// setLocalShares sets the shares of bytes from edge caches before a restart, after it, and after one with empty disks.
func setLocalShares(r *report.Report, before, withDisk, emptied float64) {
	r.Figures[report.LocalShareBefore] = before
	r.Figures[report.LocalShareWithDisk] = withDisk
	r.Figures[report.LocalShareEmptied] = emptied
}

// setFailingCacheAttempts sets the attempts at the failing edge cache.
func setFailingCacheAttempts(r *report.Report, withGossip, withoutGossip float64) {
	r.Figures[report.Key(report.FailingCacheAttempts, report.VariantGossip)] = withGossip
	r.Figures[report.Key(report.FailingCacheAttempts, report.VariantWithoutGossip)] = withoutGossip
}

// TestBoundsSeeWhatIsBroken shows that each scenario's check on its figures breaks where its bound is passed, and
// holds just within it.
func TestBoundsSeeWhatIsBroken(t *testing.T) {
	policies := func(r *report.Report, change func(outcomes admissionOutcomes)) {
		outcomes := admissionOutcomes{}
		for _, policy := range []string{report.VariantLRU, report.VariantXLRU, report.VariantCafe} {
			for range diskSizes {
				outcomes[policy] = append(outcomes[policy], make([]admissionOutcome, len(fillCosts)))
			}
		}
		change(outcomes)
		outcomes.policyOutperformsOthers(r)
	}
	pairs := func(r *report.Report, unresponsive float64, full bool) {
		measured := addressPairs{healthyMillis: []float64{10, 20, 60}, unresponsiveMillis: []float64{unresponsive}}
		measured.unresponsiveAddressCheap(r, full)
	}
	for name, c := range map[string]struct {
		check func(r *report.Report)
		want  string // a part of the line; empty where the check holds
	}{
		"hits survive": {func(r *report.Report) {
			setLocalShares(r, 0.8, 0.73, 0.2)
			(&diskRestartRun{}).hitsSurviveRestart(r)
		}, ""},
		"hits lost": {func(r *report.Report) {
			setLocalShares(r, 0.8, 0.71, 0.2)
			(&diskRestartRun{}).hitsSurviveRestart(r)
		}, "after a restart with the disk 0.710"},
		"an empty disk as good": {func(r *report.Report) {
			setLocalShares(r, 0.8, 0.8, 0.8)
			(&diskRestartRun{}).hitsSurviveRestart(r)
		}, "an edge cache with an empty disk serves as much"},
		"retries halved": {func(r *report.Report) {
			r.Figures[attemptsWithBudget], r.Figures[attemptsWithoutBudget] = 1.4, 1.9
			retriesBounded(r)
		}, ""},
		"retries not halved": {func(r *report.Report) {
			r.Figures[attemptsWithBudget], r.Figures[attemptsWithoutBudget] = 1.5, 1.9
			retriesBounded(r)
		}, "a request costs 1.50 attempts"},
		"cheap peers": {func(r *report.Report) {
			r.Figures["cores_with.idle"], r.Figures["mb_with.loaded"] = 0.04, 11
			peersCostLittle(r, 39)
		}, ""},
		"peers that use CPU": {func(r *report.Report) {
			r.Figures["cores_with.idle"] = 0.06
			peersCostLittle(r, 39)
		}, "0.060 of a core for 39 peers"},
		"peers that use memory": {func(r *report.Report) {
			r.Figures["mb_with.loaded"] = 13
			peersCostLittle(r, 39)
		}, "13.0 MB for 39 peers"},
		"gossip helps": {func(r *report.Report) {
			setFailingCacheAttempts(r, 79, 100)
			gossipHelps(r)
		}, ""},
		"gossip does not help": {func(r *report.Report) {
			setFailingCacheAttempts(r, 81, 100)
			gossipHelps(r)
		}, "81 attempts failed"},
		"gossip does harm": {func(r *report.Report) {
			r.Figures["in_time.with.after"], r.Figures["in_time.without.after"] = 0.9, 0.906
			gossipHarmless(r, "with")
		}, "with gossip, after the fault: 0.9000 of the requests"},
		"many routers recover": {func(r *report.Report) {
			r.Figures["in_time.burst.after.003"], r.Figures["in_time.burst.after.300"] = 0.9, 0.73
			(&partialObservationRuns{fault: namedFault{name: "burst"}}).verify(r)
		}, ""},
		"many routers do not recover": {func(r *report.Report) {
			r.Figures["in_time.burst.after.003"], r.Figures["in_time.burst.after.300"] = 0.9, 0.71
			(&partialObservationRuns{fault: namedFault{name: "burst"}}).verify(r)
		}, "300 routers have 0.710"},
		"policies equal": {func(r *report.Report) { policies(r, func(admissionOutcomes) {}) }, ""},
		"xLRU better at alpha 2": {func(r *report.Report) {
			policies(r, func(outcomes admissionOutcomes) { outcomes[report.VariantXLRU][0][2].efficiency = 0.1 })
		}, "alpha 2: Cafe has an efficiency of 0.000, xLRU of 0.100"},
		"xLRU better at alpha 1": {func(r *report.Report) {
			policies(r, func(outcomes admissionOutcomes) { outcomes[report.VariantXLRU][0][1].efficiency = 0.1 })
		}, ""},
		"LRU better at alpha 1": {func(r *report.Report) {
			policies(r, func(outcomes admissionOutcomes) { outcomes[report.VariantLRU][1][1].efficiency = 0.1 })
		}, "alpha 1: Cafe has an efficiency of 0.000, LRU of 0.100"},
		"more filled where fills are expensive": {func(r *report.Report) {
			policies(r, func(outcomes admissionOutcomes) { outcomes[report.VariantCafe][2][3].filled = 0.1 })
		}, "Cafe fills more at alpha 4"},
		"an unresponsive address, full": {func(r *report.Report) { pairs(r, 59, true) }, ""},
		"a slow unresponsive address, full": {func(r *report.Report) {
			pairs(r, 61, true)
		}, "more than the worst phase"},
		"an unresponsive address, small": {func(r *report.Report) { pairs(r, 119, false) }, ""},
		"a slow unresponsive address, small": {func(r *report.Report) {
			pairs(r, 121, false)
		}, "with all addresses healthy 20.0"},
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

// TestAClusterThatCannotStartSaysWhy holds that a failed set-up returns its error and ends what it had started.
func TestAClusterThatCannotStartSaysWhy(t *testing.T) {
	missing := Options{Seed: 3, Directory: t.TempDir() + "/not/there"}
	_, err := newMultiAddressCluster(missing, true)
	require.Error(t, err)
	_, err = cluster.NewRouterGroup(
		t.Context(), missing.clusterOptions(), membershipScript(missing), hostilePeersSmall)
	assert.Error(t, err)
}
