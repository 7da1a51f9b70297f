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

// errNoUsableAddress says that every address of an endpoint is in cooldown.
var errNoUsableAddress = errors.New("every address is in cooldown")

// minDialWait is the shortest wait between two checks of a dial race, which a due time that has just passed would turn
// into a busy loop.
const minDialWait = 500 * time.Microsecond

// dialNetwork establishes a connection to host:port or unix:PATH.
func dialNetwork(ctx context.Context, addr string) (net.Conn, error) {
	a := address.Addr(addr)
	return (&net.Dialer{}).DialContext(ctx, a.Network(), a.Target())
}

// dial establishes the connection: over its one address, or over that of several which comes up first.
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
	defer r.releaseRest()
	return r.run(ctx)
}

// dialRace dials the addresses of a connection's plan. Each dial beside another one holds a descriptor of its own
// while it lasts; the connection's own descriptor serves the first.
type dialRace struct {
	connection *Connection
	race       *address.Race
	results    chan dialResult
	underWay   int
	lastErr    error
}

// dialResult is how the dial of an address of the plan ended.
type dialResult struct {
	index int // in the plan
	conn  net.Conn
	err   error
	took  time.Duration
}

// run dials until one address is established, or none can be any more.
func (r *dialRace) run(ctx context.Context) (net.Conn, error) {
	for {
		now := clock.NowSeconds()
		for i := r.race.NextDial(now, r.admitAnother); i >= 0; i = r.race.NextDial(now, r.admitAnother) {
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
			if r.settle(result) {
				timer.Stop()
				return result.conn, nil
			}
		case <-timer.C:
		}
		timer.Stop()
	}
}

// admitAnother asks for the descriptor of a dial beside another one.
func (r *dialRace) admitAnother() bool { return r.connection.pool.Admission.AdmitEndpointConn(false) }

// start dials one address of the plan. The goroutine of the dial belongs to the race, which takes its result while it
// runs or in releaseRest. The channel has room for all results, so no dial waits to hand its own over.
func (r *dialRace) start(ctx context.Context, index int) {
	r.underWay++
	addr := r.connection.dialPlan[index].Addr
	go func() {
		began := time.Now()
		conn, err := r.connection.pool.Dial(ctx, string(addr))
		r.results <- dialResult{index: index, conn: conn, err: err, took: time.Since(began)}
	}()
}

// settle takes a dial's result and says whether its connection is the one that is used.
func (r *dialRace) settle(result dialResult) bool {
	r.underWay--
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
	if r.underWay > 0 { // the connection's own descriptor serves one of the others
		r.connection.pool.Admission.EndpointConnDone()
	}
	return false
}

// report tells the pool's owner how a dial ended.
func (r *dialRace) report(result dialResult) {
	r.connection.pool.OnEvent(DialEnded{
		Endpoint: r.connection.endpointID,
		Addr:     r.connection.dialPlan[result.index].Addr,
		Result:   classifyDial(result.err),
		Seconds:  result.took.Seconds(),
	})
}

// releaseRest waits in the background for the dials that are under way when the race is over. It closes what comes up
// and gives their descriptors back, except the connection's own one, which serves one of them where none has won.
func (r *dialRace) releaseRest() {
	p := r.connection.pool
	for i := range r.underWay {
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

// discard closes a connection that came up after the race was over. A dial that was called off says nothing against
// its address; one that took all the time does, where none has won.
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

// classifyDial returns what a dial's error says of its address. A shortage on this side says nothing.
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
