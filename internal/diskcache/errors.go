package diskcache

import (
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"
)

// FaultCode is a kind of fault. Its text is the reason in log lines, in the label of the counter of faults and in what
// the tools print; docs/operate/disk-cache.md lists the texts. The zero value is no fault.
type FaultCode uint8

// The codes of faults.
const (
	CodeBadHeader      FaultCode = iota + 1 // a record's header cannot be read
	CodeBadBody                             // a record's body does not match its checksum
	CodeTruncated                           // a segment ends within a record
	CodeMissingSegment                      // a segment that the snapshot names does not exist
	CodeBadSegment                          // a segment's header cannot be read
	CodeBadPurgeLog                         // the purge log ends in something else
	CodeBadSnapshot                         // the index snapshot cannot be used
	CodeReadFailed                          // the disk failed to read
	CodeDiskFull                            // the disk has no space left for a write
	CodeWriteFailed                         // the disk failed to write for another cause
	CodeOtherFormat                         // the folder has another format version
)

var faultCodeTexts = [...]string{
	CodeBadHeader:      "bad_header",
	CodeBadBody:        "bad_body",
	CodeTruncated:      "truncated",
	CodeMissingSegment: "missing_segment",
	CodeBadSegment:     "bad_segment",
	CodeBadPurgeLog:    "bad_purge_log",
	CodeBadSnapshot:    "bad_snapshot",
	CodeReadFailed:     "read_failed",
	CodeDiskFull:       "disk_full",
	CodeWriteFailed:    "write_failed",
	CodeOtherFormat:    "unsupported_format",
}

// String returns the code's text.
func (c FaultCode) String() string { return faultCodeTexts[c] }

// Errors of a Store.
var (
	// ErrNotFound reports a chunk that is not stored.
	ErrNotFound = errors.New("chunk is not stored")
	// ErrNoDiskCache reports a folder without a disk cache.
	ErrNoDiskCache = errors.New("folder has no disk cache")
	// ErrUnsupportedFormat reports a folder of another format version.
	ErrUnsupportedFormat = errors.New("unsupported format of the disk cache")

	// ErrChunkTooLong reports a chunk whose tag or body is longer than the format allows.
	ErrChunkTooLong = errors.New("tag or body is too long")

	errClosed       = errors.New("disk cache is closed")
	errNotSealed    = errors.New("missing, active or closed")
	errLiveBytes    = errors.New("live bytes are left")
	errShortHeader  = errors.New("header is too short")
	errOtherVersion = errors.New("unknown version")
	errOtherSegment = errors.New("header of another segment")
)

// Why a record cannot be used. Each is the cause of a StoreError, whose code says what it costs.
var (
	errNoRecord       = errors.New("no record")
	errHeaderChecksum = errors.New("head's checksum does not hold")
	errBodyChecksum   = errors.New("body's checksum does not hold")
	errOtherRecord    = errors.New("record of another chunk")
	errUnknownRecord  = errors.New("record of an unknown version or kind")
	errRecordTooLong  = errors.New("record's tag or body is too long")
	errRecordCutOff   = errors.New("file ends within the record")
)

// Why a snapshot, or a part of it, cannot be used.
var (
	errNoSnapshot          = errors.New("not a snapshot of this version")
	errSnapshotSize        = errors.New("size does not fit the header")
	errSnapshotChecksum    = errors.New("checksum of the snapshot does not hold")
	errSnapshotSegment     = errors.New("segment is covered up to an impossible offset")
	errSnapshotEntry       = errors.New("entry of an impossible size or segment")
	errDuplicateEntry      = errors.New("chunk is listed twice")
	errSegmentMissing      = errors.New("named by the snapshot: lost, or compacted since")
	errSegmentWasTruncated = errors.New("segment is shorter than it was")
)

// Errors of Cache.Get, besides those of a Store. Callers treat all of them as a miss.
var (
	// ErrReadQueueFull reports that too many reads wait for the disk.
	ErrReadQueueFull = errors.New("read queue of the disk is full")
	// ErrReadTimeout reports that the disk did not answer in time.
	ErrReadTimeout = errors.New("disk did not answer in time")
	// ErrInvalidated reports a chunk that a purge invalidates.
	ErrInvalidated = errors.New("chunk is purged")
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

// corruptRecordError is a record that was read and cannot be used.
type corruptRecordError struct {
	code FaultCode
	err  error
}

func (c corruptRecordError) Error() string { return c.err.Error() }

func (c corruptRecordError) Unwrap() error { return c.err }

// reportWriteError classifies the cause of a failed write, reports it and returns it.
func (s *Store) reportWriteError(e StoreError) error {
	e.Code = CodeWriteFailed
	if errors.Is(e.Err, vfs.ErrNoSpace) {
		e.Code = CodeDiskFull
	}
	s.onFault(e)
	return e
}
