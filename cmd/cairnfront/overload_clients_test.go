package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// startQuickCache starts a stub of a cache that answers each attempt as soon as it is complete and keeps nothing.
// Objects whose id starts with large have the greatest size that the protocol allows.
func startQuickCache(t *testing.T) *cacheStub {
	t.Helper()
	return startCacheServing(t, serveQuickly)
}

const (
	largeObjectPrefix = "ffff"
	largeObjectBytes  = 240_000
	usualObjectBytes  = 2_000
)

func serveQuickly(conn net.Conn) {
	defer conn.Close()
	in, out := bufio.NewReader(conn), bufio.NewWriter(conn)
	large, usual := strings.Repeat("x", largeObjectBytes), strings.Repeat("x", usualObjectBytes)
	for {
		id, fields, err := readAttempt(in)
		if err != nil {
			return
		}
		body := usual
		if strings.Contains(fields, "thing="+largeObjectPrefix) {
			body = large
		}
		_, _ = fmt.Fprintf(out, "%s served digest=d1,dated=%d,remark=h %d\r\n%s\r\n", // Flush returns the error
			id, time.Now().UnixMilli(), len(body), body)
		if in.Buffered() == 0 {
			if err := out.Flush(); err != nil {
				return
			}
		}
	}
}

// requestFrame returns a request with the fields that the protocol requires, and others.
func requestFrame(stream uint32, class, object, part, body string, more ...clientproto.Field) []byte {
	fields := append([]clientproto.Field{
		{Name: "op", Value: class},
		{Name: "call", Value: randomID()},
		{Name: "ttl", Value: strconv.Itoa(usualTTLMillis)},
		{Name: "row", Value: object},
		{Name: "seg", Value: part},
		{Name: "bucket", Value: "7"},
		{Name: "heap", Value: "10"},
	}, more...)
	payload := append(clientproto.AppendFields(nil, fields...), body...)
	return append(clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, len(payload)), payload...)
}

// randomID returns 16 random hex digits that do not begin as the id of a large object.
func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()>>4) }

// usualRecord counts what became of the requests of usual clients.
type usualRecord struct {
	mu                            sync.Mutex
	sent, served, refused, failed int
	waits                         []time.Duration
}

// play sends requests at a steady rate on one connection until stop is closed. A connection that ends is replaced.
func (u *usualRecord) play(addr string, stop <-chan struct{}) {
	for {
		conn, err := dialTCP(context.Background(), addr)
		if err != nil {
			time.Sleep(usualRequestInterval)
			continue
		}
		if u.playConnection(conn, stop) {
			return
		}
	}
}

// playConnection sends requests until stop is closed, which it reports, or the connection has ended.
func (u *usualRecord) playConnection(conn net.Conn, stop <-chan struct{}) (stopped bool) {
	var mu sync.Mutex
	open := map[uint32]time.Time{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = readFrames(conn, func(h clientproto.Header, payload []byte) {
			mu.Lock()
			sentAt, isOpen := open[h.StreamID]
			delete(open, h.StreamID)
			mu.Unlock()
			if isOpen && h.Type == clientproto.TypeResponse {
				u.answered(payload[0], time.Since(sentAt))
			}
		})
	}()
	defer func() {
		_ = conn.Close()
		<-ended
	}()
	ticker := time.NewTicker(usualRequestInterval)
	defer ticker.Stop()
	for stream := uint32(1); ; stream++ {
		select {
		case <-stop:
			time.Sleep(usualTTLMillis * time.Millisecond)
			return true
		case <-ended:
			return false
		case <-ticker.C:
		}
		mu.Lock()
		open[stream] = time.Now()
		mu.Unlock()
		object := fmt.Sprintf("%016x", rand.IntN(usualObjects))
		if _, err := conn.Write(requestFrame(stream, "page", object, "0", "")); err != nil {
			return false
		}
		u.mu.Lock()
		u.sent++
		u.mu.Unlock()
	}
}

func (u *usualRecord) answered(code byte, wait time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waits = append(u.waits, wait)
	switch code {
	case codeCompleted:
		u.served++
	case codeRejected:
		u.refused++
	default:
		u.failed++
	}
}

// quantile returns the time within which a share of the answers came.
func (u *usualRecord) quantile(share float64) time.Duration {
	if len(u.waits) == 0 {
		return 0
	}
	slices.Sort(u.waits)
	return u.waits[min(int(share*float64(len(u.waits))), len(u.waits)-1)]
}

// String returns the counts for the log.
func (u *usualRecord) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("usual: sent %d, served %d, refused %d, failed %d, median %v, 99%% %v, slowest %v",
		u.sent, u.served, u.refused, u.failed, u.quantile(0.5).Round(precision), u.quantile(0.99).Round(precision),
		u.quantile(1).Round(precision))
}

