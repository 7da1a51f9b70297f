package diskcache

import (
	"errors"
	"fmt"
	"io"

	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// readLog reads the log of purges up to the first record that can't be believed, and cuts off the rest: it was never
// acknowledged, and what is written next must not be followed by it.
func (s *Store) readLog() ([]validity.Record, error) {
	f, err := s.fs.Open(noticesName)
	if errors.Is(err, vfs.ErrNotExist) {
		if err = s.replace(noticesName, nil); err == nil {
			f, err = s.fs.Open(noticesName)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("opening %s: %w", noticesName, err)
	}
	s.notices = f
	size, err := f.Size()
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", noticesName, err)
	}
	var out []validity.Record
	buf := make([]byte, 1024*validity.RecordSize)
	for s.logged < size {
		n, err := f.ReadAt(buf[:min(int64(len(buf)), size-s.logged)], s.logged)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("reading %s at %d: %w", noticesName, s.logged, err)
		}
		for b := buf[:n]; ; b = b[validity.RecordSize:] {
			if len(b) == 0 {
				break
			}
			r, err := validity.ParseRecord(b)
			if err != nil {
				s.fault(StoreError{Code: CodeBadPurgeLog, File: noticesName, Offset: s.logged, Err: err})
				return out, s.cutLog()
			}
			out = append(out, r)
			s.logged += validity.RecordSize
		}
	}
	return out, nil
}

func (s *Store) cutLog() error {
	if err := errors.Join(s.notices.Truncate(s.logged), s.notices.Sync()); err != nil {
		return fmt.Errorf("cutting %s off at %d: %w", noticesName, s.logged, err)
	}
	return nil
}

// Log writes records of purges. When it returns without an error they outlast a loss of power.
func (s *Store) AppendPurgeRecords(records []validity.Record) error {
	var b []byte
	for _, r := range records {
		b = validity.AppendRecord(b, r)
	}
	s.logMu.Lock()
	defer s.logMu.Unlock()
	if _, err := s.notices.WriteAt(b, s.logged); err != nil {
		return s.writeFault(StoreError{File: noticesName, Offset: s.logged, Err: err})
	}
	if err := s.notices.Sync(); err != nil {
		return s.writeFault(StoreError{File: noticesName, Offset: s.logged, Err: err})
	}
	s.logged += int64(len(b))
	return nil
}

// LogSize is how long the log of purges is, in bytes.
func (s *Store) PurgeLogBytes() int64 { s.logMu.Lock(); defer s.logMu.Unlock(); return s.logged }

// Relog replaces the log by a shorter one that says the same. Get is asked for it once no other record can come
// between.
func (s *Store) RewritePurgeLog(get func() []validity.Record) error {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	var b []byte
	for _, r := range get() {
		b = validity.AppendRecord(b, r)
	}
	if err := s.replace(noticesName, b); err != nil {
		return s.writeFault(StoreError{File: noticesName, Err: err})
	}
	f, err := s.fs.Open(noticesName)
	if err != nil {
		return s.writeFault(StoreError{File: noticesName, Err: err})
	}
	_ = s.notices.Close()
	s.notices, s.logged = f, int64(len(b))
	return nil
}
