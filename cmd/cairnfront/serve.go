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

// readClocks reads the clocks by which Unix times of the discovery service are translated.
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

// loadBootstrap reads the bootstrap file.
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

// router is a running router: its stages, which share the admission controller and the metrics.
type router struct {
	load       loadBootstrap
	config     bootstrap.Config
	metrics    *telemetry.Metrics
	admission  *admission.Controller
	pool       *upstream.Pool
	dispatcher *dispatch.Dispatcher
	frontend   *frontend.Server
	discovery  *discovery.Client
	extensions *extensions // nil without a configuration file
}

// pendingSignals is how many signals may wait while one is handled. Those beyond it are lost, as the runtime does not
// wait for a channel.
const pendingSignals = 4

// serve runs the router until a signal ends it. It reads the bootstrap file, and the configuration file if a path is
// given, at the start and again on SIGHUP.
//
// The stages run in goroutines of one group. A stage that fails ends the others through the group's context, and so
// does the end of a drain. serve waits for the group and then for the pool's connections. drainTimeout bounds how long
// a drain waits for open requests.
func serve(ctx context.Context, load loadBootstrap, configPath string) error {
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	reloads := make(chan os.Signal, 1) // a channel of its own: many of them must not displace other signals
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

// limitRuntime keeps the Go runtime within the router's cores and memory.
func limitRuntime(c bootstrap.Config) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetGCPercent(admission.GCPercent)
	debug.SetMemoryLimit(admission.HeapLimitBytes(c.MemoryMB))
}

// newRouter returns a router whose stages are connected and not running.
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
	dispatcher := dispatch.New(routing.New(c.Seed, c.Settings), c.Settings, pool, metrics)
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

// settingDuration returns a setting that is given in seconds, 0 if it is missing.
func settingDuration(settings routing.Settings, name routing.SettingName) time.Duration {
	return time.Duration(settings.Float(name, 0) * float64(time.Second))
}

// descriptorLimit returns how many descriptors the process may open: the bootstrap file's limit, or the system's if
// that is lower. Admission keeps a reserve below it for discovery, the listener and the runtime, so it must be the
// effective limit.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(configured) {
		return int(limit.Cur)
	}
	return configured
}

// start runs the stages in the group and reports readiness. The group, which serve waits for, owns the goroutines of
// the event loop, the discovery client and the frontend. The pool owns those of its connections.
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

// handleSignals handles signals until a drain is over, or the context ends because a stage failed. SIGUSR1 dumps the
// counters, SIGHUP reloads the configuration, SIGTERM and SIGINT start a drain.
//
// It owns the drain's goroutine, which closes drained. A drain ends within drainTimeout and flushTimeout, or with the
// context; serve does not wait for one that the failure of a stage has cut short.
func (r *router) handleSignals(ctx context.Context, signals, reloads <-chan os.Signal) {
	var drained chan struct{} // closed when the drain is over; nil, on which no receive proceeds, before it
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
			if drained != nil { // a further signal does not cut the drain short
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