// readFrames reads frames until the connection ends.
func readFrames(conn net.Conn, onFrame func(h clientproto.Header, payload []byte)) error {
	in := bufio.NewReader(conn)
	header := make([]byte, clientproto.HeaderSize)
	for {
		if _, err := io.ReadFull(in, header); err != nil {
			return err
		}
		h, err := clientproto.ParseHeader(header)
		if err != nil {
			return err
		}
		payload := make([]byte, h.PayloadBytes)
		if _, err := io.ReadFull(in, payload); err != nil {
			return err
		}
		onFrame(h, payload)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// badRecord records how long bad clients waited for an answer or a close: from the last answer on the connection, or
// from what was sent if that is later.
type badRecord struct {
	connections, answers, requests atomic.Int64

	mu       sync.Mutex
	longest  time.Duration
	slowKind string
	ended    time.Time // waits that end later are not recorded
}

// waited records a wait that has ended now.
func (b *badRecord) waited(kind string, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := time.Since(since); b.ended.IsZero() && wait > b.longest {
		b.longest, b.slowKind = wait, kind
	}
}

// stopAt ends the recording of waits.
func (b *badRecord) stopAt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = now
}

// longestWait returns the longest wait of a bad client.
func (b *badRecord) longestWait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.longest
}

// String returns the counts for the log.
func (b *badRecord) String() string {
	return fmt.Sprintf("bad: connections %d, requests %d, answers %d, longest wait %v (%s)",
		b.connections.Load(), b.requests.Load(), b.answers.Load(), b.longestWait().Round(time.Millisecond), b.slowKind)
}

// badClient is a client that uses as much of the router as it can. It comes again when its connection has ended.
type badClient struct {
	record *badRecord
	addr   string
	stop   <-chan struct{}
	number int

	conn   net.Conn
	stream uint32
}

// badClientKind is a kind of bad client: what it does on each connection until that ends or stop is closed.
type badClientKind struct {
	name string
	play func(c *badClient, kind string)
}

const (
	badClientOpen      = 30      // requests that a flooding client keeps open on its connection
	badBodyBytes       = 47_000  // body of a large write
	largeRequestBytes  = 239_000 // a request that is larger than the protocol allows
	slowPieceBytes     = 4_000
	slowPieceInterval  = 30 * time.Millisecond
	halfRequestTime    = 450 * time.Millisecond
	badReconnectPause  = 20 * time.Millisecond
	badSendBufferBytes = 64 << 10
	shortFieldCount    = 248

	readinessQueryBatch = 50
	unreadPollInterval  = 100 * time.Millisecond
)

var badClientKinds = []badClientKind{
	{"idle", (*badClient).idle},
	{"half", (*badClient).sendHalf},
	{"slow", (*badClient).sendSlowly},
	{"heads", flood(true, func(c *badClient) []byte {
		return requestFrame(c.stream, "page", randomID(), "0", "", shortFields...)
	})},
	{"classes", flood(true, func(c *badClient) []byte { return requestFrame(c.stream, "what", randomID(), "0", "") })},
	{"objects", flood(true, func(c *badClient) []byte { return requestFrame(c.stream, "page", randomID(), "0", "") })},
	{"parts", flood(true, func(c *badClient) []byte {
		part := strconv.Itoa(int(c.stream)*1000 + c.number)
		return requestFrame(c.stream, "page", "7f3a9c21e0b4d655", part, "")
	})},
	{"writes", flood(true, largeWrite)},
	{"writes-unread", flood(false, largeWrite)},
	{"large-unread", flood(false, func(c *badClient) []byte {
		return requestFrame(c.stream, "page", largeObjectPrefix+randomID()[4:], "0", "")
	})},
	{"large", flood(true, func(c *badClient) []byte {
		return requestFrame(c.stream, "page", largeObjectPrefix+randomID()[4:], "0", "")
	})},
	{"ready-unread", flood(false, func(c *badClient) []byte {
		query := append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, c.stream, 1), 0)
		return bytes.Repeat(query, readinessQueryBatch)
	})},
	{"gaps", flood(true, func(c *badClient) []byte { return requestFrame(2*c.stream, "what", randomID(), "0", "") })},
	{"cancels", flood(false, func(c *badClient) []byte {
		frame := requestFrame(c.stream, "page", randomID(), "0", "")
		return append(frame, clientproto.AppendHeader(nil, clientproto.TypeCancel, c.stream, 0)...)
	})},
	{"long-class", flood(false, func(c *badClient) []byte {
		return requestFrame(c.stream, strings.Repeat("c", badBodyBytes), randomID(), "0", "")
	})},
}

var shortFields = slices.Repeat([]clientproto.Field{{Name: "z"}}, shortFieldCount)

var badBody = strings.Repeat("b", badBodyBytes)

func largeWrite(c *badClient) []byte {
	key := clientproto.Field{Name: "dedupe", Value: randomID() + randomID()}
	return requestFrame(c.stream, "write", randomID(), "0", badBody, key)
}

// badClientKindIndex returns the index of a kind by its name.
func badClientKindIndex(t *testing.T, name string) int {
	t.Helper()
	i := slices.IndexFunc(badClientKinds, func(k badClientKind) bool { return k.name == name })
	require.GreaterOrEqual(t, i, 0, "no kind of bad client %q", name)
	return i
}

