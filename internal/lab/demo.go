package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/routing"
)

const (
	wantedObjects     = 12 // that purges are drawn from: the most wanted
	demoPurges        = 5  // the last of them of a purge group
	minCompletedShare = 0.97
)

var demoScenario = Scenario{
	Name: "demo",
	Description: "Two zones with two edge caches each, two routers, clients of three request classes; purges, a " +
		"drain, a lost edge cache",
	Run: runDemo,
}

// demoRun is a run of the demo.
type demoRun struct {
	*testCluster
	edgeCaches []*clusterEndpoint
	groups     []*clientGroup
	seed       uint64
	progress   func(format string, args ...any)
	startedAt  float64 // Unix s
	marks      []report.Mark

	drained          *clusterEndpoint
	drainDeliveredAt float64 // Unix s
}

func runDemo(ctx context.Context, options Options, r *report.Report) error {
	pause, clients := 2*time.Second, 16
	if options.Full {
		pause, clients = 12*time.Second, 48
	}
	cluster, err := newTestCluster(options.clusterOptions(), 2)
	if err != nil {
		return err
	}
	defer cluster.close(r)
	demo := &demoRun{testCluster: cluster, seed: options.Seed, progress: options.Progress}
	if demo.edgeCaches, err = cluster.startTwoZones(); err != nil {
		return err
	}
	if err := demo.addRouters(clients); err != nil {
		return err
	}
	stop := startLoad(ctx, demo.groups...)
	defer stop()
	demo.startedAt = unixSeconds(time.Now())
	if err := demo.playScript(ctx, pause); err != nil {
		return err
	}
	stop()
	demo.report(r, unixSeconds(time.Now()), clients)
	return nil
}

// addRouters starts a router and its clients in each zone.
func (d *demoRun) addRouters(clients int) error {
	for zone := 1; zone <= d.zoneCount; zone++ {
		if err := d.addRouter(zone); err != nil {
			return err
		}
		group := d.newClientGroup(d.routers[zone-1], clients, 50*time.Millisecond)
		group.seed += uint64(zone)
		d.groups = append(d.groups, group)
	}
	return nil
}

// playScript purges objects, drains an edge cache, and loses one of the other zone, which comes back empty. Before
// each step and after the last one the load runs for a while.
func (d *demoRun) playScript(ctx context.Context, pause time.Duration) error {
	rnd := rand.New(rand.NewPCG(d.seed, 6))
	drainEvent := 0
	lost := d.edgeCaches[2]
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"purges", func() error {
			for i := range demoPurges {
				d.purge(1+uint64(rnd.IntN(wantedObjects)), i == demoPurges-1)
			}
			return nil
		}},
		{"drain", func() error {
			d.drained = d.edgeCaches[0]
			d.publishStatus(d.drained, routing.Draining)
			drainEvent = d.discovery.lastEvent()
			return nil
		}},
		{"edge cache lost", func() error {
			d.drainDeliveredAt = d.discovery.deliveryTime(drainEvent)
			lost.stop()
			lost.stop = nil
			return nil
		}},
		{"edge cache back", func() error {
			if err := d.startInProcess(lost); err != nil {
				return err
			}
			lost.startedAt = unixSeconds(time.Now())
			d.publishStatus(lost, routing.Ready)
			return nil
		}},
	} {
		if err := sleep(ctx, pause); err != nil {
			return err
		}
		d.mark(step.name)
		if err := step.run(); err != nil {
			return err
		}
	}
	return sleep(ctx, pause)
}

// mark notes that a step begins now.
func (d *demoRun) mark(name string) {
	d.marks = append(d.marks, report.Mark{At: unixSeconds(time.Now()) - d.startedAt, Name: name})
	d.progress("%s", name)
}

// report verifies the run and writes its report.
func (d *demoRun) report(r *report.Report, endedAt float64, clients int) {
	d.verify(r, d.groups)
	drainRespected(r, d.recordedRequests(), d.drained.id, d.drainDeliveredAt)
	r.Figures[report.CompletedShare] = float64(r.Counts[report.Completed]) / float64(max(r.Counts[report.Requests], 1))
	r.Figures[report.LocalByteShare] = d.localByteShare(d.startedAt, endedAt)
	if r.Figures[report.CompletedShare] < minCompletedShare {
		r.Broke(
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
	share := d.localByteShareLine("share of bytes from the zones' edge caches", d.startedAt, endedAt)
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
