package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/config"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
	"cairnfront/routing"
)

// variant is one way in which the same load is played.
type variant struct {
	name         string
	allAddresses bool // the router is told of all addresses; else of the first alone, as earlier versions were
	fault        func(ctx context.Context, address *standInAddress, s float64)
}

// holdMode lets an address behave otherwise from the start on until near the end.
func holdMode(m addressMode) func(context.Context, *standInAddress, float64) {
	return func(_ context.Context, address *standInAddress, _ float64) { _ = address.setMode(m) }
}

// flapMode shuts and opens an address every 300 ms.
func flapMode(ctx context.Context, address *standInAddress, _ float64) {
	for to := closed; ctx.Err() == nil; to = closed - to {
		_ = address.setMode(to)
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
	_ = address.setMode(healthy)
}

var variants = []variant{
	{"all_good", true, nil},
	{"one_hung", true, holdMode(unresponsive)},
	{"one_reset", true, holdMode(resetting)},
	{"one_shut", true, holdMode(closed)},
	{"one_half", true, holdMode(truncating)},
	{"one_flapping", true, flapMode},
	{"single_good", false, nil},
	{"single_hung", false, holdMode(unresponsive)},
}

const listedEndpoints = 1000 // members in the list

const settleSeconds = 2.0 // s after a fault begins before times are judged

var addressesScenario = Scenario{
	Name: "addresses",
	Description: "Members with three addresses, one made to hang, reset, stop half way, shut or flap; the same " +
		"load on one address each",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		txns, clients := 2000, 16
		if options.Full {
			txns, clients = 100_000, 32
		}
		r.Counts["overlapping_hops"] = 0
		r.Counts["order_repeats"] = 0
		r.Counts["hung_connects"] = 0
		r.Counts["orders_run"] = 0
		p99 := report.Plot{Title: "Times to an answer after the first two seconds", XLabel: "share of txns", YLabel: "ms"}
		for _, v := range variants {
			options.Progress("%s", v.name)
			l, err := runVariant(ctx, options, r, v, txns/len(variants), clients)
			if err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			p99.Lines = append(p99.Lines, l)
		}
		r.Plots = append(r.Plots, p99)
		r.Figures["cpu_several_over_single"] = r.Figures["cpu_us_a_txn.all_good"] / max(
			r.Figures["cpu_us_a_txn.single_good"],
			1,
		)
		r.Steps = append(r.Steps, fmt.Sprintf(
			"%d txns of a repeatable, a keyed and an unrepeatable rule in each of %d ways, over a router "+
				"and four stand-in members",
			txns/len(variants),
			len(variants),
		),
			"the fault is at the first address of one cache; times count from two seconds after it began")
		return runPairs(ctx, options, r, clients)
	},
}

