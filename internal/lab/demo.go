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

var demo = Scenario{Name: "demo", About: "A first look: two campuses with two boxes each, two routers, clients of three remap rules, a purge, a drain, a lost box",
	Run: func(ctx context.Context, s Setting, r *report.Report) error {
		step, clients := 2*time.Second, 16
		if s.Full {
			step, clients = 12*time.Second, 48
		}
		t, err := newTown(s, 2)
		if err != nil {
			return err
		}
		defer func() { t.close(r) }()
		var boxes []*place
		for _, at := range [][2]int{{2, 0}, {1, 0}, {0, 1}, {0, 1}, {0, 2}, {0, 2}} {
			p, err := t.add(at[0], at[1])
			if err != nil {
				return err
			}
			if at[0] == 0 {
				boxes = append(boxes, p)
			}
		}
		for _, p := range t.places {
			if err := t.open(p); err != nil {
				return err
			}
			t.list(p, routing.Ready)
		}
		var crowds []*crowd
		for campus := 1; campus <= 2; campus++ {
			if err := t.addRouter(campus); err != nil {
				return err
			}
			crowds = append(crowds, &crowd{addr: t.routers[campus-1].addr, n: clients, seed: s.Seed + uint64(campus), objects: 60, parts: 6,
				groups: t.made.Groups, pause: 50 * time.Millisecond, heard: t.hear})
		}
		play, stop := context.WithCancel(ctx)
		var all sync.WaitGroup
		for _, c := range crowds {
			all.Go(func() { c.run(play) })
		}
		defer func() { stop(); all.Wait() }()
		rnd := rand.New(rand.NewPCG(s.Seed, 6))
		began := unix(time.Now())
		var marks []report.Mark
		mark := func(name string) {
			marks = append(marks, report.Mark{At: unix(time.Now()) - began, Name: name})
			s.Tell("%s", name)
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
			t.purge(1+uint64(rnd.IntN(12)), i == 4)
		}
		if err := rest(); err != nil {
			return err
		}
		mark("drain")
		drained := boxes[0]
		t.list(drained, routing.Draining)
		event := len(t.board.events) - 1
		if err := rest(); err != nil {
			return err
		}
		told := t.board.toldAt(event)
		mark("box lost")
		lost := boxes[2]
		lost.stop()
		lost.stop = nil
		if err := rest(); err != nil {
			return err
		}
		mark("box back")
		if err := t.open(lost); err != nil {
			return err
		}
		lost.started = unix(time.Now())
		t.list(lost, routing.Ready)
		if err := rest(); err != nil {
			return err
		}
		stop()
		all.Wait()
		ended := unix(time.Now())
		t.judge(r, crowds)
		t.mu.Lock()
		for _, x := range t.asks {
			r.Counts["hops_seen"]++
			// Of the sender's promise counts when it was sent; what comes here later than the grace and the protocol's
			// margin was.
			if x.member == drained.id && x.at > told+drainGrace+lateBy {
				r.Rules.Drain++
				r.Broke("box %s was asked %.3f s after its drain was told", drained.id, x.at-told)
			}
		}
		t.mu.Unlock()
		r.Figures["completed_share"] = float64(r.Counts["completed"]) / float64(max(r.Counts["txns"], 1))
		r.Figures["from_own_boxes"] = t.share(began, ended)
		r.Steps = append(r.Steps, fmt.Sprintf("two campuses of two boxes, a parent, an archive, two routers, %d clients of three remap rules", 2*clients),
			"five purges (one of a group), a box drained, a box lost and back empty", "cold members are not judged here; the bench does")
		if r.Figures["completed_share"] < 0.97 {
			r.Broke("%.3f of the txns were completed, 0.97 are expected", r.Figures["completed_share"])
		}
		l := report.Line{Name: "share of bytes from own boxes"}
		for at := began; at+1 < ended; at++ {
			l.X, l.Y = append(l.X, at-began), append(l.Y, t.share(at, at+1))
		}
		r.Plots = append(r.Plots, report.Plot{Title: "Bytes that came from the campuses' own boxes", XLabel: "s", YLabel: "share", Lines: []report.Line{l}, Marks: marks})
		return nil
	}}
