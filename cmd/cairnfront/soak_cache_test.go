package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// soakCache is a cache stub that answers attempts concurrently and misbehaves at random, as drawn from its seed.
type soakCache struct {
	net.Listener
	journal *soakJournal
	index   int

	smallBuffers bool
	mu           sync.Mutex
	rng          *rand.Rand
	conns        map[*soakCacheConn]struct{}
	resumed      chan struct{} // closed when a frozen cache resumes; nil if it is not frozen
}

// soakCacheConn is a connection to a soakCache, with its open attempts.
type soakCacheConn struct {
	net.Conn
	cache        *soakCache
	mu           sync.Mutex
	openAttempts map[string]*soakAttempt // by request id

	pauseMu    sync.Mutex
	firstPause time.Time // when reading first paused; zero if it never did
}

func newSoakCache(t *testing.T, journal *soakJournal, index int, rng *rand.Rand, smallBuffers bool) *soakCache {
	t.Helper()
	ln := listenLoopback(t)
	if smallBuffers {
		ln = listenWithSmallBuffers(t)
	}
	t.Cleanup(func() { _ = ln.Close() })
	c := &soakCache{
		Listener: ln, journal: journal, index: index, rng: rng, smallBuffers: smallBuffers,
		conns: map[*soakCacheConn]struct{}{},
	}
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(&soakCacheConn{Conn: raw, cache: c, openAttempts: map[string]*soakAttempt{}})
		}
	}()
	return c
}

// randomInt returns a random number from 0 to n-1.
func (c *soakCache) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *soakCache) serve(conn *soakCacheConn) {
	c.mu.Lock()
	c.conns[conn] = struct{}{}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
		conn.endAllAttempts(c.journal)
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if words[0] == "undo" {
			conn.end(c.journal, words[1], "cancel")
			continue
		}
		length, _ := strconv.Atoi(words[3])
		if _, err := io.CopyN(io.Discard, reader, int64(length)+2); err != nil {
			return
		}
		c.receive(conn, words[1], words[2])
	}
}

// receive records an attempt and answers it in a goroutine of its own.
func (c *soakCache) receive(conn *soakCacheConn, id, fieldText string) {
	fields := parseFields(fieldText)
	a := &soakAttempt{cache: c.index}
	a.maxMillis, _ = strconv.Atoi(fields["max"])
	a.accept, _ = strconv.Atoi(fields["accept"])
	behaviour := c.randomInt(20)
	a.mayHaveRun = behaviour > 1
	conn.mu.Lock()
	conn.openAttempts[id] = a // before received, as the connection may be reset meanwhile
	conn.mu.Unlock()
	c.journal.received(id, a, conn.pausedSince())
	if c.smallBuffers && c.randomInt(15) == 0 {
		c.sendUnsolicitedResponse(conn)
	}
	delay := time.Duration(c.randomInt(60)) * time.Millisecond
	go c.answer(conn, id, behaviour, delay)
}

// answer ends an attempt in one of the ways that the protocol has, or leaves it unanswered.
func (c *soakCache) answer(conn *soakCacheConn, id string, behaviour int, delay time.Duration) {
	time.Sleep(delay)
	c.awaitResume()
	text := id + " served digest=d1,dated=" + strconv.FormatInt(time.Now().UnixMilli(), 10) + " 1\r\nx\r\n"
	switch behaviour {
	case 0:
		text = id + " not_here - 0\r\n\r\n"
	case 1:
		text = id + " overload - 0\r\n\r\n"
	case 2:
		text = id + " crashed - 0\r\n\r\n"
	case 3: // no response
		return
	case 4:
		conn.endAllAttempts(c.journal)
		resetConnection(conn.Conn)
		return
	case 5: // truncated response
		text = text[:len(text)/2]
	case 6: // duplicate response
		text += text
	}
	conn.end(c.journal, id, "answer") // recorded before the router can read the response
	_, _ = io.WriteString(conn, text)
}

// end records the end of an attempt.
func (c *soakCacheConn) end(journal *soakJournal, id, by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.openAttempts[id]; a != nil {
		journal.attemptEnded(a, by, c.pausedSince())
		delete(c.openAttempts, id)
	}
}

// endAllAttempts records the end of all attempts on the connection. It must be called before the connection is closed,
// as the router may see the close before this stub's reading goroutine does.
func (c *soakCacheConn) endAllAttempts(journal *soakJournal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.openAttempts {
		journal.attemptEnded(a, "connection ended", c.pausedSince())
	}
}

// endConnections closes the idle connections, or resets all connections if reset is true.
func (c *soakCache) endConnections(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.mu.Lock()
		idle := len(conn.openAttempts) == 0
		conn.mu.Unlock()
		if reset {
			discardUnsent(conn.Conn)
		}
		if idle || reset {
			conn.endAllAttempts(c.journal)
			_ = conn.Close()
		}
	}
}
