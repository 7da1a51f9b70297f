package request

import (
	"slices"
	"sync"
)

// minReusedBytes is the size below which a buffer is not reused: small ones cost the garbage collector little.
const minReusedBytes = 1 << 10

// bufferSizes are the sizes of reused buffers, in bytes. The last one is that of the largest response.
var bufferSizes = [...]int{
	minReusedBytes, 2 << 10, 4 << 10, 8 << 10, 12 << 10, 16 << 10, 24 << 10, 32 << 10, 48 << 10, 56 << 10, 80 << 10,
	112 << 10, 160 << 10, 240 << 10,
}

// bufferSize returns the size of the buffer for a body of n bytes.
func bufferSize(n int) int {
	if n < minReusedBytes || n > bufferSizes[len(bufferSizes)-1] {
		return n
	}
	class, _ := slices.BinarySearch(bufferSizes[:], n)
	return bufferSizes[class]
}

// bufferCache holds buffers that are not in use, for reuse. Without it, each body is garbage after its use, and under a
// flood of large bodies the heap grows faster than it is collected.
type bufferCache struct {
	mu        sync.Mutex // guards the fields below
	idle      [len(bufferSizes)][][]byte
	unused    [len(bufferSizes)]int // smallest number of idle buffers of each size since the last trim
	idleBytes int64
}

func newBufferCache() *bufferCache { return &bufferCache{} }

// take returns a buffer for a body of n bytes. The buffers that stay idle use at most freeBytes.
func (c *bufferCache) take(n int, freeBytes int64) []byte {
	size := bufferSize(n)
	class, reused := slices.BinarySearch(bufferSizes[:], size)
	c.mu.Lock()
	defer c.mu.Unlock()
	if reused && len(c.idle[class]) > 0 {
		return c.popLocked(class)
	}
	for other := len(c.idle) - 1; other >= 0 && c.idleBytes > max(freeBytes, 0); {
		if len(c.idle[other]) == 0 {
			other--
			continue
		}
		c.popLocked(other)
	}
	return make([]byte, size)
}

// put adds a buffer that is not in use any more.
func (c *bufferCache) put(buffer []byte) {
	class, reused := slices.BinarySearch(bufferSizes[:], cap(buffer))
	if !reused {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[class] = append(c.idle[class], buffer[:cap(buffer)])
	c.idleBytes += int64(cap(buffer))
}

// trim drops the buffers that were idle since the last call.
func (c *bufferCache) trim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class := range c.idle {
		for range c.unused[class] {
			c.popLocked(class)
		}
		c.unused[class] = len(c.idle[class])
	}
}

func (c *bufferCache) popLocked(class int) []byte {
	last := len(c.idle[class]) - 1
	buffer := c.idle[class][last]
	c.idle[class][last] = nil
	c.idle[class] = c.idle[class][:last]
	c.unused[class] = min(c.unused[class], last)
	c.idleBytes -= int64(cap(buffer))
	return buffer
}
