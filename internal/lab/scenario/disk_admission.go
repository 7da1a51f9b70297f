package scenario

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/lab/report"

	"golang.org/x/sync/errgroup"
)

const (
	minAlphaAboveLRU  = 1.0
	minAlphaAboveXLRU = 2.0
	xlruAlpha         = 2.0  // alpha at which the disk sizes are compared
	xlruDiskStep      = 0.25 // step between two tried sizes, as a share of the disk
	xlruMaxDisk       = 4.0  // largest tried size, in multiples of the disk
)

// diskSizes are the disk sizes, as shares of the bytes of all requested chunks.
var diskSizes = []float64{0.02, 0.05, 0.1}

// middleSize is the index of the disk size for which the report has the most figures.
const middleSize = 1

// fillCosts are the ratios alpha of the cost of filling a chunk to the cost of passing a request on.
var fillCosts = []float64{0.5, 1, 2, 4}

// admissionPolicy is one of the compared eviction policies.
type admissionPolicy struct {
	name string
	make func(sizeBytes int64, alpha float64) eviction.Policy
}

// admissionOutcomes are the outcomes by policy, indexed by disk size and alpha.
type admissionOutcomes map[string][][]admissionOutcome

var diskAdmissionScenario = Scenario{
	Name:       "disk-admission",
	ReportName: report.ScenarioDiskAdmission,
	Description: "Which chunks a disk cache should store: the policy Cafe against LRU and xLRU over the requests of " +
		"a day of video, by the paper's Eq. 2",
	Run: runDiskAdmission,
}

func runDiskAdmission(ctx context.Context, options Options, r *report.Report) error {
	count := 100_000
	if options.Full {
		count = 1_000_000
	}
	day := generateDay(options.Seed, count)
	distinct := map[eviction.Key]bool{}
	for _, view := range day {
		distinct[view.key] = true
	}
	allBytes := float64(len(distinct)) * chunkBytes
	r.Counts[report.ChunkRequests] = int64(len(day))
	r.Counts[report.DistinctChunks] = int64(len(distinct))
	policies := []admissionPolicy{
		{report.VariantLRU, func(size int64, _ float64) eviction.Policy { return eviction.NewLRU(size) }},
		{report.VariantXLRU, func(size int64, alpha float64) eviction.Policy { return eviction.NewXLRU(size, alpha) }},
		{report.VariantCafe, func(size int64, alpha float64) eviction.Policy {
			return eviction.NewCafe(
				eviction.Config{Alpha: alpha, CapacityBytes: size, MaxUncachedEntries: len(distinct)})
		}},
	}
	outcomes, err := simulatePolicies(ctx, options, day, policies, allBytes)
	if err != nil {
		return err
	}
	outcomes.addFigures(r)
	outcomes.addPlots(r, policies)
	outcomes.checkCafePolicy(r)
	r.Figures[report.XLRUDiskRatio] = xlruDiskRatio(
		options, day, allBytes*diskSizes[middleSize], outcomes[report.VariantCafe][middleSize][2].efficiency,
	)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d requests of one day for %d chunks of 2 MiB; disks of 2%%, 5%% and 10%% of the bytes of all chunks",
			len(day),
			len(distinct),
		),
		fmt.Sprintf(
			"measured from %.0f%% of the day on; a simulation of the policies alone, no disk is written",
			measuredFrom*100,
		),
	)
	return nil
}

// simulatePolicies replays the requests of the day for each policy, disk size and alpha.
func simulatePolicies(
	ctx context.Context, options Options, day []view, policies []admissionPolicy, allBytes float64,
) (admissionOutcomes, error) {
	var mu sync.Mutex
	done, total := 0, len(policies)*len(diskSizes)*len(fillCosts)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	outcomes := admissionOutcomes{}
	for _, policy := range policies {
		bySize := make([][]admissionOutcome, len(diskSizes))
		outcomes[policy.name] = bySize
		for sizeIndex, share := range diskSizes {
			bySize[sizeIndex] = make([]admissionOutcome, len(fillCosts))
			for alphaIndex, alpha := range fillCosts {
				group.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					outcome := replayDay(day, policy.make(int64(allBytes*share), alpha), alpha)
					bySize[sizeIndex][alphaIndex] = outcome
					mu.Lock()
					defer mu.Unlock()
					done++
					options.Progress("%d of %d runs", done, total)
					return nil
				})
			}
		}
	}
	return outcomes, group.Wait()
}

