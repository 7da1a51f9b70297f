package upstream

// connState is the state of a connection to an endpoint, guarded by the connection's lock. These are all transitions;
// moveLocked makes them and no other:
//
//	from        to       when
//	connecting  ready      a dial has established the connection (serve)
//	connecting  closed     no dial did, or the pool ends (failedToConnect)
//	ready       receiving  nothing more can be written to it while attempts are in flight (stopWriting)
//	ready       closing    it is idle, silent or not wanted any more, and no attempt is open on it (closeIfIdle)
//	ready       closed     its socket failed, its input broke the protocol, or the pool ends (endAttempts)
//	receiving   closed     its last attempt has ended, its socket failed, or the pool ends (endAttempts)
//	closing     closed     its reading goroutine has ended it (endAttempts)
//
// There is no way back from receiving or closing: an attempt that is added then could cross the end of the connection
// and would have to be repeated, which a request that must not run twice does not allow.
type connState uint8

const (
	connConnecting connState = iota // attempts wait for the dial
	connReady                       // attempts are written and answered
	connReceiving                   // nothing is written any more; attempts in flight are answered
	connClosing                     // no attempt is open and none is added; the reading goroutine ends the connection
	connClosed                      // each attempt has its end; nothing happens any more
	connStateCount
)

// connTransitions has, by its state, the states that a connection may take next.
var connTransitions = [connStateCount][connStateCount]bool{
	connConnecting: {connReady: true, connClosed: true},
	connReady:      {connReceiving: true, connClosing: true, connClosed: true},
	connReceiving:  {connClosed: true},
	connClosing:    {connClosed: true},
}

// takesAttempts says whether a connection takes new attempts in a state.
func (s connState) takesAttempts() bool { return s == connConnecting || s == connReady }

// hasAttempts says whether attempts may be open on a connection in a state, so that one that is given up ends by its
// cancel line or by the connection's end.
func (s connState) hasAttempts() bool { return s.takesAttempts() || s == connReceiving }

// moveLocked takes the connection to another state where the table has the transition, and says whether it did.
func (c *Connection) moveLocked(to connState) bool {
	if !connTransitions[c.state][to] {
		return false
	}
	c.state = to
	return true
}
