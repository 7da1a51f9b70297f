package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/admin"
	"cairnfront/internal/config"
	"cairnfront/internal/faultproxy"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/membership"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/sim/faults"
	"cairnfront/routing"
)

// Sizes and bounds of the scenario.
const (
	peersOf     = 20
	settlePeers = 5.0 // s after the start before the script begins
	aimDetect   = 3.0 // s until all know of a kill
	aimAgree    = 3.0 // s after a cut until all agree; with a margin for a machine that builds beside it:
	slack       = 2.0
	slackSmall  = 5.0     // at small size, which runs beside anything
	blameFor    = 4.0     // s after a cut or a stop in which a drop that it caused may still come
	floodOf     = 100_000 // datagrams that the hostile peers send as fast as they can, at full size, while the first kills are found
	boxWindow   = 2.5     // s in which a healthy box is asked at least once
)

var peersScenario = Scenario{Name: "peers", About: "Twenty routers that know each other, some hostile peers, relays between all; kills, cuts, stops, losses, from a script",
	Run: func(ctx context.Context, s Setting, r *report.Report) error {
		script := peersScript(s)
		if s.Script != "" {
			read, err := faults.ReadFile(s.Script)
			if err != nil {
				return err
			}
			script = read
		}
		if script.Processes < peersOf {
			return fmt.Errorf("the script is for %d processes, this scenario has %d", script.Processes, peersOf)
		}
		f, err := newFleet(s, script, script.Processes-peersOf)
		if err != nil {
			return err
		}
		defer f.close(r)
		if err := f.play(ctx); err != nil {
			return err
		}
		return f.judge(r)
	}}

// peersScript is what is done to twenty processes. Small is one kill, one cut, one stop; full is the whole list of hard cases.
// The hostile peers stand behind the processes: one at small size, three at full.
func peersScript(s Setting) faults.Script {
	up := func(from, to int) (out []int) {
		for i := from; i < to; i++ {
			out = append(out, i)
		}
		return out
	}
	x := faults.Script{Seed: s.Seed, Processes: peersOf + 1}
	k := int(s.Seed) % 7
	if !s.Full {
		x.Duration = 20
		x.Faults = []faults.Fault{{Kind: faults.Kill, Start: 1, End: 6, From: []int{10 + k}}, {Kind: faults.Cut, Start: 8, End: 13, From: up(0, 7), To: up(7, 21), BothWays: true},
			{Kind: faults.Pause, Start: 9, End: 9.5, From: []int{8 + k}}}
		return x
	}
	x.Processes = peersOf + 3
	at := 1.0
	then := func(lasts, rest float64, acts ...faults.Fault) {
		for _, a := range acts {
			a.Start, a.End = at, at+lasts
			x.Faults = append(x.Faults, a)
		}
		at += lasts + rest
	}
	both := func(from, to []int) faults.Fault {
		return faults.Fault{Kind: faults.Cut, From: from, To: to, BothWays: true}
	}
	for i := range 5 {
		then(6, 5, faults.Fault{Kind: faults.Kill, From: []int{(3*i + k) % peersOf}})
	}
	then(10, 8, both(up(0, 10), up(10, x.Processes)))
	then(10, 8, both(up(0, 7), up(7, x.Processes)))
	then(10, 8, both(up(0, 6), up(6, x.Processes)), both(up(6, 12), up(12, x.Processes)))
	then(8, 6, faults.Fault{Kind: faults.Cut, From: []int{k}, To: []int{k + 1}})                              // one way between two
	then(8, 6, faults.Fault{Kind: faults.Cut, From: []int{k}, To: slices.Delete(up(0, x.Processes), k, k+1)}) // nobody hears one
	then(8, 6, both([]int{0}, []int{2}), both([]int{5}, []int{7}))                                            // chains
	then(20, 6, faults.Fault{Kind: faults.Loss, Share: 0.3})                                                  //
	then(20, 6, faults.Fault{Kind: faults.Delay, Seconds: 0.4})                                               //
	then(10, 4, faults.Fault{Kind: faults.Duplicate, Share: 0.3}, faults.Fault{Kind: faults.Reorder, Share: 0.5, Seconds: 0.3}, faults.Fault{Kind: faults.Corrupt, Share: 0.1})
	for _, s := range []float64{0.3, 1, 2.5, 5} {
		then(s, 1, faults.Fault{Kind: faults.Pause, From: []int{9 + k}})
	}
	then(5, 6, faults.Fault{Kind: faults.Stall, From: []int{4}})
	x.Faults = append(x.Faults, faults.Fault{Kind: faults.ClockSkew, Start: at, End: at + 20, From: []int{11, 12}, Seconds: -3600}, faults.Fault{Kind: faults.ClockSkew, Start: at, End: at + 20, From: []int{13}, Seconds: 3600})
	then(0.6, 6, faults.Fault{Kind: faults.Kill, From: []int{11, 13}}) // back while their death is still being spread
	then(6, 6, faults.Fault{Kind: faults.Kill, From: []int{12}})
	for i := 0; i < peersOf; i += 2 { // a tenth at a time
		then(1, 3, faults.Fault{Kind: faults.Wipe, From: []int{i, i + 1}})
	}
	then(12, 10, faults.Fault{Kind: faults.Kill, From: up(0, 14)}) // seven in ten at once
	x.Duration = at + 2
	return x
}

