package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/diskcache"
	"cairnfront/internal/lab/report"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// runPowerCuts plays so many scripts on faulty disks, each with the power cut at another operation.
func runPowerCuts(ctx context.Context, options Options, r *report.Report, n int) error {
	const seeds = 40 // scripts; the cuts go round their operations
	ops := make([]int, seeds)
	for i := range ops {
		ops[i] = diskcache.RunPowerLoss(options.Seed*1000+uint64(i), 0).Ops
	}
	var mu sync.Mutex
	var done atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			script := i % seeds
			cut := 1 + i/seeds%ops[script]
			again := uint64(i / seeds / ops[script]) // round again with other chances
			out := diskcache.RunPowerLoss(options.Seed*1000+uint64(script)+again<<32, cut)
			mu.Lock()
			defer mu.Unlock()
			r.Counts["power_cuts"]++
			r.Counts["cut_parts_checked"] += int64(out.Checked)
			r.Counts["cut_parts_whole"] += int64(out.Recovered)
			r.Counts["cut_purges"] += int64(out.Purges)
			for _, w := range out.Violations {
				r.Counts["cut_wrong"]++
				r.Broke("script %d cut at %d: %s", script, cut, w)
			}
			if d := done.Add(1); d%200 == 0 {
				options.Progress("%d of %d power cuts", d, n)
			}
			return nil
		})
	}
	return g.Wait()
}

