package ringbuffer

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzBuffer applies the same operations to a buffer and to a byte slice and compares the two. Each input byte encodes
// an operation and its size.
func FuzzBuffer(f *testing.F) {
	f.Add([]byte{0x03, 0x41, 0x82, 0xc1, 0x0f, 0x47, 0x0f, 0x8f, 0xcf})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const size = 11
		b, want, newest := New(size), []byte{}, byte(0)
		for _, step := range steps {
			n := int(step & 0x1f)
			p := make([]byte, n)
			for i := range p {
				newest++
				p[i] = newest
			}
			switch step >> 6 {
			case 0:
				want = append(want, p[:b.Write(p)]...)
			case 1:
				count := b.Read(p)
				assert.Equal(t, string(want[:count]), string(p[:count]))
				want = want[count:]
			case 2:
				count, _ := b.ReadOnceFrom(bytes.NewReader(p))
				want = append(want, p[:count]...)
			case 3:
				var out bytes.Buffer
				count, err := b.WriteOnceTo(&out)
				require.NoError(t, err)
				assert.Equal(t, string(want[:count]), out.String())
				want = want[count:]
			}
			assert.Equal(t, len(want), b.Len())
			assert.Equal(t, size-len(want), b.Free())
			assert.Equal(t, bytes.IndexByte(want, newest), b.IndexByte(newest, 0))
		}
	})
}

// Guards against closing a connection because its consumer is slow: a read into a full buffer has no room, and must not
// look as if the peer had closed. It must read nothing, report the full buffer, and lose no bytes.
func TestFullBufferReadsNothing(t *testing.T) {
	b := New(2)
	assert.Equal(t, 2, b.Write([]byte("abc")))
	_, err := b.ReadOnceFrom(bytes.NewReader([]byte("x")))
	require.ErrorIs(t, err, io.ErrShortBuffer)
	assert.Equal(t, 2, b.Discard(5))
	assert.Equal(t, -1, b.IndexByte('a', 0))
}

// Guards against a look at the input that misses the part behind the end of the buffer.
func TestPeekLeavesTheBytes(t *testing.T) {
	b := New(4)
	b.Write([]byte("abc"))
	b.Discard(2)
	b.Write([]byte("def"))
	for _, length := range []int{0, 1, 3, 4, 9} {
		p := make([]byte, length)
		assert.Equal(t, "cdef"[:min(length, 4)], string(p[:b.Peek(p)]))
	}
	assert.Equal(t, 4, b.Len())
}