// runVariant plays one and adds to the report; the line is the times to an answer, in order.
func runVariant(
	ctx context.Context, options Options, r *report.Report, v variant, txns, clients int,
) (report.Line, error) {
	none := report.Line{Name: v.name}
	cluster, members, hurt, err := newMultiAddressCluster(options, v.allAddresses)
	if err != nil {
		return none, err
	}
	defer closeMultiAddressCluster(cluster, members, r)
	var late schedulingDelay
	group := mixedClients(cluster, clients)
	play, stop := context.WithCancel(ctx)
	defer stop()
	began := unixSeconds(time.Now())
	n, enough := 0, make(chan struct{})
	var mu sync.Mutex
	group.onResponse = func(response clientResponse) {
		cluster.recordResponse(response)
		mu.Lock()
		defer mu.Unlock()
		if unixSeconds(time.Now()) > began+settleSeconds {
			if n++; n == txns {
				close(enough)
			}
		}
	}
	var all sync.WaitGroup
	faulty, heal := context.WithCancel(ctx)
	defer heal()
	if v.fault != nil {
		all.Go(func() { v.fault(faulty, hurt, began) })
	}
	all.Go(func() { group.run(play) })
	all.Go(func() { late.watch(play) })
	select {
	case <-enough:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-time.After(10 * time.Minute):
		return none, fmt.Errorf("%d of %d txns came to an end", n, txns)
	}
	ended := unixSeconds(time.Now())
	heal()
	if v.fault == nil {
		cpu, rss := cluster.routers[0].usage()
		cluster.responses.mu.Lock()
		r.Figures["cpu_us_a_txn."+v.name] = cpu * 1e6 / float64(max(len(cluster.responses.all), 1))
		r.Figures["rss_mb."+v.name] = rss
		cluster.responses.mu.Unlock()
	}
	if v.name == "one_hung" || v.name == "one_shut" { // how long until the address is used again
		_ = hurt.setMode(healthy)
		back := unixSeconds(time.Now())
		err := waitUntil(recoveryLimit, func() bool { return members[2].usedAfter(hurt, back) })
		if r.Figures["healed_s."+v.name] = unixSeconds(time.Now()) - back; err != nil {
			r.Broke("%s: the address is back and not used", v.name)
		}
	}
	stop()
	all.Wait()
	time.Sleep(20 * time.Millisecond) // what is on its way to the stand-ins
	before := r.Counts["txns"]
	cluster.verify(r, []*clientGroup{group})
	r.Counts["txns."+v.name] = r.Counts["txns"] - before
	var ms []float64
	inTime := 0
	slowest := 0.0 // in the first seconds, before anything was known of the fault
	for _, h := range cluster.responses.all {
		if h.sentAt < began+settleSeconds {
			slowest = max(slowest, h.doneAt-h.sentAt)
		}
		if h.sentAt < began+settleSeconds || h.sentAt > ended {
			continue
		}
		took := h.latencySeconds()
		ms = append(ms, took*1000)
		if limit := map[string]float64{
			classVideoPart:  0.4,
			classPageAsset:  0.25,
			classPrintOrder: 0.6,
			classRecord:     0.6,
		}[h.class]; h.code == 1 && took <= limit {
			inTime++
		}
	}
	sort.Float64s(ms)
	if len(ms) == 0 {
		return none, fmt.Errorf("no txn to judge")
	}
	r.Figures["p99_ms."+v.name] = ms[int(0.99*float64(len(ms)-1))]
	r.Figures["slowest_at_first_ms."+v.name] = slowest * 1000
	r.Figures["p50_ms."+v.name] = ms[len(ms)/2]
	r.Figures["in_time."+v.name] = float64(inTime) / float64(len(ms))
	r.Figures["order_told_ms"] = max(r.Figures["order_told_ms"], late.orderingMargin()*1000)
	overlapping, repeats, said := findOverlappingAttempts(members, late.orderingMargin(), map[string]bool{classRecord: true})
	r.Counts["overlapping_hops"] += overlapping
	r.Counts["order_repeats"] += repeats
	for _, x := range said {
		r.Broke("%s: %s", v.name, x)
	}
	for _, standIn := range members {
		r.Counts["hops"] += int64(len(standIn.attempts))
		r.Counts["hung_connects"] += standIn.hungConnections.Load()
		for _, attempt := range standIn.attempts {
			switch attempt.mode {
			case unresponsive:
				r.Counts["hung_hops"]++
			case resetting:
				r.Counts["resets"]++
			}
		}
	}
	for i := 0; i <= 100; i++ {
		none.X = append(none.X, float64(i)/100)
		none.Y = append(none.Y, ms[i*(len(ms)-1)/100])
	}
	return none, nil
}

