// Package ring is a byte ring of fixed size: what one direction of a connection holds between socket and codec.
package ringbuffer

import "io"

// Ring holds up to its size in bytes, first in, first out.
type Buffer struct {
	buf  []byte
	head int // place of the first byte held
	held int
}

// New makes an empty ring.
func New(size int) *Buffer { return &Buffer{buf: make([]byte, size)} }

// Len is how many bytes are held, Free how many more would fit.
func (q *Buffer) Len() int { return q.held }

// Free is how many more bytes would fit.
func (q *Buffer) Free() int { return len(q.buf) - q.held }

// room is the longest free stretch that follows what is held.
func (q *Buffer) room() []byte {
	tail := q.head + q.held
	if tail >= len(q.buf) {
		return q.buf[tail-len(q.buf) : q.head]
	}
	return q.buf[tail:]
}

// front is the longest stretch of what is held, from its first byte.
func (q *Buffer) front() []byte { return q.buf[q.head:min(q.head+q.held, len(q.buf))] }

// Fill does one read into the free room; a full ring reads nothing.
func (q *Buffer) ReadOnceFrom(src io.Reader) (int, error) {
	if q.held == 0 {
		q.head = 0
	}
	if q.Free() == 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := src.Read(q.room())
	q.held += n
	return n, err
}

// Drain does one write of what is held and drops what was written.
func (q *Buffer) WriteOnceTo(dst io.Writer) (int, error) {
	n, err := dst.Write(q.front())
	q.Discard(n)
	return n, err
}

// Write takes in as much of p as fits and says how much that was.
func (q *Buffer) Write(p []byte) int {
	done := 0
	for len(p) > done && q.Free() > 0 {
		n := copy(q.room(), p[done:])
		q.held += n
		done += n
	}
	return done
}

// Read moves held bytes into p and says how many.
func (q *Buffer) Read(p []byte) int {
	done := 0
	for len(p) > done && q.held > 0 {
		n := copy(p[done:], q.front())
		q.Discard(n)
		done += n
	}
	return done
}

// Discard drops up to n held bytes and says how many.
func (q *Buffer) Discard(n int) int {
	n = min(n, q.held)
	q.head = (q.head + n) % len(q.buf)
	q.held -= n
	return n
}

// Index is the place of the first byte b at or after from, or -1.
func (q *Buffer) IndexByte(b byte, from int) int {
	for i := from; i < q.held; i++ {
		if q.buf[(q.head+i)%len(q.buf)] == b {
			return i
		}
	}
	return -1
}
