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

// Half of a brown-out's hops fail: that is what makes every txn want another one.
const brownFails = 0.5

var brownout = Scenario{Name: "brownout", About: "All caches fail half of their hops for a while, with and without a budget of further hops: how many hops a txn costs",
	Run: func(ctx context.Context, s Setting, r *report.Report) error {
		calm, brown, clients := 2*time.Second, 5*time.Second, 24
		if s.Full {
			calm, brown, clients = 5*time.Second, 30*time.Second, 40
		}
		p := report.Plot{Title: "Hops a txn, second by second", XLabel: "s", YLabel: "hops"}
		for _, share := range []float64{0, 0.2} {
			name := map[bool]string{true: "budget", false: "none"}[share > 0]
			s.Tell("%s", name)
			l, err := playBrownout(ctx, s, r, name, share, calm, brown, clients)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			p.Lines = append(p.Lines, l)
		}
		p.Marks = []report.Mark{{At: calm.Seconds(), Name: "brown-out"}, {At: (calm + brown).Seconds(), Name: "over"}}
		r.Plots = append(r.Plots, p)
		r.Steps = append(r.Steps, fmt.Sprintf("four stand-in members, %d clients; for %.0f s each hop fails with odds of %.1f", clients, brown.Seconds(), brownFails))
		if with, without := r.Figures["hops_a_txn.budget"], r.Figures["hops_a_txn.none"]; with-1 > (without-1)/2 {
			r.Broke("with a budget of 0.2 a txn costs %.2f hops in the brown-out, without one %.2f", with, without)
		}
		return nil
	}}

func playBrownout(ctx context.Context, s Setting, r *report.Report, name string, share float64, calm, brown time.Duration, clients int) (report.Line, error) {
	out := report.Line{Name: name}
	t, err := newTown(s, 1)
	if err != nil {
		return out, err
	}
	defer func() { t.close(r) }()
	if t.s.Folder, err = os.MkdirTemp(s.Folder, "b"); err != nil {
		return out, err
	}
	var failing atomic.Bool
	var members []*manyDoors
	for i, kind := range []int{2, 1, 0, 0} {
		m, err := newDoors(fmt.Sprintf("s-%08x", i+1), t.s.Folder, time.Millisecond)
		if err != nil {
			return out, err
		}
		defer m.close()
		m.body = func(a cacheproto.Command) []byte {
			if a.ClassName == "print-order" {
				return nil
			}
			return edgecache.SyntheticBody(s.Seed, eviction.Key{Object: a.ObjectID, Chunk: a.PartNumber}, 0, t.made.MinBytes, t.made.MaxBytes)
		}
		m.fails = func(a cacheproto.Command, n int) bool { // drawn from the txn's id and the hop's number: the same in both plays
			return failing.Load() && float64(mixed(a.ID, n)%1000) < brownFails*1000
		}
		members = append(members, m)
		p := &place{id: m.id, kind: kind, location: min(1-min(kind, 1), 1), addr: m.doors[len(m.doors)-1].addr}
		t.places = append(t.places, p)
		t.list(p, routing.Ready)
	}
	text, err := json.Marshal(map[string]any{"router": map[string]any{"further_share": share}})
	if err != nil {
		return out, err
	}
	t.operators = filepath.Join(t.s.Folder, "operators.yaml")
	if err := os.WriteFile(t.operators, text, 0o600); err != nil {
		return out, err
	}
	if err := t.addRouter(1); err != nil {
		return out, err
	}
	c := &crowd{addr: t.routers[0].addr, n: clients, seed: s.Seed, objects: 60, parts: 6, groups: t.made.Groups, pause: 20 * time.Millisecond, heard: t.hear}
	play, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { c.run(play) })
	began := unix(time.Now())
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
	t.judge(r, []*crowd{c})
	txns, hops := map[int]float64{}, map[int]float64{}
	for _, h := range t.replies.all {
		txns[int(h.sent-began)]++
	}
	for _, m := range members {
		m.mu.Lock()
		for _, h := range m.hops {
			hops[int(h.from-began)]++
		}
		m.mu.Unlock()
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
	r.Figures["completed_share."+name] = float64(r.Counts["completed"]-before) / float64(max(len(t.replies.all), 1))
	return out, nil
}

// mixed draws a number from a txn's id and the number of its hop.
func mixed(id string, n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	for _, c := range []byte(id) {
		x = (x ^ uint64(c)) * 0x100000001b3
	}
	return (x ^ x>>33) * 0xff51afd7ed558ccd >> 20
}
