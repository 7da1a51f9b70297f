package scenario

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// boundCase is a report's figures and what the check of a bound says of them.
type boundCase struct {
	check func(r *report.Report) // sets the figures and checks them
	want  string                 // a part of the line; empty where the bound holds
}

// localShares is a restart with the shares of bytes from edge caches before it, after it, and after one with empty
// disks.
func localShares(before, withDisk, emptied float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures[report.LocalShareBefore] = before
		r.Figures[report.LocalShareWithDisk] = withDisk
		r.Figures[report.LocalShareEmptied] = emptied
		(&diskRestartRun{}).hitsSurviveRestart(r)
	}, want}
}

var restartBounds = map[string]boundCase{
	"hits survive":          localShares(0.8, 0.73, 0.2, ""),
	"hits lost":             localShares(0.8, 0.71, 0.2, "after a restart with the disk 0.710"),
	"an empty disk as good": localShares(0.8, 0.8, 0.8, "an edge cache with an empty disk serves as much"),
}

// attemptsPerRequest is a brownout of the origin with and without retry budgets.
func attemptsPerRequest(withBudget, withoutBudget float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures[attemptsWithBudget], r.Figures[attemptsWithoutBudget] = withBudget, withoutBudget
		retriesBounded(r)
	}, want}
}

var retryBounds = map[string]boundCase{
	"retries halved":     attemptsPerRequest(1.4, 1.9, ""),
	"retries not halved": attemptsPerRequest(1.5, 1.9, "a request costs 1.50 attempts"),
}

// peerCost is what a router with 39 peers uses more than one without.
func peerCost(cores, megabytes float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures["cores_with.idle"], r.Figures["mb_with.loaded"] = cores, megabytes
		peersCostLittle(r, 39)
	}, want}
}

var peerCostBounds = map[string]boundCase{
	"cheap peers":           peerCost(0.04, 11, ""),
	"peers that use CPU":    peerCost(0.06, 0, "0.060 of a core for 39 peers"),
	"peers that use memory": peerCost(0, 13, "13.0 MB for 39 peers"),
}

// failingCacheAttempts is the attempts at a failing edge cache.
func failingCacheAttempts(withGossip, withoutGossip float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures[report.Key(report.FailingCacheAttempts, report.VariantGossip)] = withGossip
		r.Figures[report.Key(report.FailingCacheAttempts, report.VariantWithoutGossip)] = withoutGossip
		gossipHelps(r)
	}, want}
}

// onTimeAfterBurst is the shares on time that a few and many routers have after a burst.
func onTimeAfterBurst(few, many float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures["in_time.burst.after.003"], r.Figures["in_time.burst.after.300"] = few, many
		(&partialObservationRuns{fault: namedFault{name: "burst"}}).verify(r)
	}, want}
}

var manyRoutersBounds = map[string]boundCase{
	"gossip helps":         failingCacheAttempts(79, 100, ""),
	"gossip does not help": failingCacheAttempts(81, 100, "81 attempts failed"),
	"gossip does harm": {func(r *report.Report) {
		r.Figures["in_time.with.after"], r.Figures["in_time.without.after"] = 0.9, 0.906
		gossipHarmless(r, "with")
	}, "with gossip, after the fault: 0.9000 of the requests"},
	"many routers recover":        onTimeAfterBurst(0.9, 0.73, ""),
	"many routers do not recover": onTimeAfterBurst(0.9, 0.71, "300 routers have 0.710"),
}

// policies are the outcomes of the eviction policies, all zero but for what a function changes.
func policies(change func(outcomes admissionOutcomes), want string) boundCase {
	return boundCase{func(r *report.Report) {
		outcomes := admissionOutcomes{}
		for _, policy := range []string{report.VariantLRU, report.VariantXLRU, report.VariantCafe} {
			for range diskSizes {
				outcomes[policy] = append(outcomes[policy], make([]admissionOutcome, len(fillCosts)))
			}
		}
		change(outcomes)
		outcomes.policyOutperformsOthers(r)
	}, want}
}

