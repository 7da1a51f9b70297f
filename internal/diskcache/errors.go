package diskcache

import (
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"
)

// FaultCode classifies a fault of the disk cache. Its text is the "reason" attribute of log lines, the label of the
// fault counter and part of the tools' output; docs/operate/disk-cache.md lists the texts. The zero value is no fault.
type FaultCode uint8

// The codes of faults.
const (
	CodeBadHeader         FaultCode = iota + 1 // a record's header is invalid
	CodeBadBody                                // wrong body checksum; any error of readRecord in compaction and scans
	CodeTruncated                              // a segment ends in the middle of a record
	CodeMissingSegment                         // a segment listed in the index snapshot does not exist
	CodeBadSegment                             // a segment's header is invalid or cannot be read
	CodeBadPurgeLog                            // the purge log contains bytes that are not a valid record
	CodeBadSnapshot                            // the index snapshot is invalid
	CodeReadFailed                             // a disk read failed
	CodeDiskFull                               // a write failed because the disk has no space left
	CodeWriteFailed                            // a write failed for a reason other than lack of space
	CodeUnsupportedFormat                      // the folder has an unsupported format version
)

var faultCodeTexts = [...]string{
	CodeBadHeader:         "bad_header",
	CodeBadBody:           "bad_body",
	CodeTruncated:         "truncated",
	CodeMissingSegment:    "missing_segment",
	CodeBadSegment:        "bad_segment",
	CodeBadPurgeLog:       "bad_purge_log",
	CodeBadSnapshot:       "bad_snapshot",
	CodeReadFailed:        "read_failed",
	CodeDiskFull:          "disk_full",
	CodeWriteFailed:       "write_failed",
	CodeUnsupportedFormat: "unsupported_format",
}

// String returns the text of the code as used in log lines and metrics.
func (c FaultCode) String() string { return faultCodeTexts[c] }

// Errors returned by a Store.
var (
	// ErrNotFound is returned for a chunk that is not stored.
	ErrNotFound = errors.New("chunk is not stored")
	// ErrNoDiskCache is returned for a folder that contains no disk cache.
	ErrNoDiskCache = errors.New("folder has no disk cache")
	// ErrUnsupportedFormat is returned for a folder with an unsupported format version.
	ErrUnsupportedFormat = errors.New("unsupported format of the disk cache")

	// ErrChunkTooLong is returned for a chunk whose entity tag or body is longer than the format allows.
	ErrChunkTooLong = errors.New("tag or body is too long")

	errClosed             = errors.New("disk cache is closed")
	errNotSealed          = errors.New("segment does not exist or is not sealed, or the disk cache is closed")
	errLiveBytes          = errors.New("segment still has live bytes")
	errShortHeader        = errors.New("header is too short")
	errUnsupportedVersion = errors.New("unsupported version")
	errWrongSegment       = errors.New("header belongs to another segment")
)

// Reasons why a record is invalid. Each is wrapped in a StoreError, whose code classifies the fault. errHeaderChecksum
// reports the checksum mismatch of a record's or segment's header, or a segment's wrong magic number; errBodyChecksum
// reports the checksum mismatch of a body.
var (
	errNoRecord        = errors.New("no record at this offset")
	errHeaderChecksum  = errors.New("head's checksum does not hold")
	errBodyChecksum    = errors.New("body's checksum does not hold")
	errWrongChunk      = errors.New("record belongs to another chunk")
	errUnknownRecord   = errors.New("record has an unknown version or kind")
	errRecordTooLong   = errors.New("record's tag or body is too long")
	errRecordTruncated = errors.New("file ends in the middle of the record")
)

// Reasons why an index snapshot, or a part of it, is invalid.
var (
	errNotASnapshot        = errors.New("not a snapshot of the supported version")
	errSnapshotSize        = errors.New("snapshot size does not match its header")
	errSnapshotChecksum    = errors.New("snapshot checksum mismatch")
	errSnapshotSegment     = errors.New("snapshot covers a segment up to an invalid offset")
	errSnapshotEntry       = errors.New("snapshot entry has an invalid size or segment")
	errDuplicateEntry      = errors.New("chunk is listed twice in the snapshot")
	errSegmentMissing      = errors.New("segment of the snapshot is lost or was compacted after the snapshot")
	errSegmentWasTruncated = errors.New("segment is shorter than when the snapshot was written")
)

// Errors returned by Cache.Get in addition to those of a Store. Callers treat all of them as a cache miss.
var (
	// ErrReadQueueFull is returned when the read queue has reached Config.ReadQueue.
	ErrReadQueueFull = errors.New("read queue of the disk is full")
	// ErrReadTimeout is returned when a disk read takes longer than Config.ReadTimeout.
	ErrReadTimeout = errors.New("disk read timed out")
	// ErrInvalidated is returned for a chunk that a purge has invalidated.
	ErrInvalidated = errors.New("chunk is purged")
)

// StoreError describes one fault of a cache folder. Only the affected chunks are lost.
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

// corruptRecordError reports a record that was read but is invalid.
type corruptRecordError struct {
	code FaultCode
	err  error
}

func (c corruptRecordError) Error() string { return c.err.Error() }

func (c corruptRecordError) Unwrap() error { return c.err }

// reportWriteError sets the code of a failed write from its cause, passes the error to onFault and returns it.
func (s *Store) reportWriteError(e StoreError) error {
	e.Code = CodeWriteFailed
	if errors.Is(e.Err, vfs.ErrNoSpace) {
		e.Code = CodeDiskFull
	}
	s.onFault(e)
	return e
}
