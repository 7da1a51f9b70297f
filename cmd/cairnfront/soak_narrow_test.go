package main

import (
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Half of the soak test's seeds use caches with small socket buffers, so that the router's socket accepts only a part
// of an attempt with a body. These caches read late, stop reading for good, freeze with all of their connections, or
// send unsolicited responses. The router has few descriptors, so that attempts share connections.
const (
	smallBufferSockets     = 64
	smallBufferIdleClients = 10
	pauseOneIn             = 40 // 1 in 40 reads starts with a pause
	endlessPauseOneIn      = 4  // 1 in 4 pauses lasts until the router closes the connection
	minPauseMs             = 200
	pauseRangeMs           = 1800
	peerClosePollInterval  = 5 * time.Millisecond
)

// pausedSince returns when reading from the connection first paused, zero if it never did. Anything read after that
// time may have waited in the socket buffers since then: these hold more than one read returns, and the router sends
// small pieces.
func (c *soakCacheConn) pausedSince() time.Time {
	c.pauseMu.Lock()
	defer c.pauseMu.Unlock()
	return c.firstPause
}

// Read reads from the connection, after a random pause or while the cache is frozen.
func (c *soakCacheConn) Read(p []byte) (int, error) {
	if c.cache.smallBuffers && c.cache.randomInt(pauseOneIn) == 0 {
		c.pauseReading(c.randomPause)
	}
	if c.cache.isFrozen() {
		c.pauseReading(c.cache.awaitResume)
	}
	return c.Conn.Read(p)
}

// pauseReading records the first pause and blocks until wait returns.
func (c *soakCacheConn) pauseReading(wait func()) {
	c.pauseMu.Lock()
	if c.firstPause.IsZero() {
		c.firstPause = time.Now()
	}
	c.pauseMu.Unlock()
	wait()
}

// randomPause waits for a random time, or until the router has closed the connection.
func (c *soakCacheConn) randomPause() {
	if c.cache.randomInt(endlessPauseOneIn) > 0 {
		time.Sleep(time.Duration(minPauseMs+c.cache.randomInt(pauseRangeMs)) * time.Millisecond)
		return
	}
	for !c.peerClosed() {
		time.Sleep(peerClosePollInterval)
	}
}

// peerClosed reports whether the router has closed the connection. It does not read from it.
func (c *soakCacheConn) peerClosed() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	peerClosed := false
	err = raw.Control(func(fd uintptr) {
		watched := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(watched, 0)
		peerClosed = err == nil && n > 0
	})
	return peerClosed || err != nil
}

// freeze makes the cache neither read nor answer for the given duration.
func (c *soakCache) freeze(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumed != nil {
		return
	}
	c.resumed = make(chan struct{})
	time.AfterFunc(duration, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.resumed)
		c.resumed = nil
	})
}

func (c *soakCache) isFrozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resumed != nil
}

// awaitResume blocks while the cache is frozen.
func (c *soakCache) awaitResume() {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// sendUnsolicitedResponse answers a request that the cache has not received. Its attempt may still wait in the
// router's queue.
func (c *soakCache) sendUnsolicitedResponse(conn *soakCacheConn) {
	if id := c.journal.unsolicitedRequestID(c.index); id != "" {
		_, _ = io.WriteString(conn, fmt.Sprintf("%s served digest=d1,dated=%d 1\r\nx\r\n", id, time.Now().UnixMilli()))
	}
}

// unsolicitedRequestID returns the id of an open request that a cache has not received, and records that the cache
// answers it. It returns "" if there is none. It picks only idempotent requests, for which a response before the
// attempt breaks no rule.
func (j *soakJournal) unsolicitedRequestID(cache int) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, r := range j.requests {
		isOpen := !r.sentAt.IsZero() && r.answers == 0 && r.cancelledAt.IsZero()
		if isOpen && r.class == "page" && !r.receivedBy(cache) {
			r.unsolicitedFrom[cache] = true
			return id
		}
	}
	return ""
}

// receivedBy reports whether a cache has received an attempt for the request.
func (r *soakRequest) receivedBy(cache int) bool {
	for _, a := range r.attempts {
		if a.cache == cache {
			return true
		}
	}
	return false
}

// endAttemptsOnPausedConnections records the end of all attempts on connections whose reading paused at any time, as a
// cancel or a close may still be unread there.
func (c *soakCache) endAttemptsOnPausedConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if !conn.pausedSince().IsZero() {
			conn.endAllAttempts(c.journal)
		}
	}
}
