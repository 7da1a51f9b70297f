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

// Listening is tried again for a bounded time if the port is in use or the system lacks resources. A restarted process
// has to be ready soon after the previous one has ended. One that waits without a bound would hide a wrong address.
const (
	portInUseTimeout  = 4 * time.Second
	portRetryInterval = 20 * time.Millisecond
)

// listen opens the listener. It waits while the previous process still holds the port, for portInUseTimeout at most.
// The listener is nil if a signal to end came first.
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

// mayListenAgain says whether listening is tried again after an error, by how long it has been tried.
func mayListenAgain(err error, waited time.Duration) bool {
	temporary := errors.Is(err, syscall.EADDRINUSE) || netconn.IsLocalError(err)
	return temporary && waited <= portInUseTimeout
}
