package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"cairnfront/internal/diskcache"
	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

const (
	powerLossScripts       = 40 // number of scripts on faulty disks; power losses hit each of their operations in turn
	powerLossProgressEvery = 200

	removalDelay            = 100 * time.Millisecond // time between the kills and the removal from the endpoint list
	restartDelay            = 200 * time.Millisecond // time between the purges and the restart
	purgesWhileDown         = 4                      // number of purges; the last one purges a purge group
	emptyDiskRestart        = 1                      // index of the restart with emptied disks
	minHitShareAfterRestart = 0.9                    // least share of the earlier hits after a restart with disks
	measuredChunks          = 1_000_000              // number of chunks for measuring the size of the index
)

// diskRestartSize is the durations and counts of a run.
type diskRestartSize struct {
	warmUp      time.Duration
	window      time.Duration // interval in which hits are measured
	restarts    int
	powerLosses int
	clients     int
}

var diskRestartScenario = Scenario{
	Name: "disk-restart",
	Description: "Edge caches killed and started again under load, with purges while they are down; losses of power " +
		"at each operation of faulty disks",
	Run: runDiskRestart,
}

// diskRestartRun is one run of the scenario.
type diskRestartRun struct {
	*cluster.Cluster
	size            diskRestartSize
	directory       string // parent of the edge caches' disk directories
	progress        func(format string, args ...any)
	edgeCaches      []*cluster.Endpoint
	directories     map[*cluster.Endpoint]string
	rnd             *rand.Rand
	startedAt       float64 // Unix time in seconds
	marks           []report.Mark
	recoverySeconds float64 // sum over all restarts of edge caches
}

func runDiskRestart(ctx context.Context, options Options, r *report.Report) error {
	size := diskRestartSize{
		warmUp:      5 * time.Second,
		window:      3 * time.Second,
		restarts:    6,
		powerLosses: 500,
		clients:     24,
	}
	if options.Full {
		size = diskRestartSize{
			warmUp:      25 * time.Second,
			window:      10 * time.Second,
			restarts:    50,
			powerLosses: 20000,
			clients:     40,
		}
	}
	r.Counts[report.ChunksCorrupt] = 0
	r.Counts[report.StaleAfterPurge] = 0
	if err := runPowerLosses(ctx, options, r, size.powerLosses); err != nil {
		return err
	}
	testCluster, err := cluster.New(options.clusterOptions(), 1)
	if err != nil {
		return err
	}
	defer testCluster.Close(r)
	run := &diskRestartRun{
		Cluster:     testCluster,
		size:        size,
		directory:   options.Directory,
		progress:    options.Progress,
		directories: map[*cluster.Endpoint]string{},
		rnd:         rand.New(rand.NewPCG(options.Seed, 5)),
	}
	if err := run.startWithDisks(ctx); err != nil {
		return err
	}
	if err := testCluster.AddRouter(1); err != nil {
		return err
	}
	group := testCluster.NewClientGroup(testCluster.Routers[0], size.clients, 40*time.Millisecond)
	stop := standin.StartLoad(ctx, group)
	defer stop()
	run.startedAt = timing.UnixSeconds(time.Now())
	if err := run.runScript(ctx, r); err != nil {
		return err
	}
	stop()
	endedAt := timing.UnixSeconds(time.Now())
	r.Figures[report.Recovery] = run.recoverySeconds / float64(r.Counts[report.Restarts])
	r.Figures[report.IndexBytesPerChunk] = diskcache.MeasureIndexBytes(measuredChunks)
	run.checkDisksReadable(r)
	testCluster.Verify(r, []*standin.ClientGroup{group})
	run.checkHitsAfterRestart(r)
	run.describe(r, endedAt)
	return nil
}

