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
)

// attempt is a `do` line that came whole to a cache, with the connection that it came on.
type attempt struct {
	id     string
	fields map[string]string
	body   []byte
	conn   *cacheConn
}

// cacheConn is a connection to a stand-in cache.
type cacheConn struct {
	net.Conn
	mu sync.Mutex
}

// reply writes an answer line with its body.
func (c *cacheConn) reply(id, word, fields string, body []byte) {
	if fields == "" {
		fields = "-"
	}
	line := append(fmt.Appendf(nil, "%s %s %s %d\r\n", id, word, fields, len(body)), body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(append(line, "\r\n"...))
}

// cacheServer is a stand-in for a cache, a parent or the origin: it parses the lines of the caches' protocol.
type cacheServer struct {
	listener  net.Listener
	onAttempt func(attempt) // called on the connection's goroutine, in the order of arrival
}

// startCache starts a stand-in cache on a free loopback port.
func startCache(onAttempt func(attempt)) (*cacheServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &cacheServer{listener: ln, onAttempt: onAttempt}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(&cacheConn{Conn: conn})
		}
	}()
	return s, nil
}

func (s *cacheServer) addr() string { return s.listener.Addr().String() }

// serve reads commands until the connection ends or a line can't be read.
func (s *cacheServer) serve(c *cacheConn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
		switch {
		case words[0] == "undo" && len(words) == 2: // the answer may come all the same
		case (words[0] == "ping" || words[0] == "top") && len(words) == 2:
			c.reply(words[1], "green", "", nil)
		case words[0] == "do" && len(words) == 4:
			length, err := strconv.Atoi(words[3])
			if err != nil || length < 0 || length > 1<<20 {
				return
			}
			body := make([]byte, length+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			s.onAttempt(attempt{id: words[1], fields: parseFields(words[2]), body: body[:length], conn: c})
		default:
			return
		}
	}
}

// parseFields parses a list name=value,name=value.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return fields
}
