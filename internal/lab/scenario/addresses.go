package scenario

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
)

// Errors of a phase without requests to measure, and of a variant in which too few requests ended.
var (
	errNoRequests      = errors.New("no request was sent in the phase")
	errTooFewResponses = errors.New("too few responses before the time limit")
)

// Durations of the scenario.
const (
	settleSeconds    = 2.0 // latencies are measured this long after the fault begins
	flapInterval     = 300 * time.Millisecond
	variantTimeLimit = 10 * time.Minute
	deliveryPause    = 20 * time.Millisecond // time for attempts in flight to reach the stand-ins
)

// addressVariant is a fault of an address, or no fault, under the same load.
type addressVariant struct {
	name          string
	allAddresses  bool // the router knows all addresses of each endpoint, not only one
	fault         func(ctx context.Context, address *standin.Address)
	timesRecovery bool // report the time until the recovered address is used again
}

var addressVariants = []addressVariant{
	{name: report.VariantAllHealthy, allAddresses: true},
	{name: report.VariantUnresponsive, allAddresses: true, fault: fixedMode(standin.Unresponsive), timesRecovery: true},
	{name: report.VariantReset, allAddresses: true, fault: fixedMode(standin.Resetting)},
	{name: report.VariantClosed, allAddresses: true, fault: fixedMode(standin.Closed), timesRecovery: true},
	{name: report.VariantTruncating, allAddresses: true, fault: fixedMode(standin.Truncating)},
	{name: report.VariantFlapping, allAddresses: true, fault: flapMode},
	{name: report.VariantSingle},
	{name: report.VariantSingleUnresponsive, fault: fixedMode(standin.Unresponsive)},
}

// fixedMode returns a fault in which an address stays in one mode. An address that cannot listen again behaves like
// a closed one, which the checks of latency and recovery detect; so the errors of SetMode are ignored here and below.
func fixedMode(mode standin.AddressMode) func(context.Context, *standin.Address) {
	return func(_ context.Context, address *standin.Address) { _ = address.SetMode(mode) }
}

// flapMode is a fault in which an address alternates between closed and healthy.
func flapMode(ctx context.Context, address *standin.Address) {
	for mode := standin.Closed; ctx.Err() == nil; mode = standin.Closed - mode {
		_ = address.SetMode(mode)
		_ = timing.Sleep(ctx, flapInterval) // the loop checks the context
	}
	_ = address.SetMode(standin.Healthy)
}

var addressesScenario = Scenario{
	Name: "addresses",
	Description: "Endpoints with three addresses, one of them made unresponsive, resetting, truncating, closed or " +
		"flapping, against endpoints with a single address",
	Run: runAddresses,
}

func runAddresses(ctx context.Context, options Options, r *report.Report) error {
	requests, clients := 2000, 16
	if options.Full {
		requests, clients = 100_000, 32
	}
	for _, name := range []string{
		report.AttemptsOverlapping, report.NonIdempotentRepeats, report.ConnectionsUnanswered, report.OrdersExecuted,
	} {
		r.Counts[name] = 0
	}
	perVariant := requests / len(addressVariants)
	plot := report.Plot{
		Title:  "Latency from two seconds after the fault on",
		XLabel: "share of requests",
		YLabel: "ms",
	}
	for _, variant := range addressVariants {
		options.Progress("%s", report.SuffixLabel(variant.name))
		line, err := runVariant(ctx, options, r, variant, perVariant, clients)
		if err != nil {
			return fmt.Errorf("%s: %w", variant.name, err)
		}
		plot.Lines = append(plot.Lines, line)
	}
	r.Plots = append(r.Plots, plot)
	single := max(r.Figures[report.Key(report.CPUPerRequest, report.VariantSingle)], 1)
	several := r.Figures[report.Key(report.CPUPerRequest, report.VariantAllHealthy)]
	r.Figures[report.CPURatio] = several / single
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d requests of idempotent classes, a class with idempotency keys and a non-idempotent class, in each "+
				"of %d variants, over a router and four stand-in endpoints",
			perVariant,
			len(addressVariants),
		),
		"the fault is at the first address of one edge cache; latencies of a variant count from two seconds after "+
			"it began",
	)
	return runPairs(ctx, options, r, clients)
}

