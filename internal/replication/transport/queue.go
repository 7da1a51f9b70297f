package transport

import (
	"context"
	"net"
	"sync"
	"time"
)

// Bounds of the frames that wait for a peer. A frame beyond them is dropped.
const (
	maxQueuedFrames = 4096
	maxQueuedBytes  = 16 << 20
)

// queue is the frames that wait for one peer. It outlives the peer's connections.
type queue struct {
	frameTimeout time.Duration // for the peer to take one frame

	mu     sync.Mutex
	frames [][]byte
	bytes  int
	wake   chan struct{} // holds one token after a push
}

func newQueue() *queue {
	return &queue{frameTimeout: idleTimeout, wake: make(chan struct{}, 1)}
}

// push adds a frame, or says false where there is no room.
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

// notify wakes the writer.
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

// writeTo writes what waits, and a heartbeat at intervals, until the connection fails or the
// context ends. Frames taken off the queue by a write that fails are lost.
//
// The peer has the frame timeout for each frame, not for all that wait. It guards against ending the connection of a
// peer that reads slowly and steadily, which shows as connections to it that are made again and again.
func (q *queue) writeTo(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	heartbeat, err := encodeFrame(Frame{Kind: KindHeartbeat})
	if err != nil {
		return
	}
	for {
		for _, frame := range q.takeAll() {
			_ = conn.SetWriteDeadline(time.Now().Add(q.frameTimeout)) // a closed connection fails at the write
			if _, err := conn.Write(frame); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-ticker.C:
			_ = conn.SetWriteDeadline(time.Now().Add(q.frameTimeout)) // as above
			if _, err := conn.Write(heartbeat); err != nil {
				return
			}
		}
	}
}
