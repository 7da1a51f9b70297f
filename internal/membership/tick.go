package membership

import "time"

// untilDeadline is the time until a core has to be called again.
func (n *Node) untilDeadline() time.Duration {
	next := n.view.NextDeadline()
	if at := n.partition.NextDeadline(); at > 0 {
		next = min(next, at)
	}
	return max(time.Duration((next-n.now())*float64(time.Second)), minTimer)
}

func (n *Node) tick() { n.carryOut(n.view.Tick(n.now())) }

func (n *Node) expireObservations() { n.handleDoubts(n.observations.Tick(n.now())) }

func (n *Node) handleAttemptEnd(end attemptEnd) {
	n.handleDoubts(n.observations.AttemptEnded(n.now(), end.endpoint, end.health))
}

// probeEventLoop asks the router's event loop for an answer, or reports it stuck when the last answer is overdue. The
// goroutine that asks belongs to nobody: there is one at a time, it ends when the event loop takes or refuses the
// call, and its answer has room in a queue of its own.
func (n *Node) probeEventLoop() {
	if n.ProbeEventLoop == nil {
		return
	}
	if !n.eventLoopProbedAt.IsZero() {
		if time.Since(n.eventLoopProbedAt) > eventLoopStuckAt {
			n.carryOut(n.view.SetWorking(n.now(), false))
		}
		return
	}
	n.eventLoopProbedAt = time.Now()
	// The queue of the event loop may be full, so that the call waits for long.
	go n.ProbeEventLoop(func() {
		select {
		case n.eventLoopAnswers <- struct{}{}:
		default:
		}
	})
}

func (n *Node) eventLoopAnswered() {
	n.eventLoopProbedAt = time.Time{}
	n.carryOut(n.view.SetWorking(n.now(), true))
}

func (n *Node) leave() {
	if !n.silent {
		n.carryOut(n.view.Leave(n.now()))
	}
}
