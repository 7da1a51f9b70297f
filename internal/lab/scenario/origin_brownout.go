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
	// brownoutFailureRate is the share of attempts that fail, high enough that nearly every request needs a retry.
	brownoutFailureRate = 0.5
	// retryBudget is the maximum ratio of retries to first attempts, in the variant with a budget.
	retryBudget = 0.2
)

// Keys of the compared figures.
var (
	attemptsWithBudget    = report.Key(report.AttemptsPerRequest, report.VariantRetryBudget)
	attemptsWithoutBudget = report.Key(report.AttemptsPerRequest, report.VariantNoBudget)
)

// brownoutSize is the durations and the number of clients of a run.
type brownoutSize struct {
	normalDuration time.Duration // duration before and after the brownout
	brownout       time.Duration
	clients        int
}

var originBrownoutScenario = Scenario{
	Name:       "origin-brownout",
	ReportName: report.ScenarioOriginBrownout,
	Description: "Origin and caches fail half of their attempts for a while, with and without a retry budget: how " +
		"many attempts a request costs",
	Run: runBrownouts,
}

func runBrownouts(ctx context.Context, options Options, r *report.Report) error {
	size := brownoutSize{normalDuration: 2 * time.Second, brownout: 5 * time.Second, clients: 24}
	if options.Full {
		size = brownoutSize{normalDuration: 5 * time.Second, brownout: 30 * time.Second, clients: 40}
	}
	plot := report.Plot{
		Title:  "Attempts per request, by second",
		XLabel: "s",
		YLabel: "attempts",
		Marks: []report.Mark{
			{At: size.normalDuration.Seconds(), Name: "brown-out"},
			{At: (size.normalDuration + size.brownout).Seconds(), Name: "end of the brown-out"},
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
			size.brownout.Seconds(),
			brownoutFailureRate,
		),
	)
	checkRetryBudget(r)
	return nil
}

// checkRetryBudget checks that a budget at least halves the retries per request.
func checkRetryBudget(r *report.Report) {
	with, without := r.Figures[attemptsWithBudget], r.Figures[attemptsWithoutBudget]
	if with-1 > (without-1)/2 {
		r.AddViolation(
			"with a retry budget of %.1f a request costs %.2f attempts in the brown-out, without one %.2f",
			retryBudget,
			with,
			without,
		)
	}
}

// runBrownout runs a brownout with a retry budget, 0 for none. It returns the attempts per request by second, as a
// line.
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

// startFailingStandIns starts stand-ins that fail some attempts while failing is set. A hash of the request id and the
// attempt number selects the attempts that fail, so both variants have the same failures.
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

// runBrownoutPhases runs the clients before, during and after a brownout.
func runBrownoutPhases(
	ctx context.Context, group *standin.ClientGroup, failing *atomic.Bool, size brownoutSize,
) error {
	stop := standin.StartLoad(ctx, group)
	defer stop()
	for _, phase := range []struct {
		duration time.Duration
		failing  bool
	}{{size.normalDuration, false}, {size.brownout, true}, {size.normalDuration, false}} {
		failing.Store(phase.failing)
		if err := timing.Sleep(ctx, phase.duration); err != nil {
			return err
		}
	}
	return nil
}

// countPerSecond counts the clients' requests and the stand-ins' attempts, by second since the start.
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

// addAttemptFigures reports the attempts per request during the brownout. It excludes the first second, in which the
// budget's window fills. It returns the attempts per request by second, as a line.
func addAttemptFigures(
	r *report.Report, name string, requests, attempts map[int]float64, size brownoutSize,
) report.Line {
	line := report.Line{Name: report.SuffixLabel(name)}
	brownoutRequests, brownoutAttempts := 0.0, 0.0
	for second := range int((2*size.normalDuration + size.brownout).Seconds()) {
		line.Add(float64(second), attempts[second]/max(requests[second], 1))
		if second > int(size.normalDuration.Seconds()) && second < int((size.normalDuration+size.brownout).Seconds()) {
			brownoutAttempts += attempts[second]
			brownoutRequests += requests[second]
		}
	}
	r.Figures[report.Key(report.AttemptsPerRequest, name)] = brownoutAttempts / max(brownoutRequests, 1)
	r.Figures[report.Key(report.AttemptsPerSecond, name)] = brownoutAttempts / max(size.brownout.Seconds()-1, 1)
	return line
}

// attemptHash returns a pseudo-random number derived from a request id and an attempt number.
func attemptHash(id string, n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	for _, c := range []byte(id) {
		x = (x ^ uint64(c)) * 0x100000001b3
	}
	return (x ^ x>>33) * 0xff51afd7ed558ccd >> 20
}
