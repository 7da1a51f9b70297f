package upstream

import (
	"sync"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// Connection is one connection to an endpoint, with the attempts that are open on it. A reading and a writing
// goroutine serve it; its other methods may be called by any goroutine.
type Connection struct {
	pool              *Pool
	endpointID        routing.EndpointID
	endpointStartedAt float64               // the endpoint's start for which it was made
	dialPlan          []address.PlannedDial // of an endpoint with several addresses, nil for one with one

	mu           sync.Mutex            // guards all below
	addr         string                // empty while several are dialed
	listedAddrs  map[address.Addr]bool // those that the endpoint still has; nil for any
	conn         *netconn.Conn         // nil while connecting, and where it was never established
	attempts     map[string]*Attempt   // open, by id
	cancelled    map[string]*Attempt   // cancelled, and the cancel was not sent yet
	writeQueue   []command             // not begun
	writeSignal  chan struct{}         // holds a value while the queue may have commands
	writerBusy   bool                  // the writing goroutine has not found the queue empty since its last command
	lastUsed     clock.Instant         // when an attempt was last added or ended
	silentSince  clock.Instant         // when the first attempt was written of those since which nothing came
	suspectSince clock.Instant         // when an attempt was cancelled during which nothing came; zero for never
	state        connState

	unwritableSince clock.Instant // when the first attempt was cancelled whose cancel can't be written; zero for none
}

// command is what the writing goroutine writes next: an attempt, or the line that cancels one.
type command struct {
	attempt    *Attempt
	cancelLine []byte // nil for the attempt itself
}

// dialedAddr returns the address of the connection, empty while several are dialed.
func (c *Connection) dialedAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// setListedAddrs says which addresses the endpoint still has.
func (c *Connection) setListedAddrs(listed map[address.Addr]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedAddrs = listed
}

// isListed says whether the endpoint still has an address.
func (c *Connection) isListed(addr address.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedAddrs == nil || c.listedAddrs[addr]
}

// load returns how many attempts are open, and whether the connection takes more. It takes none while it is silent
// after a cancel: the endpoint may have vanished or be a new process. Nor does it while the response to a cancelled
// attempt is still coming, which the next response would wait behind.
func (c *Connection) load() (open int, available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts), c.state.takesAttempts() && !c.isSilentLocked() && !c.receivesLateResponseLocked()
}

// receivesLateResponseLocked says whether a response is coming though no attempt is open: that of a cancelled one.
func (c *Connection) receivesLateResponseLocked() bool {
	return len(c.attempts) == 0 && c.conn != nil && !c.conn.FrameStart().IsZero()
}

// add queues an attempt, unless the connection takes no more or carries the same id already.
func (c *Connection) add(a *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.takesAttempts() || c.attempts[a.id] != nil || c.cancelled[a.id] != nil {
		return false
	}
	a.connection = c
	a.waits = c.writerBusy
	c.lastUsed = clock.Now()
	c.attempts[a.id] = a
	c.enqueueLocked(command{attempt: a})
	return true
}

func (c *Connection) enqueueLocked(next command) {
	c.writeQueue = append(c.writeQueue, next)
	select {
	case c.writeSignal <- struct{}{}:
	default:
	}
}

// cancel gives an attempt up and returns how it ends by that, and whether at once. One that the endpoint may know of
// is over only when the socket has taken the cancel line, or the connection has ended. Its end then comes like any
// other. The line is not written where nothing is written any more.
//
// It guards against two attempts of a request at once: a retry that is sent before the cancel line would run beside the
// attempt, which the settings may forbid.
func (c *Connection) cancel(a *Attempt, result routing.AttemptResult) (end routing.AttemptResult, atOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[a.id] != a { // its end is on the way, or was lost with a panic
		if !a.written {
			return routing.NotSent, true
		}
		return result, true
	}
	delete(c.attempts, a.id)
	now := clock.Now()
	c.lastUsed = now
	if !a.written {
		c.dequeueLocked(a)
		return routing.NotSent, true
	}
	defer c.closeIfDoneLocked()
	if !c.state.hasAttempts() || a.isHealthCheck {
		return result, true
	}
	a.cancelResult = result
	c.cancelled[a.id] = a
	if c.state == connReceiving {
		c.noteUnwritableCancelLocked(now)
		return result, false
	}
	c.enqueueLocked(command{attempt: a, cancelLine: cacheproto.AppendCancel(nil, a.id)})
	c.suspectSilenceLocked(now)
	return result, false
}

// dequeueLocked takes an attempt that was not begun out of the write queue.
func (c *Connection) dequeueLocked(a *Attempt) {
	for i, queued := range c.writeQueue {
		if queued.attempt == a {
			c.writeQueue = append(c.writeQueue[:i:i], c.writeQueue[i+1:]...)
			return
		}
	}
}

// reportCancelled ends attempts whose cancel was sent to the endpoint.
func (c *Connection) reportCancelled(attempts []*Attempt) {
	for _, a := range attempts {
		c.mu.Lock()
		delete(c.cancelled, a.id)
		c.mu.Unlock()
		c.reportEnd(a, request.AttemptEnd{Result: a.cancelResult})
	}
}

// reportEnd reports an attempt's end to the pool's owner.
func (c *Connection) reportEnd(a *Attempt, end request.AttemptEnd) {
	c.pool.OnEvent(AttemptEnded{Attempt: a, End: end})
}