// runVariant runs one variant and adds its figures to the report. It returns the distribution of the latencies as a
// line.
func runVariant(
	ctx context.Context, options Options, r *report.Report, variant addressVariant, requests, clients int,
) (report.Line, error) {
	testCluster, err := newMultiAddressCluster(options, variant.allAddresses)
	if err != nil {
		return report.Line{}, err
	}
	defer testCluster.Close(r)
	startedAt := timing.UnixSeconds(time.Now())
	endFault := testCluster.startFault(ctx, variant)
	defer endFault()
	counter := responseCounter{from: startedAt + settleSeconds, want: requests, reached: make(chan struct{})}
	load := testCluster.startLoad(ctx, clients, func(response standin.ClientResponse) {
		testCluster.RecordResponse(response)
		counter.add()
	})
	defer load.stop()
	if err := counter.wait(ctx); err != nil {
		return report.Line{}, err
	}
	endedAt := timing.UnixSeconds(time.Now())
	endFault()
	if variant.fault == nil {
		testCluster.addUsage(r, variant.name)
	}
	if variant.timesRecovery {
		elapsed, recovered := testCluster.restoreFaultyAddress()
		r.Figures[report.Key(report.AddressRecovery, variant.name)] = elapsed
		if !recovered {
			r.AddViolation("%s: the router does not use the recovered address", report.SuffixLabel(variant.name))
		}
	}
	load.stop()
	time.Sleep(deliveryPause)
	before := r.Counts[report.Requests]
	testCluster.Verify(r, []*standin.ClientGroup{load.group})
	r.Counts[report.Key(report.Requests, variant.name)] = r.Counts[report.Requests] - before
	latencies := summarizeLatencies(testCluster.Responses(), startedAt+settleSeconds, endedAt)
	if len(latencies.sortedMillis) == 0 {
		return report.Line{}, errNoRequests
	}
	latencies.addFigures(r, variant.name)
	testCluster.checkNoOverlappingAttempts(r, variant.name, load)
	testCluster.countAttempts(r)
	return latencies.line(report.SuffixLabel(variant.name)), nil
}

// startFault starts a variant's fault. The returned function stops the fault and waits for its goroutine.
func (c *multiAddressCluster) startFault(ctx context.Context, variant addressVariant) (end func()) {
	if variant.fault == nil {
		return func() {}
	}
	faultCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { variant.fault(faultCtx, c.faulty) })
	return func() {
		cancel()
		running.Wait()
	}
}

// responseCounter counts the responses after a start time, up to a number.
type responseCounter struct {
	from    float64 // Unix time in seconds
	want    int
	reached chan struct{}

	mu sync.Mutex
	n  int
}

func (c *responseCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timing.UnixSeconds(time.Now()) <= c.from {
		return
	}
	c.n++
	if c.n == c.want {
		close(c.reached)
	}
}

// wait waits until the counter reaches its number of responses.
func (c *responseCounter) wait(ctx context.Context) error {
	select {
	case <-c.reached:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(variantTimeLimit):
		c.mu.Lock()
		defer c.mu.Unlock()
		return fmt.Errorf("%w: %d of %d", errTooFewResponses, c.n, c.want)
	}
}

// addUsage reports the router's CPU time per request and its memory.
func (c *multiAddressCluster) addUsage(r *report.Report, name string) {
	cpuSeconds, memoryMB := c.Routers[0].Usage()
	requests := len(c.Responses())
	r.Figures[report.Key(report.CPUPerRequest, name)] = cpuSeconds * 1e6 / float64(max(requests, 1))
	r.Figures[report.Key(report.ResidentMemory, name)] = memoryMB
}

// latencySummary summarizes the latencies of a variant's requests.
type latencySummary struct {
	sortedMillis           []float64
	onTime                 int     // number of requests completed within their latency objective
	slowestBeforeDetection float64 // seconds; maximum of the first seconds, before the router had detected the fault
}

// summarizeLatencies summarizes the requests sent between two Unix times, in seconds, and finds the slowest request
// sent before.
func summarizeLatencies(responses []verify.Response, from, to float64) *latencySummary {
	s := &latencySummary{}
	for i := range responses {
		response := &responses[i]
		if response.SentAt < from {
			s.slowestBeforeDetection = max(s.slowestBeforeDetection, response.DoneAt-response.SentAt)
			continue
		}
		if response.SentAt > to {
			continue
		}
		elapsed := response.LatencySeconds()
		s.sortedMillis = append(s.sortedMillis, elapsed*1000)
		if response.Code == standin.CodeCompleted && elapsed <= standin.ClassObjectiveSeconds[response.Class] {
			s.onTime++
		}
	}
	sort.Float64s(s.sortedMillis)
	return s
}

func (s *latencySummary) addFigures(r *report.Report, name string) {
	n := len(s.sortedMillis)
	r.Figures[report.Key(report.LatencyP50, name)] = s.sortedMillis[n/2]
	r.Figures[report.Key(report.LatencyP99, name)] = percentile(s.sortedMillis, 0.99)
	r.Figures[report.Key(report.SlowestAtFirst, name)] = s.slowestBeforeDetection * 1000
	r.Figures[report.Key(report.OnTimeShare, name)] = float64(s.onTime) / float64(n)
}

// line returns the distribution of the latencies, in steps of one percent.
func (s *latencySummary) line(name string) report.Line {
	line := report.Line{Name: name}
	for percent := range 101 {
		line.Add(float64(percent)/100, s.sortedMillis[percent*(len(s.sortedMillis)-1)/100])
	}
	return line
}

// countAttempts counts the attempts that a variant's stand-ins received, and those that were affected by a fault.
func (c *multiAddressCluster) countAttempts(r *report.Report) {
	for _, standIn := range c.standIns {
		attempts := standIn.Attempts()
		r.Counts[report.Attempts] += int64(len(attempts))
		r.Counts[report.ConnectionsUnanswered] += standIn.UnresponsiveConnections.Load()
		for _, attempt := range attempts {
			switch attempt.Mode {
			case standin.Unresponsive:
				r.Counts[report.AttemptsUnresponsive]++
			case standin.Resetting:
				r.Counts[report.AttemptsReset]++
			case standin.Healthy, standin.Truncating, standin.Closed: // have no separate count
			}
		}
	}
}
