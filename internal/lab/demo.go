package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/routing"
)

var demoScenario = Scenario{
	Name: "demo",
	Description: "A first look: two campuses with two boxes each, two routers, clients of three remap rules, a " +
		"purge, a drain, a lost box",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		step, clients := 2*time.Second, 16
		if options.Full {
			step, clients = 12*time.Second, 48
		}
		cluster, err := newTestCluster(options, 2)
		if err != nil {
			return err
		}
		defer func() { cluster.close(r) }()
		var boxes []*clusterEndpoint
		for _, at := range [][2]int{{2, 0}, {1, 0}, {0, 1}, {0, 1}, {0, 2}, {0, 2}} {
			endpoint, err := cluster.addEndpoint(at[0], at[1])
			if err != nil {
				return err
			}
			if at[0] == 0 {
				boxes = append(boxes, endpoint)
			}
		}
		for _, endpoint := range cluster.endpoints {
			if err := cluster.startInProcess(endpoint); err != nil {
				return err
			}
			cluster.publishStatus(endpoint, routing.Ready)
		}
		var crowds []*clientGroup
		for campus := 1; campus <= 2; campus++ {
			if err := cluster.addRouter(campus); err != nil {
				return err
			}
			crowds = append(crowds, &clientGroup{
				addr:       cluster.routers[campus-1].addr,
				clients:    clients,
				seed:       options.Seed + uint64(campus),
				objects:    60,
				parts:      6,
				groups:     cluster.content.Groups,
				meanPause:  50 * time.Millisecond,
				onResponse: cluster.recordResponse,
			})
		}
		play, stop := context.WithCancel(ctx)
		var all sync.WaitGroup
		for _, group := range crowds {
			all.Go(func() { group.run(play) })
		}
		defer func() { stop(); all.Wait() }()
		rnd := rand.New(rand.NewPCG(options.Seed, 6))
		began := unixSeconds(time.Now())
		var marks []report.Mark
		mark := func(name string) {
			marks = append(marks, report.Mark{At: unixSeconds(time.Now()) - began, Name: name})
			options.Progress("%s", name)
		}
		rest := func() error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(step):
				return nil
			}
		}
		if err := rest(); err != nil {
			return err
		}
		mark("purges")
		for i := range 5 {
			cluster.purge(1+uint64(rnd.IntN(12)), i == 4)
		}
		if err := rest(); err != nil {
			return err
		}
		mark("drain")
		drained := boxes[0]
		cluster.publishStatus(drained, routing.Draining)
		event := cluster.discovery.lastEvent()
		if err := rest(); err != nil {
			return err
		}
		told := cluster.discovery.deliveryTime(event)
		mark("box lost")
		lost := boxes[2]
		lost.stop()
		lost.stop = nil
		if err := rest(); err != nil {
			return err
		}
		mark("box back")
		if err := cluster.startInProcess(lost); err != nil {
			return err
		}
		lost.startedAt = unixSeconds(time.Now())
		cluster.publishStatus(lost, routing.Ready)
		if err := rest(); err != nil {
			return err
		}
		stop()
		all.Wait()
		ended := unixSeconds(time.Now())
		cluster.verify(r, crowds)
		cluster.mu.Lock()
		for _, x := range cluster.requests {
			r.Counts["hops_seen"]++
			// Of the sender's promise counts when it was sent; what comes here later than the grace and the protocol's
			// margin was.
			if x.endpoint == drained.id && x.at > told+drainGraceSeconds+deadlineMarginSeconds {
				r.Rules.Drain++
				r.Broke("box %s was asked %.3f s after its drain was told", drained.id, x.at-told)
			}
		}
		cluster.mu.Unlock()
		r.Figures["completed_share"] = float64(r.Counts["completed"]) / float64(max(r.Counts["txns"], 1))
		r.Figures["from_own_boxes"] = cluster.localByteShare(began, ended)
		r.Steps = append(r.Steps, fmt.Sprintf(
			"two campuses of two boxes, a parent, an archive, two routers, %d clients of three remap rules",
			2*clients,
		),
			"five purges (one of a group), a box drained, a box lost and back empty",
			"cold members are not judged here; the bench does")
		if r.Figures["completed_share"] < 0.97 {
			r.Broke("%.3f of the txns were completed, 0.97 are expected", r.Figures["completed_share"])
		}
		l := report.Line{Name: "share of bytes from own boxes"}
		for at := began; at+1 < ended; at++ {
			l.X, l.Y = append(l.X, at-began), append(l.Y, cluster.localByteShare(at, at+1))
		}
		r.Plots = append(
			r.Plots,
			report.Plot{
				Title:  "Bytes that came from the campuses' own boxes",
				XLabel: "s",
				YLabel: "share",
				Lines:  []report.Line{l},
				Marks:  marks,
			},
		)
		return nil
	},
}
