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
	"cairnfront/internal/discovery"
	"cairnfront/internal/dispatch"
	"cairnfront/internal/frontend"
	"cairnfront/internal/lab"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// The protocol's times of a planned restart: txns come for up to 0.6 s after the signal, and SIGKILL no sooner than
// the longest time limit, 3 s at most, and 0.7 s after it.
const (
	drainLeast = 700 * time.Millisecond
	killMost   = 3 * time.Second
	endMost    = 300 * time.Millisecond // of that for what is abandoned, and for the end of the process
	flushMost  = 200 * time.Millisecond
)

// A port that is still in use at the start is tried again for so long: restarted processes have to be ready soon, and one
// that waits for ever is not seen to be wrong.
const (
	portMost  = 4 * time.Second
	portAgain = 20 * time.Millisecond
)

// serve runs the router until a signal ends it. What it is told is read at the start and again on SIGHUP; so is the
// operators' file, where one is named.
func serve(read func() (bootstrap.Config, error), operators string) error {
	signals, again := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(again, syscall.SIGHUP) // a channel of its own: many of them keep no other signal out
	m, err := read()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(m.Cores)), 1))
	debug.SetGCPercent(admission.GCPercent)
	debug.SetMemoryLimit(admission.HeapLimitBytes(m.MemoryMB))
	k := telemetry.New(os.Stderr, m.Name)
	ln, err := listen(m.ListenAddress, signals, k)
	if err != nil || ln == nil {
		return err
	}
	defer k.Dump(os.Stderr)
	gate := admission.New(m.MemoryMB, descriptors(m.MaxSockets))
	seconds := func(name string) time.Duration {
		return time.Duration(m.Settings.Float(name, 0) * float64(time.Second))
	}
	pool := &upstream.Pool{Admission: gate, Metrics: k, ConnectTimeout: seconds("connect_s"), EndpointIdleTimeout: seconds("idle_close_s"),
		MaxAttemptsPerConnection: int(m.Settings.Float("hops_a_connection", 1)), RequestLoadReports: m.Settings["load_by"] == "checks"}
	loop := dispatch.New(routing.New(m.Seed, m.Settings), m.Settings, pool, k)
	pool.OnEvent = loop.UpstreamEvent
	classes := map[string]routing.ClassIndex{}
	for i, name := range m.ClassNames {
		classes[name] = routing.ClassIndex(i)
	}
	taker := &frontend.Server{ClassIndexes: classes, Admission: gate, Metrics: k, Requests: loop}
	news := &discovery.Client{Address: m.DiscoveryAddress, LastRevision: m.LastRevision, Telemetry: k, OnEvent: loop.DiscoveryEvent,
		AddressChanges: make(chan string, 1)}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	repeatable := map[int]bool{}
	for i := range m.ClassNames {
		repeatable[i] = m.Settings[routing.ClassSetting(routing.ClassIndex(i), "effect")] == "repeatable"
	}
	reload, err := extend(ctx, g, operators, m.Name, m.Seed, repeatable, m.Settings.Bool("may_check"), pool, loop, k)
	if err != nil {
		return err
	}
	pool.Start(ctx)
	loop.LoadBootstrap(m.KnownEvents)
	g.Go(func() error { return loop.Run(ctx) })
	g.Go(func() error { return news.Run(ctx) })
	g.Go(func() error { return taker.Serve(ctx, ln) })
	labHooks(ctx, loop)
	gate.SetReady()
	var drained chan struct{} // closed when the drain is over; nil before it
	k.Log.Info("serving", "listen", m.ListenAddress, "version", version())
	for {
		select {
		case <-ctx.Done():
			return errors.Join(g.Wait(), pool.Wait())
		case <-again:
			m = reread(m, read, news.AddressChanges, k)
			reload()
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				k.Dump(os.Stderr)
				continue
			}
			k.Log.Info("draining", "signal", s.String(), "again", drained != nil)
			if drained == nil { // a second signal changes nothing: what was taken is still owed
				drained = make(chan struct{})
				go func() {
					defer close(drained)
					drain(ctx, drainMost(m), taker, gate, loop)
				}()
			}
		case <-drained:
			cancel()
			return errors.Join(g.Wait(), pool.Wait())
		}
	}
}

