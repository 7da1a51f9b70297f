package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	endPollInterval     = 5 * time.Millisecond // between two looks whether a connection has ended
	gateReadBytes       = 4 << 10              // read at once through a gate with a pace
	pausingRecordTTL    = 1500 * time.Millisecond
	pausingObjectTTL    = 1700 * time.Millisecond
	pausingSendInterval = 20 * time.Millisecond
	maxRelayStop        = 8 * time.Second
	cutBytes            = 7 // less than a frame
)

// readGate decides when what has arrived on a connection is read.
type readGate struct {
	bytesPerSec int           // 0 for no limit
	delay       time.Duration // of each read
	cuts        bool          // a pause begins within a frame

	mu          sync.Mutex
	pausedUntil time.Time
	cut         bool // a part of a frame is still to be read before the pause
}

// pause closes the gate for a time.
func (g *readGate) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil, g.cut = time.Now().Add(d), g.cuts
}

// takeCut reports whether a part of a frame is to be read before the pause, once for each pause.
func (g *readGate) takeCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := g.cut
	g.cut = false
	return cut
}

// untilOpen returns how long the gate stays closed.
func (g *readGate) untilOpen() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.pausedUntil)
}

// gatedConn is a connection that is read through a gate.
type gatedConn struct {
	net.Conn
	gate *readGate
}

func (c gatedConn) Read(b []byte) (int, error) {
	time.Sleep(c.gate.delay)
	if c.gate.bytesPerSec > 0 {
		b = b[:min(len(b), gateReadBytes)]
		time.Sleep(time.Duration(float64(len(b)) / float64(c.gate.bytesPerSec) * float64(time.Second)))
	}
	if c.gate.takeCut() {
		return c.Conn.Read(b[:min(len(b), cutBytes)])
	}
	for wait := c.gate.untilOpen(); wait > 0; wait = c.gate.untilOpen() {
		time.Sleep(wait)
	}
	return c.Conn.Read(b)
}

// awaitPeerEnd waits until the peer has ended a connection, also if what came before that is not read yet, until the
// connection is closed here, or until stop is closed.
func awaitPeerEnd(conn *net.TCPConn, stop <-chan struct{}) {
	socket, err := conn.SyscallConn()
	if err != nil {
		return
	}
	ended := false
	look := func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, _ := unix.Poll(polled, 0)
		ended = n > 0
	}
	for !ended && socket.Control(look) == nil {
		select {
		case <-stop:
			return
		case <-time.After(endPollInterval):
		}
	}
}

// pausingClient is a client that goes on sending while it takes no output, and gives up what is not answered in its
// time. It keeps to the protocol's number of open requests.
type pausingClient struct {
	*streamingClient
	gates []*readGate // that pause with the client
	end   *connectionEnd
}

// pause makes the client take no output for a time. What stops its input has to be shorter than the router waits for
// it.
func (c *pausingClient) pause(d time.Duration) {
	for i, gate := range c.gates {
		if i > 0 {
			d = min(d, maxRelayStop)
		}
		gate.pause(d)
	}
}

// connectionEnd is when a router ended a connection, which a client may learn later.
type connectionEnd struct {
	mu sync.Mutex
	at time.Time
}

// watch records the end of a connection.
func (e *connectionEnd) watch(conn *net.TCPConn) {
	awaitPeerEnd(conn, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.at.IsZero() {
		e.at = time.Now()
	}
}

func (e *connectionEnd) time() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at
}

// dialPausing connects a client with a receive buffer of a size, 0 for the system's. If end is nil, the client's own
// socket is watched.
func dialPausing(
	t *testing.T, addr string, receiveBuffer int, gate *readGate, end *connectionEnd,
) (*pausingClient, error) {
	t.Helper()
	conn, err := dialTCP(t.Context(), addr)
	if err != nil {
		return nil, err
	}
	raw := requireType[*net.TCPConn](t, conn)
	if receiveBuffer > 0 {
		_ = raw.SetReadBuffer(receiveBuffer) // the system may keep its own size
	}
	load := streamingLoad{
		bytesPerSec: 1 << 30, blockBytes: largeObjectBytes, claimsSize: true,
		blockTTL: pausingObjectTTL, recordTTL: pausingRecordTTL,
	}
	c := &pausingClient{
		streamingClient: &streamingClient{load: load, conn: gatedConn{conn, gate}},
		gates:           []*readGate{gate},
		end:             end,
	}
	if end == nil {
		c.end = &connectionEnd{}
		go c.end.watch(raw)
	}
	go c.read()
	return c, nil
}

// play sends records, and objects of the largest size, until a time or the end of the connection.
func (c *pausingClient) play(random *rand.Rand, objects int, end time.Time) {
	for ; time.Now().Before(end) && c.end.time().IsZero(); time.Sleep(pausingSendInterval) {
		c.giveUpOverdue()
		if c.openBlocks() < objects && random.IntN(2) == 0 {
			c.sendBlock()
		} else {
			c.send("order", c.load.recordTTL, "")
		}
	}
}

// awaitEnd waits until the client has read everything that it was sent, for a time at most.
func (c *pausingClient) awaitEnd(timeout time.Duration) {
	for end := time.Now().Add(timeout); !c.hasEnded() && time.Now().Before(end); {
		time.Sleep(endPollInterval)
	}
}

// giveUpOverdue cancels the requests whose time has passed.
func (c *pausingClient) giveUpOverdue() {
	c.mu.Lock()
	var overdue []uint32
	for i, r := range c.requests {
		if r.answers == 0 && r.cancelledAt.IsZero() && time.Since(r.sentAt) > r.ttl {
			overdue = append(overdue, uint32(i+1))
		}
	}
	c.mu.Unlock()
	for _, stream := range overdue {
		c.cancel(stream)
	}
}

// lostRequests lists the requests that the end of the connection left without an answer, of those that the client had
// not given up. By the protocol, one that was written just before the end is sent again.
func (c *pausingClient) lostRequests(since time.Time) (lost []string) {
	endedAt := c.end.time()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		switch {
		case r.answers > 1:
			lost = append(lost, fmt.Sprintf("%s had %d answers", r.id, r.answers))
		case r.answers > 0, !r.cancelledAt.IsZero(), endedAt.IsZero():
		case r.sentAt.Before(endedAt.Add(-closeCrossing)):
			lost = append(lost, fmt.Sprintf("%s (%s): written %.3f, connection ended %.3f", r.id, r.class,
				r.sentAt.Sub(since).Seconds(), endedAt.Sub(since).Seconds()))
		}
	}
	return lost
}

// startSilentReaders connects clients that ask for as many large objects as they may and read nothing, and connect
// again when they are closed. They stop at the end of the test.
func startSilentReaders(t *testing.T, addr string, count int) {
	t.Helper()
	stop := make(chan struct{})
	var playing sync.WaitGroup
	for range count {
		playing.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(endPollInterval):
					playSilentReader(t, addr, stop)
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		playing.Wait()
	})
}

// playSilentReader plays one connection of a client that reads nothing.
func playSilentReader(t *testing.T, addr string, stop <-chan struct{}) {
	t.Helper()
	conn, err := dialTCP(t.Context(), addr)
	if err != nil {
		return
	}
	defer conn.Close()
	load := streamingLoad{claimsSize: true, blockBytes: largeObjectBytes, blockTTL: pausingObjectTTL}
	c := &streamingClient{load: load, conn: conn}
	for range maxStreams {
		c.sendBlock()
	}
	awaitPeerEnd(requireType[*net.TCPConn](t, conn), stop)
}
