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

// soakCache is a stand-in of a cache that answers attempts concurrently, and behaves as its seed says.
type soakCache struct {
	net.Listener
	journal *soakJournal
	index   int

	narrow  bool
	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[*soakCacheConn]struct{}
	thawing chan struct{} // closed when the cache goes on; nil while it does
}

// soakCacheConn is a connection to a cache with the attempts that are out on it.
type soakCacheConn struct {
	net.Conn
	cache *soakCache
	mu    sync.Mutex
	out   map[string]*soakAttempt

	pauseMu    sync.Mutex
	firstPause time.Time // zero for never
}

func newSoakCache(t *testing.T, journal *soakJournal, index int, rng *rand.Rand, narrow bool) *soakCache {
	t.Helper()
	ln := listenLoopback(t)
	if narrow {
		ln = listenNarrow(t)
	}
	t.Cleanup(func() { _ = ln.Close() })
	c := &soakCache{
		Listener: ln, journal: journal, index: index, rng: rng, narrow: narrow, conns: map[*soakCacheConn]struct{}{},
	}
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(&soakCacheConn{Conn: raw, cache: c, out: map[string]*soakAttempt{}})
		}
	}()
	return c
}

// draw returns a number below n.
func (c *soakCache) draw(n int) int {
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
		conn.endAll(c.journal)
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

// receive records an attempt and answers it in the background.
func (c *soakCache) receive(conn *soakCacheConn, id, fieldText string) {
	fields := parseFields(fieldText)
	a := &soakAttempt{cache: c.index}
	a.maxMillis, _ = strconv.Atoi(fields["max"])
	a.accept, _ = strconv.Atoi(fields["accept"])
	behaviour := c.draw(20)
	a.mayHaveRun = behaviour > 1
	conn.mu.Lock()
	conn.out[id] = a // first: the connection may be reset meanwhile
	conn.mu.Unlock()
	c.journal.received(id, a, conn.asOf())
	if c.narrow && c.draw(15) == 0 {
		c.answerStray(conn)
	}
	delay := time.Duration(c.draw(60)) * time.Millisecond
	go c.answer(conn, id, behaviour, delay)
}

// answer ends an attempt in one of the ways of the protocol, or leaves it without an end.
func (c *soakCache) answer(conn *soakCacheConn, id string, behaviour int, delay time.Duration) {
	time.Sleep(delay)
	c.awaitThaw()
	text := id + " served digest=d1,dated=" + strconv.FormatInt(time.Now().UnixMilli(), 10) + " 1\r\nx\r\n"
	switch behaviour {
	case 0:
		text = id + " not_here - 0\r\n\r\n"
	case 1:
		text = id + " overload - 0\r\n\r\n"
	case 2:
		text = id + " crashed - 0\r\n\r\n"
	case 3: // it hangs
		return
	case 4:
		conn.endAll(c.journal)
		resetConnection(conn.Conn)
		return
	case 5: // it breaks off
		text = text[:len(text)/2]
	case 6: // an answer twice
		text += text
	}
	conn.end(c.journal, id, "answer") // before the router can know of it
	_, _ = io.WriteString(conn, text)
}

// end records that an attempt is out no more.
func (c *soakCacheConn) end(journal *soakJournal, id, by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.out[id]; a != nil {
		journal.over(a, by, c.asOf())
		delete(c.out, id)
	}
}

// endAll records that no attempt on the connection is out any more. It comes before the connection is closed: the
// router may know of that sooner than the goroutine that reads here.
func (c *soakCacheConn) endAll(journal *soakJournal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.out {
		journal.over(a, "end of its connection", c.asOf())
	}
}

// endConnections closes idle connections, or resets all.
func (c *soakCache) endConnections(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.mu.Lock()
		idle := len(conn.out) == 0
		conn.mu.Unlock()
		if reset {
			discardUnsent(conn.Conn)
		}
		if idle || reset {
			conn.endAll(c.journal)
			_ = conn.Close()
		}
	}
}