// descriptors is how many the process may hold: as it is told, or fewer where the system's own limit is lower. What the
// gate leaves over is for the notice board, the listener and the runtime, so it must go by the limit that binds.
func descriptors(told int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(told) {
		return int(limit.Cur)
	}
	return told
}

// drain ends what clients have open, in order: they are told, what comes all the same is served, each connection ends once
// nothing is open on it. What is open when the time is up is abandoned.
func drain(ctx context.Context, most time.Duration, taker *frontend.Server, gate *admission.Controller, loop *dispatch.Dispatcher) {
	end, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	taker.BeginDrain()
	select {
	case <-end.Done():
	case <-time.After(drainLeast):
	}
	if taker.FinishDrain(end); gate.OpenRequests() > 0 {
		loop.AbortAll()
		gate.WaitDrained(ctx, 0, flushMost)
	}
}

// drainMost is how long a drain may take: SIGKILL comes no sooner than the longest time limit, or the protocol's most
// where that is longer, and some time more; the last of it is for ending.
func drainMost(m bootstrap.Config) time.Duration {
	longest := 0.0
	for i := range m.ClassNames {
		longest = max(longest, m.Settings.Float(routing.ClassSetting(routing.ClassIndex(i), "limit_s"), killMost.Seconds()))
	}
	return min(time.Duration(longest*float64(time.Second)), killMost) + drainLeast - endMost
}

// listen opens the listener, or nothing where a signal to end came first. The process before may still be ending, with
// the port in its hands: that is waited out for a bounded time.
func listen(addr string, signals <-chan os.Signal, k *telemetry.Metrics) (net.Listener, error) {
	for began, tries := time.Now(), 0; ; tries++ {
		ln, err := net.Listen("tcp", addr)
		if err == nil && tries > 0 {
			k.Log.Warn("listen", "code", "port-was-in-use", "address", addr, "for_s", time.Since(began).Seconds())
		}
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > portMost {
			return ln, err
		}
		select {
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				return nil, nil
			}
		case <-time.After(portAgain):
		}
	}
}

// reread reads what the router is told once more and follows the notice board's new address. A file that can't be
// used leaves the old one in force.
func reread(old bootstrap.Config, read func() (bootstrap.Config, error), moves chan string, k *telemetry.Metrics) bootstrap.Config {
	m, err := read()
	if err == nil {
		err = m.CheckReload(old)
	}
	if err != nil {
		k.Inc(telemetry.ReloadsFailed)
		k.Log.Error("reload", "code", "kept-old", "err", err.Error())
		return old
	}
	k.Inc(telemetry.Reloads)
	k.Log.Info("reload", "code", "followed", "board", m.DiscoveryAddress)
	if m.DiscoveryAddress != old.DiscoveryAddress { // the newest address counts, and no signal waits for one that is not followed yet
		select {
		case <-moves:
		default:
		}
		moves <- m.DiscoveryAddress
	}
	return m
}

// labHooks lets the laboratory, and nobody else, make the decisions stand still while the rest of the process goes on: from one
// SIGUSR2 to the next.
func labHooks(ctx context.Context, loop *dispatch.Dispatcher) {
	if os.Getenv(lab.EnvironmentVariable) == "" {
		return
	}
	stall := make(chan os.Signal, 1)
	signal.Notify(stall, syscall.SIGUSR2)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-stall:
			}
			resume := make(chan struct{})
			loop.Pause(resume)
			select {
			case <-stall:
			case <-ctx.Done():
			}
			close(resume)
		}
	}()
}