// newMultiAddressCluster is a router over four stand-in members of three addresses each, in a list of a thousand;
// hurt is the
// address that a fault is to hit, the first of one cache. Members run an order once a key and window between them.
func newMultiAddressCluster(
	options Options, several bool,
) (cluster *testCluster, members []*endpointStandIn, hurt *standInAddress, err error) {
	if cluster, err = newTestCluster(options, 2); err != nil {
		return nil, nil, nil, err
	}
	defer func() {
		if err != nil {
			closeMultiAddressCluster(cluster, members, nil)
		}
	}()
	if cluster.options.Directory, err = os.MkdirTemp(options.Directory, "v"); err != nil {
		return nil, nil, nil, err
	}
	cluster.nonIdempotentClass = true
	orders := idempotencyRecords{}
	var rules config.File
	for i, kind := range []int{kindOrigin, kindParent, kindEdge, kindEdge} {
		standIn, err := newEndpointStandIn(endpointID(i+1), cluster.options.Directory, time.Millisecond)
		if err != nil {
			return nil, nil, nil, err
		}
		standIn.body = func(a cacheproto.Command) []byte {
			if a.ClassName == classPrintOrder && orders.shouldRun(a.IdempotencyKey, unixSeconds(time.Now())) {
				cluster.content.OnExecute(a.ClassName, a.IdempotencyKey)
			}
			if a.ClassName == classPrintOrder || a.ClassName == classRecord {
				return nil
			}
			return edgecache.SyntheticBody(
				options.Seed,
				eviction.Key{Object: a.ObjectID, Chunk: a.PartNumber},
				0,
				cluster.content.MinBytes,
				cluster.content.MaxBytes,
			)
		}
		members = append(members, standIn)
		last := standIn.addresses[len(standIn.addresses)-1] // the discovery service knows IPv4 alone
		endpoint := &clusterEndpoint{
			id:   standIn.id,
			kind: kind,
			zone: zoneOf(kind),
			addr: last.addr,
		}
		cluster.endpoints = append(cluster.endpoints, endpoint)
		cluster.publishStatus(endpoint, routing.Ready)
		entry := config.EndpointAddresses{Endpoint: standIn.id}
		for _, address := range standIn.addresses {
			entry.Addresses = append(entry.Addresses, address.addr)
		}
		rules.Router.Addresses = append(rules.Router.Addresses, entry)
	}
	for i := len(members); i < listedEndpoints; i++ { // of the other zone: listed, never asked
		endpoint := &clusterEndpoint{id: endpointID(i + 1), zone: 2, addr: "127.0.0.1:9"}
		cluster.endpoints = append(cluster.endpoints, endpoint)
		rules.Router.Addresses = append(
			rules.Router.Addresses,
			config.EndpointAddresses{
				Endpoint:  endpoint.id,
				Addresses: []string{"unix:/nowhere/" + endpoint.id, "[::1]:9", "127.0.0.1:9"},
			},
		)
	}
	doors := members[2].addresses
	if hurt = doors[len(doors)-1]; several {
		hurt = doors[0]
		text, err := json.Marshal(map[string]any{"router": map[string]any{"addresses": rules.Router.Addresses}})
		if err != nil {
			return nil, nil, nil, err
		}
		cluster.operatorsFile = filepath.Join(cluster.options.Directory, "operators.yaml")
		if err := os.WriteFile(cluster.operatorsFile, text, 0o600); err != nil {
			return nil, nil, nil, err
		}
	}
	return cluster, members, hurt, cluster.addRouter(1)
}

func closeMultiAddressCluster(cluster *testCluster, members []*endpointStandIn, r *report.Report) {
	cluster.close(r)
	for _, standIn := range members {
		standIn.close()
	}
}

// mixedClients is families of all three request classes, those that must not be sent twice among them.
func mixedClients(cluster *testCluster, clients int) *clientGroup {
	return &clientGroup{
		addr:          cluster.routers[0].addr,
		clients:       clients,
		seed:          cluster.options.Seed,
		objects:       60,
		parts:         6,
		groups:        cluster.content.Groups,
		meanPause:     10 * time.Millisecond,
		nonIdempotent: true,
	}
}

// idempotencyRecords is what a group of members knows of keys between them: a repeat within the window is dropped.
type idempotencyRecords struct {
	mu        sync.Mutex
	lastRunAt map[string]float64 // by key, when it ran last, Unix s
}

