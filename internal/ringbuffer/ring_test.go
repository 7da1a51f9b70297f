package ringbuffer

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
)

// FuzzRing plays steps against a plain buffer: each byte is a step and its size.
func FuzzRing(f *testing.F) {
	f.Add([]byte{0x03, 0x41, 0x82, 0xc1, 0x0f, 0x47, 0x0f, 0x8f, 0xcf})
	f.Fuzz(func(t *testing.T, steps []byte) {
		q, want, fresh := New(11), []byte{}, byte(0)
		for _, s := range steps {
			n := int(s & 0x1f)
			p := make([]byte, n)
			for i := range p {
				fresh++
				p[i] = fresh
			}
			switch s >> 6 {
			case 0:
				want = append(want, p[:q.Write(p)]...)
			case 1:
				k := q.Read(p)
				assert.Equal(t, string(want[:k]), string(p[:k]))
				want = want[k:]
			case 2:
				k, _ := q.ReadOnceFrom(bytes.NewReader(p))
				want = append(want, p[:k]...)
			case 3:
				var out bytes.Buffer
				k, err := q.WriteOnceTo(&out)
				assert.NoError(t, err)
				assert.Equal(t, string(want[:k]), out.String())
				want = want[k:]
			}
			assert.Equal(t, len(want), q.Len())
			assert.Equal(t, 11-len(want), q.Free())
			assert.Equal(t, bytes.IndexByte(want, fresh), q.IndexByte(fresh, 0))
		}
	})
}

func TestFullRingReadsNothing(t *testing.T) {
	q := New(2)
	assert.Equal(t, 2, q.Write([]byte("abc")))
	_, err := q.ReadOnceFrom(bytes.NewReader([]byte("x")))
	assert.ErrorIs(t, err, io.ErrShortBuffer)
	assert.Equal(t, 2, q.Discard(5))
	assert.Equal(t, -1, q.IndexByte('a', 0))
}
