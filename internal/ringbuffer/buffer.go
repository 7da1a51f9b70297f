// Package ringbuffer is a first-in first-out byte buffer of fixed size: what one direction of a connection holds
// between the socket and the codec. It allocates once, never grows, and is not safe for more than one goroutine.
package ringbuffer

import "io"

// Buffer holds up to its size in bytes.
type Buffer struct {
	data  []byte
	start int // index of the oldest byte
	used  int // bytes held
}

// New returns an empty buffer of so many bytes.
func New(sizeBytes int) *Buffer { return &Buffer{data: make([]byte, sizeBytes)} }

// Len returns how many bytes are held.
func (b *Buffer) Len() int { return b.used }

// Free returns how many more bytes would fit.
func (b *Buffer) Free() int { return len(b.data) - b.used }

// freeSpan returns the contiguous free bytes that follow the newest byte.
func (b *Buffer) freeSpan() []byte {
	end := b.start + b.used
	if end >= len(b.data) {
		return b.data[end-len(b.data) : b.start]
	}
	return b.data[end:]
}

// usedSpan returns the contiguous held bytes from the oldest one.
func (b *Buffer) usedSpan() []byte { return b.data[b.start:min(b.start+b.used, len(b.data))] }

// ReadOnceFrom does one read from src into the free bytes. On a full buffer it reads nothing and returns
// io.ErrShortBuffer.
func (b *Buffer) ReadOnceFrom(src io.Reader) (int, error) {
	if b.used == 0 {
		b.start = 0 // one read may then fill all of the buffer
	}
	if b.Free() == 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := src.Read(b.freeSpan())
	b.used += n
	return n, err
}

// WriteOnceTo does one write of held bytes to dst and drops what was written.
func (b *Buffer) WriteOnceTo(dst io.Writer) (int, error) {
	n, err := dst.Write(b.usedSpan())
	b.Discard(n)
	return n, err
}

// Write takes in as much of p as fits and returns how many bytes that was.
func (b *Buffer) Write(p []byte) int {
	done := 0
	for done < len(p) && b.Free() > 0 {
		n := copy(b.freeSpan(), p[done:])
		b.used += n
		done += n
	}
	return done
}

// Read moves held bytes into p and returns how many.
func (b *Buffer) Read(p []byte) int {
	done := 0
	for done < len(p) && b.used > 0 {
		n := copy(p[done:], b.usedSpan())
		b.Discard(n)
		done += n
	}
	return done
}

// Discard drops up to n held bytes and returns how many.
func (b *Buffer) Discard(n int) int {
	n = min(n, b.used)
	b.start = (b.start + n) % len(b.data)
	b.used -= n
	return n
}

// IndexByte returns the position of the first byte equal to wanted at or after from, counted from the oldest byte, or
// -1 where there is none.
func (b *Buffer) IndexByte(wanted byte, from int) int {
	for i := from; i < b.used; i++ {
		if b.data[(b.start+i)%len(b.data)] == wanted {
			return i
		}
	}
	return -1
}
