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
	firstKillSeconds   = 15.0 // from the start of a play
	killEverySeconds   = 20.0 //
	kills              = 2    // a play
	killLastsSeconds   = 18.0 // SWIM as published needs up to 13 s to notice at 3,000 peers
	settleSeconds      = 12.0 // at the begin of a play, not counted in rates
	maxJoinedPeers     = 400  // more peers know each other from the start: the joining is not what is measured
	falseFailuresRatio = 20   // SWIM as published has to have at least so many times our false failures
)

// curvePoint is one size and loss, with our core or with SWIM as published.
type curvePoint struct {
	peers     int
	loss      float64
	published bool
}

// suffix is how the point's figures are told apart in the report.
func (p curvePoint) suffix() string {
	suffix := fmt.Sprintf(".%04d.loss%02.0f", p.peers, p.loss*100)
	if p.published {
		return ".swim" + suffix
	}
	return suffix
}

// script has two kills and returns, and the point's loss throughout.
func (p curvePoint) script(seed uint64) faults.Script {
	script := faults.Script{Seed: seed, Processes: p.peers, Duration: playSeconds}
	if p.loss > 0 {
		script.Faults = append(script.Faults, faults.Fault{Kind: faults.Loss, Share: p.loss})
	}
	for kill := range kills {
		at := firstKillSeconds + killEverySeconds*float64(kill)
		script.Faults = append(script.Faults, faults.Fault{
			Kind:  faults.Kill,
			Start: at,
			End:   at + killLastsSeconds,
			From:  []int{(7*kill + int(seed)) % p.peers},
		})
	}
	return script
}

// config makes the simulation of the point's script.
func (p curvePoint) config(seed uint64) simmembership.Config {
	return simmembership.Config{
		Script:    p.script(seed),
		SWIM:      swim.Config{MaxByzantine: maxByzantine, PublishedSWIM: p.published},
		Preloaded: p.peers > maxJoinedPeers,
	}
}

// curveFigures are a point's results over all seeds.
type curveFigures struct {
	detectionSeconds []float64 // in order
	falseFailures    int
	suspicions       int
	resurrected      int
	bytesPerSecond   float64 // the mean of the seeds
}

// summarize adds up the results of a point's seeds.
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

// curvePlots are the three drawings of the curves.
type curvePlots struct {
	detection     report.Plot
	falseFailures report.Plot
	bytes         report.Plot
}

func newCurvePlots() *curvePlots {
	return &curvePlots{
		detection: report.Plot{
			Title:  "From a kill until half of the others know, and until 99 in 100 do",
			XLabel: "peers",
			YLabel: "s",
		},
		falseFailures: report.Plot{Title: "Wrong drops a minute a peer", XLabel: "peers", YLabel: "drops"},
		bytes: report.Plot{
			Title:  "KB a second a peer, with two kills and returns in 48 s",
			XLabel: "peers",
			YLabel: "KB/s",
		},
	}
}

// curveLines are one loss's lines in the drawings.
type curveLines struct {
	median        report.Line
	p99           report.Line
	falseFailures report.Line
	bytes         report.Line
}

func newCurveLines(loss float64, published bool) *curveLines {
	name := fmt.Sprintf("%.0f%% lost", loss*100)
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

// add draws a point's figures.
func (l *curveLines) add(point curvePoint, seeds int, figures curveFigures) {
	peers := float64(point.peers)
	if len(figures.detectionSeconds) > 0 {
		l.median.Add(peers, median(figures.detectionSeconds))
		l.p99.Add(peers, quantile(figures.detectionSeconds, 0.99))
	}
	perPeer := float64(figures.falseFailures) / float64(point.peers*seeds)
	l.falseFailures.Add(peers, perPeer*60/(playSeconds-settleSeconds))
	l.bytes.Add(peers, figures.bytesPerSecond/1000)
}

// addTo puts the lines into the drawings.
func (l *curveLines) addTo(plots *curvePlots) {
	plots.detection.Lines = append(plots.detection.Lines, l.median, l.p99)
	plots.falseFailures.Lines = append(plots.falseFailures.Lines, l.falseFailures)
	plots.bytes.Lines = append(plots.bytes.Lines, l.bytes)
}

// reportFigures writes a point's figures into the report.
func reportFigures(r *report.Report, point curvePoint, figures curveFigures) {
	suffix := point.suffix()
	if len(figures.detectionSeconds) > 0 {
		r.Figures["detect_p50_s"+suffix] = median(figures.detectionSeconds)
		r.Figures["detect_p99_s"+suffix] = quantile(figures.detectionSeconds, 0.99)
	}
	r.Figures["wrong"+suffix] = float64(figures.falseFailures)
	r.Figures["bytes_s"+suffix] = figures.bytesPerSecond
	r.Figures["suspicions"+suffix] = float64(figures.suspicions)
	r.Counts["resurrected"] += int64(figures.resurrected)
	if point.published {
		r.Counts["wrong_swim"] += int64(figures.falseFailures)
	} else {
		r.Counts["wrong"] += int64(figures.falseFailures)
	}
}

// playCurves compares our core with SWIM as published on the same scripts.
func (c Membership) playCurves(ctx context.Context, r *report.Report) error {
	points := c.curvePoints()
	results, err := c.playPoints(ctx, points)
	if err != nil {
		return err
	}
	seeds := c.Seeds.Count()
	r.Counts["wrong"], r.Counts["wrong_swim"], r.Counts["resurrected"] = 0, 0, 0
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
	r.Steps = append(r.Steps, fmt.Sprintf("%d seeds of %.0f s each, two kills and returns; "+
		"the same scripts with SWIM as published (fixed suspicion, one accuser believed)", seeds, playSeconds))
	judgeCurves(r)
	return nil
}

// curvePoints lists the sizes and losses, each with our core and with SWIM as published.
func (c Membership) curvePoints() []curvePoint {
	var points []curvePoint
	for _, peers := range c.Sizes {
		for _, loss := range c.Losses {
			points = append(points, curvePoint{peers, loss, false}, curvePoint{peers, loss, true})
		}
	}
	return points
}

// playPoints plays all seeds of all points side by side. A point's results lie together, in the order of the seeds.
func (c Membership) playPoints(ctx context.Context, points []curvePoint) ([]*simmembership.Result, error) {
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
			c.Progress("%d peers, %.0f%% lost, plain %v", point.peers, point.loss*100, point.published)
			result, err := simmembership.Run(point.config(c.Seeds.From + uint64(i%seeds)))
			results[i] = result
			return err
		})
	}
	return results, group.Wait()
}

// judgeCurves holds the curves to their bounds.
func judgeCurves(r *report.Report) {
	if r.Counts["resurrected"] > 0 {
		r.Broke("%d peers came back without a higher incarnation", r.Counts["resurrected"])
	}
	if falseFailuresRatio*r.Counts["wrong"] > r.Counts["wrong_swim"] {
		r.Broke("%d wrong drops, over a twentieth of SWIM's %d", r.Counts["wrong"], r.Counts["wrong_swim"])
	}
}
