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
	powerLossScripts       = 40 // scripts on faulty disks; losses of power go through their operations in turn
	powerLossProgressEvery = 200

	killedPause             = 100 * time.Millisecond // after the kills, before the endpoint list says so
	downPause               = 200 * time.Millisecond // after the purges while the edge caches are down
	purgesWhileDown         = 4                      // the last of them of a purge group
	emptiedRestart          = 1                      // the index of the restart after which the disks are empty
	minHitShareAfterRestart = 0.9                    // of the hits before a restart, after one with the disk
	measuredParts           = 1_000_000              // for the size of the index
)

// diskRestartSize is the durations and numbers of a run.
type diskRestartSize struct {
	warm     time.Duration
	window   time.Duration // in which hits are measured
	restarts int
	cuts     int
	clients  int
}

var diskRestartScenario = Scenario{
	Name: "disk-restart",
	Description: "Edge caches killed and started again under load, with purges while they are down; losses of power " +
		"at each operation of faulty disks",
	Run: runDiskRestart,
}

// diskRestartRun is a run of the scenario.
type diskRestartRun struct {
	*cluster.Cluster
	size            diskRestartSize
	directory       string // with one for each edge cache's disk
	progress        func(format string, args ...any)
	edgeCaches      []*cluster.Endpoint
	directories     map[*cluster.Endpoint]string
	rnd             *rand.Rand
	startedAt       float64 // Unix s
	marks           []report.Mark
	recoverySeconds float64 // of all restarts of edge caches
}

func runDiskRestart(ctx context.Context, options Options, r *report.Report) error {
	size := diskRestartSize{
		warm:     5 * time.Second,
		window:   3 * time.Second,
		restarts: 6,
		cuts:     500,
		clients:  24,
	}
	if options.Full {
		size = diskRestartSize{
			warm:     25 * time.Second,
			window:   10 * time.Second,
			restarts: 50,
			cuts:     20000,
			clients:  40,
		}
	}
	r.Counts[report.ChunksCorrupt] = 0
	r.Counts[report.StaleAfterPurge] = 0
	if err := runPowerLosses(ctx, options, r, size.cuts); err != nil {
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
	r.Figures[report.IndexBytesPerChunk] = diskcache.MeasureIndexBytes(measuredParts)
	run.disksReadable(r)
	testCluster.Verify(r, []*standin.ClientGroup{group})
	run.hitsSurviveRestart(r)
	run.describe(r, endedAt)
	return nil
}

// startWithDisks starts origin and parent in this process and two edge caches as programs with disks.
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
		endpoint.StartedAt = 0 // listed as warm
		d.PublishStatus(endpoint, routing.Ready)
	}
	return nil
}

// startEndpoint starts an edge cache as a program with its disk, and others in this process.
func (d *diskRestartRun) startEndpoint(ctx context.Context, endpoint *cluster.Endpoint) error {
	if endpoint.Kind == cluster.KindEdge {
		return d.StartProgram(endpoint, d.directories[endpoint])
	}
	return d.StartInProcess(ctx, endpoint)
}

// runScript warms the edge caches up and restarts them again and again. It measures the share of bytes that they
// serve before, after a restart with the disks, and after one with empty disks.
func (d *diskRestartRun) runScript(ctx context.Context, r *report.Report) error {
	if err := timing.Sleep(ctx, d.size.warm); err != nil {
		return err
	}
	window := d.size.window.Seconds()
	now := timing.UnixSeconds(time.Now())
	r.Figures[report.LocalShareBefore] = d.LocalByteShare(now-window, now)
	r.Figures[report.MeasuredWindow] = window
	for n := range d.size.restarts {
		d.progress("restart %d of %d", n+1, d.size.restarts)
		if err := d.restart(ctx, r, n == emptiedRestart); err != nil {
			return err
		}
		from := timing.UnixSeconds(time.Now())
		d.purgeWanted(false) // while they catch up
		duration := d.size.window
		if n > emptiedRestart {
			duration /= 4 // nothing is measured
		}
		if err := timing.Sleep(ctx, duration); err != nil {
			return err
		}
		switch n {
		case 0:
			r.Figures[report.LocalShareWithDisk] = d.LocalByteShare(from, from+window)
		case emptiedRestart:
			r.Figures[report.LocalShareEmptied] = d.LocalByteShare(from, from+window)
		}
	}
	return nil
}

