package main

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/bootstrap"
	"cairnfront/internal/clock"
	"cairnfront/internal/discovery"
	"cairnfront/internal/dispatch"
	"cairnfront/internal/frontend"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// readClocks reads the wall clock and the monotonic clock, which convert Unix times of the discovery service into
// monotonic ones. Tests replace it.
var readClocks = clock.System

const serveHelp = `Run the router with the bootstrap file that ` + bootstrap.PathVariable + ` names.

The bootstrap file (JSON, written by the deployment) has the listening address, the limits of memory and sockets, the
routing settings, the address of the discovery service and the endpoints known at the start. The configuration file
(YAML, written by operators, see 'cairnfront config defaults') is optional. It adds endpoints with several addresses,
a retry budget, membership and the admin socket.

The log goes to standard error. Signals:
  SIGHUP             read both files again; an invalid one changes nothing
  SIGUSR1            print the counters
  SIGTERM, SIGINT    drain: answer the open requests, then exit 0`

// loadBootstrap is a function that reads and parses the bootstrap file.
type loadBootstrap func() (bootstrap.Config, error)

func serveCommand() *cobra.Command {
	var configPath string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run the router with the bootstrap file that " + bootstrap.PathVariable + " names",
		Long:  serveHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), bootstrap.LoadFromEnv, configPath)
		},
	}
	c.Flags().StringVar(&configPath, "config", "", "path of the configuration file; empty: none")
	return c
}

// router is a running router. Its stages share the admission controller and the metrics.
type router struct {
	load       loadBootstrap
	config     bootstrap.Config
	metrics    *telemetry.Metrics
	admission  *admission.Controller
	pool       *upstream.Pool
	dispatcher *dispatch.Dispatcher
	frontend   *frontend.Server
	discovery  *discovery.Client
	extensions *extensions // nil if there is no configuration file
}

// pendingSignals is the number of signals that are buffered while one is handled. Further signals are dropped, as
// signal.Notify does not block when it sends to a channel.
const pendingSignals = 4

// serve runs the router until a signal terminates it. It reads the bootstrap file, and the configuration file if a path
// is given, at the start and again on SIGHUP.
//
// The stages run in goroutines of one errgroup. When a stage fails or a drain is complete, the group's context is
// cancelled, which stops all stages. serve waits for the group and then for the pool's connections. A drain waits for
// open requests for at most drainTimeout.
func serve(ctx context.Context, load loadBootstrap, configPath string) error {
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	reloads := make(chan os.Signal, 1) // a separate channel, so that repeated SIGHUPs can't displace other signals
	signal.Notify(reloads, syscall.SIGHUP)
	c, err := load()
	if err != nil {
		return err
	}
	limitRuntime(c)
	metrics := telemetry.New(os.Stderr, c.Name)
	ln, err := listen(ctx, c.ListenAddress, signals, metrics)
	if err != nil || ln == nil {
		return err
	}
	defer metrics.Dump(os.Stderr)
	r := newRouter(c, metrics)
	r.load = load
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	if configPath != "" {
		if r.extensions, err = r.extend(ctx, g, configPath); err != nil {
			return err
		}
	}
	r.start(ctx, g, ln)
	r.handleSignals(ctx, signals, reloads)
	cancel()
	return errors.Join(g.Wait(), r.pool.Wait())
}

// limitRuntime sets the limits of the Go runtime to the router's configured cores and memory.
func limitRuntime(c bootstrap.Config) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetGCPercent(admission.GCPercent)
	debug.SetMemoryLimit(admission.HeapLimitBytes(c.MemoryMB))
}

