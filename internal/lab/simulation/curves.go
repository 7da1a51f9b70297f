package simulation

import (
	"context"
	"fmt"
	"runtime"
	"sort"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"
	simmembership "cairnfront/internal/sim/membership"

	"golang.org/x/sync/errgroup"
)

const (
	firstKillSeconds      = 15.0 // time of the first kill since the start of a run
	killIntervalSeconds   = 20.0 // interval between two kills
	killsPerRun           = 2    // kills per run
	killDurationSeconds   = 18.0 // published SWIM needs up to 13 s to detect a kill with 3,000 peers
	settleSeconds         = 12.0 // start of a run that rates do not include
	maxJoinedPeers        = 400  // with more peers, all know each other from the start, as joining is not measured
	minFalseFailuresRatio = 20   // minimum ratio of published SWIM's false failures to the product's
)

// curvePoint is one combination of group size and loss, with the product's SWIM core or with SWIM as published.
type curvePoint struct {
	peers     int
	loss      float64
	published bool
}

// suffix returns the key suffix of the point's figures in the report.
func (p curvePoint) suffix() string {
	suffix := fmt.Sprintf(".%04d.loss%02.0f", p.peers, p.loss*100)
	if p.published {
		return "." + report.VariantPublishedSWIM + suffix
	}
	return suffix
}

// script returns a script with two kills and restarts, and the point's loss for the duration of the run.
func (p curvePoint) script(seed uint64) faults.Script {
	script := faults.Script{Seed: seed, Processes: p.peers, Duration: runSeconds}
	if p.loss > 0 {
		script.Faults = append(script.Faults, faults.Fault{Kind: faults.Loss, Share: p.loss})
	}
	for kill := range killsPerRun {
		at := firstKillSeconds + killIntervalSeconds*float64(kill)
		script.Faults = append(script.Faults, faults.Fault{
			Kind:  faults.Kill,
			Start: at,
			End:   at + killDurationSeconds,
			From:  []int{(7*kill + int(seed)) % p.peers},
		})
	}
	return script
}

// config returns the simulation configuration of the point.
func (p curvePoint) config(seed uint64) simmembership.Config {
	return simmembership.Config{
		Script:    p.script(seed),
		SWIM:      swim.Config{MaxByzantine: maxByzantine, PublishedSWIM: p.published},
		Preloaded: p.peers > maxJoinedPeers,
	}
}

// curveFigures are a point's results over all seeds.
type curveFigures struct {
	detectionSeconds []float64 // sorted
	falseFailures    int
	suspicions       int
	resurrected      int
	bytesPerSecond   float64 // mean over the seeds
}

// summarize combines the results of a point's seeds.
func summarize(results []*simmembership.Result) curveFigures {
	var figures curveFigures
	for _, result := range results {
		figures.detectionSeconds = append(figures.detectionSeconds, result.DetectionSeconds...)
		figures.falseFailures += result.FalseFailures
		figures.suspicions += result.Suspicions
		figures.resurrected += result.Resurrected
		figures.bytesPerSecond += result.BytesPerSecond / float64(len(results))
	}
	sort.Float64s(figures.detectionSeconds)
	return figures
}

// curvePlots are the three plots of the curves.
type curvePlots struct {
	detection     report.Plot
	falseFailures report.Plot
	bytes         report.Plot
}

func newCurvePlots() *curvePlots {
	return &curvePlots{
		detection: report.Plot{
			Title:  "Time from a kill until half of the others have detected it, and until 99 in 100 have",
			XLabel: "peers",
			YLabel: "s",
		},
		falseFailures: report.Plot{Title: "False failures per minute and peer", XLabel: "peers", YLabel: "failures"},
		bytes: report.Plot{
			Title:  "KB per second and peer, with two kills and restarts in 48 s",
			XLabel: "peers",
			YLabel: "KB/s",
		},
	}
}

// curveLines are the lines of one loss rate in the plots.
type curveLines struct {
	median        report.Line
	p99           report.Line
	falseFailures report.Line
	bytes         report.Line
}

func newCurveLines(loss float64, published bool) *curveLines {
	name := fmt.Sprintf("%.0f%% loss", loss*100)
	if published {
		name = "SWIM, " + name
	}
	return &curveLines{
		median:        report.Line{Name: name + ", p50"},
		p99:           report.Line{Name: name + ", p99"},
		falseFailures: report.Line{Name: name},
		bytes:         report.Line{Name: name},
	}
}

