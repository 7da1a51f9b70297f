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

// verifiedRun is the report on a run with twenty routers' logs as they are when all goes well under one kill and one
// cut, changed by a test.
func verifiedRun(
	t *testing.T, change func(say func(router int, at float64, text string), e *Membership),
) *report.Report {
	t.Helper()
	dir := t.TempDir()
	e := &Membership{
		MarginSeconds: 5,
		ScriptStart:   time.Now().Truncate(time.Millisecond),
		Script: faults.Script{
			Processes: loggedRouters, Duration: 30,
			Faults: []faults.Fault{{
				Kind:  faults.Kill,
				Start: 1,
				End:   8,
				From:  []int{3},
			}, {
				Kind:     faults.Cut,
				Start:    15,
				End:      20,
				From:     []int{0},
				BothWays: true,
			}},
		},
	}
	logs := make([]string, loggedRouters)
	say := func(router int, at float64, text string) {
		logs[router] += fmt.Sprintf(
			"time=%s level=INFO %s\n",
			e.ScriptStart.Add(time.Duration(at*float64(time.Second))).Format(time.RFC3339Nano),
			text,
		)
	}
	for i := range loggedRouters {
		e.Names = append(e.Names, fmt.Sprintf("n%d", i+1))
	}
	for i := range loggedRouters {
		for o := range loggedRouters {
			if o != i {
				say(i, -2, peerChanged(e.Names[o], "alive", "unknown", 5, 0))
			}
		}
		say(i, -1, `msg="partition state changed" state=complete previous_state=alone epoch=2`)
		if i != 3 {
			say(i, 3, peerChanged("n4", "failed", "suspect", 5, 0)+" duration_seconds=1.2")
			say(i, 8.5, peerChanged("n4", "alive", "failed", 6, 0))
		}
	}
	const edgeCache = "s-00000001"
	e.EdgeCaches = []string{edgeCache}
	for at := 0.5; at < 30; at++ {
		request := Request{timing.UnixSeconds(e.ScriptStart) + at, edgeCache, cacheproto.Command{}}
		e.Requests = append(e.Requests, request)
	}
	change(say, e)
	peers := map[string]int{}
	for i, name := range e.Names {
		peers[name] = i
	}
	for i, text := range logs {
		path := filepath.Join(dir, e.Names[i]+".log")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		log, err := ReadRouterLog(path, e.Names[i], i, peers, e.ScriptStart)
		require.NoError(t, err)
		e.Routers = append(e.Routers, log)
	}
	r := &report.Report{Counts: map[string]int64{}, Figures: map[string]float64{}}
	e.Verify(r)
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

// TestMembershipChecksSeeWhatIsBroken: each check of the scenario is shown to fail where its rule is broken, and to
// hold where it is not.
func TestMembershipChecksSeeWhatIsBroken(t *testing.T) {
	type say = func(int, float64, string)
	for name, c := range map[string]struct {
		change func(say, *Membership)
		want   string
	}{
		"all well": {func(say, *Membership) {}, ""},
		"a healthy peer declared failed": {func(s say, _ *Membership) {
			s(5, 12, peerChanged("n8", "failed", "suspect", 5, 0))
		}, "n6 declared n8 failed at 12.00 s, which ran"},
		"a failure that the cut explains": {func(s say, _ *Membership) {
			s(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
			s(5, 20.5, peerChanged("n1", "alive", "failed", 5, 1))
		}, ""},
		"never detected": {func(_ say, e *Membership) {
			e.Script.Faults[0].From = []int{9}
		}, "n1 never declared n10 failed, which was killed at 1.0 s"},
		"a forgery accepted": {func(s say, _ *Membership) {
			s(2, 12, peerChanged("n8", "alive", "suspect", standin.ForgedIncarnation, 0))
		}, "n3 accepted a forged incarnation of n8"},
		"no agreement after a cut": {func(s say, _ *Membership) {
			s(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
		}, "not all routers agreed"},
		"detected late": {func(_ say, e *Membership) {
			e.Script.Faults[0].Start = -6
		}, "9.0 s until all routers had detected a kill"},
		"agreement late after a cut": {func(s say, _ *Membership) {
			s(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
			s(5, 28.5, peerChanged("n1", "alive", "failed", 5, 1))
		}, "s after a cut until all routers agreed"},
		"a panic": {func(s say, _ *Membership) {
			s(5, 17, `msg="panic recovered" component=membership`)
		}, "a panic"},
		"a healthy edge cache not used": {func(_ say, e *Membership) {
			e.Requests = e.Requests[:12]
		}, "edge cache s-00000001 got no request from 12.5 to 15.0 s"},
	} {
		r := verifiedRun(t, c.change)
		if c.want == "" {
			assert.Empty(t, r.Broken, name)
		} else {
			assert.Contains(t, fmt.Sprint(r.Broken), c.want, name)
		}
	}
	r := verifiedRun(t, func(say, *Membership) {})
	assert.InDelta(t, 3-1, r.Figures[report.DetectionP50], 0.01)
}
