package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
)

const (
	// brownoutFailureRate is the share of the attempts that fail, so that nearly every request wants a retry.
	brownoutFailureRate = 0.5
	// retryBudget is the retries that the routers may make beside the first attempts, in the variant with a budget.
	retryBudget = 0.2
)

// Keys of the figures that are compared.
var (
	attemptsWithBudget    = report.Key(report.AttemptsPerRequest, report.VariantRetryBudget)
	attemptsWithoutBudget = report.Key(report.AttemptsPerRequest, report.VariantNoBudget)
)

// brownoutSize is how long and with how many clients a brown-out lasts.
type brownoutSize struct {
	calm    time.Duration // before and after
	brown   time.Duration
	clients int
}

var originBrownoutScenario = Scenario{
	Name:       "origin-brownout",
	ReportName: report.ScenarioOriginBrownout,
	Description: "Origin and caches fail half of their attempts for a while, with and without a retry budget: how " +
		"many attempts a request costs",
	Run: runBrownouts,
}

func runBrownouts(ctx context.Context, options Options, r *report.Report) error {
	size := brownoutSize{calm: 2 * time.Second, brown: 5 * time.Second, clients: 24}
	if options.Full {
		size = brownoutSize{calm: 5 * time.Second, brown: 30 * time.Second, clients: 40}
	}
	plot := report.Plot{
		Title:  "Attempts per request, by second",
		XLabel: "s",
		YLabel: "attempts",
		Marks: []report.Mark{
			{At: size.calm.Seconds(), Name: "brown-out"},
			{At: (size.calm + size.brown).Seconds(), Name: "end of the brown-out"},
		},
	}
	for _, variant := range []struct {
		name   string
		budget float64
	}{{report.VariantNoBudget, 0}, {report.VariantRetryBudget, retryBudget}} {
		options.Progress("%s", report.SuffixLabel(variant.name))
		line, err := runBrownout(ctx, options, r, variant.name, variant.budget, size)
		if err != nil {
			return fmt.Errorf("%s: %w", variant.name, err)
		}
		plot.Lines = append(plot.Lines, line)
	}
	r.Plots = append(r.Plots, plot)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"four stand-in endpoints, %d clients; for %.0f s each attempt fails with a probability of %.1f",
			size.clients,
			size.brown.Seconds(),
			brownoutFailureRate,
		),
	)
	retriesBounded(r)
	return nil
}

// retriesBounded checks that a budget halves the retries of a request, at least.
func retriesBounded(r *report.Report) {
	with, without := r.Figures[attemptsWithBudget], r.Figures[attemptsWithoutBudget]
	if with-1 > (without-1)/2 {
		r.Broke(
			"with a retry budget of %.1f a request costs %.2f attempts in the brown-out, without one %.2f",
			retryBudget,
			with,
			without,
		)
	}
}

// runBrownout runs a brown-out with a retry budget. The line is the attempts per request, by second.
func runBrownout(
	ctx context.Context, options Options, r *report.Report, name string, budget float64, size brownoutSize,
) (report.Line, error) {
	var err error
	if options.Directory, err = os.MkdirTemp(options.Directory, "b"); err != nil {
		return report.Line{}, err
	}
	testCluster, err := cluster.New(options.clusterOptions(), 1)
	if err != nil {
		return report.Line{}, err
	}
	defer testCluster.Close(r)
	var failing atomic.Bool
	standIns, err := startFailingStandIns(testCluster, &failing)
	defer func() {
		for _, standIn := range standIns {
			standIn.Close()
		}
	}()
	if err != nil {
		return report.Line{}, err
	}
	testCluster.ConfigFile = filepath.Join(options.Directory, cluster.ConfigFileName)
	settings := map[string]any{"router": map[string]any{"further_share": budget}}
	if err := cluster.WriteConfigFile(testCluster.ConfigFile, settings); err != nil {
		return report.Line{}, err
	}
	if err := testCluster.AddRouter(1); err != nil {
		return report.Line{}, err
	}
	group := testCluster.NewClientGroup(testCluster.Routers[0], size.clients, 20*time.Millisecond)
	startedAt := timing.UnixSeconds(time.Now())
	if err := runBrownoutPhases(ctx, group, &failing, size); err != nil {
		return report.Line{}, err
	}
	before := r.Counts[report.Completed]
	testCluster.Verify(r, []*standin.ClientGroup{group})
	completed := float64(r.Counts[report.Completed] - before)
	r.Figures[report.Key(report.CompletedShare, name)] = completed / float64(max(len(testCluster.Responses()), 1))
	requests, attempts := countPerSecond(testCluster.Responses(), standIns, startedAt)
	return addAttemptFigures(r, name, requests, attempts, size), nil
}

