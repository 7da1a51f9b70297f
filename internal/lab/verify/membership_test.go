package verify

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/sim/faults"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// loggedRouters is the number of routers in the tests of the checks.
const loggedRouters = 20

// loggedRun is a run with routers' logs that a test writes.
type loggedRun struct {
	Membership
	logs []string // log text by router
}

// newLoggedRun returns a run of twenty routers with one kill and one cut, in which no rule is violated.
func newLoggedRun() *loggedRun {
	run := &loggedRun{
		Membership: Membership{
			MarginSeconds: 5,
			ScriptStart:   time.Now().Truncate(time.Millisecond),
			Script: faults.Script{
				Processes: loggedRouters,
				Duration:  30,
				Faults: []faults.Fault{
					{Kind: faults.Kill, Start: 1, End: 8, From: []int{3}},
					{Kind: faults.Cut, Start: 15, End: 20, From: []int{0}, BothWays: true},
				},
			},
		},
		logs: make([]string, loggedRouters),
	}
	for router := range loggedRouters {
		run.Names = append(run.Names, fmt.Sprintf("n%d", router+1))
	}
	for router := range loggedRouters {
		run.logCorrectRun(router)
	}
	run.addRequestEachSecond("s-00000001")
	return run
}

// writeLog appends a line to a router's log, at a time in seconds since the start of the script.
func (run *loggedRun) writeLog(router int, at float64, text string) {
	written := run.ScriptStart.Add(time.Duration(at * float64(time.Second)))
	run.logs[router] += fmt.Sprintf("time=%s level=INFO %s\n", written.Format(time.RFC3339Nano), text)
}

// logCorrectRun writes the log of a router that sees its peers start, and sees the killed router fail and return.
func (run *loggedRun) logCorrectRun(router int) {
	for peer := range loggedRouters {
		if peer != router {
			run.writeLog(router, -2, peerStateLine(run.Names[peer], "alive", "unknown", 5, 0))
		}
	}
	run.writeLog(router, -1, `msg="partition state changed" state=complete previous_state=alone epoch=2`)
	if router != 3 {
		run.writeLog(router, 3, peerStateLine("n4", "failed", "suspect", 5, 0)+" duration_seconds=1.2")
		run.writeLog(router, 8.5, peerStateLine("n4", "alive", "failed", 6, 0))
	}
}

// addRequestEachSecond records one request per second to an edge cache.
func (run *loggedRun) addRequestEachSecond(edgeCache string) {
	run.EdgeCaches = []string{edgeCache}
	for at := 0.5; at < 30; at++ {
		request := Request{timing.UnixSeconds(run.ScriptStart) + at, edgeCache, cacheproto.Command{}}
		run.Requests = append(run.Requests, request)
	}
}

// readLogs writes the routers' logs to files and reads them as after a real run.
func (run *loggedRun) readLogs(t *testing.T) {
	t.Helper()
	peers := map[string]int{}
	for router, name := range run.Names {
		peers[name] = router
	}
	directory := t.TempDir()
	for router, text := range run.logs {
		path := filepath.Join(directory, run.Names[router]+".log")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		log, err := ReadRouterLog(path, run.Names[router], router, peers, run.ScriptStart)
		require.NoError(t, err)
		run.Routers = append(run.Routers, log)
	}
}

// verifyRun returns the report on a run without violations, except for those that the change function causes.
func verifyRun(t *testing.T, change func(run *loggedRun)) *report.Report {
	t.Helper()
	run := newLoggedRun()
	change(run)
	run.readLogs(t)
	r := &report.Report{Counts: map[string]int64{}, Figures: map[string]float64{}}
	run.Verify(r)
	return r
}

// peerStateLine returns a router's log line about a peer's new state.
func peerStateLine(peer, state, previous string, incarnation uint64, refutations int) string {
	return fmt.Sprintf(
		"msg=\"peer state changed\" peer=%s state=%s previous_state=%s reason=newer_record "+
			"incarnation=%d refutations=%d",
		peer, state, previous, incarnation, refutations,
	)
}

// membershipCases are changes to a run without violations, each with a part of the expected violation message; empty if
// all checks pass.
var membershipCases = map[string]struct {
	change func(run *loggedRun)
	want   string
}{
	"no violation": {func(*loggedRun) {}, ""},
	"a healthy peer declared failed": {func(run *loggedRun) {
		run.writeLog(5, 12, peerStateLine("n8", "failed", "suspect", 5, 0))
	}, "n6 declared n8 failed at 12.00 s, which ran"},
	"a failure that the cut explains": {func(run *loggedRun) {
		run.writeLog(5, 17, peerStateLine("n1", "failed", "suspect", 5, 0))
		run.writeLog(5, 20.5, peerStateLine("n1", "alive", "failed", 5, 1))
	}, ""},
	"kill never detected": {func(run *loggedRun) {
		run.Script.Faults[0].From = []int{9}
	}, "n1 never declared n10 failed, which was killed at 1.0 s"},
	"a forgery accepted": {func(run *loggedRun) {
		run.writeLog(2, 12, peerStateLine("n8", "alive", "suspect", standin.ForgedIncarnation, 0))
	}, "n3 accepted a forged incarnation of n8"},
	"no agreement after a cut": {func(run *loggedRun) {
		run.writeLog(5, 17, peerStateLine("n1", "failed", "suspect", 5, 0))
	}, "not all routers agreed"},
	"kill detected late": {func(run *loggedRun) {
		run.Script.Faults[0].Start = -6
	}, "9.0 s until all routers had detected a kill"},
	"late agreement after a cut": {func(run *loggedRun) {
		run.writeLog(5, 17, peerStateLine("n1", "failed", "suspect", 5, 0))
		run.writeLog(5, 28.5, peerStateLine("n1", "alive", "failed", 5, 1))
	}, "s after a cut until all routers agreed"},
	"a panic": {func(run *loggedRun) {
		run.writeLog(5, 17, `msg="panic recovered" component=membership`)
	}, "a panic"},
	"a healthy edge cache not used": {func(run *loggedRun) {
		run.Requests = run.Requests[:12]
	}, "edge cache s-00000001 got no request from 12.5 to 15.0 s"},
}

// TestMembershipChecksDetectViolations: checks that find nothing in the logs report every run as correct, whatever the
// routers did. Each check must fail when its rule is violated, and pass when it is not.
func TestMembershipChecksDetectViolations(t *testing.T) {
	for name, c := range membershipCases {
		t.Run(name, func(t *testing.T) {
			r := verifyRun(t, c.change)
			if c.want == "" {
				assert.Empty(t, r.Broken)
			} else {
				assert.Contains(t, fmt.Sprint(r.Broken), c.want)
			}
		})
	}
	r := verifyRun(t, func(*loggedRun) {})
	assert.InDelta(t, 3-1, r.Figures[report.DetectionP50], 0.01)
}
