package cluster

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
	"cairnfront/internal/membership"
	"cairnfront/internal/sim/faults"

	"golang.org/x/sync/errgroup"
)

const (
	joinSeconds             = 5.0  // time between the start of the load and the start of the script
	lateResponseSeconds     = 0.6  // time after the deadline in which a late response is still received
	workingCheckStepSeconds = 0.05 // interval between two checks whether the script let a router run
	environmentEntry        = EnvironmentVariable + "=1"
)

// recordResponse records a client's response, unless the response is missing or late because the script had the router
// killed, paused or stalled at that time. Such failures are expected: the client has to use another router.
func (g *RouterGroup) recordResponse(router *peerRouter, response standin.ClientResponse) {
	late := response.Code == standin.NoAnswer || response.DoneAt > response.SentAt+response.Deadline.Seconds()
	if late && !g.wasWorkingThroughout(router, response.SentAt, response.Deadline.Seconds()+lateResponseSeconds) {
		return
	}
	g.Cluster.RecordResponse(response)
}

// wasWorkingThroughout reports whether the script let a router run without interruption for some seconds from a Unix
// time on, in seconds.
func (g *RouterGroup) wasWorkingThroughout(router *peerRouter, from, seconds float64) bool {
	g.mu.Lock()
	scriptStart := g.scriptStart
	g.mu.Unlock()
	if scriptStart.IsZero() {
		return true
	}
	for at := from; at < from+seconds; at += workingCheckStepSeconds {
		if !g.Script.IsWorking(router.index, at-timing.UnixSeconds(scriptStart)) {
			return false
		}
	}
	return true
}

// Run starts the clients and the hostile peers and executes the script. When the script starts, each hostile peer sends
// its share of a flood of datagrams. Run calls progress for each transition, and returns after everything that it
// started has stopped.
func (g *RouterGroup) Run(ctx context.Context, floodDatagrams int64, progress func(format string, args ...any)) error {
	loadCtx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	defer func() {
		stop()
		load.Wait()
	}()
	for _, group := range g.ClientGroups {
		load.Go(func() { group.Run(loadCtx) })
	}
	for _, peer := range g.HostilePeers {
		load.Go(func() { peer.Run(loadCtx) })
		load.Go(func() {
			<-loadCtx.Done()
			peer.Close()
		})
	}
	if err := timing.Sleep(ctx, timing.Seconds(joinSeconds)); err != nil {
		return err
	}
	return g.runScript(ctx, floodDatagrams, progress)
}

// runScript executes the script's transitions at their times.
func (g *RouterGroup) runScript(
	ctx context.Context, floodDatagrams int64, progress func(format string, args ...any),
) error {
	start := g.network.StartScript(g.Script)
	g.mu.Lock()
	g.scriptStart = start
	g.mu.Unlock()
	for _, peer := range g.HostilePeers {
		peer.StartFlood(floodDatagrams / int64(len(g.HostilePeers)))
	}
	for _, transition := range g.Script.Transitions() {
		if err := timing.Sleep(ctx, time.Until(start.Add(timing.Seconds(transition.Time)))); err != nil {
			return err
		}
		progress("%5.1f of %.0f s: %s", transition.Time, g.Script.Duration, transition)
		if !transition.IsEnd {
			mark := report.Mark{At: transition.Time, Name: transition.Fault.Kind.Label()}
			g.Marks = append(g.Marks, mark)
		}
		if err := g.applyTransition(transition); err != nil {
			return err
		}
	}
	return timing.Sleep(ctx, time.Until(start.Add(timing.Seconds(g.Script.Duration))))
}

// applyTransition starts or ends a fault of processes. The fault proxy applies the faults of the network.
func (g *RouterGroup) applyTransition(transition faults.Transition) error {
	var restarts errgroup.Group
	for _, i := range transition.Fault.From {
		if i >= len(g.routers) {
			continue // a hostile peer, which is not a separate process
		}
		router := g.routers[i]
		switch transition.Fault.Kind {
		case faults.Kill, faults.Wipe:
			if transition.IsEnd {
				restarts.Go(func() error { return g.Cluster.StartRouter(router.Router) })
			} else {
				router.kill()
			}
		case faults.Pause, faults.Stall:
			router.signalFault(transition)
		case faults.ClockSkew:
			router.setClockSkew(transition)
		case faults.Cut, faults.Loss, faults.Delay, faults.Reorder, faults.Duplicate, faults.Corrupt: // by the proxies
		}
	}
	return restarts.Wait()
}

// signalFault pauses or resumes a router's process, or makes it stall its membership loop.
func (router *peerRouter) signalFault(transition faults.Transition) {
	if router.cmd == nil {
		return
	}
	signal := syscall.SIGSTOP
	switch {
	case transition.Fault.Kind == faults.Stall:
		signal = syscall.SIGUSR2
	case transition.IsEnd:
		signal = syscall.SIGCONT
	}
	_ = router.cmd.Process.Signal(signal) // the process may have exited already, which the checks report
}

// setClockSkew sets the clock offset of a router's next process, or removes it at the end of the fault.
func (router *peerRouter) setClockSkew(transition faults.Transition) {
	router.extraEnv = []string{environmentEntry}
	if !transition.IsEnd {
		offset := fmt.Sprintf("%s=%g", membership.ClockOffsetVariable, transition.Fault.Seconds)
		router.extraEnv = append(router.extraEnv, offset)
	}
}

// DatagramRate returns the mean number of datagrams that a router sent in each second of the script, and the mean
// number of bytes that a router sent per second.
func (g *RouterGroup) DatagramRate() (rate report.Line, bytesPerSecond float64) {
	rate.Name = "datagrams per second and router"
	offset := g.scriptStart.Sub(g.networkStart).Seconds()
	first, last := int(offset), int(offset+g.Script.Duration)
	totalBytes := int64(0)
	for second := first; second < last; second++ {
		datagrams := int64(0)
		for i := range RouterCount {
			sent, bytes := g.network.SentBetween(i, second, second+1)
			datagrams += sent
			totalBytes += bytes
		}
		rate.Add(float64(second-first), float64(datagrams)/float64(RouterCount))
	}
	return rate, float64(totalBytes) / float64(RouterCount) / max(float64(last-first), 1)
}

// CollectEvidence gathers what the run recorded of the routers' membership views.
func (g *RouterGroup) CollectEvidence() (*verify.Membership, error) {
	e := &verify.Membership{
		Script:      g.Script,
		ScriptStart: g.scriptStart,
		Names:       g.names,
		Requests:    g.Cluster.Requests(),
	}
	for _, edgeCache := range g.edgeCaches {
		e.EdgeCaches = append(e.EdgeCaches, edgeCache.ID)
	}
	peers := map[string]int{}
	for i, name := range g.names {
		peers[name] = i
	}
	for _, router := range g.routers {
		log, err := verify.ReadRouterLog(router.log.Name(), router.name, router.index, peers, g.scriptStart)
		if err != nil {
			return nil, err
		}
		e.Routers = append(e.Routers, log)
	}
	return e, nil
}
