package scenario

import (
	"context"
	"fmt"
	"sort"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
)

// Sizes and limits of the paired measurement.
const (
	pairsSmall     = 1
	pairsFull      = 12
	pairPhaseSmall = time.Second
	pairPhaseFull  = 4 * time.Second
	recoveryLimit  = 25 * time.Second // exceeds the longest cooldown of an address, 20 s
	maxExtraMillis = 100.0            // limit at small size: some hundred requests, possibly during a build
)

// addressPairs are the 99th percentiles of the latencies in pairs of phases, in milliseconds, and their ratios.
type addressPairs struct {
	healthyMillis      []float64
	unresponsiveMillis []float64
	ratios             []float64
}

// runPairs measures how much one unresponsive address increases the 99th percentile of the latency. Phases with all
// addresses healthy alternate with phases with one unresponsive address, on one router under one load, so that other
// activity on the machine affects both alike. The first seconds of a phase, in which the router detects the fault or
// the recovery, are not measured.
func runPairs(ctx context.Context, options Options, r *report.Report, clients int) error {
	count, phase := pairsSmall, pairPhaseSmall
	if options.Full {
		count, phase = pairsFull, pairPhaseFull
	}
	testCluster, err := newMultiAddressCluster(options, true)
	if err != nil {
		return err
	}
	defer testCluster.Close(r)
	load := testCluster.startLoad(ctx, clients, testCluster.RecordResponse)
	defer load.stop()
	var pairs addressPairs
	for i := range count {
		options.Progress("pair %d of %d", i+1, count)
		if err := testCluster.measurePair(ctx, &pairs, phase); err != nil {
			return err
		}
		if _, recovered := testCluster.restoreFaultyAddress(); !recovered {
			r.AddViolation("pair %d: the router does not use the recovered address", i+1)
		}
	}
	load.stop()
	r.Counts[report.Pairs] = int64(count)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"then alternating phases of %v on another router under one load, with all addresses healthy and with "+
				"one unresponsive; the p99 is measured in each phase",
			phase,
		),
		"client requests are counted in variants and phases, attempts only in variants",
	)
	pairs.addFigures(r)
	pairs.checkUnresponsiveAddressCost(r, options.Full)
	testCluster.checkNoOverlappingAttempts(r, "pairs", load)
	testCluster.Verify(r, []*standin.ClientGroup{load.group})
	return nil
}

// measurePair measures a phase with all addresses healthy and a phase with the faulty address unresponsive.
func (c *multiAddressCluster) measurePair(ctx context.Context, pairs *addressPairs, phase time.Duration) error {
	healthyMillis, err := c.measurePhase(ctx, phase)
	if err != nil {
		return err
	}
	_ = c.faulty.SetMode(standin.Unresponsive) // cannot fail: the address was listening already
	unresponsiveMillis, err := c.measurePhase(ctx, phase)
	if err != nil {
		return err
	}
	pairs.healthyMillis = append(pairs.healthyMillis, healthyMillis)
	pairs.unresponsiveMillis = append(pairs.unresponsiveMillis, unresponsiveMillis)
	pairs.ratios = append(pairs.ratios, unresponsiveMillis/healthyMillis)
	return nil
}

// measurePhase waits until the router has settled and returns the 99th percentile of a phase, in milliseconds.
func (c *multiAddressCluster) measurePhase(ctx context.Context, phase time.Duration) (float64, error) {
	if err := timing.Sleep(ctx, timing.Seconds(settleSeconds)); err != nil {
		return 0, err
	}
	from := timing.UnixSeconds(time.Now())
	if err := timing.Sleep(ctx, phase); err != nil {
		return 0, err
	}
	return p99Millis(c.Responses(), from, timing.UnixSeconds(time.Now()))
}

// restoreFaultyAddress makes the faulty address healthy and waits until the router uses it again.
func (c *multiAddressCluster) restoreFaultyAddress() (elapsedSeconds float64, recovered bool) {
	_ = c.faulty.SetMode(standin.Healthy) // an address that cannot listen again is not used, which is detected below
	restoredAt := timing.UnixSeconds(time.Now())
	err := timing.WaitUntil(recoveryLimit, func() bool { return c.faultyEdge().UsedAfter(c.faulty, restoredAt) })
	return timing.UnixSeconds(time.Now()) - restoredAt, err == nil
}

// addFigures sorts the lists and reports the minimum, the median and the maximum of each.
func (p *addressPairs) addFigures(r *report.Report) {
	for name, list := range map[string][]float64{
		report.PairsHealthy:      p.healthyMillis,
		report.PairsUnresponsive: p.unresponsiveMillis,
		report.PairsRatio:        p.ratios,
	} {
		sort.Float64s(list)
		r.Figures[report.Key(name, "least")] = list[0]
		r.Figures[report.Key(name, "median")] = median(list)
		r.Figures[report.Key(name, "most")] = list[len(list)-1]
	}
}

// checkUnresponsiveAddressCost checks that an unresponsive address increases the 99th percentile only a little. At full
// size the limit is the worst healthy phase, as healthy phases differ by several times among themselves. The lists must
// be sorted.
func (p *addressPairs) checkUnresponsiveAddressCost(r *report.Report, full bool) {
	unresponsiveMedian, worst := median(p.unresponsiveMillis), p.healthyMillis[len(p.healthyMillis)-1]
	if full && unresponsiveMedian > worst {
		r.AddViolation(
			"with one address unresponsive the p99 is %.1f ms in the median of %d pairs, more than the worst phase "+
				"with all addresses healthy, %.1f ms",
			unresponsiveMedian,
			len(p.unresponsiveMillis),
			worst,
		)
	}
	if healthyMedian := median(p.healthyMillis); !full && unresponsiveMedian > healthyMedian+maxExtraMillis {
		r.AddViolation(
			"with one address unresponsive the p99 is %.1f ms, with all addresses healthy %.1f ms",
			unresponsiveMedian,
			healthyMedian,
		)
	}
}

// median returns the median of a sorted, non-empty list.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// p99Millis returns the 99th percentile, in milliseconds, of the latencies of the requests sent between two Unix times,
// in seconds. A request without a response counts with its deadline.
func p99Millis(responses []verify.Response, from, to float64) (float64, error) {
	var millis []float64
	for i := range responses {
		if o := &responses[i]; o.SentAt >= from && o.SentAt < to {
			millis = append(millis, o.LatencySeconds()*1000)
		}
	}
	if len(millis) == 0 {
		return 0, errNoRequests
	}
	sort.Float64s(millis)
	return percentile(millis, 0.99), nil
}

// percentile returns a percentile of a sorted, non-empty list. The parameter share is between 0 and 1.
func percentile(sorted []float64, share float64) float64 {
	return sorted[int(share*float64(len(sorted)-1))]
}
