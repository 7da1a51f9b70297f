package main

import (
	"context"
	"time"

	"cairnfront/internal/bootstrap"
	"cairnfront/routing"
)

// The protocol's times of a planned restart.
const (
	minDrain    = 700 * time.Millisecond // shortest drain: requests arrive for up to 0.6 s after SIGTERM
	maxDeadline = 3 * time.Second        // longest deadline that a SIGKILL waits for
	killDelay   = 700 * time.Millisecond // from the longest deadline after SIGTERM to the earliest SIGKILL
)

// What this process needs of that time.
const (
	shutdownReserve = 450 * time.Millisecond // before SIGKILL: for aborting requests and ending a slow process
	flushTimeout    = 120 * time.Millisecond // for the last responses; connections to endpoints end after it
)

// drain ends the clients' connections. Clients are sent GOAWAY, requests that still arrive are served, and each
// connection is closed once it has no open request. Requests that are open after the timeout are aborted.
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

// endBusyConnections ends the connections that have open requests after the drain's timeout, as clients may go on
// sending until SIGKILL. New requests are rejected, open ones aborted, and each connection is closed after its last
// response.
func (r *router) endBusyConnections(ctx context.Context) {
	r.admission.StartEnding()
	r.dispatcher.AbortAll()
	flush, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.frontend.FinishDrain(flush)
}

// drainTimeout returns how long a drain may take: the time until SIGKILL without the reserve.
//
// It guards against a SIGKILL that comes while requests are open: their clients see a reset, and what the endpoints
// answer is lost.
func drainTimeout(c bootstrap.Config) time.Duration {
	return longestDeadline(c) + killDelay - shutdownReserve
}

// longestDeadline returns the longest deadline of the request classes, maxDeadline at most. A class without one counts
// with that.
func longestDeadline(c bootstrap.Config) time.Duration {
	longestSeconds := 0.0
	for i := range c.ClassNames {
		key := routing.ClassSetting(routing.ClassIndex(i), routing.ClassDeadline)
		longestSeconds = max(longestSeconds, c.Settings.Float(key, maxDeadline.Seconds()))
	}
	return min(time.Duration(longestSeconds*float64(time.Second)), maxDeadline)
}
