package transport

import (
	"context"
	"net"
	"sync"
	"time"
)

// Limits of the frames queued for a peer. Frames above a limit are dropped.
const (
	maxQueuedFrames = 4096
	maxQueuedBytes  = 16 << 20
)

// queue holds the frames to send to one peer. It persists across the peer's connections.
type queue struct {
	frameTimeout time.Duration // time for the peer to accept one frame

	mu     sync.Mutex
	frames [][]byte
	bytes  int
	wake   chan struct{} // receives a token after a push, buffers one
}

func newQueue() *queue {
	return &queue{frameTimeout: idleTimeout, wake: make(chan struct{}, 1)}
}

// push appends a frame, or returns false if the queue is full.
func (q *queue) push(frame []byte) bool {
	q.mu.Lock()
	ok := len(q.frames) < maxQueuedFrames && q.bytes+len(frame) <= maxQueuedBytes
	if ok {
		q.frames = append(q.frames, frame)
		q.bytes += len(frame)
	}
	q.mu.Unlock()
	q.notify()
	return ok
}

// notify wakes the writing goroutine.
func (q *queue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) takeAll() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	q.bytes = 0
	return frames
}

// writeTo writes the queued frames, and a heartbeat at intervals, until the connection fails or the
// context ends. Frames that were already removed from the queue are lost if their write fails.
//
// The frame timeout applies to each frame and not to all queued frames together. A common timeout
// would close the connection of a peer that reads slowly but steadily, and the peer would be
// reconnected again and again.
func (q *queue) writeTo(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	heartbeat, err := encodeFrame(Frame{Kind: KindHeartbeat})
	if err != nil {
		return
	}
	for {
		for _, frame := range q.takeAll() {
			_ = conn.SetWriteDeadline(time.Now().Add(q.frameTimeout)) // if the connection is closed, Write fails
			if _, err := conn.Write(frame); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-ticker.C:
			_ = conn.SetWriteDeadline(time.Now().Add(q.frameTimeout)) // if the connection is closed, Write fails
			if _, err := conn.Write(heartbeat); err != nil {
				return
			}
		}
	}
}
