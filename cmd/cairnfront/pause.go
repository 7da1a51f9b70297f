package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cairnfront/internal/dispatch"
	"cairnfront/internal/lab/cluster"
)

// pauseOnSignal lets test scenarios pause the event loop from one SIGUSR2 to the next, while the rest of the process
// continues. It has no effect unless the environment variable of the scenarios is set. Its goroutine ends when the
// context is cancelled. Nothing waits for it, as it has no resources to release.
func pauseOnSignal(ctx context.Context, dispatcher *dispatch.Dispatcher) {
	if os.Getenv(cluster.EnvironmentVariable) == "" {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	waitForSignal := func() {
		select {
		case <-signals:
		case <-ctx.Done():
		}
	}
	go func() {
		for ctx.Err() == nil {
			waitForSignal()
			resume := make(chan struct{})
			if ctx.Err() == nil {
				dispatcher.Pause(resume)
				waitForSignal()
			}
			close(resume)
		}
	}()
}
