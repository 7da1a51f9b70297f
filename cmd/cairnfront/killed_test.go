package main

import (
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crossingTime is within how long of a close a request that crosses it is sent again by its client, by the protocol.
const crossingTime = 50 * time.Millisecond

// steadyClient sends a request every interval on one connection and does not heed GOAWAY. It stops once the router has
// ended the connection.
type steadyClient struct {
	*client
	interval time.Duration
	ended    atomic.Bool

	mu     sync.Mutex
	sentAt map[uint32]time.Time // of the requests without an answer, by stream
}

// sendRequests sends until the connection has ended.
func (c *steadyClient) sendRequests() {
	for !c.ended.Load() {
		c.mu.Lock()
		if len(c.sentAt) < 30 { // a connection carries 32 open requests
			c.send("page", objectID, "")
			c.sentAt[c.stream] = time.Now()
		}
		c.mu.Unlock()
		time.Sleep(c.interval)
	}
}

// readAnswers reads until the connection has ended. It returns how many requests are lost: those without an answer that
// did not cross the end.
func (c *steadyClient) readAnswers(t *testing.T) (answered, lost int) {
	t.Helper()
	head := make([]byte, clientproto.HeaderSize)
	for {
		_, err := io.ReadFull(c, head)
		if err != nil {
			//nolint:testifylint // assert: the callers are goroutines of clients
			assert.ErrorIs(t, err, io.EOF, "ended without a reset: %v", err)
			break
		}
		h, err := clientproto.ParseHeader(head)
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, h.PayloadBytes))
		require.NoError(t, err)
		if h.Type == clientproto.TypeResponse {
			c.mu.Lock()
			delete(c.sentAt, h.StreamID)
			c.mu.Unlock()
			answered++
		}
	}
	endedAt := time.Now()
	c.ended.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sentAt := range c.sentAt {
		if endedAt.Sub(sentAt) > crossingTime {
			lost++
		}
	}
	return answered, lost
}

// TestClientsThatGoOnSendingUntilTheKillLoseNothing has clients send on their open connections until these end, and
// kills the router at the protocol's earliest moment. SIGTERM comes once, or in series with SIGHUP.
//
// Some clients do not heed GOAWAY. If their connections stayed open until SIGKILL, their last requests would be lost
// without an answer.
func TestClientsThatGoOnSendingUntilTheKillLoseNothing(t *testing.T) {
	for name, test := range map[string]struct {
		signals []syscall.Signal
		delay   time.Duration // of a cache's answer
	}{
		"SIGTERM":     {[]syscall.Signal{syscall.SIGTERM}, 30 * time.Millisecond},
		"slow caches": {[]syscall.Signal{syscall.SIGTERM}, 700 * time.Millisecond},
		"SIGTERM and SIGHUP in series": {
			[]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}, 30 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startCache(t, nil)
			m.answer = func(h receivedAttempt) string {
				time.Sleep(test.delay)
				return okResponse(h, "x")
			}
			s := startRouter(t, 192, m, m)
			var clients sync.WaitGroup
			for range 12 {
				c := &steadyClient{client: s.dial(t), interval: 4 * time.Millisecond, sentAt: map[uint32]time.Time{}}
				clients.Go(c.sendRequests)
				clients.Go(func() {
					answered, lost := c.readAnswers(t)
					assert.Positive(t, answered)
					assert.Zero(t, lost, "requests without an answer")
				})
			}
			time.Sleep(300 * time.Millisecond)
			startedAt := time.Now()
			for _, signal := range test.signals {
				require.NoError(t, s.Process.Signal(signal))
				time.Sleep(100 * time.Millisecond)
			}
			kill := time.AfterFunc(time.Until(startedAt.Add(maxDeadline+killDelay)), func() { _ = s.Process.Kill() })
			defer kill.Stop()
			clients.Wait()
			s.killed = true
			assert.NoError(t, <-s.exited, "exit 0, not killed")
		})
	}
}
