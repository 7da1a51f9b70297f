package diskcache

import (
	"errors"

	"cairnfront/internal/diskcache/vfs"
)

// Windows of a scan in bytes: narrow where bodies are long and only headers are needed.
const (
	wideWindow   = 256 << 10
	narrowWindow = 4 << 10
	longRecord   = 64 << 10
)

// segmentScan reads a segment's records through a window.
type segmentScan struct {
	store     *Store
	segment   *segment
	buf       []byte
	window    []byte // bytes of the file from base on
	base      int64
	width     int
	bytesRead int64
}

// scan enters a segment's records from an offset on into the index and returns the bytes it read. After bytes that are
// no record it goes on at the next record: a power loss may lose earlier writes and leave later ones. verifyBodies is
// set for the last segment, the only one that can hold unsynced records: their bodies are read too, so that a torn new
// copy does not hide an intact older one.
func (s *Store) scan(seg *segment, from int64, verifyBodies bool) (int64, error) {
	c := &segmentScan{
		store:   s,
		segment: seg,
		buf:     make([]byte, wideWindow),
		width:   wideWindow,
	}
	inGarbage := false
	for offset := from; offset+recordHeaderSize <= seg.size; {
		if ok, err := c.fill(offset); !ok {
			return c.bytesRead, err
		}
		h, fault := c.parse(offset)
		if fault != nil {
			if !inGarbage || fault.Code == CodeTruncated {
				s.onFault(*fault)
			}
			inGarbage = true
			offset += grain
			c.width = wideWindow
			continue
		}
		inGarbage = false
		if !h.struck {
			if err := c.enter(offset, h, verifyBodies); err != nil {
				return c.bytesRead, err
			}
		}
		offset += h.size()
	}
	return c.bytesRead, nil
}

// fill makes sure that the window holds the header and tag at an offset. If ok is false the scan ends, with err after a
// power loss.
func (c *segmentScan) fill(offset int64) (ok bool, err error) {
	end := c.base + int64(len(c.window))
	complete := offset+recordHeaderSize+maxTagBytes <= end || end >= c.segment.size
	if offset >= c.base && complete {
		return true, nil
	}
	n, err := c.segment.file.ReadAt(c.buf[:min(int64(c.width), c.segment.size-offset)], offset)
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

// parse parses the record header at an offset.
func (c *segmentScan) parse(offset int64) (recordHeader, *StoreError) {
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
			Err:    errRecordCutOff,
		}
	}
	return h, nil
}

// enter takes a record into the index, or strikes it if its body is torn.
func (c *segmentScan) enter(offset int64, h recordHeader, verifyBody bool) error {
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
			return c.store.strike(c.segment, offset, h)
		}
	}
	c.store.indexScanned(c.segment, loc, h)
	c.width = wideWindow
	if h.size() > longRecord {
		c.width = narrowWindow
	}
	return nil
}

// strike marks a torn record, so that it does not hide an older copy at a later start, when its segment is no longer
// the last. If the write fails the next start tries again; only a power loss is returned.
func (s *Store) strike(seg *segment, offset int64, h recordHeader) error {
	_, err := seg.file.WriteAt(appendRecordHeader(nil, seg.salt, h, 0, kindStruck), offset)
	if err == nil {
		err = seg.file.Sync()
	}
	if errors.Is(err, vfs.ErrPowerLoss) {
		return err
	}
	return nil
}

// indexScanned takes a scanned record into the index unless a newer one of its chunk is there.
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
