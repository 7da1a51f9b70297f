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

// loggedRun is a run whose routers' logs are written by a test.
type loggedRun struct {
	Membership
	logs []string // by router
}

// newLoggedRun is a run with twenty routers under one kill and one cut, in which all goes well.
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
		run.logAllWell(router)
	}
	run.requestEachSecond("s-00000001")
	return run
}

// say writes a line to a router's log, at a time in seconds from the start of the script.
func (run *loggedRun) say(router int, at float64, text string) {
	written := run.ScriptStart.Add(time.Duration(at * float64(time.Second)))
	run.logs[router] += fmt.Sprintf("time=%s level=INFO %s\n", written.Format(time.RFC3339Nano), text)
}

// logAllWell writes the log of a router that sees its peers start, and the killed one fail and come back.
func (run *loggedRun) logAllWell(router int) {
	for peer := range loggedRouters {
		if peer != router {
			run.say(router, -2, peerChanged(run.Names[peer], "alive", "unknown", 5, 0))
		}
	}
	run.say(router, -1, `msg="partition state changed" state=complete previous_state=alone epoch=2`)
	if router != 3 {
		run.say(router, 3, peerChanged("n4", "failed", "suspect", 5, 0)+" duration_seconds=1.2")
		run.say(router, 8.5, peerChanged("n4", "alive", "failed", 6, 0))
	}
}

// requestEachSecond records a request to an edge cache in each second.
func (run *loggedRun) requestEachSecond(edgeCache string) {
	run.EdgeCaches = []string{edgeCache}
	for at := 0.5; at < 30; at++ {
		request := Request{timing.UnixSeconds(run.ScriptStart) + at, edgeCache, cacheproto.Command{}}
		run.Requests = append(run.Requests, request)
	}
}

// readLogs reads the routers' logs from files, as after a run.
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

// verifiedRun is the report on a run in which all goes well but for what a test changes.
func verifiedRun(t *testing.T, change func(run *loggedRun)) *report.Report {
	t.Helper()
	run := newLoggedRun()
	change(run)
	run.readLogs(t)
	r := &report.Report{Counts: map[string]int64{}, Figures: map[string]float64{}}
	run.Verify(r)
	return r
}

// peerChanged is a router's log line on a peer's new state.
func peerChanged(peer, state, previous string, incarnation uint64, refutations int) string {
	return fmt.Sprintf(
		"msg=\"peer state changed\" peer=%s state=%s previous_state=%s reason=newer_record "+
			"incarnation=%d refutations=%d",
		peer, state, previous, incarnation, refutations,
	)
}

// membershipCases are changes of a run in which all goes well, and a part of what a check says of them; empty where all
// checks hold.
var membershipCases = map[string]struct {
	change func(run *loggedRun)
	want   string
}{
	"all well": {func(*loggedRun) {}, ""},
	"a healthy peer declared failed": {func(run *loggedRun) {
		run.say(5, 12, peerChanged("n8", "failed", "suspect", 5, 0))
	}, "n6 declared n8 failed at 12.00 s, which ran"},
	"a failure that the cut explains": {func(run *loggedRun) {
		run.say(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
		run.say(5, 20.5, peerChanged("n1", "alive", "failed", 5, 1))
	}, ""},
	"never detected": {func(run *loggedRun) {
		run.Script.Faults[0].From = []int{9}
	}, "n1 never declared n10 failed, which was killed at 1.0 s"},
	"a forgery accepted": {func(run *loggedRun) {
		run.say(2, 12, peerChanged("n8", "alive", "suspect", standin.ForgedIncarnation, 0))
	}, "n3 accepted a forged incarnation of n8"},
	"no agreement after a cut": {func(run *loggedRun) {
		run.say(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
	}, "not all routers agreed"},
	"detected late": {func(run *loggedRun) {
		run.Script.Faults[0].Start = -6
	}, "9.0 s until all routers had detected a kill"},
	"agreement late after a cut": {func(run *loggedRun) {
		run.say(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
		run.say(5, 28.5, peerChanged("n1", "alive", "failed", 5, 1))
	}, "s after a cut until all routers agreed"},
	"a panic": {func(run *loggedRun) {
		run.say(5, 17, `msg="panic recovered" component=membership`)
	}, "a panic"},
	"a healthy edge cache not used": {func(run *loggedRun) {
		run.Requests = run.Requests[:12]
	}, "edge cache s-00000001 got no request from 12.5 to 15.0 s"},
}

// TestMembershipChecksSeeWhatIsBroken: a verdict whose checks find nothing in the logs says that all went well,
// whatever the routers did. Each check must fail where its rule is broken, and hold where it is not.
func TestMembershipChecksSeeWhatIsBroken(t *testing.T) {
	for name, c := range membershipCases {
		t.Run(name, func(t *testing.T) {
			r := verifiedRun(t, c.change)
			if c.want == "" {
				assert.Empty(t, r.Broken)
			} else {
				assert.Contains(t, fmt.Sprint(r.Broken), c.want)
			}
		})
	}
	r := verifiedRun(t, func(*loggedRun) {})
	assert.InDelta(t, 3-1, r.Figures[report.DetectionP50], 0.01)
}
