package standin

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/lab/timing"
	"cairnfront/routing"
)

// attemptLookback is the number of latest attempts, including the current one, that are searched for attempts of the
// same request.
const attemptLookback = 200

// standInConn is a router's connection to an address of a stand-in.
type standInConn struct {
	address *Address
	conn    net.Conn

	writing sync.Mutex          // serializes writes of complete lines
	open    map[string]*Attempt // open attempts by request id; guarded by the stand-in's mu
}

func newStandInConn(address *Address, conn net.Conn) *standInConn {
	return &standInConn{
		address: address,
		conn:    conn,
		open:    map[string]*Attempt{},
	}
}

// serve speaks the cache protocol until the connection ends.
func (c *standInConn) serve() {
	c.register()
	defer c.unregister()
	reader := bufio.NewReader(c.conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		command, err := cacheproto.ParseCommand([]byte(strings.TrimRight(line, "\r\n")))
		if err != nil {
			return
		}
		if !c.handle(command, reader) {
			return
		}
	}
}

// register adds the connection to its address.
func (c *standInConn) register() {
	standIn := c.address.standIn
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	c.address.conns[c.conn] = true
	if c.address.mode == Unresponsive {
		standIn.UnresponsiveConnections.Add(1)
	}
}

// unregister closes the connection and records the end of its attempts.
func (c *standInConn) unregister() {
	_ = c.conn.Close() // the router may have closed it already
	standIn := c.address.standIn
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	delete(c.address.conns, c.conn)
	for _, attempt := range c.open {
		attempt.EndedAt = timing.UnixSeconds(time.Now())
	}
	clear(c.open)
}

// handle processes a command. It returns false if the connection must be closed.
func (c *standInConn) handle(command cacheproto.Command, reader io.Reader) bool {
	mode := c.address.currentMode()
	switch command.Kind {
	case cacheproto.CommandCancel:
		c.endAttempt(command.ID)
		return true
	case cacheproto.CommandProbe, cacheproto.CommandProbeLoad:
		if mode == Healthy {
			c.write(cacheproto.AppendProbeReply(nil, command.ID, true, ""))
		}
		return true
	case cacheproto.CommandAttempt:
	}
	if _, err := io.ReadFull(reader, make([]byte, command.BodyBytes+len(cacheproto.LineEnd))); err != nil {
		return false
	}
	c.beginAttempt(command, mode)
	switch mode {
	case Unresponsive, Closed:
		return true
	case Resetting:
		if tcp, isTCP := c.conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // fails only on a closed connection, which needs no reset
		}
		return false
	case Healthy, Truncating: // respond below
	}
	time.AfterFunc(c.address.standIn.delay, func() { c.answer(command, mode) })
	return true
}

// beginAttempt records an attempt that has been received completely.
func (c *standInConn) beginAttempt(command cacheproto.Command, mode AddressMode) {
	attempt := &Attempt{
		ID:        command.ID,
		Class:     command.ClassName,
		key:       command.IdempotencyKey,
		address:   c.address.index,
		StartedAt: timing.UnixSeconds(time.Now()),
		Mode:      mode,
	}
	standIn := c.address.standIn
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	standIn.attempts = append(standIn.attempts, attempt)
	c.open[command.ID] = attempt
}

// endAttempt records the end of an attempt. It returns false if the attempt has ended already.
func (c *standInConn) endAttempt(id string) bool {
	standIn := c.address.standIn
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	attempt := c.open[id]
	if attempt == nil {
		return false
	}
	delete(c.open, id)
	attempt.EndedAt = timing.UnixSeconds(time.Now())
	return true
}

// answer sends the success or failure of an attempt, unless the attempt was cancelled. A truncated response leaves the
// attempt open.
func (c *standInConn) answer(command cacheproto.Command, mode AddressMode) {
	standIn := c.address.standIn
	if standIn.FailAttempt != nil && standIn.FailAttempt(command, standIn.attemptsOf(command.ID)) {
		failure := cacheproto.AttemptReply{Result: routing.ServerError}
		c.writeAnswer(command.ID, cacheproto.AppendAttemptReply(nil, command.ID, failure))
		return
	}
	body := standIn.Body(command)
	reply := cacheproto.AppendAttemptReply(nil, command.ID, cacheproto.AttemptReply{
		Result:           routing.Completed,
		Detail:           routing.CacheHit,
		ETag:             "v1",
		OriginUnixMillis: clock.Now().UnixMillis(),
		PurgeGroup:       cacheproto.UnknownPurgeGroup,
		BodyBytes:        len(body),
	})
	reply = append(reply, body...)
	if mode == Truncating {
		c.writing.Lock()
		defer c.writing.Unlock()
		_, _ = c.conn.Write(reply[:(len(reply)+len(cacheproto.LineEnd))/2]) // errors are ignored as in write
		return
	}
	c.writeAnswer(command.ID, reply)
}

// writeAnswer ends an attempt and writes its response, unless the attempt has ended already.
func (c *standInConn) writeAnswer(id string, reply []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.endAttempt(id) {
		_, _ = c.conn.Write(append(reply, cacheproto.LineEnd...)) // errors are ignored as in write
	}
}

// write writes a line. Errors are ignored, as the reader of the connection detects its end too.
func (c *standInConn) write(line []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.conn.Write(append(line, cacheproto.LineEnd...))
}

// attemptsOf counts the attempts of a request among the latest attempts.
func (standIn *Endpoint) attemptsOf(id string) int {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	recent := standIn.attempts[max(len(standIn.attempts)-(attemptLookback-1), 0):]
	n := 0
	for _, attempt := range recent {
		if attempt.ID == id {
			n++
		}
	}
	return n
}