// startWithDisks starts the origin and the parent cache in this process, and two edge caches as programs with disk
// caches.
func (d *diskRestartRun) startWithDisks(ctx context.Context) error {
	for _, kind := range []int{cluster.KindOrigin, cluster.KindParent, cluster.KindEdge, cluster.KindEdge} {
		endpoint, err := d.AddEndpoint(kind, cluster.ZoneOf(kind))
		if err != nil {
			return err
		}
		if kind == cluster.KindEdge {
			d.edgeCaches = append(d.edgeCaches, endpoint)
			d.directories[endpoint] = filepath.Join(d.directory, endpoint.ID+"-disk")
		}
	}
	for _, endpoint := range d.Endpoints {
		if err := d.startEndpoint(ctx, endpoint); err != nil {
			return err
		}
		endpoint.StartedAt = 0 // published without a warm-up
		d.PublishStatus(endpoint, routing.Ready)
	}
	return nil
}

// startEndpoint starts an edge cache as a program with a disk cache, and any other endpoint in this process.
func (d *diskRestartRun) startEndpoint(ctx context.Context, endpoint *cluster.Endpoint) error {
	if endpoint.Kind == cluster.KindEdge {
		return d.StartProgram(endpoint, d.directories[endpoint])
	}
	return d.StartInProcess(ctx, endpoint)
}

// runScript warms the edge caches up and restarts them repeatedly. It measures the share of bytes that they serve
// before the restarts, after a restart with their disks, and after a restart with empty disks.
func (d *diskRestartRun) runScript(ctx context.Context, r *report.Report) error {
	if err := timing.Sleep(ctx, d.size.warmUp); err != nil {
		return err
	}
	window := d.size.window.Seconds()
	now := timing.UnixSeconds(time.Now())
	r.Figures[report.LocalShareBefore] = d.LocalByteShare(now-window, now)
	r.Figures[report.MeasuredWindow] = window
	for n := range d.size.restarts {
		d.progress("restart %d of %d", n+1, d.size.restarts)
		if err := d.restart(ctx, r, n == emptyDiskRestart); err != nil {
			return err
		}
		from := timing.UnixSeconds(time.Now())
		d.purgePopularObject(false) // purges while the caches catch up on missed events
		duration := d.size.window
		if n > emptyDiskRestart {
			duration /= 4 // shorter, as nothing is measured after these restarts
		}
		if err := timing.Sleep(ctx, duration); err != nil {
			return err
		}
		switch n {
		case 0:
			r.Figures[report.LocalShareWithDisk] = d.LocalByteShare(from, from+window)
		case emptyDiskRestart:
			r.Figures[report.LocalShareEmptied] = d.LocalByteShare(from, from+window)
		}
	}
	return nil
}

// restart kills the edge caches, purges objects while they are down, and starts them again.
func (d *diskRestartRun) restart(ctx context.Context, r *report.Report, emptied bool) error {
	mark := report.Mark{At: timing.UnixSeconds(time.Now()) - d.startedAt, Name: "killed"}
	if emptied {
		mark.Name = "killed, disks emptied"
	}
	d.marks = append(d.marks, mark)
	for _, endpoint := range d.edgeCaches {
		endpoint.Kill()
	}
	if err := timing.Sleep(ctx, removalDelay); err != nil {
		return err
	}
	for _, endpoint := range d.edgeCaches {
		d.PublishStatus(endpoint, routing.Removed)
	}
	for i := range purgesWhileDown {
		d.purgePopularObject(i == purgesWhileDown-1)
	}
	if err := timing.Sleep(ctx, restartDelay); err != nil {
		return err
	}
	for _, endpoint := range d.edgeCaches {
		if emptied {
			_ = os.RemoveAll(d.directories[endpoint]) // remaining files would increase the hit share, which is checked
		}
		from := time.Now()
		if err := d.StartProgram(endpoint, d.directories[endpoint]); err != nil {
			return err
		}
		d.recoverySeconds += time.Since(from).Seconds()
		r.Counts[report.Restarts]++
	}
	for _, endpoint := range d.edgeCaches {
		d.PublishStatus(endpoint, routing.Ready)
	}
	return nil
}

// purgePopularObject purges one of the most popular objects, or its purge group.
func (d *diskRestartRun) purgePopularObject(ofGroup bool) {
	d.Purge(1+uint64(d.rnd.IntN(popularObjects)), ofGroup)
}

