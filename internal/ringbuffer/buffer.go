// Package ringbuffer implements a fixed-size first-in first-out byte buffer. It buffers one direction of a connection
// between the socket and the codec. It allocates once, never grows, and is not safe for concurrent use.
package ringbuffer

import "io"

// Buffer is a ring buffer of bytes.
type Buffer struct {
	data  []byte
	start int // index of the oldest byte
	used  int // number of buffered bytes
}

// New returns an empty buffer of sizeBytes.
func New(sizeBytes int) *Buffer { return &Buffer{data: make([]byte, sizeBytes)} }

// Len returns the number of buffered bytes.
func (b *Buffer) Len() int { return b.used }

// Free returns the number of free bytes.
func (b *Buffer) Free() int { return len(b.data) - b.used }

// freeSpan returns the contiguous free bytes that follow the newest byte.
func (b *Buffer) freeSpan() []byte {
	end := b.start + b.used
	if end >= len(b.data) {
		return b.data[end-len(b.data) : b.start]
	}
	return b.data[end:]
}

// usedSpan returns the contiguous buffered bytes that begin with the oldest one.
func (b *Buffer) usedSpan() []byte { return b.data[b.start:min(b.start+b.used, len(b.data))] }

// ReadOnceFrom does one read from src into the free bytes. If the buffer is full, it reads nothing and returns
// io.ErrShortBuffer.
func (b *Buffer) ReadOnceFrom(src io.Reader) (int, error) {
	if b.used == 0 {
		b.start = 0 // so that one read can fill the entire buffer
	}
	if b.Free() == 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := src.Read(b.freeSpan())
	b.used += n
	return n, err
}

// WriteOnceTo does one write of buffered bytes to dst and removes the bytes that were written.
func (b *Buffer) WriteOnceTo(dst io.Writer) (int, error) {
	n, err := dst.Write(b.usedSpan())
	b.Discard(n)
	return n, err
}

// Write appends as much of p as fits and returns the number of bytes appended.
func (b *Buffer) Write(p []byte) int {
	done := 0
	for done < len(p) && b.Free() > 0 {
		n := copy(b.freeSpan(), p[done:])
		b.used += n
		done += n
	}
	return done
}

// Read moves buffered bytes into p and returns their number.
func (b *Buffer) Read(p []byte) int {
	done := 0
	for done < len(p) && b.used > 0 {
		n := copy(p[done:], b.usedSpan())
		b.Discard(n)
		done += n
	}
	return done
}

// Peek copies the first buffered bytes into p, without removing them, and returns their number.
func (b *Buffer) Peek(p []byte) int {
	done := copy(p, b.usedSpan())
	wrapped := b.used - len(b.usedSpan())
	return done + copy(p[done:], b.data[:wrapped])
}

// Discard removes up to n buffered bytes and returns the number of bytes removed.
func (b *Buffer) Discard(n int) int {
	n = min(n, b.used)
	b.start = (b.start + n) % len(b.data)
	b.used -= n
	return n
}

// IndexByte returns the position, counted from the oldest byte, of the first byte equal to wanted at or after position
// from. It returns -1 if there is none.
func (b *Buffer) IndexByte(wanted byte, from int) int {
	for i := from; i < b.used; i++ {
		if b.data[(b.start+i)%len(b.data)] == wanted {
			return i
		}
	}
	return -1
}
