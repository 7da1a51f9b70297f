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
	fleetSize          = 20
	fleetSettleSeconds = 5.0 // s after the start before the script begins
	detectionObjective = 3.0 // s until all know of a kill
	agreementObjective = 3.0 // s after a cut until all agree; with a margin for a machine that builds beside it:
	marginFull         = 2.0
	marginSmall        = 5.0 // at small size, which runs beside anything
	faultEffectSeconds = 4.0 // s after a cut or a stop in which a drop that it caused may still come
	// datagrams that the hostile peers send as fast as they can, at full size, while the first kills are found
	floodDatagrams         = 100_000
	edgeCacheWindowSeconds = 2.5 // s in which a healthy edge cache is asked at least once
)

var peersScenario = Scenario{
	Name: "peers",
	Description: "Twenty routers that know each other, some hostile peers, relays between all; kills, cuts, " +
		"stops, losses, from a script",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		script := peersScript(options)
		if options.Script != "" {
			read, err := faults.ReadFile(options.Script)
			if err != nil {
				return err
			}
			script = read
		}
		if script.Processes < fleetSize {
			return fmt.Errorf("the script is for %d processes, this scenario has %d", script.Processes, fleetSize)
		}
		fleet, err := newRouterFleet(options, script, script.Processes-fleetSize)
		if err != nil {
			return err
		}
		defer fleet.close(r)
		if err := fleet.run(ctx); err != nil {
			return err
		}
		return fleet.verify(r)
	},
}

// peersScript is what is done to twenty processes. Small is one kill, one cut, one stop; full is the whole list of
// hard cases.
// The hostile peers stand behind the processes: one at small size, three at full.
func peersScript(options Options) faults.Script {
	up := func(from, to int) (out []int) {
		for i := from; i < to; i++ {
			out = append(out, i)
		}
		return out
	}
	x := faults.Script{Seed: options.Seed, Processes: fleetSize + 1}
	k := int(options.Seed) % 7
	if !options.Full {
		x.Duration = 20
		x.Faults = []faults.Fault{
			{
				Kind:  faults.Kill,
				Start: 1,
				End:   6,
				From:  []int{10 + k},
			},
			{
				Kind:     faults.Cut,
				Start:    8,
				End:      13,
				From:     up(0, 7),
				To:       up(7, 21),
				BothWays: true,
			},
			{
				Kind:  faults.Pause,
				Start: 9,
				End:   9.5,
				From:  []int{8 + k},
			},
		}
		return x
	}
	x.Processes = fleetSize + 3
	at := 1.0
	then := func(lasts, rest float64, acts ...faults.Fault) {
		for _, a := range acts {
			a.Start, a.End = at, at+lasts
			x.Faults = append(x.Faults, a)
		}
		at += lasts + rest
	}
	both := func(from, to []int) faults.Fault {
		return faults.Fault{
			Kind:     faults.Cut,
			From:     from,
			To:       to,
			BothWays: true,
		}
	}
	for i := range 5 {
		then(6, 5, faults.Fault{Kind: faults.Kill, From: []int{(3*i + k) % fleetSize}})
	}
	then(10, 8, both(up(0, 10), up(10, x.Processes)))
	then(10, 8, both(up(0, 7), up(7, x.Processes)))
	then(10, 8, both(up(0, 6), up(6, x.Processes)), both(up(6, 12), up(12, x.Processes)))
	then(
		8,
		6,
		faults.Fault{Kind: faults.Cut, From: []int{k}, To: []int{k + 1}},
	) // one way between two
	then(
		8,
		6,
		faults.Fault{Kind: faults.Cut, From: []int{k}, To: slices.Delete(up(0, x.Processes), k, k+1)},
	) // nobody hears one
	then(8, 6, both([]int{0}, []int{2}), both([]int{5}, []int{7})) // chains
	then(20, 6, faults.Fault{Kind: faults.Loss, Share: 0.3})       //
	then(20, 6, faults.Fault{Kind: faults.Delay, Seconds: 0.4})    //
	then(
		10,
		4,
		faults.Fault{Kind: faults.Duplicate, Share: 0.3},
		faults.Fault{Kind: faults.Reorder, Share: 0.5, Seconds: 0.3},
		faults.Fault{Kind: faults.Corrupt, Share: 0.1},
	)
	for _, s := range []float64{0.3, 1, 2.5, 5} {
		then(s, 1, faults.Fault{Kind: faults.Pause, From: []int{9 + k}})
	}
	then(5, 6, faults.Fault{Kind: faults.Stall, From: []int{4}})
	x.Faults = append(
		x.Faults,
		faults.Fault{
			Kind:    faults.ClockSkew,
			Start:   at,
			End:     at + 20,
			From:    []int{11, 12},
			Seconds: -3600,
		},
		faults.Fault{
			Kind:    faults.ClockSkew,
			Start:   at,
			End:     at + 20,
			From:    []int{13},
			Seconds: 3600,
		},
	)
	then(0.6, 6, faults.Fault{Kind: faults.Kill, From: []int{11, 13}}) // back while their death is still being spread
	then(6, 6, faults.Fault{Kind: faults.Kill, From: []int{12}})
	for i := 0; i < fleetSize; i += 2 { // a tenth at a time
		then(1, 3, faults.Fault{Kind: faults.Wipe, From: []int{i, i + 1}})
	}
	then(12, 10, faults.Fault{Kind: faults.Kill, From: up(0, 14)}) // seven in ten at once
	x.Duration = at + 2
	return x
}