// checkDisksReadable checks that the disks can be read after a final kill, and counts the chunks on them.
func (d *diskRestartRun) checkDisksReadable(r *report.Report) {
	for _, endpoint := range d.edgeCaches {
		endpoint.Kill()
		chunks, badRecords, err := diskcache.Verify(d.directories[endpoint], func(diskcache.StoreError) {}, nil)
		if err != nil {
			r.AddViolation("the disk of %s after the last kill: %v", endpoint.ID, err)
			continue
		}
		r.Counts[report.DiskChunks] += int64(chunks.Valid)
		r.Counts[report.DiskChunksInvalidated] += int64(chunks.Invalidated)
		r.Counts[report.DiskBadRecords] += int64(badRecords)
	}
}

// checkHitsAfterRestart checks that most hits remain after a restart with disks, and more than after a restart with
// empty disks.
func (d *diskRestartRun) checkHitsAfterRestart(r *report.Report) {
	before := r.Figures[report.LocalShareBefore]
	disk, empty := r.Figures[report.LocalShareWithDisk], r.Figures[report.LocalShareEmptied]
	if disk < minHitShareAfterRestart*before {
		r.AddViolation(
			"after a restart with the disk %.3f of the bytes come from edge caches, less than %.1f of the %.3f before",
			disk,
			minHitShareAfterRestart,
			before,
		)
	}
	if empty >= disk {
		r.AddViolation("an edge cache with an empty disk serves as much (%.3f) as one with its disk (%.3f)",
			empty, disk)
	}
}

// describe adds the steps and the plot to the report.
func (d *diskRestartRun) describe(r *report.Report, endedAt float64) {
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d losses of power on faulty disks, each followed by a second one in the recovery",
			d.size.powerLosses,
		),
		fmt.Sprintf(
			"a zone of two edge caches with disks, a parent cache, the origin, a router, %d clients; both edge caches "+
				"killed %d times, their disks emptied once",
			d.size.clients,
			d.size.restarts,
		),
		"at each restart four purges while the edge caches are down (one of a purge group), one while they catch up",
		"drains and overload of endpoints that warm up are not checked here; the demo checks drains",
	)
	r.Plots = append(
		r.Plots,
		report.Plot{
			Title:  "Bytes that came from the zone's edge caches",
			XLabel: "s",
			YLabel: "share",
			Lines:  []report.Line{d.LocalByteShareLine("share", d.startedAt, endedAt)},
			Marks:  d.marks,
		},
	)
}

// runPowerLosses runs scripts on faulty disks, each with a power loss at a different operation.
func runPowerLosses(ctx context.Context, options Options, r *report.Report, powerLosses int) error {
	operations := make([]int, powerLossScripts)
	for script := range operations {
		operations[script] = diskcache.RunPowerLoss(options.Seed*1000+uint64(script), 0).Ops
	}
	var mu sync.Mutex
	done := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range powerLosses {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			script := i % powerLossScripts
			operation := 1 + i/powerLossScripts%operations[script]
			round := uint64(i / powerLossScripts / operations[script]) // varies the random numbers for an operation
			outcome := diskcache.RunPowerLoss(options.Seed*1000+uint64(script)+round<<32, operation)
			mu.Lock()
			defer mu.Unlock()
			addPowerLoss(r, outcome, script, operation)
			done++
			if done%powerLossProgressEvery == 0 {
				options.Progress("%d of %d losses of power", done, powerLosses)
			}
			return nil
		})
	}
	return group.Wait()
}

// addPowerLoss adds the outcome of a power loss to the report.
func addPowerLoss(r *report.Report, outcome diskcache.PowerLossResult, script, operation int) {
	r.Counts[report.PowerLosses]++
	r.Counts[report.PowerLossChunksChecked] += int64(outcome.Checked)
	r.Counts[report.PowerLossChunksValid] += int64(outcome.Recovered)
	r.Counts[report.PowerLossPurges] += int64(outcome.Purges)
	for _, violation := range outcome.Violations {
		r.Counts[report.PowerLossViolations]++
		r.AddViolation("script %d with a loss of power at operation %d: %s", script, operation, violation)
	}
}
