package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// streamingSite is a router with caches that serve blocks and records, or are silent.
type streamingSite struct {
	router     *routerProcess
	blockBytes int

	mu       sync.Mutex
	silent   bool
	attempts []streamedAttempt
	conns    []net.Conn // of the router, oldest first
}

// streamedAttempt is an attempt that a cache received completely.
type streamedAttempt struct {
	id            string
	at            time.Time
	timeoutMillis int
}

func startStreamingSite(t *testing.T, load streamingLoad) *streamingSite {
	t.Helper()
	site := &streamingSite{blockBytes: load.blockBytes}
	var stubs []*cacheStub
	for range 3 {
		stubs = append(stubs, startCacheServing(t, site.serve))
	}
	edit := func(content []byte) []byte {
		text := strings.Replace(string(content), `"cores":1`, fmt.Sprintf(`"cores":%d`, load.cores), 1)
		if load.descriptors > 0 {
			text = strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, load.descriptors), 1)
		}
		return []byte(text)
	}
	site.router = startProgram(t, launch{program: program, editBootstrap: edit}, load.memoryMB, stubs[0], stubs[1:]...)
	return site
}

// serve answers the attempts of one connection, each after blockDelay, unless the site is silent.
func (s *streamingSite) serve(conn net.Conn) {
	defer conn.Close()
	s.addConn(conn)
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		id, fieldText, err := readAttempt(in)
		if err != nil {
			return
		}
		fields := parseFields(fieldText)
		if s.record(id, fields["max"]) {
			continue
		}
		size := 0
		if fields["profile"] == "page" {
			size = s.blockBytes
		}
		time.AfterFunc(blockDelay, func() {
			writing.Lock()
			defer writing.Unlock()
			_, _ = fmt.Fprintf(conn, "%s served digest=d1,dated=%d,remark=h %d\r\n%s\r\n",
				id, time.Now().UnixMilli(), size, strings.Repeat("b", size))
		})
	}
}

func (s *streamingSite) addConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conn)
}

// breakOff resets the newest connection of the router.
func (s *streamingSite) breakOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 {
		return
	}
	newest := s.conns[len(s.conns)-1]
	s.conns = s.conns[:len(s.conns)-1]
	if socket, ok := newest.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = newest.Close()
}

// record records an attempt, and reports whether the site is silent.
func (s *streamingSite) record(id, timeout string) (silent bool) {
	millis, _ := strconv.Atoi(timeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, streamedAttempt{id: id, at: time.Now(), timeoutMillis: millis})
	return s.silent
}

func (s *streamingSite) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}
