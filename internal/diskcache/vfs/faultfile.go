package vfs

import "io"

// sectorBytes is the size of a sector, which a disk writes atomically.
const sectorBytes = 512

// inode is the content of a file.
type inode struct {
	data    []byte // content as the running system sees it
	medium  []byte // content on the medium
	pending []pendingWrite
}

// pendingWrite is an unsynced write or truncation.
type pendingWrite struct {
	offset   int64 // new file size in case of a truncation
	data     []byte
	truncate bool
}

// commit writes to the medium the sectors of a pending write for which survives returns true.
func (n *inode) commit(w pendingWrite, survives func() bool) {
	if w.truncate {
		if survives() {
			n.medium = resize(n.medium, w.offset)
		}
		return
	}
	end := w.offset + int64(len(w.data))
	for offset := w.offset; offset < end; {
		next := min((offset/sectorBytes+1)*sectorBytes, end)
		if survives() {
			n.medium = overwrite(n.medium, w.data[offset-w.offset:next-w.offset], offset)
		}
		offset = next
	}
}

// overwrite copies p into data at an offset, grows data as needed and returns it.
func overwrite(data, p []byte, offset int64) []byte {
	if end := offset + int64(len(p)); end > int64(len(data)) {
		data = resize(data, end)
	}
	copy(data[offset:], p)
	return data
}

func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// faultFile is an open file of a FaultFS. It implements File.
type faultFile struct {
	fs   *FaultFS
	name string
	node *inode
}

func (h *faultFile) ReadAt(p []byte, offset int64) (int, error) {
	defer h.fs.mu.Unlock()
	if err := h.fs.beginOp(); err != nil {
		return 0, err
	}
	if h.fs.FailRead != nil && h.fs.FailRead(h.name, offset) {
		return 0, ErrIO
	}
	if offset >= int64(len(h.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, h.node.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (h *faultFile) WriteAt(p []byte, offset int64) (int, error) {
	defer h.fs.mu.Unlock()
	if err := h.fs.beginOp(); err != nil {
		return 0, err
	}
	n, err := h.writableBytes(len(p), offset)
	w := pendingWrite{offset: offset, data: append([]byte(nil), p[:n]...)}
	h.node.data = overwrite(h.node.data, w.data, offset)
	h.node.pending = append(h.node.pending, w)
	if h.fs.countOp() {
		return 0, ErrPowerLoss
	}
	return n, err
}

// writableBytes returns the number of bytes of a write that take effect, and the error of a short write.
func (h *faultFile) writableBytes(size int, offset int64) (int, error) {
	growth := max(offset+int64(size)-int64(len(h.node.data)), 0)
	if h.fs.CapacityBytes > 0 && h.fs.usedBytes()+growth > h.fs.CapacityBytes {
		return size / 2, ErrNoSpace
	}
	if h.fs.ShortWrite != nil && h.fs.ShortWrite() {
		return size / 2, io.ErrShortWrite
	}
	return size, nil
}

func (h *faultFile) Size() (int64, error) {
	defer h.fs.mu.Unlock()
	if err := h.fs.beginOp(); err != nil {
		return 0, err
	}
	return int64(len(h.node.data)), nil
}

func (h *faultFile) Truncate(size int64) error {
	defer h.fs.mu.Unlock()
	if err := h.fs.beginOp(); err != nil {
		return err
	}
	h.node.data = resize(h.node.data, size)
	h.node.pending = append(h.node.pending, pendingWrite{offset: size, truncate: true})
	if h.fs.countOp() {
		return ErrPowerLoss
	}
	return nil
}

func (h *faultFile) Sync() error {
	defer h.fs.mu.Unlock()
	if err := h.fs.beginOp(); err != nil {
		return err
	}
	if h.fs.countOp() {
		return ErrPowerLoss
	}
	if h.fs.FailSync != nil && h.fs.FailSync() {
		h.node.pending = nil
		return ErrIO
	}
	for _, w := range h.node.pending {
		h.node.commit(w, func() bool { return true })
	}
	h.node.pending = nil
	return nil
}

func (h *faultFile) Close() error { return nil }
