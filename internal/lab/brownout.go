package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
	"cairnfront/routing"
)

// Half of a brown-out's attempts fail: that is what makes every request want another one.
const brownoutFailureRate = 0.5

var brownoutScenario = Scenario{
	Name: "brownout",
	Description: "All caches fail half of their hops for a while, with and without a budget of further hops: how " +
		"many hops a txn costs",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		calm, brown, clients := 2*time.Second, 5*time.Second, 24
		if options.Full {
			calm, brown, clients = 5*time.Second, 30*time.Second, 40
		}
		p := report.Plot{Title: "Hops a txn, second by second", XLabel: "s", YLabel: "hops"}
		for _, share := range []float64{0, 0.2} {
			name := map[bool]string{true: "budget", false: "none"}[share > 0]
			options.Progress("%s", name)
			l, err := runBrownout(ctx, options, r, name, share, calm, brown, clients)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			p.Lines = append(p.Lines, l)
		}
		p.Marks = []report.Mark{{At: calm.Seconds(), Name: "brown-out"}, {At: (calm + brown).Seconds(), Name: "over"}}
		r.Plots = append(r.Plots, p)
		r.Steps = append(
			r.Steps,
			fmt.Sprintf(
				"four stand-in members, %d clients; for %.0f s each hop fails with odds of %.1f",
				clients,
				brown.Seconds(),
				brownoutFailureRate,
			),
		)
		if with, without := r.Figures["hops_a_txn.budget"], r.Figures["hops_a_txn.none"]; with-1 > (without-1)/2 {
			r.Broke("with a budget of 0.2 a txn costs %.2f hops in the brown-out, without one %.2f", with, without)
		}
		return nil
	},
}

func runBrownout(
	ctx context.Context, options Options, r *report.Report, name string, share float64,
	calm, brown time.Duration, clients int,
) (report.Line, error) {
	out := report.Line{Name: name}
	cluster, err := newTestCluster(options, 1)
	if err != nil {
		return out, err
	}
	defer func() { cluster.close(r) }()
	if cluster.options.Directory, err = os.MkdirTemp(options.Directory, "b"); err != nil {
		return out, err
	}
	var failing atomic.Bool
	var members []*endpointStandIn
	for i, kind := range []int{kindOrigin, kindParent, kindEdge, kindEdge} {
		standIn, err := newEndpointStandIn(endpointID(i+1), cluster.options.Directory, time.Millisecond)
		if err != nil {
			return out, err
		}
		defer standIn.close()
		standIn.body = func(a cacheproto.Command) []byte {
			if a.ClassName == classPrintOrder {
				return nil
			}
			return edgecache.SyntheticBody(
				options.Seed,
				eviction.Key{Object: a.ObjectID, Chunk: a.PartNumber},
				0,
				cluster.content.MinBytes,
				cluster.content.MaxBytes,
			)
		}
		// drawn from the request's id and the attempt's number: the same in both plays
		standIn.failAttempt = func(a cacheproto.Command, n int) bool {
			return failing.Load() && float64(attemptHash(a.ID, n)%1000) < brownoutFailureRate*1000
		}
		members = append(members, standIn)
		endpoint := &clusterEndpoint{
			id:   standIn.id,
			kind: kind,
			zone: zoneOf(kind),
			addr: standIn.addresses[len(standIn.addresses)-1].addr,
		}
		cluster.endpoints = append(cluster.endpoints, endpoint)
		cluster.publishStatus(endpoint, routing.Ready)
	}
	text, err := json.Marshal(map[string]any{"router": map[string]any{"further_share": share}})
	if err != nil {
		return out, err
	}
	cluster.operatorsFile = filepath.Join(cluster.options.Directory, "operators.yaml")
	if err := os.WriteFile(cluster.operatorsFile, text, 0o600); err != nil {
		return out, err
	}
	if err := cluster.addRouter(1); err != nil {
		return out, err
	}
	group := &clientGroup{
		addr:       cluster.routers[0].addr,
		clients:    clients,
		seed:       options.Seed,
		objects:    60,
		parts:      6,
		groups:     cluster.content.Groups,
		meanPause:  20 * time.Millisecond,
		onResponse: cluster.recordResponse,
	}
	play, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { group.run(play) })
	began := unixSeconds(time.Now())
	for _, step := range []struct {
		length time.Duration
		fails  bool
	}{{calm, false}, {brown, true}, {calm, false}} {
		failing.Store(step.fails)
		select {
		case <-ctx.Done():
			return out, ctx.Err()
		case <-time.After(step.length):
		}
	}
	stop()
	all.Wait()
	before := r.Counts["completed"]
	cluster.verify(r, []*clientGroup{group})
	txns, hops := map[int]float64{}, map[int]float64{}
	for _, h := range cluster.responses.all {
		txns[int(h.sentAt-began)]++
	}
	for _, standIn := range members {
		standIn.mu.Lock()
		for _, attempt := range standIn.attempts {
			hops[int(attempt.startedAt-began)]++
		}
		standIn.mu.Unlock()
	}
	sums := [2]float64{}
	for sec := 0; sec < int((2*calm + brown).Seconds()); sec++ {
		out.X, out.Y = append(out.X, float64(sec)), append(out.Y, hops[sec]/max(txns[sec], 1))
		if sec > int(calm.Seconds()) && sec < int((calm+brown).Seconds()) { // its first second fills the window
			sums[0] += hops[sec]
			sums[1] += txns[sec]
		}
	}
	r.Figures["hops_a_txn."+name] = sums[0] / max(sums[1], 1)
	r.Figures["hops_a_s."+name] = sums[0] / max(brown.Seconds()-1, 1)
	completed := float64(r.Counts["completed"] - before)
	r.Figures["completed_share."+name] = completed / float64(max(len(cluster.responses.all), 1))
	return out, nil
}

// attemptHash draws a number from a request's id and the number of its attempt.
func attemptHash(id string, n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	for _, c := range []byte(id) {
		x = (x ^ uint64(c)) * 0x100000001b3
	}
	return (x ^ x>>33) * 0xff51afd7ed558ccd >> 20
}
