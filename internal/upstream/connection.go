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

// Connection is one connection to an endpoint with the attempts that are open on it. It is served by a reader and a
// writer goroutine. The methods that the pool's owner calls meanwhile are safe for concurrent use.
type Connection struct {
	pool              *Pool
	endpointID        routing.EndpointID
	endpointStartedAt float64               // start time of the endpoint process that it connects to
	dialPlan          []address.PlannedDial // addresses to dial; nil if the endpoint has only one address

	mu              sync.Mutex            // guards the fields below
	addr            string                // empty while several addresses are dialed
	listedAddrs     map[address.Addr]bool // addresses that the endpoint currently has; nil allows any
	conn            *netconn.Conn         // nil if not established
	attempts        map[string]*Attempt   // open attempts by id
	cancelled       map[string]*Attempt   // cancelled attempts by id whose cancel is not sent yet
	writeQueue      []command             // commands that are not written yet
	writeSignal     chan struct{}         // contains a value while the queue may contain commands
	writerBusy      bool                  // the writer goroutine has not seen an empty queue since its last command
	lastUsed        clock.Instant         // time at which an attempt was last added or ended
	unansweredSince clock.Instant         // time at which the first attempt after the last input was written
	suspectedSince  clock.Instant         // time at which an attempt without any input was cancelled; zero if none was
	state           connState

	unwritableSince clock.Instant // time of the first cancel that cannot be written; zero if none
}

// command is an entry of the write queue: an attempt, or the line that cancels one.
type command struct {
	attempt    *Attempt
	cancelLine []byte // nil if the command is the attempt itself
}

// dialedAddr returns the address of the connection, which is empty while several addresses are dialed.
func (c *Connection) dialedAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// setListedAddrs sets the addresses that the endpoint currently has.
func (c *Connection) setListedAddrs(listed map[address.Addr]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedAddrs = listed
}

// isListed reports whether the endpoint currently has an address.
func (c *Connection) isListed(addr address.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedAddrs == nil || c.listedAddrs[addr]
}

// load returns the number of open attempts and whether the connection accepts another one. It accepts none while it is
// silent after a cancel: the endpoint may have vanished or been replaced by a new process. It also accepts none while
// the response to a cancelled attempt is arriving, because the next response would have to wait for it.
func (c *Connection) load() (open int, available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts), c.state.takesAttempts() && !c.isSilentLocked() && !c.receivesLateResponseLocked()
}

// receivesLateResponseLocked reports whether a response is arriving although no attempt is open. It belongs to a
// cancelled attempt.
func (c *Connection) receivesLateResponseLocked() bool {
	return len(c.attempts) == 0 && c.conn != nil && !c.conn.FrameStart().IsZero()
}

// add queues an attempt. It returns false if the connection accepts no more attempts or already has one with the same
// id.
func (c *Connection) add(a *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.takesAttempts() || c.attempts[a.id] != nil || c.cancelled[a.id] != nil {
		return false
	}
	a.connection = c
	a.delayed = c.writerBusy
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

// cancel cancels an attempt and returns its result and whether it has already ended. A request's attempt that the
// endpoint may have received ends only when the socket has accepted the cancel line or the connection has ended; the
// end is then reported as an event. On a connection in state receiving, the line is not written, and a late response
// also ends the attempt.
//
// It guards against two concurrent attempts of a request: a retry that is sent before the cancel line would run
// concurrently with the attempt, which the settings may forbid.
func (c *Connection) cancel(a *Attempt, result routing.AttemptResult) (end routing.AttemptResult, immediate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[a.id] != a { // its end is already being reported, or was lost in a panic
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
		c.recordUnwritableCancelLocked(now)
		return result, false
	}
	c.enqueueLocked(command{attempt: a, cancelLine: cacheproto.AppendCancel(nil, a.id)})
	c.markSuspectIfSilentLocked(now)
	return result, false
}

// dequeueLocked removes an attempt that was not written from the write queue.
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

// reportEnd reports the end of an attempt to the pool's owner.
func (c *Connection) reportEnd(a *Attempt, end request.AttemptEnd) {
	c.pool.OnEvent(AttemptEnded{Attempt: a, End: end})
}
