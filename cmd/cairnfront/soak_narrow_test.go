package main

import (
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Narrow seeds of the soak have caches whose connections hold little that is not read, so that the router's socket
// takes attempts with bodies in part. These caches read late, or never again, or freeze with all of their connections,
// and answer attempts that they have not received. The router has few descriptors, so that attempts share connections.
const (
	narrowSockets  = 64
	narrowCrowd    = 10
	pauseOneIn     = 40 // reads
	endlessOneIn   = 4  // pauses
	minPauseMs     = 200
	pauseRangeMs   = 1800
	hangUpInterval = 5 * time.Millisecond
)

// asOf is when the connection first was not read, zero for never. What comes after that may have waited in the sockets
// since: these hold more than is read at once, and it is sent in small pieces.
func (c *soakCacheConn) asOf() time.Time {
	c.pauseMu.Lock()
	defer c.pauseMu.Unlock()
	return c.firstPause
}

// Read reads, after a pause where the cache is frozen or one is drawn.
func (c *soakCacheConn) Read(p []byte) (int, error) {
	if c.cache.narrow && c.cache.draw(pauseOneIn) == 0 {
		c.pauseReading(c.drawnPause)
	}
	if c.cache.isFrozen() {
		c.pauseReading(c.cache.awaitThaw)
	}
	return c.Conn.Read(p)
}

// pauseReading reads nothing for as long as wait takes.
func (c *soakCacheConn) pauseReading(wait func()) {
	c.pauseMu.Lock()
	if c.firstPause.IsZero() {
		c.firstPause = time.Now()
	}
	c.pauseMu.Unlock()
	wait()
}

// drawnPause waits for a while, or until the router has ended the connection.
func (c *soakCacheConn) drawnPause() {
	if c.cache.draw(endlessOneIn) > 0 {
		time.Sleep(time.Duration(minPauseMs+c.cache.draw(pauseRangeMs)) * time.Millisecond)
		return
	}
	for !c.hungUp() {
		time.Sleep(hangUpInterval)
	}
}

// hungUp says whether the other side has ended the connection, without reading.
func (c *soakCacheConn) hungUp() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		watched := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(watched, 0)
		hungUp = err == nil && n > 0
	})
	return hungUp || err != nil
}

// freeze has the cache read and answer nothing for a while.
func (c *soakCache) freeze(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.thawing != nil {
		return
	}
	c.thawing = make(chan struct{})
	time.AfterFunc(duration, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.thawing)
		c.thawing = nil
	})
}

func (c *soakCache) isFrozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.thawing != nil
}

// awaitThaw waits while the cache is frozen.
func (c *soakCache) awaitThaw() {
	c.mu.Lock()
	thawing := c.thawing
	c.mu.Unlock()
	if thawing != nil {
		<-thawing
	}
}

// answerStray answers a request that the cache has not received: its attempt may wait in the router's queue.
func (c *soakCache) answerStray(conn *soakCacheConn) {
	if id := c.journal.strayFor(c.index); id != "" {
		_, _ = io.WriteString(conn, fmt.Sprintf("%s served digest=d1,dated=%d 1\r\nx\r\n", id, time.Now().UnixMilli()))
	}
}

// strayFor returns an open request that a cache has not received, and notes that the cache has answered it; "" where
// there is none. It may be repeated, so that an answer before its attempt breaks no rule.
func (j *soakJournal) strayFor(cache int) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, r := range j.requests {
		isOpen := !r.sentAt.IsZero() && r.answers == 0 && r.cancelledAt.IsZero()
		if isOpen && r.class == "page" && !r.receivedBy(cache) {
			r.strayFrom[cache] = true
			return id
		}
	}
	return ""
}

// receivedBy says whether a cache has received an attempt.
func (r *soakRequest) receivedBy(cache int) bool {
	for _, a := range r.attempts {
		if a.cache == cache {
			return true
		}
	}
	return false
}

// endUnread records that no attempt is out on connections that were not read: their end, or a cancel, may wait unread.
func (c *soakCache) endUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if !conn.asOf().IsZero() {
			conn.endAll(c.journal)
		}
	}
}