// add adds a point's figures to the lines.
func (l *curveLines) add(point curvePoint, seeds int, figures curveFigures) {
	peers := float64(point.peers)
	if len(figures.detectionSeconds) > 0 {
		l.median.Add(peers, median(figures.detectionSeconds))
		l.p99.Add(peers, quantile(figures.detectionSeconds, 0.99))
	}
	perPeer := float64(figures.falseFailures) / float64(point.peers*seeds)
	l.falseFailures.Add(peers, perPeer*60/(runSeconds-settleSeconds))
	l.bytes.Add(peers, figures.bytesPerSecond/1000)
}

// addTo adds the lines to the plots.
func (l *curveLines) addTo(plots *curvePlots) {
	plots.detection.Lines = append(plots.detection.Lines, l.median, l.p99)
	plots.falseFailures.Lines = append(plots.falseFailures.Lines, l.falseFailures)
	plots.bytes.Lines = append(plots.bytes.Lines, l.bytes)
}

// reportFigures writes a point's figures to the report.
func reportFigures(r *report.Report, point curvePoint, figures curveFigures) {
	suffix := point.suffix()
	if len(figures.detectionSeconds) > 0 {
		r.Figures[report.DetectionP50+suffix] = median(figures.detectionSeconds)
		r.Figures[report.DetectionP99+suffix] = quantile(figures.detectionSeconds, 0.99)
	}
	r.Figures[report.FalseFailures+suffix] = float64(figures.falseFailures)
	r.Figures[report.BytesPerSecond+suffix] = figures.bytesPerSecond
	r.Figures[report.Suspicions+suffix] = float64(figures.suspicions)
	r.Counts[report.Resurrected] += int64(figures.resurrected)
	if point.published {
		r.Counts[report.FalseFailuresPublished] += int64(figures.falseFailures)
	} else {
		r.Counts[report.FalseFailures] += int64(figures.falseFailures)
	}
}

// runCurves compares the product's SWIM core with SWIM as published on the same scripts.
func (c Membership) runCurves(ctx context.Context, r *report.Report) error {
	points := c.curvePoints()
	results, err := c.runPoints(ctx, points)
	if err != nil {
		return err
	}
	seeds := c.Seeds.Count()
	r.Counts[report.FalseFailures], r.Counts[report.FalseFailuresPublished], r.Counts[report.Resurrected] = 0, 0, 0
	plots := newCurvePlots()
	for _, loss := range c.Losses {
		for _, published := range []bool{false, true} {
			lines := newCurveLines(loss, published)
			for i, point := range points {
				if point.loss != loss || point.published != published {
					continue
				}
				figures := summarize(results[i*seeds : (i+1)*seeds])
				reportFigures(r, point, figures)
				lines.add(point, seeds, figures)
			}
			lines.addTo(plots)
		}
	}
	r.Plots = append(r.Plots, plots.detection, plots.falseFailures, plots.bytes)
	r.Steps = append(r.Steps, fmt.Sprintf("%d seeds of %.0f s each, two kills and restarts; "+
		"the same scripts with SWIM as published (fixed suspicion time, one accuser suffices)", seeds, runSeconds))
	checkCurves(r)
	return nil
}

// curvePoints returns all combinations of size and loss, each with the product's SWIM core and with SWIM as published.
func (c Membership) curvePoints() []curvePoint {
	var points []curvePoint
	for _, peers := range c.Sizes {
		for _, loss := range c.Losses {
			points = append(points, curvePoint{peers, loss, false}, curvePoint{peers, loss, true})
		}
	}
	return points
}

// runPoints runs all seeds of all points in parallel. The results of a point are consecutive, in the order of the
// seeds.
func (c Membership) runPoints(ctx context.Context, points []curvePoint) ([]*simmembership.Result, error) {
	seeds := c.Seeds.Count()
	results := make([]*simmembership.Result, len(points)*seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.NumCPU()-1, 1))
	for i := range results {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			point := points[i/seeds]
			c.Progress("%d peers, %.0f%% loss, published SWIM: %v", point.peers, point.loss*100, point.published)
			result, err := simmembership.Run(point.config(c.Seeds.From + uint64(i%seeds)))
			results[i] = result
			return err
		})
	}
	return results, group.Wait()
}

// checkCurves compares the curves with their limits.
func checkCurves(r *report.Report) {
	if r.Counts[report.Resurrected] > 0 {
		r.AddViolation("%d failed peers came back without a higher incarnation", r.Counts[report.Resurrected])
	}
	ours, published := r.Counts[report.FalseFailures], r.Counts[report.FalseFailuresPublished]
	if minFalseFailuresRatio*ours > published {
		r.AddViolation("%d false failures, more than a twentieth of the %d of published SWIM", ours, published)
	}
}