// addFigures reports the efficiency of all policies and, for the middle disk size, the shares of bytes filled and
// passed.
func (outcomes admissionOutcomes) addFigures(r *report.Report) {
	for policy, bySize := range outcomes {
		for sizeIndex, share := range diskSizes {
			for alphaIndex, alpha := range fillCosts {
				outcome := bySize[sizeIndex][alphaIndex]
				variant := fmt.Sprintf("%s.disk%g%%.alpha%g", policy, share*100, alpha)
				r.Figures[report.Key(report.Efficiency, variant)] = outcome.efficiency
				if sizeIndex == middleSize {
					r.Figures[report.Key(report.FilledShare, variant)] = outcome.filled
					r.Figures[report.Key(report.PassedShare, variant)] = outcome.passed
				}
			}
		}
	}
}

// addPlots adds a plot of the efficiency for each disk size.
func (outcomes admissionOutcomes) addPlots(r *report.Report, policies []admissionPolicy) {
	for sizeIndex, share := range diskSizes {
		plot := report.Plot{
			Title:  fmt.Sprintf("Efficiency with a disk of %g%% of all bytes", share*100),
			XLabel: "alpha (cost of a fill over that of a pass)",
			YLabel: "efficiency (Eq. 2)",
		}
		for _, policy := range policies {
			line := report.Line{Name: report.SuffixLabel(policy.name)}
			for alphaIndex, alpha := range fillCosts {
				line.Add(alpha, outcomes[policy.name][sizeIndex][alphaIndex].efficiency)
			}
			plot.Lines = append(plot.Lines, line)
		}
		r.Plots = append(r.Plots, plot)
	}
}

// checkCafePolicy checks what must hold for any day: where fills are expensive, Cafe is more efficient than LRU and
// xLRU, and it fills less at higher fill costs.
func (outcomes admissionOutcomes) checkCafePolicy(r *report.Report) {
	for sizeIndex, share := range diskSizes {
		cafe := outcomes[report.VariantCafe][sizeIndex]
		for alphaIndex, alpha := range fillCosts {
			efficiency := cafe[alphaIndex].efficiency
			xlru := outcomes[report.VariantXLRU][sizeIndex][alphaIndex].efficiency
			if alpha >= minAlphaAboveXLRU && efficiency < xlru {
				r.AddViolation(
					"disk %g%%, alpha %g: Cafe has an efficiency of %.3f, xLRU of %.3f",
					share*100,
					alpha,
					efficiency,
					xlru,
				)
			}
			lru := outcomes[report.VariantLRU][sizeIndex][alphaIndex].efficiency
			if alpha >= minAlphaAboveLRU && efficiency < lru {
				r.AddViolation(
					"disk %g%%, alpha %g: Cafe has an efficiency of %.3f, LRU of %.3f",
					share*100,
					alpha,
					efficiency,
					lru,
				)
			}
		}
		if cafe[len(cafe)-1].filled > cafe[0].filled {
			r.AddViolation("disk %g%%: Cafe fills more at alpha 4 than at 0.5", share*100)
		}
	}
}

// xlruDiskRatio returns the multiple of a disk size at which xLRU reaches an efficiency. If the largest tried multiple
// is not enough, it returns one step more than that.
func xlruDiskRatio(options Options, day []view, sizeBytes, efficiency float64) float64 {
	for times := 1.0; times <= xlruMaxDisk; times += xlruDiskStep {
		policy := eviction.NewXLRU(int64(sizeBytes*times), xlruAlpha)
		if replayDay(day, policy, xlruAlpha).efficiency >= efficiency {
			return times
		}
		options.Progress("xLRU with %.2f times the disk", times)
	}
	return xlruMaxDisk + xlruDiskStep
}
