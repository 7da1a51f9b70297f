package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Socket sizes that let a connection buffer only a few bytes.
const (
	smallReceiveBufferBytes = 2048
	smallSegmentBytes       = 536 // small segments reduce the sender's buffering, too
)

// listenWithSmallBuffers listens on a free loopback port for connections whose sockets buffer only a few bytes.
func listenWithSmallBuffers(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBufferBytes)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, smallSegmentBytes)
		})
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln
}

// cacheStub is a stub of a cache. It passes each attempt to answer and writes the returned text as the response.
type cacheStub struct {
	net.Listener
	answer      func(h receivedAttempt) string
	mu          sync.Mutex
	attempts    []receivedAttempt
	connections []net.Conn
	cancelled   chan string
}

// receivedAttempt is an attempt as a cache received it.
type receivedAttempt struct {
	id     string
	fields map[string]string
	body   string
	conn   net.Conn
}

// startCache starts a stub of a cache that answers each attempt with the result of answer.
func startCache(t *testing.T, answer func(receivedAttempt) string) *cacheStub {
	t.Helper()
	ln := listenLoopback(t)
	m := &cacheStub{Listener: ln, answer: answer, cancelled: make(chan string, 1000)}
	m.accept(t, ln)
	return m
}

// accept serves the connections of a listener until the test ends.
func (m *cacheStub) accept(t *testing.T, ln net.Listener) {
	t.Helper()
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
}

func (m *cacheStub) serve(c net.Conn) {
	defer c.Close()
	m.mu.Lock()
	m.connections = append(m.connections, c)
	m.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(text)
		if w[0] == "undo" {
			m.cancelled <- w[1]
			continue
		}
		h := receivedAttempt{id: w[1], fields: parseFields(w[2]), conn: c}
		n, _ := strconv.Atoi(w[3])
		body := make([]byte, n+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		h.body = string(body[:n])
		m.mu.Lock()
		m.attempts = append(m.attempts, h)
		m.mu.Unlock()
		if _, err := io.WriteString(c, m.answer(h)); err != nil {
			return
		}
	}
}

// parseFields parses the fields of a command of the caches' protocol: name=value pairs, separated by commas.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return fields
}

// kill closes the listener and every connection, as happens when the process of a cache exits.
func (m *cacheStub) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.Close()
	for _, c := range m.connections {
		_ = c.Close()
	}
}

func (m *cacheStub) lastAttempt() receivedAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts[len(m.attempts)-1]
}

func (m *cacheStub) attemptCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.attempts)
}

// discardUnsent sets SO_LINGER to 0, so that closing the connection discards unsent bytes and resets it.
func discardUnsent(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		panic("discard unsent bytes: not a TCP connection")
	}
	_ = tcp.SetLinger(0) // fails only if the connection has already ended
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	discardUnsent(c)
	_ = c.Close()
}

// okResponse returns a response with a body that completes an attempt.
func okResponse(h receivedAttempt, body string) string {
	now := time.Now().UnixMilli()
	return fmt.Sprintf("%s served digest=d1,dated=%d,remark=h %d\r\n%s\r\n", h.id, now, len(body), body)
}

// discoveryStub is a stub of the discovery service. It sends each event to the connected router, and again to a router
// that connects later with an older revision.
type discoveryStub struct {
	net.Listener
	send chan []byte

	mu        sync.Mutex
	sent      [][]byte
	conns     map[net.Conn]struct{}
	downUntil time.Time
}

// breakDown closes all connections, and rejects new ones for the given duration.
func (b *discoveryStub) breakDown(lasting time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.downUntil = time.Now().Add(lasting)
	for c := range b.conns {
		_ = c.Close()
	}
}

// admit registers a connection and reports whether the service is up.
func (b *discoveryStub) admit(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = struct{}{}
	return time.Now().After(b.downUntil)
}

// dismiss removes and closes a connection.
func (b *discoveryStub) dismiss(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
	_ = c.Close()
}

// sentAfter returns the events that were sent after the revision last.
func (b *discoveryStub) sentAfter(last []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.IndexFunc(b.sent, func(x []byte) bool { return bytes.Compare(x[4:12], last) > 0 })
	if i < 0 {
		return nil
	}
	return slices.Concat(b.sent[i:]...)
}

// serve sends a connection the events that it has missed, then new events and heartbeats, until it ends.
func (b *discoveryStub) serve(c net.Conn) {
	defer b.dismiss(c)
	last := make([]byte, 8)
	if !b.admit(c) {
		return
	}
	if _, err := io.ReadFull(c, last); err != nil {
		return
	}
	if _, err := c.Write(b.sentAfter(last)); err != nil {
		return
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, c)
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	heartbeat := append([]byte{0, 0, 0, 9}, append(last, 0)...)
	for {
		select {
		case <-gone:
			return
		case <-ticker.C:
			if _, err := c.Write(heartbeat); err != nil {
				return
			}
		case event := <-b.send:
			if _, err := c.Write(event); err != nil {
				b.send <- event // retried on the next connection
				return
			}
			b.mu.Lock()
			b.sent = append(b.sent, event)
			b.mu.Unlock()
		}
	}
}

// deliver queues an event and waits until a router's connection has removed it from the queue.
func (b *discoveryStub) deliver(t *testing.T, event []byte) {
	t.Helper()
	b.send <- event
	require.Eventually(t, func() bool { return len(b.send) == 0 }, 2*time.Second, time.Millisecond,
		"no router is connected to the discovery service")
}

// startDiscovery starts a stub of the discovery service.
func startDiscovery(t *testing.T) *discoveryStub {
	t.Helper()
	ln := listenLoopback(t)
	b := &discoveryStub{Listener: ln, send: make(chan []byte, 10), conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// discoveryFrame encodes an event as the discovery service sends it.
func discoveryFrame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

// endpointRecord encodes an endpoint in the binary format of the discovery service.
func endpointRecord(id uint32, m *cacheStub, state byte) []byte {
	a := netip.MustParseAddrPort(m.Addr().String())
	b := append(binary.BigEndian.AppendUint32(nil, id), a.Addr().AsSlice()...)
	b = binary.BigEndian.AppendUint16(b, a.Port())
	b = append(b, state, 0, 0, 0, 0)
	return append(binary.BigEndian.AppendUint32(b, 8000), make([]byte, 8)...)
}
