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
	cache := &cacheStub{Listener: ln, answer: answer, cancelled: make(chan string, 1000)}
	cache.accept(t, ln)
	return cache
}

// accept serves the connections of a listener until the test ends.
func (cache *cacheStub) accept(t *testing.T, ln net.Listener) {
	t.Helper()
	acceptUntilEnd(t, ln, cache.serve)
}

// startCacheServing starts a stub of a cache whose connections a function serves.
func startCacheServing(t *testing.T, serve func(c net.Conn)) *cacheStub {
	t.Helper()
	ln := listenLoopback(t)
	acceptUntilEnd(t, ln, serve)
	return &cacheStub{Listener: ln}
}

// acceptUntilEnd accepts connections until the test ends. Each is served by a goroutine of its own.
func acceptUntilEnd(t *testing.T, ln net.Listener, serve func(c net.Conn)) {
	t.Helper()
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

// readAttempt reads the next attempt that a cache is sent, with its body. Other commands are passed over.
func readAttempt(in *bufio.Reader) (id, fields string, err error) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", "", err
		}
		words := strings.Fields(line)
		if words[0] != "do" {
			continue
		}
		length, err := strconv.Atoi(words[3])
		if err != nil {
			return "", "", err
		}
		_, err = in.Discard(length + len("\r\n"))
		return words[1], words[2], err
	}
}

func (cache *cacheStub) serve(c net.Conn) {
	defer c.Close()
	cache.mu.Lock()
	cache.connections = append(cache.connections, c)
	cache.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(text)
		if w[0] == "undo" {
			cache.cancelled <- w[1]
			continue
		}
		attempt := receivedAttempt{id: w[1], fields: parseFields(w[2]), conn: c}
		n, _ := strconv.Atoi(w[3])
		body := make([]byte, n+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		attempt.body = string(body[:n])
		cache.mu.Lock()
		cache.attempts = append(cache.attempts, attempt)
		cache.mu.Unlock()
		if _, err := io.WriteString(c, cache.answer(attempt)); err != nil {
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
func (cache *cacheStub) kill() {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	_ = cache.Close()
	for _, c := range cache.connections {
		_ = c.Close()
	}
}

func (cache *cacheStub) lastAttempt() receivedAttempt {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.attempts[len(cache.attempts)-1]
}

func (cache *cacheStub) attemptCount() int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return len(cache.attempts)
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
func okResponse(attempt receivedAttempt, body string) string {
	now := time.Now().UnixMilli()
	return fmt.Sprintf("%s served digest=d1,dated=%d,remark=h %d\r\n%s\r\n", attempt.id, now, len(body), body)
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

// simulateOutage closes all connections, and rejects new ones for the given duration.
func (d *discoveryStub) simulateOutage(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downUntil = time.Now().Add(duration)
	for c := range d.conns {
		_ = c.Close()
	}
}

// register registers a connection and reports whether the service is up.
func (d *discoveryStub) register(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	return time.Now().After(d.downUntil)
}

// disconnect removes and closes a connection.
func (d *discoveryStub) disconnect(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
	_ = c.Close()
}

// sentAfter returns the events that were sent after the revision last.
func (d *discoveryStub) sentAfter(last []byte) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.sent, func(x []byte) bool { return bytes.Compare(x[4:12], last) > 0 })
	if i < 0 {
		return nil
	}
	return slices.Concat(d.sent[i:]...)
}

// serve sends a connection the events that it has missed, then new events and heartbeats, until it ends.
func (d *discoveryStub) serve(c net.Conn) {
	defer d.disconnect(c)
	last := make([]byte, 8)
	if !d.register(c) {
		return
	}
	if _, err := io.ReadFull(c, last); err != nil {
		return
	}
	if _, err := c.Write(d.sentAfter(last)); err != nil {
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
		case event := <-d.send:
			if _, err := c.Write(event); err != nil {
				d.send <- event // retried on the next connection
				return
			}
			d.mu.Lock()
			d.sent = append(d.sent, event)
			d.mu.Unlock()
		}
	}
}

// deliver queues an event and waits until a router's connection has removed it from the queue.
func (d *discoveryStub) deliver(t *testing.T, event []byte) {
	t.Helper()
	d.send <- event
	require.Eventually(t, func() bool { return len(d.send) == 0 }, 2*time.Second, time.Millisecond,
		"no router is connected to the discovery service")
}

// startDiscovery starts a stub of the discovery service.
func startDiscovery(t *testing.T) *discoveryStub {
	t.Helper()
	ln := listenLoopback(t)
	d := &discoveryStub{Listener: ln, send: make(chan []byte, 10), conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

// discoveryFrame encodes an event as the discovery service sends it.
func discoveryFrame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

// endpointRecord encodes an endpoint in the binary format of the discovery service.
func endpointRecord(id uint32, cache *cacheStub, state byte) []byte {
	a := netip.MustParseAddrPort(cache.Addr().String())
	b := append(binary.BigEndian.AppendUint32(nil, id), a.Addr().AsSlice()...)
	b = binary.BigEndian.AppendUint16(b, a.Port())
	b = append(b, state, 0, 0, 0, 0)
	return append(binary.BigEndian.AppendUint32(b, 8000), make([]byte, 8)...)
}
