package main

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cairnfront/internal/netconn"
	"cairnfront/internal/telemetry"
)

// A port that is in use at the start, or a call that fails for a moment, is tried again for a bounded time. A restarted
// process has to be ready soon after the one before has ended, and one that waits for ever would hide that its address
// is wrong.
const (
	portInUseTimeout  = 4 * time.Second
	portRetryInterval = 20 * time.Millisecond
)

// listen opens the listener. The process before may still be ending and hold the port, which is waited for. The
// listener is nil if a signal to end came first.
func listen(addr string, signals <-chan os.Signal, metrics *telemetry.Metrics) (net.Listener, error) {
	start := time.Now()
	for tries := 0; ; tries++ {
		ln, err := net.Listen("tcp", addr)
		waited := time.Since(start)
		if err == nil && tries > 0 {
			metrics.Log.Warn("listen", "code", "port-was-in-use", "address", addr, "for_s", waited.Seconds())
		}
		passing := errors.Is(err, syscall.EADDRINUSE) || netconn.IsLocalShortage(err)
		if err == nil || !passing || waited > portInUseTimeout {
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
