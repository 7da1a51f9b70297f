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
	demoPurges        = 5  // the last of them of a whole group
	minCompletedShare = 0.97
)

var demoScenario = Scenario{
	Name: "demo",
	Description: "A first look: two campuses with two boxes each, two routers, clients of three remap rules, a " +
		"purge, a drain, a lost box",
	Run: runDemo,
}

// demoRun is a run of the demo.
type demoRun struct {
	*testCluster
	edgeCaches []*clusterEndpoint
	groups     []*clientGroup
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
	cluster, err := newTestCluster(options, 2)
	if err != nil {
		return err
	}
	defer cluster.close(r)
	demo := &demoRun{testCluster: cluster}
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
	rnd := rand.New(rand.NewPCG(d.options.Seed, 6))
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
		{"box lost", func() error {
			d.drainDeliveredAt = d.discovery.deliveryTime(drainEvent)
			lost.stop()
			lost.stop = nil
			return nil
		}},
		{"box back", func() error {
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
	d.options.Progress("%s", name)
}

// report verifies the run and writes its report.
func (d *demoRun) report(r *report.Report, endedAt float64, clients int) {
	d.verify(r, d.groups)
	d.drainKept(r)
	r.Figures["completed_share"] = float64(r.Counts["completed"]) / float64(max(r.Counts["txns"], 1))
	r.Figures["from_own_boxes"] = d.localByteShare(d.startedAt, endedAt)
	if r.Figures["completed_share"] < minCompletedShare {
		r.Broke("%.3f of the txns were completed, 0.97 are expected", r.Figures["completed_share"])
	}
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"two campuses of two boxes, a parent, an archive, two routers, %d clients of three remap rules",
			len(d.groups)*clients,
		),
		"five purges (one of a group), a box drained, a box lost and back empty",
		"cold members are not judged here; the bench does",
	)
	r.Plots = append(
		r.Plots,
		report.Plot{
			Title:  "Bytes that came from the campuses' own boxes",
			XLabel: "s",
			YLabel: "share",
			Lines:  []report.Line{d.localByteShareLine("share of bytes from own boxes", d.startedAt, endedAt)},
			Marks:  d.marks,
		},
	)
}

// drainKept checks that no request came to the drained edge cache once its drain had been delivered for the grace
// period. The rule is about when a request was sent; one that comes later than the period and the protocol's margin
// was sent too late.
func (d *demoRun) drainKept(r *report.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range d.requests {
		r.Counts["hops_seen"]++
		if request.endpoint != d.drained.id {
			continue
		}
		if request.at > d.drainDeliveredAt+drainGraceSeconds+deadlineMarginSeconds {
			r.Rules.Drain++
			r.Broke("box %s was asked %.3f s after its drain was told", d.drained.id, request.at-d.drainDeliveredAt)
		}
	}
}
