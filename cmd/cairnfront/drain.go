package main

import (
	"context"
	"time"

	"cairnfront/internal/bootstrap"
	"cairnfront/routing"
)

// Times of a planned restart, as the protocol defines them.
const (
	minDrain    = 700 * time.Millisecond // shortest drain, as requests arrive for up to 0.6 s after SIGTERM
	maxDeadline = 3 * time.Second        // longest request deadline that SIGKILL is delayed for
	killDelay   = 700 * time.Millisecond // earliest SIGKILL, counted from SIGTERM plus the longest deadline
)

// The parts of that time that this process reserves for itself.
const (
	shutdownReserve = 450 * time.Millisecond // before SIGKILL, to abort requests and to exit on a slow machine
	flushTimeout    = 300 * time.Millisecond // to send the last responses, before connections to endpoints close
)

// drain closes the clients' connections. It sends clients GOAWAY, serves requests that still arrive, and closes each
// connection when it has no open request. Requests that are still open after the timeout are aborted.
func (r *router) drain(ctx context.Context, timeout time.Duration) {
	end, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.frontend.BeginDrain()
	select {
	case <-end.Done():
	case <-time.After(minDrain):
	}
	r.frontend.FinishDrain(end)
	if r.admission.OpenClients() > 0 {
		r.endBusyConnections(ctx)
	}
}

// endBusyConnections closes the connections that still have open requests after the drain timeout, as clients may
// continue to send until SIGKILL. It rejects new requests, aborts open ones, and closes each connection after its last
// response.
func (r *router) endBusyConnections(ctx context.Context) {
	r.admission.StartEnding()
	deadline := time.Now().Add(flushTimeout)
	r.frontend.BeginEnd(deadline)
	r.dispatcher.AbortAll()
	flush, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r.frontend.FinishDrain(flush)
}

// drainTimeout returns the longest duration of a drain: the time until SIGKILL minus shutdownReserve.
//
// It guards against a SIGKILL while requests are open: their clients would see a connection reset, and responses of the
// endpoints would be lost.
func drainTimeout(c bootstrap.Config) time.Duration {
	return longestDeadline(c) + killDelay - shutdownReserve
}

// longestDeadline returns the longest deadline of all request classes, at most maxDeadline. A class without a deadline
// counts as having maxDeadline.
func longestDeadline(c bootstrap.Config) time.Duration {
	longestSeconds := 0.0
	for i := range c.ClassNames {
		key := routing.ClassSetting(routing.ClassIndex(i), routing.ClassDeadline)
		longestSeconds = max(longestSeconds, c.Settings.Float(key, maxDeadline.Seconds()))
	}
	return min(time.Duration(longestSeconds*float64(time.Second)), maxDeadline)
}