var diskRestartScenario = Scenario{
	Name: "disk-restart",
	Description: "Boxes killed outright and started again under load, purges told while they are down; power " +
		"cuts on faulty disks",
	Run: func(ctx context.Context, options Options, r *report.Report) (err error) {
		warm, window, restarts, cuts, clients := 5*time.Second, 3*time.Second, 6, 500, 24
		if options.Full {
			warm, window, restarts, cuts, clients = 25*time.Second, 10*time.Second, 50, 20000, 40
		}
		r.Counts["wrong_bytes"], r.Counts["stale_after_purge"] = 0, 0
		if err := runPowerCuts(ctx, options, r, cuts); err != nil {
			return err
		}
		cluster, err := newTestCluster(options, 1)
		if err != nil {
			return err
		}
		defer func() { cluster.close(r) }()
		var boxes []*clusterEndpoint
		folders := map[*clusterEndpoint]string{}
		for _, kind := range []int{kindOrigin, kindParent, kindEdge, kindEdge} {
			endpoint, err := cluster.addEndpoint(kind, zoneOf(kind))
			if err != nil {
				return err
			}
			if kind == kindEdge {
				boxes = append(boxes, endpoint)
				folders[endpoint] = filepath.Join(options.Directory, endpoint.id+"-disk")
			}
		}
		for _, endpoint := range cluster.endpoints {
			if endpoint.kind != kindEdge {
				if err := cluster.startInProcess(endpoint); err != nil {
					return err
				}
			} else if err := cluster.startProgram(endpoint, folders[endpoint]); err != nil {
				return err
			}
			endpoint.startedAt = 0 // warm long since, as far as anybody is told
			cluster.publishStatus(endpoint, routing.Ready)
		}
		if err := cluster.addRouter(1); err != nil {
			return err
		}
		rnd := rand.New(rand.NewPCG(options.Seed, 5))
		group := &clientGroup{
			addr:       cluster.routers[0].addr,
			clients:    clients,
			seed:       options.Seed,
			objects:    60,
			parts:      6,
			groups:     cluster.content.Groups,
			meanPause:  40 * time.Millisecond,
			onResponse: cluster.recordResponse,
		}
		play, stop := context.WithCancel(ctx)
		var all sync.WaitGroup
		all.Go(func() { group.run(play) })
		defer func() { stop(); all.Wait() }()
		began := unixSeconds(time.Now())
		wait := func(d time.Duration) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(d):
				return nil
			}
		}
		if err := wait(warm); err != nil {
			return err
		}
		now := unixSeconds(time.Now())
		r.Figures["hit_before"] = cluster.localByteShare(now-window.Seconds(), now)
		r.Figures["window_s"] = window.Seconds()
		var marks []report.Mark
		recovery := 0.0
		for n := range restarts {
			options.Progress("restart %d of %d", n+1, restarts)
			emptied := n == 1
			marks = append(marks, report.Mark{
				At:   unixSeconds(time.Now()) - began,
				Name: map[bool]string{false: "killed", true: "killed, emptied"}[emptied],
			})
			for _, endpoint := range boxes {
				endpoint.kill()
			}
			if err := wait(100 * time.Millisecond); err != nil {
				return err
			}
			for _, endpoint := range boxes {
				cluster.publishStatus(endpoint, routing.Removed)
			}
			for i := range 4 { // told while they are down; what is much wanted among them
				cluster.purge(1+uint64(rnd.IntN(12)), i == 3)
			}
			if err := wait(200 * time.Millisecond); err != nil {
				return err
			}
			for _, endpoint := range boxes {
				if emptied {
					_ = os.RemoveAll(folders[endpoint])
				}
				from := time.Now()
				if err := cluster.startProgram(endpoint, folders[endpoint]); err != nil {
					return err
				}
				recovery += time.Since(from).Seconds()
				r.Counts["restarts"]++
			}
			for _, endpoint := range boxes {
				cluster.publishStatus(endpoint, routing.Ready)
			}
			from := unixSeconds(time.Now())
			cluster.purge(1+uint64(rnd.IntN(12)), false) // and one while they catch up
			length := window
			if n > 1 {
				length = window / 4
			}
			if err := wait(length); err != nil {
				return err
			}
			switch n {
			case 0:
				r.Figures["hit_disk"] = cluster.localByteShare(from, from+window.Seconds())
			case 1:
				r.Figures["hit_empty"] = cluster.localByteShare(from, from+window.Seconds())
			}
		}
		stop()
		all.Wait()
		ended := unixSeconds(time.Now())
		r.Figures["recovery_s"] = recovery / float64(r.Counts["restarts"])
		r.Figures["index_bytes_a_part"] = diskcache.MeasureIndexBytes(1_000_000)
		for _, endpoint := range boxes {
			endpoint.kill()
			in, bad, err := diskcache.Verify(folders[endpoint], func(diskcache.StoreError) {}, nil)
			if err != nil {
				r.Broke("the folder of %s after the last kill: %v", endpoint.id, err)
				continue
			}
			r.Counts["disk_parts"] += int64(in.Valid)
			r.Counts["disk_parts_voided"] += int64(in.Invalidated)
			r.Counts["disk_bad_records"] += int64(bad)
		}
		cluster.verify(r, []*clientGroup{group})
		r.Steps = append(r.Steps, fmt.Sprintf(
			"%d power cuts on faulty disks, each followed by a second one in the recovery",
			cuts,
		),
			fmt.Sprintf(
				"a campus of two boxes with disks, a parent, an archive, a router, %d clients; both boxes "+
					"killed %d times, once emptied",
				clients,
				restarts,
			),
			"each time four purges while they are down (one of a group) and one while they catch up",
			"drains and cold members are not judged here; the demo and the bench do")
		if r.Figures["hit_disk"] < 0.9*r.Figures["hit_before"] {
			r.Broke(
				"after a restart with the disk %.3f of the bytes come from the boxes, under 0.9 of the %.3f before",
				r.Figures["hit_disk"],
				r.Figures["hit_before"],
			)
		}
		if r.Figures["hit_empty"] >= r.Figures["hit_disk"] {
			r.Broke(
				"an emptied box gives as much (%.3f) as one with its disk (%.3f)",
				r.Figures["hit_empty"],
				r.Figures["hit_disk"],
			)
		}
		pl := report.Plot{
			Title:  "Bytes that came from the campus's own boxes",
			XLabel: "s",
			YLabel: "share",
			Marks:  marks,
		}
		l := report.Line{Name: "share"}
		for at := began; at+1 < ended; at++ {
			l.X, l.Y = append(l.X, at-began), append(l.Y, cluster.localByteShare(at, at+1))
		}
		pl.Lines = []report.Line{l}
		r.Plots = append(r.Plots, pl)
		return nil
	},
}
