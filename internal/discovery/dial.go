package discovery

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout is the limit for establishing a connection. It is longer than two retransmissions of a lost SYN take.
	dialTimeout = 3500 * time.Millisecond

	// dialInterval is the time after which another dial starts in parallel to those in progress: the packets of the
	// first may be lost, and a service with a full accept queue may accept the second one sooner.
	dialInterval = time.Second

	// maxDials is the maximum number of parallel dials.
	maxDials = 3
)

// dialNetwork establishes a TCP connection to host:port.
func dialNetwork(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dial establishes a connection to the service. It runs up to maxDials dials in parallel and returns the result of the
// first one that ends, whether it succeeded or failed. It returns after the goroutines of all dials have ended.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialResult, maxDials)
	startDial := func() {
		conn, err := c.Dial(ctx, c.Address)
		results <- dialResult{conn, err}
	}
	go startDial()
	pending := 1
	nextDial := time.NewTicker(dialInterval)
	defer nextDial.Stop()
	for {
		select {
		case first := <-results:
			cancel()
			closeRemaining(results, pending-1)
			return first.conn, first.err
		case <-nextDial.C:
			if pending < maxDials {
				pending++
				go startDial()
			}
		}
	}
}

// closeRemaining waits for the cancelled dials, and closes the connections that were established nevertheless.
func closeRemaining(results <-chan dialResult, pending int) {
	for range pending {
		if remaining := <-results; remaining.err == nil {
			_ = remaining.conn.Close() // nothing was written
		}
	}
}
