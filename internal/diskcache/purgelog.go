package diskcache

import (
	"errors"
	"fmt"
	"io"

	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// purgeLogReadRecords is the number of purge log records per read.
const purgeLogReadRecords = 1024

// readPurgeLog reads the purge log up to the first invalid record and truncates the log there. The bytes after it were
// never acknowledged, and new records must not be appended behind an invalid one.
func (s *Store) readPurgeLog() ([]validity.Record, error) {
	size, err := s.openPurgeLog()
	if err != nil {
		return nil, err
	}
	var records []validity.Record
	buf := make([]byte, purgeLogReadRecords*validity.RecordSize)
	for s.purgeLogSize < size {
		n, err := s.purgeLog.ReadAt(buf[:min(int64(len(buf)), size-s.purgeLogSize)], s.purgeLogSize)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("read %s at %d: %w", purgeLogName, s.purgeLogSize, err)
		}
		for b := buf[:n]; len(b) > 0; b = b[validity.RecordSize:] {
			record, err := validity.ParseRecord(b)
			if err != nil {
				s.onFault(StoreError{
					Code:   CodeBadPurgeLog,
					File:   purgeLogName,
					Offset: s.purgeLogSize,
					Err:    err,
				})
				return records, s.truncatePurgeLog()
			}
			records = append(records, record)
			s.purgeLogSize += validity.RecordSize
		}
	}
	return records, nil
}

// openPurgeLog opens the purge log, or creates an empty one, and returns its size in bytes.
func (s *Store) openPurgeLog() (size int64, err error) {
	file, err := s.fs.Open(purgeLogName)
	if errors.Is(err, vfs.ErrNotExist) {
		if err = s.replaceFile(purgeLogName, nil); err == nil {
			file, err = s.fs.Open(purgeLogName)
		}
	}
	if err != nil {
		return 0, fmt.Errorf("open %s: %w", purgeLogName, err)
	}
	s.purgeLog = file
	if size, err = file.Size(); err != nil {
		return 0, fmt.Errorf("read %s: %w", purgeLogName, err)
	}
	return size, nil
}

func (s *Store) truncatePurgeLog() error {
	if err := errors.Join(s.purgeLog.Truncate(s.purgeLogSize), s.purgeLog.Sync()); err != nil {
		return fmt.Errorf("truncate %s at %d: %w", purgeLogName, s.purgeLogSize, err)
	}
	return nil
}

// AppendPurgeRecords appends records to the purge log and syncs it. After it returns nil they survive a power loss.
func (s *Store) AppendPurgeRecords(records []validity.Record) error {
	var b []byte
	for _, r := range records {
		b = validity.AppendRecord(b, r)
	}
	s.purgeLogMu.Lock()
	defer s.purgeLogMu.Unlock()
	_, err := s.purgeLog.WriteAt(b, s.purgeLogSize)
	if err == nil {
		err = s.purgeLog.Sync()
	}
	if err != nil {
		return s.reportWriteError(StoreError{File: purgeLogName, Offset: s.purgeLogSize, Err: err})
	}
	s.purgeLogSize += int64(len(b))
	return nil
}

// PurgeLogBytes returns the size of the purge log.
func (s *Store) PurgeLogBytes() int64 {
	s.purgeLogMu.Lock()
	defer s.purgeLogMu.Unlock()
	return s.purgeLogSize
}

// RewritePurgeLog replaces the purge log by an equivalent shorter one. It calls records while it holds the log's lock,
// so that no record is appended in between.
func (s *Store) RewritePurgeLog(records func() []validity.Record) error {
	s.purgeLogMu.Lock()
	defer s.purgeLogMu.Unlock()
	var b []byte
	for _, r := range records() {
		b = validity.AppendRecord(b, r)
	}
	if err := s.replaceFile(purgeLogName, b); err != nil {
		return s.reportWriteError(StoreError{File: purgeLogName, Err: err})
	}
	file, err := s.fs.Open(purgeLogName)
	if err != nil {
		return s.reportWriteError(StoreError{File: purgeLogName, Err: err})
	}
	_ = s.purgeLog.Close() // the old file was replaced
	s.purgeLog, s.purgeLogSize = file, int64(len(b))
	return nil
}
