package diskcache

import (
	"errors"

	"cairnfront/internal/diskcache/vfs"
)

// Read sizes of a scan in bytes. The narrow one is used after long records, where only headers are needed.
const (
	wideWindowBytes   = 256 << 10
	narrowWindowBytes = 4 << 10
	longRecordBytes   = 64 << 10 // record size above which the next read is narrow
)

// segmentScan reads the records of a segment sequentially through a buffered window.
type segmentScan struct {
	store     *Store
	segment   *segment
	buf       []byte
	window    []byte // bytes of the file that start at offset base
	base      int64
	readSize  int // size of the next read
	bytesRead int64
}

// scan adds a segment's records from an offset on to the index and returns the number of bytes read. It skips bytes
// that are not a valid record and resumes at the next record, because a power loss may lose earlier writes while later
// ones survive. verifyBodies is set for the last segment, the only one that can contain unsynced records: bodies are
// verified too, so that a torn new copy does not replace an intact older one.
func (s *Store) scan(seg *segment, from int64, verifyBodies bool) (int64, error) {
	c := &segmentScan{
		store:    s,
		segment:  seg,
		buf:      make([]byte, wideWindowBytes),
		readSize: wideWindowBytes,
	}
	inInvalidBytes := false
	for offset := from; offset+recordHeaderSize <= seg.size; {
		if ok, err := c.fillWindow(offset); !ok {
			return c.bytesRead, err
		}
		h, fault := c.parseHeader(offset)
		if fault != nil {
			if !inInvalidBytes || fault.Code == CodeTruncated {
				s.onFault(*fault)
			}
			inInvalidBytes = true
			offset += recordAlignment
			c.readSize = wideWindowBytes
			continue
		}
		inInvalidBytes = false
		if !h.torn {
			if err := c.addRecord(offset, h, verifyBodies); err != nil {
				return c.bytesRead, err
			}
		}
		offset += h.size()
	}
	return c.bytesRead, nil
}

// fillWindow ensures that the window contains the record header and entity tag at an offset. If ok is false the scan
// must end; err is set only after a power loss.
func (c *segmentScan) fillWindow(offset int64) (ok bool, err error) {
	end := c.base + int64(len(c.window))
	complete := offset+recordHeaderSize+maxETagBytes <= end || end >= c.segment.size
	if offset >= c.base && complete {
		return true, nil
	}
	n, err := c.segment.file.ReadAt(c.buf[:min(int64(c.readSize), c.segment.size-offset)], offset)
	if errors.Is(err, vfs.ErrPowerLoss) {
		return false, err
	}
	if n < recordHeaderSize {
		c.store.onFault(StoreError{
			Code:   CodeReadFailed,
			File:   c.segment.name,
			Offset: offset,
			Err:    err,
		})
		return false, nil
	}
	c.bytesRead += int64(n)
	c.window, c.base = c.buf[:n], offset
	return true, nil
}

// parseHeader decodes the record header at an offset.
func (c *segmentScan) parseHeader(offset int64) (recordHeader, *StoreError) {
	h, err := parseRecordHeader(c.window[offset-c.base:], c.segment.salt)
	if err != nil {
		return h, &StoreError{
			Code:   CodeBadHeader,
			File:   c.segment.name,
			Offset: offset,
			Err:    err,
		}
	}
	if offset+h.size() > c.segment.size {
		return h, &StoreError{
			Code:   CodeTruncated,
			File:   c.segment.name,
			Offset: offset,
			Key:    h.Key,
			Err:    errRecordTruncated,
		}
	}
	return h, nil
}

// addRecord adds a record to the index, or marks it as torn if its body fails verification.
func (c *segmentScan) addRecord(offset int64, h recordHeader, verifyBody bool) error {
	loc := newLocation(c.segment.id, offset, h.size(), h.Meta)
	if verifyBody {
		_, err := c.store.readRecord(c.segment, loc)
		if errors.Is(err, vfs.ErrPowerLoss) {
			return err
		}
		c.bytesRead += int64(h.bodyLen)
		if err != nil {
			c.store.onFault(StoreError{
				Code:   CodeBadBody,
				File:   c.segment.name,
				Offset: offset,
				Key:    h.Key,
				Err:    err,
			})
			return c.store.markTorn(c.segment, offset, h)
		}
	}
	c.store.indexScanned(c.segment, loc, h)
	c.readSize = wideWindowBytes
	if h.size() > longRecordBytes {
		c.readSize = narrowWindowBytes
	}
	return nil
}

// markTorn marks a record as torn on the disk. Otherwise it would replace an older copy at a later start, when its
// segment is no longer the last one and bodies are not verified. If the write fails, the next start retries it; only a
// power loss is returned as an error.
func (s *Store) markTorn(seg *segment, offset int64, h recordHeader) error {
	_, err := seg.file.WriteAt(appendRecordHeader(nil, seg.salt, h, 0, kindTorn), offset)
	if err == nil {
		err = seg.file.Sync()
	}
	if errors.Is(err, vfs.ErrPowerLoss) {
		return err
	}
	return nil
}

// indexScanned adds a scanned record to the index unless the index has the same or a newer record of the chunk.
func (s *Store) indexScanned(seg *segment, loc location, h recordHeader) {
	seg.oldestIssuedAt = min(seg.oldestIssuedAt, h.IssuedAt)
	s.lastSeq = max(s.lastSeq, h.Seq)
	old := s.index.find(h.Key)
	if old != nil && old.seq >= h.Seq {
		return
	}
	if old != nil {
		s.segments[old.segment].liveBytes -= int64(old.size)
	}
	seg.liveBytes += h.size()
	s.index.put(loc)
}