// efficiency is policies of which one is more efficient at a disk size and a cost of fills.
func efficiency(policy string, diskSize, fillCost int, want string) boundCase {
	return policies(func(outcomes admissionOutcomes) {
		outcomes[policy][diskSize][fillCost].efficiency = 0.1
	}, want)
}

var policyBounds = map[string]boundCase{
	"policies equal":         policies(func(admissionOutcomes) {}, ""),
	"xLRU better at alpha 1": efficiency(report.VariantXLRU, 0, 1, ""),
	"xLRU better at alpha 2": efficiency(
		report.VariantXLRU, 0, 2, "alpha 2: Cafe has an efficiency of 0.000, xLRU of 0.100"),
	"LRU better at alpha 1": efficiency(
		report.VariantLRU, 1, 1, "alpha 1: Cafe has an efficiency of 0.000, LRU of 0.100"),
	"more filled where fills are expensive": policies(func(outcomes admissionOutcomes) {
		outcomes[report.VariantCafe][2][3].filled = 0.1
	}, "Cafe fills more at alpha 4"),
}

// unresponsiveAddress is a p99 in ms with one address unresponsive, beside phases of 10, 20 and 60 ms without.
func unresponsiveAddress(p99 float64, full bool, want string) boundCase {
	return boundCase{func(r *report.Report) {
		measured := addressPairs{healthyMillis: []float64{10, 20, 60}, unresponsiveMillis: []float64{p99}}
		measured.unresponsiveAddressCheap(r, full)
	}, want}
}

var addressBounds = map[string]boundCase{
	"an unresponsive address, full":      unresponsiveAddress(59, true, ""),
	"a slow unresponsive address, full":  unresponsiveAddress(61, true, "more than the worst phase"),
	"an unresponsive address, small":     unresponsiveAddress(119, false, ""),
	"a slow unresponsive address, small": unresponsiveAddress(121, false, "with all addresses healthy 20.0"),
}

// TestBoundsSeeWhatIsBroken: a scenario whose bound cannot break holds whatever the router does, and nobody notices.
// The check of each bound must break where the bound is passed, and hold just within it.
func TestBoundsSeeWhatIsBroken(t *testing.T) {
	for group, cases := range map[string]map[string]boundCase{
		"restart":      restartBounds,
		"retries":      retryBounds,
		"cost":         peerCostBounds,
		"many routers": manyRoutersBounds,
		"policies":     policyBounds,
		"addresses":    addressBounds,
	} {
		for name, c := range cases {
			t.Run(group+"/"+name, func(t *testing.T) {
				r := report.New(name, 1, "small")
				c.check(r)
				if c.want == "" {
					assert.Empty(t, r.Broken)
				} else {
					assert.Contains(t, strings.Join(r.Broken, "\n"), c.want)
				}
			})
		}
	}
}

// TestAClusterThatCannotStartSaysWhy: a set-up that fails midway and says nothing leaves processes behind and a run
// without a cause. It must return its error and end what it had started.
func TestAClusterThatCannotStartSaysWhy(t *testing.T) {
	missing := Options{Seed: 3, Directory: t.TempDir() + "/not/there"}
	_, err := newMultiAddressCluster(missing, true)
	require.ErrorIs(t, err, fs.ErrNotExist)
	_, err = cluster.NewRouterGroup(
		t.Context(), missing.clusterOptions(), membershipScript(missing), hostilePeersSmall)
	assert.ErrorIs(t, err, fs.ErrNotExist)
}

// TestScriptWithTooFewProcessesIsRejected: a script for fewer processes than there are routers would run with routers
// that no fault can name. It is refused before anything starts.
func TestScriptWithTooFewProcessesIsRejected(t *testing.T) {
	script := filepath.Join(t.TempDir(), "script.json")
	require.NoError(t, os.WriteFile(script, []byte(`{"peers":3,"until":9}`), 0o600))
	err := runMembership(t.Context(), Options{Script: script}, report.New("peers", 1, "small"))
	assert.ErrorIs(t, err, errTooFewProcesses)
}
