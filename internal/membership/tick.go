package membership

import "time"

// untilDeadline returns the time until a core must be called again.
func (n *Node) untilDeadline() time.Duration {
	next := n.view.NextDeadline()
	if at := n.partition.NextDeadline(); at > 0 {
		next = min(next, at)
	}
	return max(time.Duration((next-n.now())*float64(time.Second)), minTimerDelay)
}

func (n *Node) tick() { n.executeActions(n.view.Tick(n.now())) }

func (n *Node) expireObservations() { n.handleDoubts(n.observations.Tick(n.now())) }

func (n *Node) handleAttemptOutcome(outcome attemptOutcome) {
	n.handleDoubts(n.observations.AttemptEnded(n.now(), outcome.endpoint, outcome.health))
}

// probeEventLoop sends a probe to the router's event loop, or reports the loop as stuck if the answer to the last
// probe is overdue. Run does not wait for the goroutine that sends the probe. At most one such goroutine runs. It ends
// when the event loop accepts or refuses the probe, and the answer never blocks the event loop.
func (n *Node) probeEventLoop() {
	if n.ProbeEventLoop == nil {
		return
	}
	if !n.eventLoopProbedAt.IsZero() {
		if time.Since(n.eventLoopProbedAt) > eventLoopStuckAfter {
			n.executeActions(n.view.SetEventLoopWorking(n.now(), false))
		}
		return
	}
	n.eventLoopProbedAt = time.Now()
	// The call may block for a long time if the queue of the event loop is full.
	go n.ProbeEventLoop(func() {
		select {
		case n.eventLoopAnswers <- struct{}{}:
		default:
		}
	})
}

func (n *Node) eventLoopAnswered() {
	n.eventLoopProbedAt = time.Time{}
	n.executeActions(n.view.SetEventLoopWorking(n.now(), true))
}

func (n *Node) leave() {
	if !n.hasNameConflict {
		n.executeActions(n.view.Leave(n.now()))
	}
}