// restart kills the edge caches, purges while they are down, and starts them again.
func (d *diskRestartRun) restart(ctx context.Context, r *report.Report, emptied bool) error {
	mark := report.Mark{At: timing.UnixSeconds(time.Now()) - d.startedAt, Name: "killed"}
	if emptied {
		mark.Name = "killed, disks emptied"
	}
	d.marks = append(d.marks, mark)
	for _, endpoint := range d.edgeCaches {
		endpoint.Kill()
	}
	if err := timing.Sleep(ctx, killedPause); err != nil {
		return err
	}
	for _, endpoint := range d.edgeCaches {
		d.PublishStatus(endpoint, routing.Removed)
	}
	for i := range purgesWhileDown {
		d.purgeWanted(i == purgesWhileDown-1)
	}
	if err := timing.Sleep(ctx, downPause); err != nil {
		return err
	}
	for _, endpoint := range d.edgeCaches {
		if emptied {
			_ = os.RemoveAll(d.directories[endpoint]) // what is left shows in the share of hits, which is checked
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

// purgeWanted purges one of the most wanted objects, or its group.
func (d *diskRestartRun) purgeWanted(ofGroup bool) {
	d.Purge(1+uint64(d.rnd.IntN(wantedObjects)), ofGroup)
}

// disksReadable checks that the disks can be read after a last kill, and counts what is on them.
func (d *diskRestartRun) disksReadable(r *report.Report) {
	for _, endpoint := range d.edgeCaches {
		endpoint.Kill()
		chunks, badRecords, err := diskcache.Verify(d.directories[endpoint], func(diskcache.StoreError) {}, nil)
		if err != nil {
			r.Broke("the disk of %s after the last kill: %v", endpoint.ID, err)
			continue
		}
		r.Counts[report.DiskChunks] += int64(chunks.Valid)
		r.Counts[report.DiskChunksInvalidated] += int64(chunks.Invalidated)
		r.Counts[report.DiskBadRecords] += int64(badRecords)
	}
}

// hitsSurviveRestart checks that a restart with the disks keeps most of the hits, and more than one with empty disks.
func (d *diskRestartRun) hitsSurviveRestart(r *report.Report) {
	before := r.Figures[report.LocalShareBefore]
	disk, empty := r.Figures[report.LocalShareWithDisk], r.Figures[report.LocalShareEmptied]
	if disk < minHitShareAfterRestart*before {
		r.Broke(
			"after a restart with the disk %.3f of the bytes come from edge caches, less than %.1f of the %.3f before",
			disk,
			minHitShareAfterRestart,
			before,
		)
	}
	if empty >= disk {
		r.Broke("an edge cache with an empty disk serves as much (%.3f) as one with its disk (%.3f)", empty, disk)
	}
}

// describe adds to the report what was done, and the plot.
func (d *diskRestartRun) describe(r *report.Report, endedAt float64) {
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d losses of power on faulty disks, each followed by a second one in the recovery",
			d.size.cuts,
		),
		fmt.Sprintf(
			"a zone of two edge caches with disks, a parent cache, the origin, a router, %d clients; both edge caches "+
				"killed %d times, their disks emptied once",
			d.size.clients,
			d.size.restarts,
		),
		"each time four purges while they are down (one of a purge group) and one while they catch up",
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

// runPowerLosses runs scripts on faulty disks, each with a loss of power at another operation.
func runPowerLosses(ctx context.Context, options Options, r *report.Report, cuts int) error {
	operations := make([]int, powerLossScripts)
	for script := range operations {
		operations[script] = diskcache.RunPowerLoss(options.Seed*1000+uint64(script), 0).Ops
	}
	var mu sync.Mutex
	done := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range cuts {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			script := i % powerLossScripts
			cut := 1 + i/powerLossScripts%operations[script]
			round := uint64(i / powerLossScripts / operations[script]) // the same operation with other random numbers
			outcome := diskcache.RunPowerLoss(options.Seed*1000+uint64(script)+round<<32, cut)
			mu.Lock()
			defer mu.Unlock()
			addPowerLoss(r, outcome, script, cut)
			done++
			if done%powerLossProgressEvery == 0 {
				options.Progress("%d of %d losses of power", done, cuts)
			}
			return nil
		})
	}
	return group.Wait()
}

// addPowerLoss adds the outcome of a loss of power to the report.
func addPowerLoss(r *report.Report, outcome diskcache.PowerLossResult, script, cut int) {
	r.Counts[report.PowerLosses]++
	r.Counts[report.PowerLossChunksChecked] += int64(outcome.Checked)
	r.Counts[report.PowerLossChunksValid] += int64(outcome.Recovered)
	r.Counts[report.PowerLossPurges] += int64(outcome.Purges)
	for _, violation := range outcome.Violations {
		r.Counts[report.PowerLossViolations]++
		r.Broke("script %d with a loss of power at operation %d: %s", script, cut, violation)
	}
}
