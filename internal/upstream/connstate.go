package upstream

// connState is the state of a connection to an endpoint, guarded by the connection's lock. The table lists all
// transitions; only setStateLocked performs them:
//
//	from        to       when
//	connecting  ready      the dial succeeded (serve)
//	connecting  closed     every dial failed, or the pool is shutting down (failedToConnect)
//	ready       receiving  writing has failed while attempts are in flight (stopWriting)
//	ready       closing    it is idle, silent or no longer needed, and no attempt is open on it (closeIfIdle)
//	ready       closed     the socket failed, the input violated the protocol, or the pool shuts down (endAttempts)
//	receiving   closed     its last attempt ended, the socket failed, or the pool shuts down (endAttempts)
//	closing     closed     its reader goroutine has closed it (endAttempts)
//
// A connection never leaves receiving or closing for a state that accepts attempts: an attempt added then could race
// with the close of the connection and would have to be repeated, which is not allowed for a request that must not run
// twice.
type connState uint8

const (
	connConnecting connState = iota // attempts wait for the dial
	connReady                       // attempts are written and receive responses
	connReceiving                   // nothing more is written; attempts in flight still receive responses
	connClosing                     // no attempt is open and none is accepted; the reader goroutine closes it
	connClosed                      // all attempts have ended; final state
	connStateCount
)

// connTransitions lists the allowed next states for each state.
var connTransitions = [connStateCount][connStateCount]bool{
	connConnecting: {connReady: true, connClosed: true},
	connReady:      {connReceiving: true, connClosing: true, connClosed: true},
	connReceiving:  {connClosed: true},
	connClosing:    {connClosed: true},
}

// takesAttempts reports whether a connection in this state accepts new attempts.
func (s connState) takesAttempts() bool { return s == connConnecting || s == connReady }

// hasAttempts reports whether a connection in this state can have open attempts. If a request's attempt is cancelled
// after writing it has started, it ends when its cancel line is written, when the connection ends or, in state
// receiving, when its response arrives.
func (s connState) hasAttempts() bool { return s.takesAttempts() || s == connReceiving }

// setStateLocked changes the connection's state if the table allows the transition, and reports whether it did.
func (c *Connection) setStateLocked(to connState) bool {
	if !connTransitions[c.state][to] {
		return false
	}
	c.state = to
	return true
}
