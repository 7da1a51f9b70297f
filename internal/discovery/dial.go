package discovery

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds one dial. It is over the time in which a lost first packet is sent again, twice.
	dialTimeout = 3500 * time.Millisecond

	// dialInterval is the time after which another dial begins beside one that has not ended: the first may be lost,
	// and a service with a full accept queue may accept the second one sooner.
	dialInterval = time.Second

	// maxDials is how many dials run side by side.
	maxDials = 3
)

// dialNetwork establishes a connection to host:port.
func dialNetwork(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// dialResult is how a dial ended.
type dialResult struct {
	conn net.Conn
	err  error
}

// dial establishes a connection to the service, with the first of up to maxDials dials that succeeds. It fails with the
// first one that fails. It owns the dials' goroutines and returns once all have ended.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialResult, maxDials)
	start := func() {
		conn, err := c.Dial(ctx, c.Address)
		results <- dialResult{conn, err}
	}
	go start()
	underWay := 1
	another := time.NewTicker(dialInterval)
	defer another.Stop()
	for {
		select {
		case first := <-results:
			cancel()
			closeRest(results, underWay-1)
			return first.conn, first.err
		case <-another.C:
			if underWay < maxDials {
				underWay++
				go start()
			}
		}
	}
}

// closeRest waits for dials that were called off, and closes the connections that came up all the same.
func closeRest(results <-chan dialResult, underWay int) {
	for range underWay {
		if rest := <-results; rest.err == nil {
			_ = rest.conn.Close() // nothing was written
		}
	}
}
