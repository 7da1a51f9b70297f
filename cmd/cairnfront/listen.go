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

	"golang.org/x/sys/unix"
)

// Listening is retried for a limited time if the port is in use or the system lacks resources, as a restarted process
// must be ready soon after the previous one has exited. Retrying without a limit would hide a misconfigured address.
const (
	portInUseTimeout  = 4 * time.Second
	portRetryInterval = 20 * time.Millisecond
)

// Sizes of the kernel's buffers of a client connection: for a request with the largest body, and for the largest
// response.
const (
	clientReceiveBufferBytes = 64 << 10
	clientSendBufferBytes    = 256 << 10
)

// listen opens the listener. While the previous process still uses the port, it retries for at most portInUseTimeout.
// It returns a nil listener if a signal to terminate arrives first.
func listen(
	ctx context.Context, addr string, signals <-chan os.Signal, metrics *telemetry.Metrics,
) (net.Listener, error) {
	start := time.Now()
	for tries := 0; ; tries++ {
		config := net.ListenConfig{Control: limitSocketBuffers}
		ln, err := config.Listen(ctx, "tcp", addr)
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

// limitSocketBuffers sets the buffer sizes of a listening socket, which the connections that it accepts inherit.
//
// It guards against clients that send at full speed, or read nothing: the kernel would buffer tens of MB for each,
// until it lacks memory for the connections of all. A system that refuses the sizes keeps its own.
func limitSocketBuffers(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientReceiveBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, clientSendBufferBytes)
	})
}

// mayListenAgain reports whether listening is retried after an error: the error must be temporary, and the time since
// the first try within portInUseTimeout.
func mayListenAgain(err error, waited time.Duration) bool {
	temporary := errors.Is(err, syscall.EADDRINUSE) || netconn.IsLocalError(err)
	return temporary && waited <= portInUseTimeout
}
