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

// closeCrossingWindow is the time before the close of a connection in which a sent request may have crossed the close.
// By the protocol, its client sends it again.
const closeCrossingWindow = 50 * time.Millisecond

// steadyClient sends a request every interval on one connection and ignores GOAWAY. It stops when the router has closed
// the connection.
type steadyClient struct {
	*client
	interval time.Duration
	ended    atomic.Bool

	mu     sync.Mutex
	sentAt map[uint32]time.Time // send time of each request without an answer, by stream
}

// sendRequests sends requests until readAnswers has seen the end of the connection.
func (c *steadyClient) sendRequests() {
	for !c.ended.Load() {
		c.mu.Lock()
		if len(c.sentAt) < 30 { // a connection may have at most 32 open requests
			c.send("page", objectID, "")
			c.sentAt[c.stream] = time.Now()
		}
		c.mu.Unlock()
		time.Sleep(c.interval)
	}
}

// readAnswers reads until the connection has ended. It returns how many requests were answered, and how many were lost:
// those without an answer that were sent earlier than closeCrossingWindow before the end.
func (c *steadyClient) readAnswers(t *testing.T) (answered, lost int) {
	t.Helper()
	head := make([]byte, clientproto.HeaderSize)
	for {
		_, err := io.ReadFull(c, head)
		if err != nil {
			//nolint:testifylint // assert: the callers are goroutines of clients
			assert.ErrorIs(t, err, io.EOF, "the connection must end without a reset: %v", err)
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
		if endedAt.Sub(sentAt) > closeCrossingWindow {
			lost++
		}
	}
	return answered, lost
}

// TestClientsSendingUntilTheKillLoseNoRequest has clients send on their open connections until the router closes these,
// and kills the router at the earliest time that the protocol allows. SIGTERM is sent once, or alternating with SIGHUP.
//
// Some clients ignore GOAWAY. If their connections stayed open until SIGKILL, their last requests would be lost without
// an answer.
func TestClientsSendingUntilTheKillLoseNoRequest(t *testing.T) {
	for name, test := range map[string]struct {
		signals []syscall.Signal
		delay   time.Duration // time that a cache takes to answer
	}{
		"SIGTERM":     {[]syscall.Signal{syscall.SIGTERM}, 30 * time.Millisecond},
		"slow caches": {[]syscall.Signal{syscall.SIGTERM}, 700 * time.Millisecond},
		"SIGTERM and SIGHUP in series": {
			[]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}, 30 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cache := startCache(t, nil)
			cache.answer = func(attempt receivedAttempt) string {
				time.Sleep(test.delay)
				return okResponse(attempt, "x")
			}
			router := startRouter(t, 192, cache, cache)
			var clients sync.WaitGroup
			for range 12 {
				c := &steadyClient{
					client: router.dial(t), interval: 4 * time.Millisecond, sentAt: map[uint32]time.Time{},
				}
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
				require.NoError(t, router.Process.Signal(signal))
				time.Sleep(100 * time.Millisecond)
			}
			kill := time.AfterFunc(time.Until(startedAt.Add(maxDeadline+killDelay)),
				func() { _ = router.Process.Kill() })
			defer kill.Stop()
			clients.Wait()
			router.stopping = true
			assert.NoError(t, <-router.exited, "exit 0, not killed")
		})
	}
}
