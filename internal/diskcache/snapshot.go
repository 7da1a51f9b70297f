package diskcache

import (
	"cairnfront/internal/diskcache/vfs"
)

// Sizes and magic number of the index snapshot. The snapshot only speeds up a start: the headers of the records it
// covers need not be read. A chunk is never served on the evidence of the snapshot alone; each read verifies the
// record's header and checksums.
const (
	snapshotMagic        = 0x5844494e52494143 // "CAIRNIDX"
	snapshotHeaderSize   = 32
	snapshotSegmentSize  = 32
	snapshotEntrySize    = 64
	snapshotChecksumSize = 4
	snapshotBufferSize   = 256 << 10
	maxSnapshotEntries   = 1 << 40 // prevents an integer overflow if the header is damaged
)

// fileCursor is an io.Reader and io.Writer that accesses a file sequentially.
type fileCursor struct {
	file   vfs.File
	offset int64
}

func (c *fileCursor) Write(p []byte) (int, error) {
	n, err := c.file.WriteAt(p, c.offset)
	c.offset += int64(n)
	return n, err
}

func (c *fileCursor) Read(p []byte) (int, error) {
	n, err := c.file.ReadAt(p, c.offset)
	c.offset += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}
