package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
	"cairnfront/routing"
)

const (
	popularObjects    = 12 // number of most popular objects, of which random ones are purged
	demoPurges        = 5  // number of purges; the last one purges a purge group
	minCompletedShare = 0.97
)

var demoScenario = Scenario{
	Name: "demo",
	Description: "Two zones with two edge caches each, two routers, clients of three request classes; purges, a " +
		"drain, a lost edge cache",
	Run: runDemo,
}

// demoRun is one run of the demo scenario.
type demoRun struct {
	*cluster.Cluster
	edgeCaches []*cluster.Endpoint
	groups     []*standin.ClientGroup
	seed       uint64
	progress   func(format string, args ...any)
	startedAt  float64 // Unix time in seconds
	marks      []report.Mark

	drained          *cluster.Endpoint
	drainDeliveredAt float64 // Unix time in seconds
}

func runDemo(ctx context.Context, options Options, r *report.Report) error {
	pause, clients := 2*time.Second, 16
	if options.Full {
		pause, clients = 12*time.Second, 48
	}
	testCluster, err := cluster.New(options.clusterOptions(), 2)
	if err != nil {
		return err
	}
	defer testCluster.Close(r)
	demo := &demoRun{Cluster: testCluster, seed: options.Seed, progress: options.Progress}
	if demo.edgeCaches, err = testCluster.StartTwoZones(ctx); err != nil {
		return err
	}
	if err := demo.addRouters(clients); err != nil {
		return err
	}
	stop := standin.StartLoad(ctx, demo.groups...)
	defer stop()
	demo.startedAt = timing.UnixSeconds(time.Now())
	if err := demo.runScript(ctx, pause); err != nil {
		return err
	}
	stop()
	demo.report(r, timing.UnixSeconds(time.Now()), clients)
	return nil
}

// addRouters starts a router and its clients in each zone.
func (d *demoRun) addRouters(clients int) error {
	for zone := 1; zone <= d.ZoneCount; zone++ {
		if err := d.AddRouter(zone); err != nil {
			return err
		}
		group := d.NewClientGroup(d.Routers[zone-1], clients, 50*time.Millisecond)
		group.Seed += uint64(zone)
		d.groups = append(d.groups, group)
	}
	return nil
}

// runScript purges objects, drains an edge cache, stops an edge cache of the other zone, and restarts it empty. The
// load runs for a while before each step and after the last one.
func (d *demoRun) runScript(ctx context.Context, pause time.Duration) error {
	rnd := rand.New(rand.NewPCG(d.seed, 6))
	drainEvent := 0
	lost := d.edgeCaches[2]
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"purges", func() error {
			for i := range demoPurges {
				d.Purge(1+uint64(rnd.IntN(popularObjects)), i == demoPurges-1)
			}
			return nil
		}},
		{"drain", func() error {
			d.drained = d.edgeCaches[0]
			d.PublishStatus(d.drained, routing.Draining)
			drainEvent = d.Discovery.LastEvent()
			return nil
		}},
		{"edge cache lost", func() error {
			d.drainDeliveredAt = d.Discovery.DeliveryTime(drainEvent)
			lost.Stop()
			lost.Stop = nil
			return nil
		}},
		{"edge cache back", func() error {
			if err := d.StartInProcess(ctx, lost); err != nil {
				return err
			}
			lost.StartedAt = timing.UnixSeconds(time.Now())
			d.PublishStatus(lost, routing.Ready)
			return nil
		}},
	} {
		if err := timing.Sleep(ctx, pause); err != nil {
			return err
		}
		d.mark(step.name)
		if err := step.run(); err != nil {
			return err
		}
	}
	return timing.Sleep(ctx, pause)
}

// mark records that a step begins now.
func (d *demoRun) mark(name string) {
	d.marks = append(d.marks, report.Mark{At: timing.UnixSeconds(time.Now()) - d.startedAt, Name: name})
	d.progress("%s", name)
}

// report verifies the run and writes its report.
func (d *demoRun) report(r *report.Report, endedAt float64, clients int) {
	d.Verify(r, d.groups)
	verify.CheckDrain(r, d.Requests(), d.drained.ID, d.drainDeliveredAt)
	r.Figures[report.CompletedShare] = float64(r.Counts[report.Completed]) / float64(max(r.Counts[report.Requests], 1))
	r.Figures[report.LocalByteShare] = d.LocalByteShare(d.startedAt, endedAt)
	if r.Figures[report.CompletedShare] < minCompletedShare {
		r.AddViolation(
			"%.3f of the requests were completed, %.2f are expected",
			r.Figures[report.CompletedShare],
			minCompletedShare,
		)
	}
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"two zones of two edge caches, a parent cache, the origin, two routers, %d clients of three "+
				"request classes",
			len(d.groups)*clients,
		),
		"five purges (one of a purge group), an edge cache drained, an edge cache lost and back empty",
		"overload of endpoints that warm up is not checked here",
	)
	share := d.LocalByteShareLine("share of bytes from the zones' edge caches", d.startedAt, endedAt)
	r.Plots = append(
		r.Plots,
		report.Plot{
			Title:  "Bytes that came from the zones' edge caches",
			XLabel: "s",
			YLabel: "share",
			Lines:  []report.Line{share},
			Marks:  d.marks,
		},
	)
}
