package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/report"
)

const (
	// brownoutFailureRate is the share of the attempts that fail, so that nearly every request wants a retry.
	brownoutFailureRate = 0.5
	// retryBudget is the retries that the routers may make beside the first attempts, in the variant with a budget.
	retryBudget = 0.2
)

// brownoutSize is how long and with how many clients a brown-out is played.
type brownoutSize struct {
	calm    time.Duration // before and after
	brown   time.Duration
	clients int
}

var brownoutScenario = Scenario{
	Name: "brownout",
	Description: "All caches fail half of their hops for a while, with and without a budget of further hops: how " +
		"many hops a txn costs",
	Run: runBrownouts,
}

func runBrownouts(ctx context.Context, options Options, r *report.Report) error {
	size := brownoutSize{calm: 2 * time.Second, brown: 5 * time.Second, clients: 24}
	if options.Full {
		size = brownoutSize{calm: 5 * time.Second, brown: 30 * time.Second, clients: 40}
	}
	plot := report.Plot{
		Title:  "Hops a txn, second by second",
		XLabel: "s",
		YLabel: "hops",
		Marks: []report.Mark{
			{At: size.calm.Seconds(), Name: "brown-out"},
			{At: (size.calm + size.brown).Seconds(), Name: "over"},
		},
	}
	for _, variant := range []struct {
		name   string
		budget float64
	}{{"none", 0}, {"budget", retryBudget}} {
		options.Progress("%s", variant.name)
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
			"four stand-in members, %d clients; for %.0f s each hop fails with odds of %.1f",
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
	with, without := r.Figures["hops_a_txn.budget"], r.Figures["hops_a_txn.none"]
	if with-1 > (without-1)/2 {
		r.Broke("with a budget of 0.2 a txn costs %.2f hops in the brown-out, without one %.2f", with, without)
	}
}

// runBrownout plays a brown-out with a retry budget. The line is the attempts a request, second by second.
func runBrownout(
	ctx context.Context, options Options, r *report.Report, name string, budget float64, size brownoutSize,
) (report.Line, error) {
	cluster, err := newTestCluster(options, 1)
	if err != nil {
		return report.Line{}, err
	}
	defer cluster.close(r)
	if cluster.options.Directory, err = os.MkdirTemp(options.Directory, "b"); err != nil {
		return report.Line{}, err
	}
	var failing atomic.Bool
	standIns, err := cluster.startFailingStandIns(&failing)
	defer func() {
		for _, standIn := range standIns {
			standIn.close()
		}
	}()
	if err != nil {
		return report.Line{}, err
	}
	cluster.operatorsFile = filepath.Join(cluster.options.Directory, "operators.yaml")
	settings := map[string]any{"router": map[string]any{"further_share": budget}}
	if err := writeOperatorsFile(cluster.operatorsFile, settings); err != nil {
		return report.Line{}, err
	}
	if err := cluster.addRouter(1); err != nil {
		return report.Line{}, err
	}
	group := cluster.newClientGroup(cluster.routers[0], size.clients, 20*time.Millisecond)
	startedAt := unixSeconds(time.Now())
	if err := playBrownoutPhases(ctx, group, &failing, size); err != nil {
		return report.Line{}, err
	}
	before := r.Counts["completed"]
	cluster.verify(r, []*clientGroup{group})
	completed := float64(r.Counts["completed"] - before)
	r.Figures["completed_share."+name] = completed / float64(max(len(cluster.responses.all), 1))
	requests, attempts := cluster.countPerSecond(standIns, startedAt)
	return addAttemptFigures(r, name, requests, attempts, size), nil
}

// startFailingStandIns starts stand-ins that fail some attempts while failing is set. Which ones is drawn from the
// request's id and the attempt's number, and so the same in both variants.
func (cluster *testCluster) startFailingStandIns(failing *atomic.Bool) (standIns []*endpointStandIn, err error) {
	for _, kind := range standInKinds {
		standIn, err := cluster.addStandIn(kind, func(command cacheproto.Command) []byte {
			if command.ClassName == classPrintOrder {
				return nil
			}
			return cluster.syntheticBody(command)
		})
		if err != nil {
			return standIns, err
		}
		standIn.failAttempt = func(command cacheproto.Command, n int) bool {
			return failing.Load() && float64(attemptHash(command.ID, n)%1000) < brownoutFailureRate*1000
		}
		standIns = append(standIns, standIn)
	}
	return standIns, nil
}

// playBrownoutPhases runs the clients through a calm, a brown-out and a calm again.
func playBrownoutPhases(ctx context.Context, group *clientGroup, failing *atomic.Bool, size brownoutSize) error {
	stop := startLoad(ctx, group)
	defer stop()
	for _, phase := range []struct {
		duration time.Duration
		failing  bool
	}{{size.calm, false}, {size.brown, true}, {size.calm, false}} {
		failing.Store(phase.failing)
		if err := sleep(ctx, phase.duration); err != nil {
			return err
		}
	}
	return nil
}

// countPerSecond counts the clients' requests and the attempts that came to stand-ins, by the second since the start.
func (cluster *testCluster) countPerSecond(
	standIns []*endpointStandIn, startedAt float64,
) (requests, attempts map[int]float64) {
	requests, attempts = map[int]float64{}, map[int]float64{}
	for _, response := range cluster.responses.all {
		requests[int(response.sentAt-startedAt)]++
	}
	for _, standIn := range standIns {
		standIn.mu.Lock()
		for _, attempt := range standIn.attempts {
			attempts[int(attempt.startedAt-startedAt)]++
		}
		standIn.mu.Unlock()
	}
	return requests, attempts
}

// addAttemptFigures reports the attempts a request in the brown-out, without its first second, which fills the
// budget's window. The line is the same second by second.
func addAttemptFigures(
	r *report.Report, name string, requests, attempts map[int]float64, size brownoutSize,
) report.Line {
	line := report.Line{Name: name}
	brownRequests, brownAttempts := 0.0, 0.0
	for second := range int((2*size.calm + size.brown).Seconds()) {
		line.Add(float64(second), attempts[second]/max(requests[second], 1))
		if second > int(size.calm.Seconds()) && second < int((size.calm+size.brown).Seconds()) {
			brownAttempts += attempts[second]
			brownRequests += requests[second]
		}
	}
	r.Figures["hops_a_txn."+name] = brownAttempts / max(brownRequests, 1)
	r.Figures["hops_a_s."+name] = brownAttempts / max(size.brown.Seconds()-1, 1)
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
