package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairnfront/internal/clientproto"
)

// streamingLoad describes clients that take large objects as fast as their links allow, and what they send beside them.
type streamingLoad struct {
	clients       int
	blocks        int // requests for large objects that each client keeps open
	blockBytes    int
	claimsSize    bool          // the requests for blocks claim the size
	bytesPerSec   int           // that each client takes
	receiveBuffer int           // of the client's socket, in bytes; 0 for the system's
	blockTTL      time.Duration // time of a request for a block
	recordTTL     time.Duration // time of a record
	recordBytes   int           // body of a record
	memoryMB      int
	cores         int
	descriptors   int // that the router may use, 0 for the usual limit
}

// String describes the load for the log.
func (l streamingLoad) String() string {
	return fmt.Sprintf("%d clients of %d blocks, %d bytes, claimed %t, %.1f MB/s, buffer %d, ttl %v and %v, "+
		"records of %d, %d MB, %d cores", l.clients, l.blocks, l.blockBytes, l.claimsSize,
		float64(l.bytesPerSec)/1e6, l.receiveBuffer, l.blockTTL, l.recordTTL, l.recordBytes, l.memoryMB, l.cores)
}

const (
	recordInterval     = 150 * time.Millisecond // between two records of a client
	cancelledAfter     = 100 * time.Millisecond // a record that its client gives up, from when it was sent
	cancelledShare     = 4                      // one in so many records is given up
	streamingReadBytes = 52_000                 // taken at once
	streamingStep      = 2 * time.Millisecond
	blockDelay         = 15 * time.Millisecond // of the answer of a cache
	lostAfter          = 550 * time.Millisecond
	attemptGrace       = 150 * time.Millisecond // after a cancel, and of the deadline in a command
	closeCrossing      = 50 * time.Millisecond  // requests so long before the end of a connection are sent again
	maxStreams         = 32
	largestRecordBytes = 48_000
)

// streamedRequest is a request of a streaming client.
type streamedRequest struct {
	id          string
	class       string
	ttl         time.Duration
	sentAt      time.Time
	cancelledAt time.Time
	answeredAt  time.Time
	code        byte
	answers     int
}

// streamingClient is a client connection that takes a limited number of bytes a second.
type streamingClient struct {
	load streamingLoad
	conn net.Conn

	mu       sync.Mutex
	requests []*streamedRequest // by stream, from 1
	open     int
	endedAt  time.Time
}

func dialStreaming(addr string, load streamingLoad) (*streamingClient, error) {
	conn, err := dialTCP(context.Background(), addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && load.receiveBuffer > 0 {
		_ = tcp.SetReadBuffer(load.receiveBuffer) // the system may keep its own size
	}
	c := &streamingClient{load: load, conn: conn}
	go c.read()
	return c, nil
}

// read takes the output at the pace of the load until the connection ends.
func (c *streamingClient) read() {
	paced := &pacedConn{Conn: c.conn, bytesPerSec: c.load.bytesPerSec}
	_ = readFrames(paced, func(h clientproto.Header, payload []byte) {
		if h.Type != clientproto.TypeResponse || h.StreamID == 0 {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		r := c.requests[h.StreamID-1]
		if r.answers == 0 && r.cancelledAt.IsZero() {
			c.open--
		}
		r.answers++
		r.answeredAt, r.code = time.Now(), payload[0]
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedAt = time.Now()
}

// pacedConn is a connection from which a limited number of bytes a second is read.
type pacedConn struct {
	net.Conn
	bytesPerSec int
	next        time.Time // when more is taken
}

func (p *pacedConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(p.next))
	n, err := p.Conn.Read(b[:min(len(b), streamingReadBytes)])
	now := time.Now()
	if p.next.Before(now.Add(-10 * time.Millisecond)) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / float64(p.bytesPerSec) * float64(time.Second)))
	return n, err
}

// send sends a request and returns its stream, or 0 if the connection has ended or has as many requests as it may.
func (c *streamingClient) send(class string, ttl time.Duration, body string, more ...clientproto.Field) uint32 {
	c.mu.Lock()
	if c.open >= maxStreams || !c.endedAt.IsZero() {
		c.mu.Unlock()
		return 0
	}
	r := &streamedRequest{id: randomID(), class: class, ttl: ttl, sentAt: time.Now()}
	c.requests = append(c.requests, r)
	c.open++
	stream := uint32(len(c.requests))
	c.mu.Unlock()
	fields := append([]clientproto.Field{
		{Name: "op", Value: class},
		{Name: "call", Value: r.id},
		{Name: "ttl", Value: strconv.FormatInt(ttl.Milliseconds(), 10)},
		{Name: "row", Value: randomID()},
		{Name: "seg", Value: "0"},
	}, more...)
	payload := append(clientproto.AppendFields(nil, fields...), body...)
	header := clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, len(payload))
	_, err := c.conn.Write(append(header, payload...))
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sentAt = time.Now()
	if err != nil {
		r.answers = 1 // it was not taken
		return 0
	}
	return stream
}

// cancel gives a stream up.
func (c *streamingClient) cancel(stream uint32) {
	_, _ = c.conn.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, stream, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[stream-1]
	r.cancelledAt = time.Now()
	if r.answers == 0 {
		c.open--
	}
}