// startFailingStandIns starts stand-ins that fail some attempts while failing is set. Which ones is drawn from the
// request's id and the attempt's number, and so the same in both variants.
func startFailingStandIns(
	testCluster *cluster.Cluster, failing *atomic.Bool,
) (standIns []*standin.Endpoint, err error) {
	for _, kind := range cluster.StandInKinds {
		standIn, err := testCluster.AddStandIn(kind, func(command cacheproto.Command) []byte {
			if command.ClassName == standin.ClassPrintOrder {
				return nil
			}
			return testCluster.SyntheticBody(command)
		})
		if err != nil {
			return standIns, err
		}
		standIn.FailAttempt = func(command cacheproto.Command, n int) bool {
			return failing.Load() && float64(attemptHash(command.ID, n)%1000) < brownoutFailureRate*1000
		}
		standIns = append(standIns, standIn)
	}
	return standIns, nil
}

// runBrownoutPhases runs the clients through a calm, a brown-out and a calm again.
func runBrownoutPhases(
	ctx context.Context, group *standin.ClientGroup, failing *atomic.Bool, size brownoutSize,
) error {
	stop := standin.StartLoad(ctx, group)
	defer stop()
	for _, phase := range []struct {
		duration time.Duration
		failing  bool
	}{{size.calm, false}, {size.brown, true}, {size.calm, false}} {
		failing.Store(phase.failing)
		if err := timing.Sleep(ctx, phase.duration); err != nil {
			return err
		}
	}
	return nil
}

// countPerSecond counts the clients' requests and the attempts that came to stand-ins, by the second since the start.
func countPerSecond(
	responses []verify.Response, standIns []*standin.Endpoint, startedAt float64,
) (requests, attempts map[int]float64) {
	requests, attempts = map[int]float64{}, map[int]float64{}
	for i := range responses {
		requests[int(responses[i].SentAt-startedAt)]++
	}
	for _, standIn := range standIns {
		for _, attempt := range standIn.Attempts() {
			attempts[int(attempt.StartedAt-startedAt)]++
		}
	}
	return requests, attempts
}

// addAttemptFigures reports the attempts per request in the brown-out, without its first second, which fills the
// budget's window. The line is the same second by second.
func addAttemptFigures(
	r *report.Report, name string, requests, attempts map[int]float64, size brownoutSize,
) report.Line {
	line := report.Line{Name: report.SuffixLabel(name)}
	brownRequests, brownAttempts := 0.0, 0.0
	for second := range int((2*size.calm + size.brown).Seconds()) {
		line.Add(float64(second), attempts[second]/max(requests[second], 1))
		if second > int(size.calm.Seconds()) && second < int((size.calm+size.brown).Seconds()) {
			brownAttempts += attempts[second]
			brownRequests += requests[second]
		}
	}
	r.Figures[report.Key(report.AttemptsPerRequest, name)] = brownAttempts / max(brownRequests, 1)
	r.Figures[report.Key(report.AttemptsPerSecond, name)] = brownAttempts / max(size.brown.Seconds()-1, 1)
	return line
}

// attemptHash draws a number from a request's id and the number of its attempt.
func attemptHash(id string, n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	for _, c := range []byte(id) {
		x = (x ^ uint64(c)) * 0x100000001b3
	}
	return (x ^ x>>33) * 0xff51afd7ed558ccd >> 20
}
