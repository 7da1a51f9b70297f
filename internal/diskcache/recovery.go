package diskcache

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// RecoveryReport describes the state found when a folder is opened. The JSON keys are part of the output of
// `disk-cache inspect --json`.
type RecoveryReport struct {
	Chunks          int `json:"Parts"`
	Segments        int
	Bytes           int64 // size of all live records
	Scanned         int64 // bytes read from segments
	FromSnapshot    int   // chunks loaded from the snapshot
	Records         []validity.Record
	Faults          int
	Took            time.Duration
	AccessHistories map[eviction.Key]eviction.AccessHistory `json:"-"` // from the snapshot; nil if there is none
	SnapshotUsed    bool
	Created         bool
}

// recover restores the store's state from the folder: format version, purge log, segments, snapshot, and finally the
// records that the snapshot does not cover.
func (s *Store) recover(report *RecoveryReport, withHistory bool) error {
	names, err := s.fs.List()
	if err != nil {
		return fmt.Errorf("list folder: %w", err)
	}
	if err := s.checkFormat(names, report); err != nil {
		return err
	}
	if report.Records, err = s.readPurgeLog(); err != nil {
		return err
	}
	if err := s.openSegments(names); err != nil {
		return err
	}
	covered := s.readSnapshot(report, withHistory)
	for _, r := range report.Records { // new chunks must get sequence numbers above every suspect one
		s.lastSeq = max(s.lastSeq, r.Seq)
	}
	ids := make([]uint32, 0, len(s.segments))
	for id := range s.segments {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i, id := range ids {
		last := i == len(ids)-1
		n, err := s.scan(s.segments[id], max(covered[id], segmentHeaderSize), last)
		report.Scanned += n
		if err != nil {
			return err
		}
	}
	return nil
}

// checkFormat verifies the folder's format version, or writes the version file into a new folder.
func (s *Store) checkFormat(names []string, report *RecoveryReport) error {
	if slices.Contains(names, formatFileName) {
		version, parsed, err := s.readFormat()
		if err != nil {
			return fmt.Errorf("read %s: %w", formatFileName, err)
		}
		if parsed && version == formatVersion {
			return nil
		}
		if parsed {
			return fmt.Errorf(
				"%w: version %d, this program reads version %d; empty the folder or use the program that wrote it",
				ErrUnsupportedFormat, version, formatVersion)
		}
		// A power loss at the first start has torn the file. It is rewritten.
	} else if i := slices.IndexFunc(names, isCacheFile); i >= 0 {
		return fmt.Errorf("%w: file %s without a file %s", ErrUnsupportedFormat, names[i], formatFileName)
	}
	report.Created = true
	if err := s.replaceFile(formatFileName, fmt.Appendf(nil, formatFileContent, formatVersion)); err != nil {
		return fmt.Errorf("write %s: %w", formatFileName, err)
	}
	return nil
}

// readFormat reads the folder's format version. parsed is false if the file does not contain a version.
func (s *Store) readFormat() (version int, parsed bool, err error) {
	const maxFormatBytes = 64
	file, err := s.fs.Open(formatFileName)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = file.Close() }() // only read
	text := make([]byte, maxFormatBytes)
	n, _ := file.ReadAt(text, 0) // io.EOF is expected; after any other error the text does not parse
	_, parseErr := fmt.Sscanf(string(text[:n]), formatFileContent, &version)
	return version, parseErr == nil, nil
}

// isCacheFile reports whether a file name belongs to a segment or purge log, that is, the folder contains cache data.
func isCacheFile(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) || name == purgeLogName
}

// replaceFile atomically replaces the content of a small file.
func (s *Store) replaceFile(name string, content []byte) error {
	file, err := s.fs.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(content, 0)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// openSegments opens every segment and removes files that were never renamed to their final name.
func (s *Store) openSegments(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			_ = s.fs.Remove(name) // if this fails, the next start removes the file
			continue
		}
		var id uint32
		// Files with other names are not segments and are ignored.
		if n, _ := fmt.Sscanf(name, segmentNameFormat, &id); n != 1 || name != segmentName(id) {
			continue
		}
		s.nextID = max(s.nextID, id+1)
		err := s.openSegment(id, name)
		if errors.Is(err, vfs.ErrPowerLoss) {
			return err
		}
		if err != nil {
			s.onFault(StoreError{Code: CodeBadSegment, File: name, Err: err})
		}
	}
	return nil
}

func (s *Store) openSegment(id uint32, name string) error {
	file, err := s.fs.Open(name)
	if err != nil {
		return err
	}
	buf := make([]byte, segmentHeaderSize)
	n, err := file.ReadAt(buf, 0)
	if errors.Is(err, vfs.ErrPowerLoss) {
		return err
	}
	salt, err := parseSegmentHeader(buf[:n], id)
	if err != nil {
		_ = file.Close() // only read
		return err
	}
	size, err := file.Size()
	if err != nil {
		_ = file.Close() // only read
		return err
	}
	s.segments[id] = &segment{
		id:             id,
		name:           name,
		salt:           salt,
		file:           file,
		size:           size,
		oldestIssuedAt: noIssueTime,
		sealed:         true,
	}
	return nil
}