// process is one router of a fleet.
type process struct {
	*router
	index  int
	paused bool
	seen   []sight
	stands []stood
}

// sight is a line of a router's log about a peer.
type sight struct {
	at   float64 // s of the script
	of   int
	code string
	life uint64
	took float64
}

type stood struct {
	at   float64
	code string
}

// peerFleet is routers of the program that know each other, hostile peers among them, and a small town around them.
type peerFleet struct {
	s        Setting
	t        *town
	script   faults.Script
	net      *faultproxy.Network
	procs    []*process
	hostiles []*hostile
	crowds   []*crowd
	boxes    []*place
	names    []string
	began    time.Time // of the script
	made     time.Time
	marks    []report.Mark
	mu       sync.Mutex
	twins    int
}

func newFleet(s Setting, script faults.Script, liars int) (f *peerFleet, err error) {
	t, err := newTown(s, 2)
	if err != nil {
		return nil, err
	}
	f = &peerFleet{s: s, t: t, script: script, net: faultproxy.New(s.Seed, script.Processes), made: time.Now()}
	defer func() {
		if err != nil {
			f.close(nil)
		}
	}()
	var members []string
	for _, at := range [][2]int{{2, 0}, {1, 0}, {0, 1}, {0, 1}, {0, 2}, {0, 2}} {
		p, err := t.add(at[0], at[1])
		if err != nil {
			return nil, err
		}
		members = append(members, p.id)
		if at[0] == 0 {
			f.boxes = append(f.boxes, p)
		}
	}
	for _, p := range t.places {
		if err := t.open(p); err != nil {
			return nil, err
		}
		t.list(p, routing.Ready)
	}
	n := script.Processes
	var people []datagram.Identity
	var seeds, public []string
	var conns []*net.UDPConn // hold the ports until their processes take them
	for i := range n {
		seed, pub, err := datagram.GenerateKey()
		if err != nil {
			return nil, err
		}
		key, _ := datagram.ParsePublicKey(pub)
		c, err := listenLowUDP()
		if err != nil {
			return nil, err
		}
		f.names = append(f.names, fmt.Sprintf("n%d", i+1))
		people, seeds, public, conns = append(people, datagram.Identity{Name: f.names[i], Key: key}), append(seeds, seed), append(public, pub), append(conns, c)
	}
	ways := make([][]netip.AddrPort, n)
	for i := range n {
		ways[i] = make([]netip.AddrPort, n)
		for j := range n {
			if i != j {
				if ways[i][j], err = f.net.ForwardDatagrams(i, j, conns[j].LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
					return nil, err
				}
			}
		}
	}
	for i := range peersOf {
		r, err := t.planRouter(1 + i%2)
		if err != nil {
			return nil, err
		}
		folder := filepath.Join(s.Folder, r.name)
		if err := os.Mkdir(folder, 0o700); err != nil {
			return nil, err
		}
		keyFile := filepath.Join(s.Folder, r.name+".key")
		var roster []map[string]string
		for j, p := range people {
			entry := map[string]string{"name": p.Name, "key": public[j]}
			if j != i {
				entry["address"] = ways[i][j].String()
			}
			roster = append(roster, entry)
		}
		text, err := json.Marshal(map[string]any{"router": map[string]any{"socket": filepath.Join(folder, "door")}, // JSON is YAML
			"peers": map[string]any{"listen": conns[i].LocalAddr().String(), "zone": fmt.Sprintf("campus-%d", 1+i%2), "key_file": keyFile, "liars": liars, "roster": roster}})
		if err != nil {
			return nil, err
		}
		r.operators = filepath.Join(folder, "operators.yaml")
		if err := os.WriteFile(keyFile, []byte(seeds[i]), 0o600); err != nil {
			return nil, err
		}
		if err := os.WriteFile(r.operators, text, 0o600); err != nil {
			return nil, err
		}
		r.env = []string{LabVariable + "=1"}
		f.procs = append(f.procs, &process{router: r, index: i})
	}
	for i := peersOf; i < n; i++ {
		key, err := datagram.ParsePrivateKey(seeds[i])
		if err != nil {
			return nil, err
		}
		h, err := newHostile(i, key, people, conns[i], members, s.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		h.to = ways[i]
		f.hostiles = append(f.hostiles, h)
	}
	for i, p := range f.procs { // all at once
		_ = conns[i].Close()
		if err := t.begin(p.router); err != nil {
			return nil, err
		}
	}
	for _, p := range f.procs {
		if err := t.await(p.router); err != nil {
			return nil, err
		}
		f.crowds = append(f.crowds, &crowd{addr: p.addr, n: 1, seed: s.Seed + uint64(p.index), objects: 60, parts: 6, groups: t.made.Groups, pause: 100 * time.Millisecond,
			heard: func(x reply) { f.hear(p, x) }})
	}
	return f, nil
}

// hear passes on what a client heard, unless its router was lost, stopped or stuck meanwhile: that client has to ask elsewhere.
func (f *peerFleet) hear(p *process, x reply) {
	if x.code == noAnswer || x.done > x.sent+x.ttl.Seconds() {
		f.mu.Lock()
		began := f.began
		f.mu.Unlock()
		for at := x.sent; at < x.sent+x.ttl.Seconds()+0.6; at += 0.05 {
			if !began.IsZero() && !f.script.IsWorking(p.index, at-unix(began)) {
				return
			}
		}
	}
	f.t.hear(x)
}

// play carries out the script.
func (f *peerFleet) play(ctx context.Context) error {
	play, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer func() { stop(); all.Wait() }()
	for _, c := range f.crowds {
		all.Go(func() { c.run(play) })
	}
	for _, h := range f.hostiles {
		all.Go(func() { h.run(play) })
		all.Go(func() { <-play.Done(); _ = h.conn.Close() })
	}
	if err := sleep(ctx, time.Duration(settlePeers*float64(time.Second))); err != nil {
		return err
	}
	began := f.net.StartScript(f.script)
	f.mu.Lock()
	f.began = began
	f.mu.Unlock()
	if f.s.Full {
		for _, h := range f.hostiles {
			h.flood.Store(floodOf / int64(len(f.hostiles)))
		}
	}
	for _, m := range f.script.Transitions() {
		if err := sleep(ctx, time.Until(began.Add(time.Duration(m.Time*float64(time.Second))))); err != nil {
			return err
		}
		f.s.Tell("%5.1f of %.0f s: %s", m.Time, f.script.Duration, m.Fault)
		if !m.IsEnd {
			f.marks = append(f.marks, report.Mark{At: m.Time, Name: string(m.Fault.Kind)})
		}
		if err := f.moment(m); err != nil {
			return err
		}
	}
	return sleep(ctx, time.Until(began.Add(time.Duration(f.script.Duration*float64(time.Second)))))
}

func (f *peerFleet) moment(m faults.Transition) error {
	var waits sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, i := range m.Fault.From {
		if i >= len(f.procs) {
			continue
		}
		p := f.procs[i]
		switch m.Fault.Kind {
		case faults.Kill, faults.Wipe:
			if !m.IsEnd {
				p.kill()
				continue
			}
			waits.Go(func() {
				if err := f.t.launch(p.router); err != nil {
					mu.Lock()
					first = err
					mu.Unlock()
				}
			})
		case faults.Pause, faults.Stall:
			if p.cmd == nil {
				continue
			}
			sig := map[bool]syscall.Signal{false: syscall.SIGSTOP, true: syscall.SIGCONT}[m.IsEnd]
			if m.Fault.Kind == faults.Stall {
				sig = syscall.SIGUSR2
			}
			_ = p.cmd.Process.Signal(sig)
		case faults.ClockSkew:
			p.env = []string{LabVariable + "=1"}
			if !m.IsEnd {
				p.env = append(p.env, fmt.Sprintf("CAIRNFRONT_LAB_CLOCK_S=%g", m.Fault.Seconds))
			}
		}
	}
	waits.Wait()
	return first
}

// LabVariable opens what only the laboratory may ask of a process.
const LabVariable = "CAIRNFRONT_LAB"

// readLogs takes from the routers' logs what they held of each other, and when.
func (f *peerFleet) readLogs() error {
	index := map[string]int{}
	for i, n := range f.names {
		index[n] = i
	}
	for _, p := range f.procs {
		file, err := os.Open(p.log.Name())
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			kv := fields(lines.Text())
			at, err := time.Parse(time.RFC3339Nano, kv["time"])
			if err != nil {
				continue
			}
			s := at.Sub(f.began).Seconds()
			switch kv["msg"] {
			case "peer":
				x := sight{at: s, of: index[kv["peer"]], code: kv["code"]}
				_, _ = fmt.Sscan(kv["life"], &x.life)
				_, _ = fmt.Sscan(kv["took_s"], &x.took)
				p.seen = append(p.seen, x)
			case "standing":
				p.stands = append(p.stands, stood{s, kv["code"]})
			case "panic":
				p.seen = append(p.seen, sight{at: s, code: "panic"})
			}
		}
		_ = file.Close()
	}
	return nil
}

