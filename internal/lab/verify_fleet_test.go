package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/faultproxy"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// verifiedFleet is the report on a fleet with twenty routers' logs as they are when all goes well under one kill
// and one cut, changed by a test.
func verifiedFleet(
	t *testing.T, change func(say func(router int, at float64, text string), x *routerFleet),
) *report.Report {
	dir := t.TempDir()
	cluster, err := newTestCluster(Options{Seed: 3, Directory: dir}, 2)
	require.NoError(t, err)
	fleet := &routerFleet{
		cluster:      cluster,
		network:      faultproxy.New(1, fleetSize),
		scriptStart:  time.Now().Truncate(time.Millisecond),
		networkStart: time.Now(),
		script: faults.Script{
			Processes: fleetSize, Duration: 30,
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
	defer fleet.network.Close()
	defer cluster.close(nil)
	logs := make([]string, fleetSize)
	say := func(router int, at float64, text string) {
		logs[router] += fmt.Sprintf(
			"time=%s level=INFO %s\n",
			fleet.scriptStart.Add(time.Duration(at*float64(time.Second))).Format(time.RFC3339Nano),
			text,
		)
	}
	for i := range fleetSize {
		fleet.names = append(fleet.names, fmt.Sprintf("n%d", i+1))
	}
	for i := range fleetSize {
		for o := range fleetSize {
			if o != i {
				say(i, -2, peerChanged(fleet.names[o], "alive", "unknown", 5, 0))
			}
		}
		say(i, -1, "msg=\"partition state changed\" state=complete previous_state=alone epoch=2")
		if i != 3 {
			say(i, 3, peerChanged("n4", "failed", "suspect", 5, 0)+" duration_seconds=1.2")
			say(i, 8.5, peerChanged("n4", "alive", "failed", 6, 0))
		}
	}
	box := &clusterEndpoint{id: "s-00000001"}
	fleet.edgeCaches = []*clusterEndpoint{box}
	for at := 0.5; at < 30; at++ {
		cluster.requests = append(
			cluster.requests,
			requestRecord{unixSeconds(fleet.scriptStart) + at, box.id, cacheproto.Command{}},
		)
	}
	change(say, fleet)
	for i, text := range logs {
		path := filepath.Join(dir, fleet.names[i]+".log")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		file, err := os.Open(path)
		require.NoError(t, err)
		fleet.routers = append(
			fleet.routers,
			&fleetRouter{routerProcess: &routerProcess{name: fleet.names[i], log: file}, index: i},
		)
	}
	r := &report.Report{Counts: map[string]int64{}, Figures: map[string]float64{}}
	require.NoError(t, fleet.verify(r))
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

// TestFleetChecksSeeWhatIsBroken: each check of the fleet is shown to fail where what it looks for is so, and to
// hold where it is not.
func TestFleetChecksSeeWhatIsBroken(t *testing.T) {
	type say = func(int, float64, string)
	for name, c := range map[string]struct {
		change func(say, *routerFleet)
		want   string
	}{
		"all well": {func(say, *routerFleet) {}, ""},
		"a healthy peer dropped": {func(s say, _ *routerFleet) {
			s(5, 12, peerChanged("n8", "failed", "suspect", 5, 0))
		}, "n6 dropped n8 at 12.00 s, which ran"},
		"a drop that the cut explains": {func(s say, _ *routerFleet) {
			s(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
			s(5, 20.5, peerChanged("n1", "alive", "failed", 5, 1))
		}, ""},
		"never found out": {func(_ say, fleet *routerFleet) {
			fleet.script.Faults[0].From = []int{9}
		}, "n1 never dropped n10, killed at 1.0 s"},
		"a forgery taken": {func(s say, _ *routerFleet) {
			s(2, 12, peerChanged("n8", "alive", "suspect", forgedIncarnation, 0))
		}, "n3 took a forged life of n8"},
		"no agreement after a cut": {func(s say, _ *routerFleet) {
			s(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
		}, "not all agreed"},
		"found out late": {func(_ say, fleet *routerFleet) {
			fleet.script.Faults[0].Start = -6
		}, "9.0 s until all knew of a kill"},
		"agreement late after a cut": {func(s say, _ *routerFleet) {
			s(5, 17, peerChanged("n1", "failed", "suspect", 5, 0))
			s(5, 28.5, peerChanged("n1", "alive", "failed", 5, 1))
		}, "s after a cut until all agreed"},
		"a panic": {func(s say, _ *routerFleet) {
			s(5, 17, "msg=\"panic recovered\" component=membership")
		}, "a panic"},
		"a healthy box left out": {func(_ say, fleet *routerFleet) {
			fleet.cluster.requests = fleet.cluster.requests[:12]
		}, "box s-00000001 was asked nothing from 12.5 to 15.0 s"},
	} {
		r := verifiedFleet(t, c.change)
		if c.want == "" {
			assert.Empty(t, r.Broken, name)
		} else {
			assert.Contains(t, fmt.Sprint(r.Broken), c.want, name)
		}
	}
	r := verifiedFleet(t, func(say, *routerFleet) {})
	assert.InDelta(t, 3-1, r.Figures["detect_p50_s"], 0.01)
}