// fleetRouter is one router of a fleet.
type fleetRouter struct {
	*routerProcess
	index           int
	paused          bool
	peerEvents      []peerEvent
	partitionEvents []partitionEvent
}

// peerEvent is a line of a router's log about a peer.
type peerEvent struct {
	at               float64 // s of the script
	peer             int
	state            string
	incarnation      uint64
	detectionSeconds float64
}

type partitionEvent struct {
	at    float64
	state string
}

// routerFleet is routers of the program that know each other, hostile peers among them, and a small test cluster
// around them.
type routerFleet struct {
	options      Options
	cluster      *testCluster
	script       faults.Script
	network      *faultproxy.Network
	routers      []*fleetRouter
	hostilePeers []*hostilePeer
	clientGroups []*clientGroup
	edgeCaches   []*clusterEndpoint
	names        []string
	scriptStart  time.Time // of the script
	networkStart time.Time
	marks        []report.Mark
	mu           sync.Mutex
	twins        int
}

func newRouterFleet(options Options, script faults.Script, liars int) (fleet *routerFleet, err error) {
	cluster, err := newTestCluster(options, 2)
	if err != nil {
		return nil, err
	}
	fleet = &routerFleet{
		options:      options,
		cluster:      cluster,
		script:       script,
		network:      faultproxy.New(options.Seed, script.Processes),
		networkStart: time.Now(),
	}
	defer func() {
		if err != nil {
			fleet.close(nil)
		}
	}()
	var members []string
	for _, at := range [][2]int{{2, 0}, {1, 0}, {0, 1}, {0, 1}, {0, 2}, {0, 2}} {
		endpoint, err := cluster.addEndpoint(at[0], at[1])
		if err != nil {
			return nil, err
		}
		members = append(members, endpoint.id)
		if at[0] == 0 {
			fleet.edgeCaches = append(fleet.edgeCaches, endpoint)
		}
	}
	for _, endpoint := range cluster.endpoints {
		if err := cluster.startInProcess(endpoint); err != nil {
			return nil, err
		}
		cluster.publishStatus(endpoint, routing.Ready)
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
		c, err := listenReusableUDP()
		if err != nil {
			return nil, err
		}
		fleet.names = append(fleet.names, fmt.Sprintf("n%d", i+1))
		people = append(people, datagram.Identity{Name: fleet.names[i], Key: key})
		seeds = append(seeds, seed)
		public = append(public, pub)
		conns = append(conns, c)
	}
	ways := make([][]netip.AddrPort, n)
	for i := range n {
		ways[i] = make([]netip.AddrPort, n)
		for j := range n {
			if i != j {
				if ways[i][j], err = fleet.network.ForwardDatagrams(
					i,
					j,
					conns[j].LocalAddr().(*net.UDPAddr).AddrPort(),
				); err != nil {
					return nil, err
				}
			}
		}
	}
	for i := range fleetSize {
		router, err := cluster.prepareRouter(1 + i%2)
		if err != nil {
			return nil, err
		}
		folder := filepath.Join(options.Directory, router.name)
		if err := os.Mkdir(folder, 0o700); err != nil {
			return nil, err
		}
		keyFile := filepath.Join(options.Directory, router.name+".key")
		var roster []map[string]string
		for j, p := range people {
			entry := map[string]string{"name": p.Name, "key": public[j]}
			if j != i {
				entry["address"] = ways[i][j].String()
			}
			roster = append(roster, entry)
		}
		text, err := json.Marshal(map[string]any{
			"router": map[string]any{"socket": filepath.Join(folder, "door")}, // JSON is YAML
			"peers": map[string]any{
				"listen":   conns[i].LocalAddr().String(),
				"zone":     fmt.Sprintf("campus-%d", 1+i%2),
				"key_file": keyFile,
				"liars":    liars,
				"roster":   roster,
			},
		})
		if err != nil {
			return nil, err
		}
		router.operatorsFile = filepath.Join(folder, "operators.yaml")
		if err := os.WriteFile(keyFile, []byte(seeds[i]), 0o600); err != nil {
			return nil, err
		}
		if err := os.WriteFile(router.operatorsFile, text, 0o600); err != nil {
			return nil, err
		}
		router.extraEnv = []string{EnvironmentVariable + "=1"}
		fleet.routers = append(fleet.routers, &fleetRouter{routerProcess: router, index: i})
	}
	for i := fleetSize; i < n; i++ {
		key, err := datagram.ParsePrivateKey(seeds[i])
		if err != nil {
			return nil, err
		}
		peer, err := newHostilePeer(i, key, people, conns[i], members, options.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		peer.routes = ways[i]
		fleet.hostilePeers = append(fleet.hostilePeers, peer)
	}
	for i, router := range fleet.routers { // all at once
		_ = conns[i].Close()
		if err := cluster.spawnRouter(router.routerProcess); err != nil {
			return nil, err
		}
	}
	for _, router := range fleet.routers {
		if err := cluster.awaitRouter(router.routerProcess); err != nil {
			return nil, err
		}
		fleet.clientGroups = append(fleet.clientGroups, &clientGroup{
			addr:       router.addr,
			clients:    1,
			seed:       options.Seed + uint64(router.index),
			objects:    60,
			parts:      6,
			groups:     cluster.content.Groups,
			meanPause:  100 * time.Millisecond,
			onResponse: func(response clientResponse) { fleet.recordResponse(router, response) },
		})
	}
	return fleet, nil
}

// recordResponse passes on what a client heard, unless its router was lost, stopped or stuck meanwhile: that client
// has to
// ask elsewhere.
func (fleet *routerFleet) recordResponse(router *fleetRouter, response clientResponse) {
	if response.code == noAnswer || response.doneAt > response.sentAt+response.deadline.Seconds() {
		fleet.mu.Lock()
		began := fleet.scriptStart
		fleet.mu.Unlock()
		for at := response.sentAt; at < response.sentAt+response.deadline.Seconds()+0.6; at += 0.05 {
			if !began.IsZero() && !fleet.script.IsWorking(router.index, at-unixSeconds(began)) {
				return
			}
		}
	}
	fleet.cluster.recordResponse(response)
}

// run carries out the script.
func (fleet *routerFleet) run(ctx context.Context) error {
	play, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer func() { stop(); all.Wait() }()
	for _, group := range fleet.clientGroups {
		all.Go(func() { group.run(play) })
	}
	for _, peer := range fleet.hostilePeers {
		all.Go(func() { peer.run(play) })
		all.Go(func() { <-play.Done(); _ = peer.conn.Close() })
	}
	if err := sleep(ctx, time.Duration(fleetSettleSeconds*float64(time.Second))); err != nil {
		return err
	}
	began := fleet.network.StartScript(fleet.script)
	fleet.mu.Lock()
	fleet.scriptStart = began
	fleet.mu.Unlock()
	if fleet.options.Full {
		for _, peer := range fleet.hostilePeers {
			peer.flood.Store(floodDatagrams / int64(len(fleet.hostilePeers)))
		}
	}
	for _, m := range fleet.script.Transitions() {
		if err := sleep(ctx, time.Until(began.Add(time.Duration(m.Time*float64(time.Second))))); err != nil {
			return err
		}
		fleet.options.Progress("%5.1f of %.0f s: %s", m.Time, fleet.script.Duration, m.Fault)
		if !m.IsEnd {
			fleet.marks = append(fleet.marks, report.Mark{At: m.Time, Name: string(m.Fault.Kind)})
		}
		if err := fleet.applyTransition(m); err != nil {
			return err
		}
	}
	return sleep(ctx, time.Until(began.Add(time.Duration(fleet.script.Duration*float64(time.Second)))))
}

func (fleet *routerFleet) applyTransition(m faults.Transition) error {
	var waits sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, i := range m.Fault.From {
		if i >= len(fleet.routers) {
			continue
		}
		router := fleet.routers[i]
		switch m.Fault.Kind {
		case faults.Kill, faults.Wipe:
			if !m.IsEnd {
				router.kill()
				continue
			}
			waits.Go(func() {
				if err := fleet.cluster.startRouter(router.routerProcess); err != nil {
					mu.Lock()
					first = err
					mu.Unlock()
				}
			})
		case faults.Pause, faults.Stall:
			if router.cmd == nil {
				continue
			}
			sig := map[bool]syscall.Signal{false: syscall.SIGSTOP, true: syscall.SIGCONT}[m.IsEnd]
			if m.Fault.Kind == faults.Stall {
				sig = syscall.SIGUSR2
			}
			_ = router.cmd.Process.Signal(sig)
		case faults.ClockSkew:
			router.extraEnv = []string{EnvironmentVariable + "=1"}
			if !m.IsEnd {
				router.extraEnv = append(router.extraEnv, fmt.Sprintf("CAIRNFRONT_LAB_CLOCK_S=%g", m.Fault.Seconds))
			}
		}
	}
	waits.Wait()
	return first
}

// LabVariable opens what only the laboratory may ask of a process.
const EnvironmentVariable = "CAIRNFRONT_LAB"

// readLogs takes from the routers' logs what they held of each other, and when.
func (fleet *routerFleet) readLogs() error {
	index := map[string]int{}
	for i, n := range fleet.names {
		index[n] = i
	}
	for _, router := range fleet.routers {
		file, err := os.Open(router.log.Name())
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			kv := logFields(lines.Text())
			at, err := time.Parse(time.RFC3339Nano, kv["time"])
			if err != nil {
				continue
			}
			s := at.Sub(fleet.scriptStart).Seconds()
			switch kv["msg"] {
			case "peer":
				x := peerEvent{at: s, peer: index[kv["peer"]], state: kv["code"]}
				_, _ = fmt.Sscan(kv["life"], &x.incarnation)
				_, _ = fmt.Sscan(kv["took_s"], &x.detectionSeconds)
				router.peerEvents = append(router.peerEvents, x)
			case "standing":
				router.partitionEvents = append(router.partitionEvents, partitionEvent{s, kv["code"]})
			case "panic":
				router.peerEvents = append(router.peerEvents, peerEvent{at: s, state: "panic"})
			}
		}
		_ = file.Close()
	}
	return nil
}

