//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is a request that has come whole to a cache.
type attempt struct {
	id        string
	fields    map[string]string
	bodyBytes int
	arrivedAt time.Time
	cache     *cache
}

// reply is what a cache does with an attempt: after a delay it answers with the word, or says nothing if word is empty.
type reply struct {
	delay time.Duration
	word  string
	body  string
}

// cache is a stand-in of a cache, a parent or the origin.
type cache struct {
	id, zone, kind string
	fixedAddress   string // address of an edge cache that is a process of its own; empty for a stand-in
	listener       net.Listener
	record         *record
	decide         func(attempt) reply

	mu       sync.Mutex
	attempts []attempt
	undone   map[string]bool // ids of requests that were given up
	conns    map[net.Conn]bool
}

func startCache(rec *record, id, zone, kind string, decide func(attempt) reply) (*cache, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cache{
		id: id, zone: zone, kind: kind, listener: ln, record: rec, decide: decide,
		undone: map[string]bool{}, conns: map[net.Conn]bool{},
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *cache) address() string {
	if c.fixedAddress != "" {
		return c.fixedAddress
	}
	return c.listener.Addr().String()
}

// close ends the cache and its connections.
func (c *cache) close() {
	_ = c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// received returns the attempts that have come so far.
func (c *cache) received() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}

func (c *cache) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "undo":
			c.mu.Lock()
			c.undone[words[1]] = true
			c.mu.Unlock()
			c.record.printf("%s: %s given up", c.id, words[1])
		case len(words) == 4 && words[0] == "do":
			a, err := c.readAttempt(reader, words)
			if err != nil {
				return
			}
			go c.answer(conn, &writing, a)
		default:
			c.record.printf("%s: a line that is no command: %q", c.id, line)
			return
		}
	}
}

// readAttempt reads the body of an attempt and records it.
func (c *cache) readAttempt(reader *bufio.Reader, words []string) (attempt, error) {
	length, err := strconv.Atoi(words[3])
	if err != nil {
		return attempt{}, err
	}
	if _, err := io.CopyN(io.Discard, reader, int64(length)+2); err != nil {
		return attempt{}, err
	}
	a := attempt{id: words[1], fields: map[string]string{}, bodyBytes: length, arrivedAt: time.Now(), cache: c}
	for _, pair := range strings.Split(words[2], ",") {
		name, value, _ := strings.Cut(pair, "=")
		a.fields[name] = value
	}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	c.record.printf("%s: got %s, %s, body %d", c.id, a.id, words[2], length)
	return a, nil
}

// answer answers an attempt as decide says, unless it was given up.
func (c *cache) answer(conn net.Conn, writing *sync.Mutex, a attempt) {
	r := c.decide(a)
	time.Sleep(r.delay)
	c.mu.Lock()
	undone := c.undone[a.id]
	c.mu.Unlock()
	if r.word == "" || undone {
		return
	}
	fields := "-"
	if r.word == "served" {
		fields = fmt.Sprintf("digest=d1,dated=%d,remark=f", time.Now().UnixMilli())
	}
	writing.Lock()
	defer writing.Unlock()
	_, err := fmt.Fprintf(conn, "%s %s %s %d\r\n%s\r\n", a.id, r.word, fields, len(r.body), r.body)
	c.record.printf("%s: answered %s with %s, error %v", c.id, a.id, r.word, err)
}
