package upstream

import (
	"context"
	"errors"
	"net"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/upstream/address"
)

// errNoUsableAddress reports that every address of an endpoint is in cooldown.
var errNoUsableAddress = errors.New("every address is in cooldown")

// minDialWait is the minimum wait between two iterations of a dial race. Without it, a due time that has just passed
// would cause a busy loop.
const minDialWait = 500 * time.Microsecond

// dialNetwork establishes a connection to host:port or unix:PATH.
func dialNetwork(ctx context.Context, addr string) (net.Conn, error) {
	a := address.Addr(addr)
	return (&net.Dialer{}).DialContext(ctx, a.Network(), a.Target())
}

// dial establishes the connection, either over its only address or over the first of several addresses to connect.
func (c *Connection) dial(ctx context.Context) (net.Conn, error) {
	if addr := c.dialedAddr(); addr != "" {
		ctx, cancel := context.WithTimeout(ctx, c.pool.ConnectTimeout)
		defer cancel()
		return c.pool.Dial(ctx, addr)
	}
	if len(c.dialPlan) == 0 {
		return nil, errNoUsableAddress
	}
	began := time.Now()
	deadline := began.Add(c.pool.ConnectTimeout)
	r := &dialRace{
		connection: c,
		race:       address.NewRace(c.dialPlan, clock.At(deadline).Seconds()),
		results:    make(chan dialResult, len(c.dialPlan)),
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer r.discardRemaining()
	return r.run(ctx)
}

// dialRace dials the addresses of a connection's dial plan. Each concurrent dial holds its own descriptor while it
// runs; the first dial uses the descriptor of the connection.
type dialRace struct {
	connection      *Connection
	race            *address.Race
	results         chan dialResult
	dialsInProgress int
	lastErr         error
}

// dialResult is the result of dialing one address of the plan.
type dialResult struct {
	index    int // index in the plan
	conn     net.Conn
	err      error
	duration time.Duration
}

// run dials until one address is connected or none can be any more.
func (r *dialRace) run(ctx context.Context) (net.Conn, error) {
	for {
		now := clock.NowSeconds()
		for i := r.race.NextDial(now, r.admitConcurrentDial); i >= 0; i = r.race.NextDial(now, r.admitConcurrentDial) {
			r.start(ctx, i)
		}
		if r.race.Lost(now) {
			if r.lastErr == nil {
				return nil, context.DeadlineExceeded
			}
			return nil, r.lastErr
		}
		wait := time.Duration((r.race.NextDeadline(now) - now) * float64(time.Second))
		timer := time.NewTimer(max(wait, minDialWait))
		select {
		case result := <-r.results:
			if r.handleResult(result) {
				timer.Stop()
				return result.conn, nil
			}
		case <-timer.C:
		}
		timer.Stop()
	}
}

// admitConcurrentDial requests a descriptor for an additional concurrent dial.
func (r *dialRace) admitConcurrentDial() bool {
	return r.connection.pool.Admission.AdmitEndpointConn(false)
}

// start dials one address of the plan. The race owns the dial's goroutine and receives its result in run or in
// discardRemaining. The results channel has capacity for all dials, so no goroutine blocks on sending its result.
func (r *dialRace) start(ctx context.Context, index int) {
	r.dialsInProgress++
	addr := r.connection.dialPlan[index].Addr
	go func() {
		began := time.Now()
		conn, err := r.connection.pool.Dial(ctx, string(addr))
		r.results <- dialResult{index: index, conn: conn, err: err, duration: time.Since(began)}
	}()
}

// handleResult handles the result of a dial and reports whether its connection is the one to use.
func (r *dialRace) handleResult(result dialResult) bool {
	r.dialsInProgress--
	r.report(result)
	addr := r.connection.dialPlan[result.index].Addr
	established := result.err == nil
	if established && r.connection.isListed(addr) && r.race.Connected(result.index, clock.NowSeconds()) {
		r.connection.setDialedAddr(string(addr))
		return true
	}
	if established {
		_ = result.conn.Close() // nothing was written
	} else {
		r.lastErr = result.err
	}
	r.race.Failed(result.index)
	if r.dialsInProgress > 0 { // the connection's own descriptor is now used by one of the other dials
		r.connection.pool.Admission.EndpointConnDone()
	}
	return false
}

// report sends the result of a dial to the pool's owner.
func (r *dialRace) report(result dialResult) {
	r.connection.pool.OnEvent(DialEnded{
		Endpoint: r.connection.endpointID,
		Addr:     r.connection.dialPlan[result.index].Addr,
		Result:   classifyDial(result.err),
		Seconds:  result.duration.Seconds(),
	})
}

// discardRemaining waits in the background for the dials that are still running when the race is over. It closes the
// connections that they establish and releases their descriptors. The connection's own descriptor, which one of them
// uses if no dial has won, is not released here.
func (r *dialRace) discardRemaining() {
	p := r.connection.pool
	for i := range r.dialsInProgress {
		holdsOwnDescriptor := i == 0 && !r.race.Won()
		p.group.Go(func() error {
			r.discard(<-r.results)
			if !holdsOwnDescriptor {
				p.Admission.EndpointConnDone()
			}
			return nil
		})
	}
}

// discard closes a connection that was established after the race was over. A cancelled dial does not count against its
// address. A dial that timed out does, unless another dial has won.
func (r *dialRace) discard(result dialResult) {
	if result.err == nil {
		r.report(result)
		_ = result.conn.Close() // nothing was written
		return
	}
	if !r.race.Won() && classifyDial(result.err) == address.DialTimedOut {
		r.report(result)
	}
}

// setDialedAddr sets the address over which the connection was established.
func (c *Connection) setDialedAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = addr
}

// classifyDial returns what a dial error reveals about its address. A resource shortage on this machine reveals
// nothing.
func classifyDial(err error) address.DialResult {
	switch {
	case err == nil:
		return address.DialSucceeded
	case errors.Is(err, context.Canceled), netconn.IsLocalError(err):
		return address.DialInconclusive
	case errors.Is(err, context.DeadlineExceeded):
		return address.DialTimedOut
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return address.DialTimedOut
	}
	return address.DialRefused
}
