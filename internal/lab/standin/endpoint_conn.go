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

// attemptLookback is how many of the latest attempts are searched for earlier ones of the same request.
const attemptLookback = 200

// standInConn is a connection of a router to an address of a stand-in.
type standInConn struct {
	address *Address
	conn    net.Conn

	writing sync.Mutex          // one line at a time
	open    map[string]*Attempt // by request id; guarded by the stand-in's lock
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

// unregister closes the connection and ends its attempts.
func (c *standInConn) unregister() {
	_ = c.conn.Close() // the other side may have closed it already
	standIn := c.address.standIn
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	delete(c.address.conns, c.conn)
	for _, attempt := range c.open {
		attempt.EndedAt = timing.UnixSeconds(time.Now())
	}
	clear(c.open)
}

// handle carries out a command. It returns false when the connection is to end.
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
			_ = tcp.SetLinger(0) // fails on a closed connection alone, which needs no reset
		}
		return false
	case Healthy, Truncating: // answer below
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

// endAttempt records the end of an attempt. It returns false where the attempt has ended already.
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

// answer ends an attempt with success or failure, unless it was cancelled. A truncated answer leaves it open.
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
		_, _ = c.conn.Write(reply[:(len(reply)+len(cacheproto.LineEnd))/2]) // as in write
		return
	}
	c.writeAnswer(command.ID, reply)
}

// writeAnswer ends an attempt and writes its answer, unless it has ended already.
func (c *standInConn) writeAnswer(id string, reply []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.endAttempt(id) {
		_, _ = c.conn.Write(append(reply, cacheproto.LineEnd...)) // as in write
	}
}

// write writes a line. Its error is ignored: the reader of the connection finds the same end.
func (c *standInConn) write(line []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.conn.Write(append(line, cacheproto.LineEnd...))
}

// attemptsOf counts the latest attempts of a request.
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