// fields reads a log line's words.
func fields(line string) map[string]string {
	out := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			return out
		}
		value := ""
		if strings.HasPrefix(rest, `"`) {
			end := strings.Index(rest[1:], `"`)
			if end < 0 {
				return out
			}
			value, rest = rest[1:end+1], strings.TrimPrefix(rest[end+2:], " ")
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		out[strings.TrimSpace(key)], line = value, rest
	}
	return out
}

func there(code string) bool { return code == "alive" || code == "suspect" || code == "stuck" }

// holds says what a router held of a peer at a time of the script.
func (p *process) holds(of int, at float64) string {
	code := "unknown"
	for _, x := range p.seen {
		if x.at > at {
			break
		}
		if x.of == of {
			code = x.code
		}
	}
	return code
}

func (p *process) stood(at float64) string {
	code := "alone"
	for _, x := range p.stands {
		if x.at > at {
			break
		}
		code = x.code
	}
	return code
}

// judge reckons what came of it from what clients, boxes, archive and relays recorded, and from what each router's log says that
// it held, against what the script made true.
func (f *peerFleet) judge(r *report.Report) error {
	f.t.judge(r, f.crowds)
	if err := f.readLogs(); err != nil {
		return err
	}
	s := &f.script
	r.Counts["processes"], r.Counts["hostile"] = int64(peersOf), int64(len(f.hostiles))
	for _, name := range []string{"cuts", "kills", "pauses", "wrongly_dropped", "members_dropped", "forged_taken", "panics"} {
		r.Counts[name] = 0
	}
	var detect, agree []float64
	for _, a := range s.Faults {
		switch a.Kind {
		case faults.Cut:
			r.Counts["cuts"]++
			agree = append(agree, f.agrees(r, a.End)...)
		case faults.Pause:
			r.Counts["pauses"]++
		case faults.Kill, faults.Wipe:
			for _, i := range a.From {
				r.Counts["kills"]++
				if a.End-a.Start < aimDetect+slack || len(a.From) > 1 {
					continue // back before all could know, or most of those who could tell are gone too
				}
				all := 0.0
				for _, p := range f.procs {
					if p.index == i || !s.IsRunning(p.index, a.Start) {
						continue
					}
					took := f.drop(p, i, a.Start, a.End)
					if took < 0 {
						r.Broke("%s never dropped %s, killed at %.1f s", p.name, f.names[i], a.Start)
						continue
					}
					all = max(all, took)
				}
				detect = append(detect, all)
			}
		}
	}
	for _, p := range f.procs {
		for _, x := range p.seen {
			switch {
			case x.code == "panic":
				r.Counts["panics"]++
				r.Broke("%s: a panic at %.1f s", p.name, x.at)
			case x.life >= hugeLife:
				r.Counts["forged_taken"]++
				r.Broke("%s took a forged life of %s", p.name, f.names[x.of])
			case x.code == "failed" && x.of < peersOf && x.at > 0 && !s.ExplainsUnreachable(p.index, x.of, x.at, blameFor):
				r.Counts["wrongly_dropped"]++
				r.Broke("%s dropped %s at %.2f s, which ran", p.name, f.names[x.of], x.at)
			}
		}
	}
	f.members(r)
	r.Figures["standing_wrong_s"] = f.standings()
	first, last := int(f.began.Sub(f.made).Seconds()), int(f.began.Sub(f.made).Seconds()+s.Duration)
	var rate report.Line
	total := int64(0)
	for at := first; at < last; at++ {
		sum := int64(0)
		for i := range peersOf {
			d, b := f.net.SentBetween(i, at, at+1)
			sum += d
			total += b
		}
		rate.X, rate.Y = append(rate.X, float64(at-first)), append(rate.Y, float64(sum)/float64(peersOf))
	}
	rate.Name = "datagrams a second a router"
	r.Figures["bytes_s_each"] = float64(total) / float64(peersOf) / max(float64(last-first), 1)
	f.plots(r, rate)
	for _, h := range f.hostiles {
		for name, n := range h.count {
			r.Counts["hostile_"+name] += n
		}
	}
	sort.Float64s(detect)
	sort.Float64s(agree)
	slack := slack
	if !f.s.Full {
		slack = slackSmall
	}
	if len(detect) > 0 {
		r.Figures["detect_p50_s"], r.Figures["detect_p99_s"] = detect[len(detect)/2], detect[len(detect)-1]
		if detect[len(detect)-1] > aimDetect+slack {
			r.Broke("%.1f s until all knew of a kill", detect[len(detect)-1])
		}
	}
	if len(agree) > 0 {
		if r.Figures["agree_after_cut_s"] = agree[len(agree)-1]; agree[len(agree)-1] > aimAgree+slack {
			r.Broke("%.1f s after a cut until all agreed", agree[len(agree)-1])
		}
	}
	text, _ := json.Marshal(s)
	r.Steps = append(r.Steps, fmt.Sprintf("%d routers of the program and %d hostile peers, each way between two over a relay; a client at each, two campuses of two boxes", peersOf, len(f.hostiles)),
		"script: "+string(text))
	return nil
}