// play connects again and again until stop is closed.
func (c *badClient) play(kind badClientKind) {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		conn, err := dialTCP(context.Background(), c.addr)
		if err == nil {
			c.record.connections.Add(1)
			// Larger buffers of all these clients would take the memory that the kernel has for sockets.
			_ = conn.(*net.TCPConn).SetWriteBuffer(badSendBufferBytes) //nolint:forcetypeassert // a TCP connection
			c.conn, c.stream = conn, 0
			ended := make(chan struct{})
			go func() {
				select {
				case <-c.stop:
					_ = conn.Close()
				case <-ended:
				}
			}()
			kind.play(c, kind.name)
			close(ended)
			_ = conn.Close()
		}
		time.Sleep(badReconnectPause)
	}
}

// idle connects and sends nothing.
func (c *badClient) idle(kind string) {
	since := time.Now()
	_, _ = io.Copy(io.Discard, c.conn)
	c.record.waited(kind, since)
}

// sendHalf stops half way through a large request and closes the connection.
func (c *badClient) sendHalf(string) {
	frame := clientproto.AppendHeader(nil, clientproto.TypeRequest, 1, largeRequestBytes)
	_ = c.conn.SetWriteDeadline(time.Now().Add(halfRequestTime))
	_, _ = c.conn.Write(append(frame, make([]byte, largeRequestBytes>>(c.number%6))[1:]...))
	time.Sleep(halfRequestTime)
}

// sendSlowly sends large requests in small pieces and waits for the answers.
func (c *badClient) sendSlowly(kind string) {
	in := bufio.NewReader(c.conn)
	for stream := uint32(1); ; stream++ {
		frame := clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, largeRequestBytes)
		for piece := range slices.Chunk(append(frame, make([]byte, largeRequestBytes)...), slowPieceBytes) {
			if _, err := c.conn.Write(piece); err != nil {
				return
			}
			time.Sleep(slowPieceInterval)
		}
		c.record.requests.Add(1)
		since := time.Now()
		header := make([]byte, clientproto.HeaderSize)
		_, err := io.ReadFull(in, header)
		if err == nil {
			h, _ := clientproto.ParseHeader(header)
			_, err = in.Discard(h.PayloadBytes)
		}
		c.record.waited(kind, since)
		if err != nil {
			return
		}
		c.record.answers.Add(1)
	}
}

// flood returns a client that sends at full speed. One that reads answers keeps badClientOpen requests open, and its
// wait is the time of each; one that does not read them has to be closed once it can send no more.
func flood(reads bool, nextFrame func(c *badClient) []byte) func(*badClient, string) {
	if reads {
		return func(c *badClient, kind string) { c.floodAndRead(kind, nextFrame) }
	}
	return func(c *badClient, kind string) { c.floodUnread(kind, nextFrame) }
}

// floodUnread sends at full speed and reads nothing. While a write blocks, the client waits until an answer comes or
// the connection ends.
func (c *badClient) floodUnread(kind string, nextFrame func(c *badClient) []byte) {
	progressAt, unread := time.Now(), 0
	for {
		c.stream++
		frame := nextFrame(c)
		for len(frame) > 0 {
			_ = c.conn.SetWriteDeadline(time.Now().Add(unreadPollInterval))
			n, err := c.conn.Write(frame)
			frame = frame[n:]
			if now := unreadBytes(c.conn); n > 0 || now > unread {
				progressAt, unread = time.Now(), now
			}
			c.record.waited(kind, progressAt)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
		c.record.requests.Add(1)
	}
}

// unreadBytes returns how many bytes of answers the client has not read.
func unreadBytes(conn net.Conn) int {
	count := 0
	if raw, err := conn.(syscall.Conn).SyscallConn(); err == nil { //nolint:forcetypeassert // a TCP connection
		_ = raw.Control(func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return count
}

func (c *badClient) floodAndRead(kind string, nextFrame func(c *badClient) []byte) {
	var open sync.Map // time of sending, by stream
	var lastAnswer time.Time
	slots, ended := make(chan struct{}, badClientOpen), make(chan struct{})
	go func() {
		defer close(ended)
		err := readFrames(c.conn, func(h clientproto.Header, _ []byte) {
			if since, isOpen := open.LoadAndDelete(h.StreamID); isOpen {
				c.record.answers.Add(1)
				sentAt := since.(time.Time) //nolint:forcetypeassert // only times are stored
				c.record.waited(kind, maxTime(sentAt, lastAnswer))
				lastAnswer = time.Now()
				<-slots
			}
		})
		if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EINVAL) {
			open.Range(func(_, since any) bool {
				sentAt := since.(time.Time) //nolint:forcetypeassert // only times are stored
				c.record.waited(kind, maxTime(sentAt, lastAnswer))
				return true
			})
		}
	}()
	defer func() {
		_ = c.conn.Close()
		<-ended
	}()
	for {
		select {
		case <-ended:
			return
		case slots <- struct{}{}:
		}
		c.stream++
		frame := nextFrame(c)
		h, _ := clientproto.ParseHeader(frame)
		open.Store(h.StreamID, time.Now())
		if _, err := c.conn.Write(frame); err != nil {
			return
		}
		c.record.requests.Add(1)
	}
}