// newRouter creates a router with connected stages, without starting them.
func newRouter(c bootstrap.Config, metrics *telemetry.Metrics) *router {
	controller := admission.New(c.MemoryMB, descriptorLimit(c.MaxSockets))
	pool := &upstream.Pool{
		Admission:                controller,
		Metrics:                  metrics,
		ConnectTimeout:           settingDuration(c.Settings, routing.SettingConnectTimeout),
		EndpointIdleTimeout:      settingDuration(c.Settings, routing.SettingIdleTimeout),
		MaxAttemptsPerConnection: int(c.Settings.Float(routing.SettingMaxAttemptsPerConnection, 1)),
		RequestLoadReports:       c.Settings[routing.SettingLoadReportSource] == routing.LoadFromProbes,
	}
	decider := routing.New(c.Seed, c.Settings)
	objects, purges := controller.ObjectsBytes()/routing.ObjectBytes, controller.PurgesBytes()/routing.PurgeBytes
	decider.LimitMemory(int(objects), int(purges))
	dispatcher := dispatch.New(decider, c.Settings, pool, metrics)
	dispatcher.WallClock = clock.NewWallClock(readClocks)
	pool.OnEvent = dispatcher.UpstreamEvent
	classes := map[string]routing.ClassIndex{}
	for i, name := range c.ClassNames {
		classes[name] = routing.ClassIndex(i)
	}
	return &router{
		config:     c,
		metrics:    metrics,
		admission:  controller,
		pool:       pool,
		dispatcher: dispatcher,
		frontend: &frontend.Server{
			ClassIndexes: classes,
			Admission:    controller,
			Metrics:      metrics,
			Requests:     dispatcher,

			LatencyObjectives: latencyObjectives(c.Settings, len(c.ClassNames)),
			MaxRetryAfter:     maxRetryAfter(c.Settings),
		},
		discovery: &discovery.Client{
			Address:        c.DiscoveryAddress,
			LastRevision:   c.LastRevision,
			Telemetry:      metrics,
			OnEvent:        dispatcher.DiscoveryEvent,
			AddressChanges: make(chan string, 1),
		},
	}
}

// defaultObjectiveSeconds is the latency objective of a class whose settings have none, in seconds.
const defaultObjectiveSeconds = 1.0

// maxRetryAfter returns the longest delay that a rejection may ask for, 0 if the settings allow none.
func maxRetryAfter(settings routing.Settings) time.Duration {
	if !settings.Bool(routing.SettingRetryAfterAllowed) {
		return 0
	}
	return settingDuration(settings, routing.SettingMaxRetryAfter)
}

// latencyObjectives returns the latency objectives of the classes, for a request without a size.
func latencyObjectives(settings routing.Settings, classes int) []time.Duration {
	objectives := make([]time.Duration, classes)
	for i := range objectives {
		name := routing.ClassSetting(routing.ClassIndex(i), routing.ClassLatencyObjective)
		objectives[i] = time.Duration(settings.Float(name, defaultObjectiveSeconds) * float64(time.Second))
	}
	return objectives
}

// settingDuration returns the value of a setting in seconds as a duration, 0 if it is missing.
func settingDuration(settings routing.Settings, name routing.SettingName) time.Duration {
	return time.Duration(settings.Float(name, 0) * float64(time.Second))
}

// descriptorLimit returns the number of descriptors that the process may open: the limit of the bootstrap file, or the
// system's if that is lower. It must be the effective limit, as admission control reserves descriptors below it for
// discovery, the listener and the runtime.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(configured) {
		return int(limit.Cur)
	}
	return configured
}

// start starts the stages and reports readiness. The goroutines of the event loop, the discovery client and the
// frontend run in the group, which serve waits for. The pool owns the goroutines of its connections.
func (r *router) start(ctx context.Context, g *errgroup.Group, ln net.Listener) {
	r.pool.Start(ctx)
	r.dispatcher.LoadBootstrap(r.config.KnownEvents)
	g.Go(func() error { return r.dispatcher.Run(ctx) })
	g.Go(func() error { return r.discovery.Run(ctx) })
	g.Go(func() error { return r.frontend.Serve(ctx, ln) })
	pauseOnSignal(ctx, r.dispatcher)
	r.admission.SetReady()
	r.metrics.Log.Info("serving", "address", r.config.ListenAddress, "version", version())
}

// handleSignals handles signals until a drain is complete, or until the context is cancelled because a stage failed.
// SIGUSR1 dumps the counters, SIGHUP reloads the configuration, SIGTERM and SIGINT start a drain.
//
// It starts the goroutine of the drain, which closes drained. A drain takes at most drainTimeout plus flushTimeout, and
// ends early if the context is cancelled. If a stage fails during a drain, serve does not wait for the drain.
func (r *router) handleSignals(ctx context.Context, signals, reloads <-chan os.Signal) {
	var drained chan struct{} // closed when the drain is complete; nil, which blocks forever, until it starts
	var retry reloadRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-drained:
			return
		case <-reloads:
			retry = r.reloadOrRetry(ctx, maxReloadRetries)
		case <-retry.due:
			retry = r.reloadOrRetry(ctx, retry.left)
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				r.metrics.Dump(os.Stderr)
				continue
			}
			r.metrics.Log.Info("draining", "signal", s.String(), "repeated", drained != nil)
			if drained != nil { // a further signal does not shorten the drain
				continue
			}
			drained = make(chan struct{})
			go func(timeout time.Duration) {
				defer close(drained)
				r.drain(ctx, timeout)
			}(drainTimeout(r.config))
		}
	}
}