// askPeers asks a router at its operators' socket how it stands.
func askPeers(r *router) (rep membership.Report, err error) {
	book, err := config.Read(r.operators)
	if err != nil {
		return rep, err
	}
	data, err := admin.Call(book.Router.AdminSocket, "peers", nil)
	if err != nil {
		return rep, err
	}
	return rep, json.Unmarshal(data, &rep)
}

// drop is how long after a kill a router dropped a peer; below 0 where it did not before the peer was started again.
func (f *peerFleet) drop(p *process, of int, at, until float64) float64 {
	for _, x := range p.seen {
		if x.of == of && x.at >= at && x.at < until && x.code == "failed" {
			return x.at - at
		}
	}
	if p.holds(of, until) == "failed" {
		return 0 // it held so already
	}
	return -1
}

// agrees is how long after a cut it took until each router saw just those who ran; nothing where another fault came first.
func (f *peerFleet) agrees(r *report.Report, from float64) []float64 {
	s := &f.script
	const most = 12.0
	for _, a := range s.Faults {
		if a.Start <= from+aimAgree+slack && a.End > from && a.Kind != faults.Loss {
			return nil
		}
	}
	for at := from; at < min(from+most, s.Duration); at += 0.05 {
		all := true
		for _, p := range f.procs {
			for o := range peersOf {
				if o != p.index && there(p.holds(o, at)) != s.IsRunning(o, at) {
					all = false
				}
			}
		}
		if all {
			return []float64{at - from}
		}
	}
	r.Broke("after the cut that ended at %.1f s not all agreed within %.0f s", from, most)
	return nil
}