// play keeps blocks asked for, and sends records beside them, until a time or the end of the connection.
func (c *streamingClient) play(end time.Time) {
	nextRecord, records := time.Now(), 0
	cancels := map[uint32]time.Time{}
	for ; time.Now().Before(end) && !c.hasEnded(); time.Sleep(streamingStep) {
		for c.openBlocks() < c.load.blocks && c.sendBlock() != 0 {
			continue
		}
		if now := time.Now(); !now.Before(nextRecord) {
			nextRecord = now.Add(recordInterval)
			stream := c.send("order", c.load.recordTTL, strings.Repeat("r", c.load.recordBytes))
			if records++; stream != 0 && records%cancelledShare == 0 {
				cancels[stream] = now.Add(cancelledAfter)
			}
		}
		for stream, at := range cancels {
			if time.Now().After(at) {
				c.cancel(stream)
				delete(cancels, stream)
			}
		}
	}
}

// playRecords keeps as many records open as the protocol allows, until a time or the end of the connection.
func (c *streamingClient) playRecords(end time.Time) {
	body := strings.Repeat("r", c.load.recordBytes)
	for time.Now().Before(end) && !c.hasEnded() {
		if c.send("order", c.load.recordTTL, body) == 0 {
			time.Sleep(streamingStep)
		}
	}
}

func (c *streamingClient) sendBlock() uint32 {
	if c.load.claimsSize {
		size := clientproto.Field{Name: "heap", Value: strconv.Itoa(c.load.blockBytes/1000 + 1)}
		return c.send("page", c.load.blockTTL, "", size)
	}
	return c.send("page", c.load.blockTTL, "")
}

func (c *streamingClient) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.endedAt.IsZero()
}

// openBlocks returns how many blocks are asked for and have not come.
func (c *streamingClient) openBlocks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for i := len(c.requests) - 1; i >= max(len(c.requests)-10*maxStreams, 0); i-- {
		if r := c.requests[i]; r.class == "page" && r.answers == 0 {
			open++
		}
	}
	return open
}

// streamingVerdict has the requests for which a rule did not hold, and counts.
type streamingVerdict struct {
	broken                                 []string
	blocks, blocksServed, records, refused int
	recordsServed                          int
	slowestRecord                          time.Duration
}

// String returns the counts for the log.
func (v *streamingVerdict) String() string {
	return fmt.Sprintf("blocks %d, served %d; records %d, served %d; refused %d, slowest record %v; broken %d",
		v.blocks, v.blocksServed, v.records, v.recordsServed, v.refused, v.slowestRecord.Round(time.Millisecond),
		len(v.broken))
}

// judgeAll checks the requests of clients and their attempts, and closes the connections.
func (s *streamingSite) judgeAll(clients []*streamingClient) *streamingVerdict {
	v := &streamingVerdict{}
	for _, c := range clients {
		s.judge(v, c)
		_ = c.conn.Close()
	}
	return v
}

// judge checks the requests of a client and their attempts.
func (s *streamingSite) judge(v *streamingVerdict, c *streamingClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byID := map[string]*streamedRequest{}
	for _, r := range c.requests {
		byID[r.id] = r
		v.judgeAnswer(r, c.endedAt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		r := byID[a.id]
		if r == nil {
			continue
		}
		if late := a.at.Sub(r.cancelledAt); !r.cancelledAt.IsZero() && late > attemptGrace {
			v.addBroken("attempt of %s %v after its cancel", a.id, late)
		}
		deadline := a.at.Add(time.Duration(a.timeoutMillis) * time.Millisecond)
		if over := deadline.Sub(r.sentAt.Add(r.ttl)); over > attemptGrace {
			v.addBroken("the deadline sent for %s was %v too late", a.id, over)
		}
	}
}

// judgeAnswer checks that a request had one answer in its time, unless its client gave it up, or sent it just before
// the end of the connection.
func (v *streamingVerdict) judgeAnswer(r *streamedRequest, endedAt time.Time) {
	wait := r.answeredAt.Sub(r.sentAt)
	if r.class == "page" {
		v.blocks++
	} else {
		v.records++
		if r.cancelledAt.IsZero() && r.answers > 0 {
			v.slowestRecord = max(v.slowestRecord, wait)
		}
	}
	switch {
	case r.answers > 1:
		v.addBroken("%s had %d answers", r.id, r.answers)
	case !r.cancelledAt.IsZero(), !endedAt.IsZero() && r.sentAt.After(endedAt.Add(-closeCrossing)):
	case r.answers == 0:
		before := endedAt.Sub(r.sentAt)
		v.addBroken("%s (%s), sent %v before the end of the connection, had no answer", r.id, r.class, before)
	case wait > r.ttl+lostAfter:
		v.addBroken("%s (%s) was answered with code %d after %v, its time is %v", r.id, r.class, r.code, wait, r.ttl)
	case r.code == codeRejected:
		v.refused++
	case r.code == codeCompleted && r.class == "page":
		v.blocksServed++
	case r.code == codeCompleted:
		v.recordsServed++
	}
}

func (v *streamingVerdict) addBroken(format string, values ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, values...))
}

// drawStreamingLoad draws a load from a seed.
func drawStreamingLoad(seed uint64) streamingLoad {
	random := rand.New(rand.NewPCG(seed, 75)) //nolint:gosec // it has to be repeatable
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	return streamingLoad{
		clients:       pick(1, 1, 2, 6),
		blocks:        pick(4, 12, 26, 31),
		blockBytes:    pick(15_000, 17_000, 60_000, 120_000, 240_000, 240_000),
		claimsSize:    random.IntN(2) == 0,
		bytesPerSec:   5_200_000 + random.IntN(6_800_000),
		receiveBuffer: pick(0, 32<<10, 128<<10),
		blockTTL:      time.Duration(pick(800, 2000, 5000)) * time.Millisecond,
		recordTTL:     time.Duration(pick(600, 1500, 3000)) * time.Millisecond,
		recordBytes:   pick(20, 20, 2000, largestRecordBytes),
		memoryMB:      pick(32, 64, 192),
		cores:         pick(1, 8),
	}
}
