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

// boundCase is the figures of a report and the expected outcome of a check on them.
type boundCase struct {
	check func(r *report.Report) // sets the figures and runs the check
	want  string                 // a part of the violation message; empty if the check passes
}

// localShares is the shares of bytes that edge caches served before a restart, after a restart with disks, and after a
// restart with empty disks.
func localShares(before, withDisk, emptied float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures[report.LocalShareBefore] = before
		r.Figures[report.LocalShareWithDisk] = withDisk
		r.Figures[report.LocalShareEmptied] = emptied
		(&diskRestartRun{}).checkHitsAfterRestart(r)
	}, want}
}

var restartBounds = map[string]boundCase{
	"hits within the limit": localShares(0.8, 0.73, 0.2, ""),
	"too few hits":          localShares(0.8, 0.71, 0.2, "after a restart with the disk 0.710"),
	"empty disk as good":    localShares(0.8, 0.8, 0.8, "an edge cache with an empty disk serves as much"),
}

// attemptsPerRequest is a brownout of the origin with and without a retry budget.
func attemptsPerRequest(withBudget, withoutBudget float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures[attemptsWithBudget], r.Figures[attemptsWithoutBudget] = withBudget, withoutBudget
		checkRetryBudget(r)
	}, want}
}

var retryBounds = map[string]boundCase{
	"retries halved":     attemptsPerRequest(1.4, 1.9, ""),
	"retries not halved": attemptsPerRequest(1.5, 1.9, "a request costs 1.50 attempts"),
}

// peerCost is the additional CPU and memory of a router with 39 peers, compared with a router without peers.
func peerCost(cores, megabytes float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures["cores_with.idle"], r.Figures["mb_with.loaded"] = cores, megabytes
		checkPeerCost(r, 39)
	}, want}
}

var peerCostBounds = map[string]boundCase{
	"peers within the limits": peerCost(0.04, 11, ""),
	"peers that use CPU":      peerCost(0.06, 0, "0.060 of a core for 39 peers"),
	"peers that use memory":   peerCost(0, 13, "13.0 MB for 39 peers"),
}

// failingCacheAttempts is the number of attempts at a failing edge cache.
func failingCacheAttempts(withGossip, withoutGossip float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures[report.Key(report.FailingCacheAttempts, report.VariantGossip)] = withGossip
		r.Figures[report.Key(report.FailingCacheAttempts, report.VariantWithoutGossip)] = withoutGossip
		checkGossipReducesFailures(r)
	}, want}
}

// onTimeAfterBurst is the shares of requests on time with few and with many routers after a traffic burst.
func onTimeAfterBurst(few, many float64, want string) boundCase {
	return boundCase{func(r *report.Report) {
		r.Figures["in_time.burst.after.003"], r.Figures["in_time.burst.after.300"] = few, many
		(&partialObservationRuns{fault: namedFault{name: "burst"}}).verify(r)
	}, want}
}

var manyRoutersBounds = map[string]boundCase{
	"gossip helps":         failingCacheAttempts(79, 100, ""),
	"gossip does not help": failingCacheAttempts(81, 100, "81 attempts failed"),
	"gossip lowers the share on time": {func(r *report.Report) {
		r.Figures["in_time.with.after"], r.Figures["in_time.without.after"] = 0.9, 0.906
		checkGossipOnTimeShare(r, "with")
	}, "with gossip, after the fault: 0.9000 of the requests"},
	"many routers recover":        onTimeAfterBurst(0.9, 0.73, ""),
	"many routers do not recover": onTimeAfterBurst(0.9, 0.71, "300 routers have 0.710"),
}

// policies are outcomes of the eviction policies. All are zero except those that the change function sets.
func policies(change func(outcomes admissionOutcomes), want string) boundCase {
	return boundCase{func(r *report.Report) {
		outcomes := admissionOutcomes{}
		for _, policy := range []string{report.VariantLRU, report.VariantXLRU, report.VariantCafe} {
			for range diskSizes {
				outcomes[policy] = append(outcomes[policy], make([]admissionOutcome, len(fillCosts)))
			}
		}
		change(outcomes)
		outcomes.checkCafePolicy(r)
	}, want}
}

// efficiency is outcomes in which one policy is more efficient at one disk size and one fill cost.
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

// unresponsiveAddress is a p99 in milliseconds with one address unresponsive, and healthy phases of 10, 20 and 60 ms.
func unresponsiveAddress(p99 float64, full bool, want string) boundCase {
	return boundCase{func(r *report.Report) {
		measured := addressPairs{healthyMillis: []float64{10, 20, 60}, unresponsiveMillis: []float64{p99}}
		measured.checkUnresponsiveAddressCost(r, full)
	}, want}
}

var addressBounds = map[string]boundCase{
	"an unresponsive address, full":      unresponsiveAddress(59, true, ""),
	"a slow unresponsive address, full":  unresponsiveAddress(61, true, "more than the worst phase"),
	"an unresponsive address, small":     unresponsiveAddress(119, false, ""),
	"a slow unresponsive address, small": unresponsiveAddress(121, false, "with all addresses healthy 20.0"),
}

// TestBoundsDetectViolations: if the check of a bound cannot fail, its scenario passes whatever the router does, and
// the defect stays unnoticed. Each check must fail when its bound is exceeded, and pass just within it.
func TestBoundsDetectViolations(t *testing.T) {
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

// TestClusterStartFailureReturnsError: if the set-up fails midway without an error, processes keep running and the
// cause of the failed run is unknown. It must return the error and stop everything that it had started.
func TestClusterStartFailureReturnsError(t *testing.T) {
	unwritable := Options{Seed: 3, Directory: t.TempDir() + "/not/there"}
	_, err := newMultiAddressCluster(unwritable, true)
	require.ErrorIs(t, err, fs.ErrNotExist)
	_, err = cluster.NewRouterGroup(
		t.Context(), unwritable.clusterOptions(), membershipScript(unwritable), hostilePeersSmall)
	assert.ErrorIs(t, err, fs.ErrNotExist)
}

// TestScriptWithTooFewProcessesIsRejected: with a script for fewer processes than routers, some routers could not be
// the target of a fault. The script is rejected before anything starts.
func TestScriptWithTooFewProcessesIsRejected(t *testing.T) {
	script := filepath.Join(t.TempDir(), "script.json")
	require.NoError(t, os.WriteFile(script, []byte(`{"peers":3,"until":9}`), 0o600))
	err := runMembership(t.Context(), Options{Script: script}, report.New("peers", 1, "small"))
	assert.ErrorIs(t, err, errTooFewProcesses)
}
