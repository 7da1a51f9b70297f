package diskcache

import (
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"
)

// FaultCode names a kind of fault in counters, log lines and tools; docs/operate/disk-cache.md lists the codes.
type FaultCode string

// The codes of faults.
const (
	CodeBadHeader      FaultCode = "bad-head"        // a record's header cannot be read
	CodeBadBody        FaultCode = "bad-body"        // a record's body does not match its checksum
	CodeTruncated      FaultCode = "cut-off"         // a segment ends within a record
	CodeMissingSegment FaultCode = "missing-segment" // a segment that the snapshot names does not exist
	CodeBadSegment     FaultCode = "bad-segment"     // a segment's header cannot be read
	CodeBadPurgeLog    FaultCode = "bad-notices"     // the purge log ends in something else
	CodeBadSnapshot    FaultCode = "bad-snapshot"    // the index snapshot cannot be used
	CodeReadFailed     FaultCode = "read-failed"
	CodeDiskFull       FaultCode = "disk-full"
	CodeWriteFailed    FaultCode = "write-failed"
	CodeOtherFormat    FaultCode = "other-format"
)

// Errors of a Store.
var (
	// ErrNotFound reports a chunk that is not stored.
	ErrNotFound = errors.New("not held")
	// ErrUnsupportedFormat reports a folder of another format version.
	ErrUnsupportedFormat = errors.New("folder of another format")

	errClosed = errors.New("store is closed")
)

// Errors of Cache.Get, besides those of a Store. Callers treat all of them as a miss.
var (
	// ErrReadQueueFull reports that too many reads wait for the disk.
	ErrReadQueueFull = errors.New("too many reads wait for the disk")
	// ErrReadTimeout reports that the disk did not answer in time.
	ErrReadTimeout = errors.New("the disk took too long")
	// ErrInvalidated reports a chunk that a purge invalidates.
	ErrInvalidated = errors.New("purged")
)

// StoreError is one fault of a folder. It costs the chunks concerned and nothing else.
type StoreError struct {
	Code   FaultCode
	File   string
	Offset int64
	Key    eviction.Key
	Err    error
}

func (e StoreError) Error() string {
	return fmt.Sprintf("%s: %s at %d: %v", e.Code, e.File, e.Offset, e.Err)
}

func (e StoreError) Unwrap() error { return e.Err }

// corruptRecord is a record that was read and cannot be used.
type corruptRecord struct {
	code FaultCode
	err  error
}

func (c corruptRecord) Error() string { return c.err.Error() }

func (c corruptRecord) Unwrap() error { return c.err }

// reportWriteError classifies the cause of a failed write, reports it and returns it.
func (s *Store) reportWriteError(e StoreError) error {
	e.Code = CodeWriteFailed
	if errors.Is(e.Err, vfs.ErrNoSpace) {
		e.Code = CodeDiskFull
	}
	s.onFault(e)
	return e
}
