package lab

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
	admitAlphaFromBeatsLRU  = 1.0
	admitAlphaFromBeatsXLRU = 2.0
	xlruAlpha               = 2.0  // at which the disk sizes are compared
	xlruDiskStep            = 0.25 // of the disk, between two tries
	xlruMaxDisk             = 4.0  // times the disk
)

// admitSizes are the disks, as shares of the bytes of all chunks that are asked for.
var admitSizes = []float64{0.02, 0.05, 0.1}

// middleSize is the index of the size with the most figures.
const middleSize = 1

// admitAlphas are the costs of a fill over that of a pass.
var admitAlphas = []float64{0.5, 1, 2, 4}

// admitPolicy is an eviction policy that is compared.
type admitPolicy struct {
	name string
	make func(sizeBytes int64, alpha float64) eviction.Policy
}

// admitOutcomes are what the policies reach, by the indices of size and alpha.
type admitOutcomes map[string][][]admitOutcome

var diskAdmitScenario = Scenario{
	Name: "disk-admit",
	Description: "What a disk should keep: the tier's choice against LRU and xLRU over a video-like day, by the " +
		"paper's Eq. 2",
	Run: runDiskAdmit,
}

func runDiskAdmit(ctx context.Context, options Options, r *report.Report) error {
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
	r.Counts["requests"] = int64(len(day))
	r.Counts["parts"] = int64(len(distinct))
	policies := []admitPolicy{
		{"lru", func(size int64, _ float64) eviction.Policy { return eviction.NewLRU(size) }},
		{"xlru", func(size int64, alpha float64) eviction.Policy { return eviction.NewXLRU(size, alpha) }},
		{"tier", func(size int64, alpha float64) eviction.Policy {
			return eviction.NewCafe(eviction.Config{Alpha: alpha, CapacityBytes: size, MaxGhosts: len(distinct)})
		}},
	}
	outcomes, err := simulatePolicies(ctx, options, day, policies, allBytes)
	if err != nil {
		return err
	}
	outcomes.addFigures(r)
	outcomes.addPlots(r, policies)
	outcomes.policyBeatsOthers(r)
	r.Figures["xlru_disk_for_the_same"] = xlruDiskForSame(
		options, day, allBytes*admitSizes[middleSize], outcomes["tier"][middleSize][2].efficiency,
	)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d requests of one day for %d parts of 2 MiB; disks of 2%%, 5%% and 10%% of the bytes of all of them",
			len(day),
			len(distinct),
		),
		fmt.Sprintf(
			"judged from %.0f%% of the day on; a simulation of the choice alone, no disk is written",
			measuredFrom*100,
		),
	)
	return nil
}

// simulatePolicies plays the day for each policy, size and alpha.
func simulatePolicies(
	ctx context.Context, options Options, day []view, policies []admitPolicy, allBytes float64,
) (admitOutcomes, error) {
	var mu sync.Mutex
	done, total := 0, len(policies)*len(admitSizes)*len(admitAlphas)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	outcomes := admitOutcomes{}
	for _, policy := range policies {
		bySize := make([][]admitOutcome, len(admitSizes))
		outcomes[policy.name] = bySize
		for sizeIndex, share := range admitSizes {
			bySize[sizeIndex] = make([]admitOutcome, len(admitAlphas))
			for alphaIndex, alpha := range admitAlphas {
				group.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					outcome := playDay(day, policy.make(int64(allBytes*share), alpha), alpha)
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

// addFigures reports the efficiency of all, and for the middle size what was filled and passed.
func (outcomes admitOutcomes) addFigures(r *report.Report) {
	for policy, bySize := range outcomes {
		for sizeIndex, share := range admitSizes {
			for alphaIndex, alpha := range admitAlphas {
				outcome := bySize[sizeIndex][alphaIndex]
				name := fmt.Sprintf("%s.disk%g%%.alpha%g", policy, share*100, alpha)
				r.Figures["efficiency."+name] = outcome.efficiency
				if sizeIndex == middleSize {
					r.Figures["filled."+name] = outcome.filled
					r.Figures["passed."+name] = outcome.passed
				}
			}
		}
	}
}

// addPlots adds a plot of the efficiency for each size.
func (outcomes admitOutcomes) addPlots(r *report.Report, policies []admitPolicy) {
	for sizeIndex, share := range admitSizes {
		plot := report.Plot{
			Title:  fmt.Sprintf("Efficiency with a disk of %g%% of all bytes", share*100),
			XLabel: "alpha (cost of a fill over that of a pass)",
			YLabel: "efficiency (Eq. 2)",
		}
		for _, policy := range policies {
			line := report.Line{Name: policy.name}
			for alphaIndex, alpha := range admitAlphas {
				line.Add(alpha, outcomes[policy.name][sizeIndex][alphaIndex].efficiency)
			}
			plot.Lines = append(plot.Lines, line)
		}
		r.Plots = append(r.Plots, plot)
	}
}

// policyBeatsOthers checks what must hold whatever the day: where fills are expensive the product's policy beats LRU
// and xLRU, and it fills less the more expensive fills are.
func (outcomes admitOutcomes) policyBeatsOthers(r *report.Report) {
	for sizeIndex, share := range admitSizes {
		tier := outcomes["tier"][sizeIndex]
		for alphaIndex, alpha := range admitAlphas {
			efficiency := tier[alphaIndex].efficiency
			xlru := outcomes["xlru"][sizeIndex][alphaIndex].efficiency
			if alpha >= admitAlphaFromBeatsXLRU && efficiency < xlru {
				r.Broke(
					"disk %g%%, alpha %g: the tier's choice has %.3f, xLRU %.3f", share*100, alpha, efficiency, xlru,
				)
			}
			lru := outcomes["lru"][sizeIndex][alphaIndex].efficiency
			if alpha >= admitAlphaFromBeatsLRU && efficiency < lru {
				r.Broke("disk %g%%, alpha %g: the tier's choice has %.3f, LRU %.3f", share*100, alpha, efficiency, lru)
			}
		}
		if tier[len(tier)-1].filled > tier[0].filled {
			r.Broke("disk %g%%: more is filled at alpha 4 than at 0.5", share*100)
		}
	}
}

// xlruDiskForSame is how many times the disk xLRU needs to reach an efficiency. It is one step over the most that is
// tried where that is not enough.
func xlruDiskForSame(options Options, day []view, sizeBytes, efficiency float64) float64 {
	for times := 1.0; times <= xlruMaxDisk; times += xlruDiskStep {
		policy := eviction.NewXLRU(int64(sizeBytes*times), xlruAlpha)
		if playDay(day, policy, xlruAlpha).efficiency >= efficiency {
			return times
		}
		options.Progress("xLRU with %.2f times the disk", times)
	}
	return xlruMaxDisk + xlruDiskStep
}
