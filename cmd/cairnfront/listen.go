package main

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cairnfront/internal/netconn"
	"cairnfront/internal/telemetry"
)

// Listening is retried for a limited time if the port is in use or the system lacks resources, as a restarted process
// must be ready soon after the previous one has exited. Retrying without a limit would hide a misconfigured address.
const (
	portInUseTimeout  = 4 * time.Second
	portRetryInterval = 20 * time.Millisecond
)

// listen opens the listener. While the previous process still uses the port, it retries for at most portInUseTimeout.
// It returns a nil listener if a signal to terminate arrives first.
func listen(
	ctx context.Context, addr string, signals <-chan os.Signal, metrics *telemetry.Metrics,
) (net.Listener, error) {
	start := time.Now()
	for tries := 0; ; tries++ {
		ln, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
		waited := time.Since(start)
		if err == nil && tries > 0 {
			metrics.Log.Warn("listening address was in use", "address", addr, "duration_seconds", waited.Seconds())
		}
		if err == nil || !mayListenAgain(err, waited) {
			return ln, err
		}
		select {
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				return nil, nil
			}
		case <-time.After(portRetryInterval):
		}
	}
}

// mayListenAgain reports whether listening is retried after an error: the error must be temporary, and the time since
// the first try within portInUseTimeout.
func mayListenAgain(err error, waited time.Duration) bool {
	temporary := errors.Is(err, syscall.EADDRINUSE) || netconn.IsLocalError(err)
	return temporary && waited <= portInUseTimeout
}