// shouldRun says whether an order that comes now runs.
func (records *idempotencyRecords) shouldRun(key string, now float64) bool {
	records.mu.Lock()
	defer records.mu.Unlock()
	if at, ok := records.lastRunAt[key]; ok && now < at+keyRetentionSeconds {
		return false
	}
	if records.lastRunAt == nil {
		records.lastRunAt = map[string]float64{}
	}
	records.lastRunAt[key] = now
	return true
}

// Sizes of the paired measure.
const (
	pairsFull, pairsSmall         = 12, 1
	pairPhaseFull, pairPhaseSmall = 4 * time.Second, time.Second
	recoveryLimit                 = 25 * time.Second // the longest rest is 20 s
	maxExtraMillis                = 100.0            // ms more at small size, where some hundred requests play beside a build
)

// runPairs measures what one hung address costs at the 99th percentile. Phases with all addresses good and with
// one hung
// take turns on one router under one load, so that what else the machine does falls on both; the first seconds of a
// phase, in which the router finds the fault or the way back, do not count.
func runPairs(ctx context.Context, options Options, r *report.Report, clients int) error {
	n, phase := pairsSmall, pairPhaseSmall
	if options.Full {
		n, phase = pairsFull, pairPhaseFull
	}
	cluster, members, hurt, err := newMultiAddressCluster(options, true)
	if err != nil {
		return err
	}
	defer closeMultiAddressCluster(cluster, members, r)
	var late schedulingDelay
	group := mixedClients(cluster, clients)
	group.onResponse = cluster.recordResponse
	play, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { group.run(play) })
	all.Go(func() { late.watch(play) })
	measure := func() (float64, error) {
		if err := sleep(ctx, time.Duration(settleSeconds*float64(time.Second))); err != nil {
			return 0, err
		}
		from := unixSeconds(time.Now())
		if err := sleep(ctx, phase); err != nil {
			return 0, err
		}
		return cluster.p99Millis(from, unixSeconds(time.Now()))
	}
	var well, hung, ratios []float64
	for i := range n {
		options.Progress("pair %d of %d", i+1, n)
		a, err := measure()
		if err != nil {
			return err
		}
		_ = hurt.setMode(unresponsive)
		b, err := measure()
		if err != nil {
			return err
		}
		back := unixSeconds(time.Now())
		_ = hurt.setMode(healthy)
		if waitUntil(recoveryLimit, func() bool { return members[2].usedAfter(hurt, back) }) != nil {
			r.Broke("pair %d: the address is back and not used", i+1)
		}
		well, hung, ratios = append(well, a), append(hung, b), append(ratios, b/a)
	}
	stop()
	all.Wait()
	for name, list := range map[string][]float64{"good_ms": well, "hung_ms": hung, "ratio": ratios} {
		sort.Float64s(list)
		r.Figures["pairs_"+name+".least"] = list[0]
		r.Figures["pairs_"+name+".median"] = median(list)
		r.Figures["pairs_"+name+".most"] = list[len(list)-1]
	}
	r.Counts["pairs"] = int64(n)
	// ways without any fault differ by several times: what can be told is worse than all of them
	if options.Full && median(hung) > well[len(well)-1] {
		r.Broke(
			"with one address hung the p99 is %.1f ms in the median of %d pairs, over the worst of all "+
				"phases with all good, %.1f",
			median(hung),
			n,
			well[len(well)-1],
		)
	} else if !options.Full && median(hung) > median(well)+maxExtraMillis {
		r.Broke("with one address hung the p99 is %.1f ms, with all good %.1f", median(hung), median(well))
	}
	r.Figures["order_told_ms"] = max(r.Figures["order_told_ms"], late.orderingMargin()*1000)
	overlapping, repeats, said := findOverlappingAttempts(members, late.orderingMargin(), map[string]bool{classRecord: true})
	r.Counts["overlapping_hops"] += overlapping
	r.Counts["order_repeats"] += repeats
	for _, x := range said {
		r.Broke("pairs: %s", x)
	}
	cluster.verify(r, []*clientGroup{group})
	return nil
}

// median is of a sorted list that holds something.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