// members looks whether a healthy box was left out by what was said of it.
func (f *peerFleet) members(r *report.Report) {
	f.t.mu.Lock()
	defer f.t.mu.Unlock()
	from := unix(f.began)
	for _, b := range f.boxes {
		asked := map[int]bool{}
		for _, a := range f.t.asks {
			if a.member == b.id && a.at >= from {
				asked[int((a.at-from)/boxWindow)] = true
			}
		}
		for w := range int(f.script.Duration / boxWindow) {
			if !asked[w] {
				r.Counts["members_dropped"]++
				r.Broke("box %s was asked nothing from %.1f to %.1f s", b.id, float64(w)*boxWindow, float64(w+1)*boxWindow)
			}
		}
	}
}

// standings is for how long a router stood otherwise than it truly did, s a router.
func (f *peerFleet) standings() float64 {
	const step = 0.1
	wrong := 0.0
	s := &f.script
	for at := 0.0; at < s.Duration; at += step {
		for _, p := range f.procs {
			if !s.IsRunning(p.index, at) {
				continue
			}
			there, all := s.ReachableCount(p.index, at), s.Processes
			want := "whole"
			switch {
			case there == 1:
				want = "alone"
			case 2*there <= all:
				want = "minority"
			case there < all:
				want = "majority"
			}
			if p.stood(at) != want {
				wrong += step
			}
		}
	}
	return wrong / float64(peersOf)
}

func (f *peerFleet) plots(r *report.Report, rate report.Line) {
	seen := report.Line{Name: "peers seen, least of all routers"}
	most := report.Line{Name: "most of all routers"}
	for at := 0.0; at < f.script.Duration; at += 0.5 {
		least, top := peersOf, 0
		for _, p := range f.procs {
			if !f.script.IsRunning(p.index, at) {
				continue
			}
			n := 1
			for o := range peersOf {
				if o != p.index && there(p.holds(o, at)) {
					n++
				}
			}
			least, top = min(least, n), max(top, n)
		}
		seen.X, seen.Y = append(seen.X, at), append(seen.Y, float64(least))
		most.X, most.Y = append(most.X, at), append(most.Y, float64(top))
	}
	r.Plots = append(r.Plots, report.Plot{Title: "How many of the routers each sees", XLabel: "s", YLabel: "routers", Lines: []report.Line{seen, most}, Marks: f.marks},
		report.Plot{Title: "Datagrams between peers", XLabel: "s", YLabel: "a second a router", Lines: []report.Line{rate}, Marks: f.marks})
}

func (f *peerFleet) close(r *report.Report) {
	for _, p := range f.procs {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	f.t.close(r)
	f.net.Close()
}