// logFields reads a log line's words.
func logFields(line string) map[string]string {
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

func isPresent(code string) bool { return code == "alive" || code == "suspect" || code == "stuck" }

// peerStateAt says what a router held of a peer at a time of the script.
func (router *fleetRouter) peerStateAt(of int, at float64) string {
	code := "unknown"
	for _, x := range router.peerEvents {
		if x.at > at {
			break
		}
		if x.peer == of {
			code = x.state
		}
	}
	return code
}

func (router *fleetRouter) partitionStateAt(at float64) string {
	code := "alone"
	for _, x := range router.partitionEvents {
		if x.at > at {
			break
		}
		code = x.state
	}
	return code
}

// verify reckons what came of it from what clients, edge caches, origin and relays recorded, and from what each
// router's
// log says that
// it held, against what the script made true.
func (fleet *routerFleet) verify(r *report.Report) error {
	fleet.cluster.verify(r, fleet.clientGroups)
	if err := fleet.readLogs(); err != nil {
		return err
	}
	s := &fleet.script
	r.Counts["processes"], r.Counts["hostile"] = int64(fleetSize), int64(len(fleet.hostilePeers))
	for _, name := range []string{
		"cuts", "kills", "pauses", "wrongly_dropped", "members_dropped", "forged_taken", "panics",
	} {
		r.Counts[name] = 0
	}
	var detect, agree []float64
	for _, a := range s.Faults {
		switch a.Kind {
		case faults.Cut:
			r.Counts["cuts"]++
			agree = append(agree, fleet.agreementSeconds(r, a.End)...)
		case faults.Pause:
			r.Counts["pauses"]++
		case faults.Kill, faults.Wipe:
			for _, i := range a.From {
				r.Counts["kills"]++
				if a.End-a.Start < detectionObjective+marginFull || len(a.From) > 1 {
					continue // back before all could know, or most of those who could tell are gone too
				}
				all := 0.0
				for _, router := range fleet.routers {
					if router.index == i || !s.IsRunning(router.index, a.Start) {
						continue
					}
					took := fleet.detectionSeconds(router, i, a.Start, a.End)
					if took < 0 {
						r.Broke("%s never dropped %s, killed at %.1f s", router.name, fleet.names[i], a.Start)
						continue
					}
					all = max(all, took)
				}
				detect = append(detect, all)
			}
		}
	}
	for _, router := range fleet.routers {
		for _, x := range router.peerEvents {
			switch {
			case x.state == "panic":
				r.Counts["panics"]++
				r.Broke("%s: a panic at %.1f s", router.name, x.at)
			case x.incarnation >= forgedIncarnation:
				r.Counts["forged_taken"]++
				r.Broke("%s took a forged life of %s", router.name, fleet.names[x.peer])
			case x.state == "failed" && x.peer < fleetSize && x.at > 0 && !s.ExplainsUnreachable(
				router.index,
				x.peer,
				x.at,
				faultEffectSeconds,
			):
				r.Counts["wrongly_dropped"]++
				r.Broke("%s dropped %s at %.2f s, which ran", router.name, fleet.names[x.peer], x.at)
			}
		}
	}
	fleet.edgeCachesUsed(r)
	r.Figures["standing_wrong_s"] = fleet.partitionStateErrorSeconds()
	first := int(fleet.scriptStart.Sub(fleet.networkStart).Seconds())
	last := int(fleet.scriptStart.Sub(fleet.networkStart).Seconds() + s.Duration)
	var rate report.Line
	total := int64(0)
	for at := first; at < last; at++ {
		sum := int64(0)
		for i := range fleetSize {
			d, b := fleet.network.SentBetween(i, at, at+1)
			sum += d
			total += b
		}
		rate.X, rate.Y = append(rate.X, float64(at-first)), append(rate.Y, float64(sum)/float64(fleetSize))
	}
	rate.Name = "datagrams a second a router"
	r.Figures["bytes_s_each"] = float64(total) / float64(fleetSize) / max(float64(last-first), 1)
	fleet.addPlots(r, rate)
	for _, peer := range fleet.hostilePeers {
		for name, n := range peer.counts {
			r.Counts["hostile_"+name] += n
		}
	}
	sort.Float64s(detect)
	sort.Float64s(agree)
	slack := marginFull
	if !fleet.options.Full {
		slack = marginSmall
	}
	if len(detect) > 0 {
		r.Figures["detect_p50_s"], r.Figures["detect_p99_s"] = detect[len(detect)/2], detect[len(detect)-1]
		if detect[len(detect)-1] > detectionObjective+slack {
			r.Broke("%.1f s until all knew of a kill", detect[len(detect)-1])
		}
	}
	if len(agree) > 0 {
		if r.Figures["agree_after_cut_s"] = agree[len(agree)-1]; agree[len(agree)-1] > agreementObjective+slack {
			r.Broke("%.1f s after a cut until all agreed", agree[len(agree)-1])
		}
	}
	text, _ := json.Marshal(s)
	r.Steps = append(r.Steps, fmt.Sprintf(
		"%d routers of the program and %d hostile peers, each way between two over a relay; a client at "+
			"each, two campuses of two boxes",
		fleetSize,
		len(fleet.hostilePeers),
	),
		"script: "+string(text))
	return nil
}

// queryMembership asks a router at its operators' socket how it stands.
func queryMembership(router *routerProcess) (rep membership.Report, err error) {
	book, err := config.Read(router.operatorsFile)
	if err != nil {
		return rep, err
	}
	data, err := admin.Call(book.Router.AdminSocket, "peers", nil)
	if err != nil {
		return rep, err
	}
	return rep, json.Unmarshal(data, &rep)
}

// detectionSeconds is how long after a kill a router dropped a peer; below 0 where it did not before the peer was
// started again.
func (fleet *routerFleet) detectionSeconds(router *fleetRouter, of int, at, until float64) float64 {
	for _, x := range router.peerEvents {
		if x.peer == of && x.at >= at && x.at < until && x.state == "failed" {
			return x.at - at
		}
	}
	if router.peerStateAt(of, until) == "failed" {
		return 0 // it held so already
	}
	return -1
}

// agreementSeconds is how long after a cut it took until each router saw just those who ran; nothing where another
// fault came
// first.
func (fleet *routerFleet) agreementSeconds(r *report.Report, from float64) []float64 {
	s := &fleet.script
	const most = 12.0
	for _, a := range s.Faults {
		if a.Start <= from+agreementObjective+marginFull && a.End > from && a.Kind != faults.Loss {
			return nil
		}
	}
	for at := from; at < min(from+most, s.Duration); at += 0.05 {
		all := true
		for _, router := range fleet.routers {
			for o := range fleetSize {
				if o != router.index && isPresent(router.peerStateAt(o, at)) != s.IsRunning(o, at) {
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

// edgeCachesUsed looks whether a healthy edge cache was left out by what was said of it.
func (fleet *routerFleet) edgeCachesUsed(r *report.Report) {
	fleet.cluster.mu.Lock()
	defer fleet.cluster.mu.Unlock()
	from := unixSeconds(fleet.scriptStart)
	for _, b := range fleet.edgeCaches {
		asked := map[int]bool{}
		for _, a := range fleet.cluster.requests {
			if a.endpoint == b.id && a.at >= from {
				asked[int((a.at-from)/edgeCacheWindowSeconds)] = true
			}
		}
		for w := range int(fleet.script.Duration / edgeCacheWindowSeconds) {
			if !asked[w] {
				r.Counts["members_dropped"]++
				r.Broke(
					"box %s was asked nothing from %.1f to %.1f s",
					b.id,
					float64(w)*edgeCacheWindowSeconds,
					float64(w+1)*edgeCacheWindowSeconds,
				)
			}
		}
	}
}

// partitionStateErrorSeconds is for how long a router stood otherwise than it truly did, s a router.
func (fleet *routerFleet) partitionStateErrorSeconds() float64 {
	const step = 0.1
	wrong := 0.0
	s := &fleet.script
	for at := 0.0; at < s.Duration; at += step {
		for _, router := range fleet.routers {
			if !s.IsRunning(router.index, at) {
				continue
			}
			there, all := s.ReachableCount(router.index, at), s.Processes
			want := "whole"
			switch {
			case there == 1:
				want = "alone"
			case 2*there <= all:
				want = "minority"
			case there < all:
				want = "majority"
			}
			if router.partitionStateAt(at) != want {
				wrong += step
			}
		}
	}
	return wrong / float64(fleetSize)
}

func (fleet *routerFleet) addPlots(r *report.Report, rate report.Line) {
	seen := report.Line{Name: "peers seen, least of all routers"}
	most := report.Line{Name: "most of all routers"}
	for at := 0.0; at < fleet.script.Duration; at += 0.5 {
		least, top := fleetSize, 0
		for _, router := range fleet.routers {
			if !fleet.script.IsRunning(router.index, at) {
				continue
			}
			n := 1
			for o := range fleetSize {
				if o != router.index && isPresent(router.peerStateAt(o, at)) {
					n++
				}
			}
			least, top = min(least, n), max(top, n)
		}
		seen.X, seen.Y = append(seen.X, at), append(seen.Y, float64(least))
		most.X, most.Y = append(most.X, at), append(most.Y, float64(top))
	}
	r.Plots = append(r.Plots, report.Plot{
		Title:  "How many of the routers each sees",
		XLabel: "s",
		YLabel: "routers",
		Lines:  []report.Line{seen, most},
		Marks:  fleet.marks,
	},
		report.Plot{
			Title:  "Datagrams between peers",
			XLabel: "s",
			YLabel: "a second a router",
			Lines:  []report.Line{rate},
			Marks:  fleet.marks,
		})
}

func (fleet *routerFleet) close(r *report.Report) {
	for _, router := range fleet.routers {
		if router.cmd != nil {
			_ = router.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	fleet.cluster.close(r)
	fleet.network.Close()
}
