package lab

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"

	"golang.org/x/sync/errgroup"
)

const (
	fleetSettleSeconds  = 5.0     // after the start, before the script begins
	floodDatagrams      = 100_000 // that the hostile peers send as fast as they can while the first kills are detected
	clientWaitSeconds   = 0.6     // beyond the deadline in which a response may still be on its way
	workingStepSeconds  = 0.05    // between two looks whether a router worked
	clockSkewVariable   = "CAIRNFRONT_LAB_CLOCK_S"
	environmentVariable = EnvironmentVariable + "=1"
)

// recordResponse keeps a client's response, unless it is missing or late because the script had its router killed,
// stopped or stuck meanwhile: such a client has to ask elsewhere.
func (fleet *routerFleet) recordResponse(router *fleetRouter, response clientResponse) {
	late := response.code == noAnswer || response.doneAt > response.sentAt+response.deadline.Seconds()
	if late && !fleet.workedThroughout(router, response.sentAt, response.deadline.Seconds()+clientWaitSeconds) {
		return
	}
	fleet.cluster.recordResponse(response)
}

// workedThroughout says whether the script let a router work for some seconds from a time on, Unix s.
func (fleet *routerFleet) workedThroughout(router *fleetRouter, from, seconds float64) bool {
	fleet.mu.Lock()
	scriptStart := fleet.scriptStart
	fleet.mu.Unlock()
	if scriptStart.IsZero() {
		return true
	}
	for at := from; at < from+seconds; at += workingStepSeconds {
		if !fleet.script.IsWorking(router.index, at-unixSeconds(scriptStart)) {
			return false
		}
	}
	return true
}

// run starts clients and hostile peers and plays the script.
func (fleet *routerFleet) run(ctx context.Context) error {
	loadCtx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	defer func() {
		stop()
		load.Wait()
	}()
	for _, group := range fleet.clientGroups {
		load.Go(func() { group.run(loadCtx) })
	}
	for _, peer := range fleet.hostilePeers {
		load.Go(func() { peer.run(loadCtx) })
		load.Go(func() {
			<-loadCtx.Done()
			_ = peer.conn.Close()
		})
	}
	if err := sleep(ctx, seconds(fleetSettleSeconds)); err != nil {
		return err
	}
	return fleet.playScript(ctx)
}

// playScript carries out the script's transitions at their times.
func (fleet *routerFleet) playScript(ctx context.Context) error {
	start := fleet.network.StartScript(fleet.script)
	fleet.mu.Lock()
	fleet.scriptStart = start
	fleet.mu.Unlock()
	if fleet.options.Full {
		for _, peer := range fleet.hostilePeers {
			peer.flood.Store(floodDatagrams / int64(len(fleet.hostilePeers)))
		}
	}
	for _, transition := range fleet.script.Transitions() {
		if err := sleep(ctx, time.Until(start.Add(seconds(transition.Time)))); err != nil {
			return err
		}
		fleet.options.Progress("%5.1f of %.0f s: %s", transition.Time, fleet.script.Duration, transition.Fault)
		if !transition.IsEnd {
			mark := report.Mark{At: transition.Time, Name: string(transition.Fault.Kind)}
			fleet.marks = append(fleet.marks, mark)
		}
		if err := fleet.applyTransition(transition); err != nil {
			return err
		}
	}
	return sleep(ctx, time.Until(start.Add(seconds(fleet.script.Duration))))
}

// applyTransition begins or ends a fault of processes. Faults of the network are the fault proxy's.
func (fleet *routerFleet) applyTransition(transition faults.Transition) error {
	var restarts errgroup.Group
	for _, i := range transition.Fault.From {
		if i >= len(fleet.routers) {
			continue // a hostile peer, which is no process
		}
		router := fleet.routers[i]
		switch transition.Fault.Kind {
		case faults.Kill, faults.Wipe:
			if transition.IsEnd {
				restarts.Go(func() error { return fleet.cluster.startRouter(router.routerProcess) })
			} else {
				router.kill()
			}
		case faults.Pause, faults.Stall:
			router.signalFault(transition)
		case faults.ClockSkew:
			router.setClockSkew(transition)
		}
	}
	return restarts.Wait()
}

// signalFault stops or continues a router's process, or tells it to stall its peers' loop.
func (router *fleetRouter) signalFault(transition faults.Transition) {
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
	_ = router.cmd.Process.Signal(signal)
}

// setClockSkew sets by how much the clock of a router's next process is off.
func (router *fleetRouter) setClockSkew(transition faults.Transition) {
	router.extraEnv = []string{environmentVariable}
	if !transition.IsEnd {
		router.extraEnv = append(router.extraEnv, fmt.Sprintf("%s=%g", clockSkewVariable, transition.Fault.Seconds))
	}
}
