// Package tier keeps parts of objects on a disk, for a cache box that is to be warm after a crash.
//
// Store is the disk itself: segments that are only appended to, an index in memory, a log of purges. Tier stands
// before it in the path of a txn: bounded queues, the choice of what to keep and the judgement of what to believe.
//
// What outlasts a loss of power: a part once the Sync after its Put has returned, or not at all (half a part is never
// served); records of purges when Log has returned. A part that was dropped may come back with a start; a purge that
// was logged voids it then as before.
package diskcache

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"
	"sync"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// Codes of what goes wrong with a folder, for counters and log lines; docs/operate/disk-tier.md lists them.
const (
	CodeBadHeader      = "bad-head"        // a record's head can't be read
	CodeBadBody        = "bad-body"        // a record's body is not what was written
	CodeTruncated      = "cut-off"         // a segment ends within a record
	CodeMissingSegment = "missing-segment" // a segment that the index names is not there
	CodeBadSegment     = "bad-segment"     // a segment's head can't be read
	CodeBadPurgeLog    = "bad-notices"     // the log of purges ends in something else
	CodeBadSnapshot    = "bad-snapshot"    // the index snapshot was not used
	CodeReadFailed     = "read-failed"
	CodeDiskFull       = "disk-full"
	CodeWriteFailed    = "write-failed"
	CodeOtherFormat    = "other-format"
)

// Errors of the store.
var (
	ErrNotFound          = errors.New("not held")
	ErrUnsupportedFormat = errors.New("folder of another format")
	errClosed            = errors.New("store is closed")
)

// Fault is one thing that is wrong with a folder. It costs the parts concerned and nothing else.
type StoreError struct {
	Code   string
	File   string
	Offset int64
	Key    eviction.Key
	Err    error
}

func (f StoreError) Error() string {
	return fmt.Sprintf("%s: %s at %d: %v", f.Code, f.File, f.Offset, f.Err)
}

func (f StoreError) Unwrap() error { return f.Err }

// Limits of a store, from the operators' file.
type StoreOptions struct {
	SegmentBytes int64 // size at which a segment is closed
	Clock        func() time.Time
	Salt         func() uint64 // for tests; else from the system
}

func (l StoreOptions) fill() StoreOptions {
	if l.SegmentBytes <= 0 {
		l.SegmentBytes = 64 << 20
	}
	if l.Clock == nil {
		l.Clock = time.Now
	}
	if l.Salt == nil {
		l.Salt = func() uint64 {
			var b [8]byte
			_, _ = rand.Read(b[:])
			return binary.LittleEndian.Uint64(b[:])
		}
	}
	return l
}

// segment is one file. Size is how far it is written, live the bytes of it that the index names.
type segment struct {
	id         uint32
	name       string
	salt       uint64
	file       vfs.File
	size, live int64
	oldest     int64 // dated of its oldest record, alive or not
	sealed     bool
	refs       int // readers at work; with dead, the last one closes the file
	dead       bool
}

// Store is a folder of parts. Its methods may be called from several goroutines; writers wait for each other.
type Store struct {
	fs     vfs.FS
	limits StoreOptions
	unlock func()
	fault  func(StoreError) // told of each; never nil

	write  sync.Mutex // held by whoever appends, compacts or snapshots
	active *segment
	nextID uint32

	logMu   sync.Mutex // held by whoever writes the log of purges
	notices vfs.File
	logged  int64 // good bytes of the log

	mu       sync.Mutex // the index and the segments
	index    index
	segments map[uint32]*segment
	seq      uint64
	closed   bool
}

// Report is what a start found.
type RecoveryReport struct {
	Parts, Segments       int
	Bytes                 int64
	Scanned               int64 // bytes read of segments
	FromSnapshot          int   // parts that the snapshot named
	Records               []validity.Record
	Faults                int
	Took                  time.Duration
	Known                 map[eviction.Key]eviction.AccessHistory `json:"-"` // gaps that the snapshot held; nil where there was none
	SnapshotUsed, Created bool
}

// Open opens a folder, or makes a new one in an empty folder. Each fault found is told to fault; it costs the parts
// concerned. Want says whether the gaps of the snapshot are wanted.
func OpenStore(fs vfs.FS, l StoreOptions, want bool, fault func(StoreError)) (*Store, RecoveryReport, error) {
	if fault == nil {
		fault = func(StoreError) {}
	}
	began := time.Now()
	rep := RecoveryReport{}
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, rep, fmt.Errorf("opening the folder: %w", err)
	}
	s := &Store{fs: fs, limits: l.fill(), unlock: unlock, segments: map[uint32]*segment{}, nextID: 1}
	s.fault = func(f StoreError) { rep.Faults++; fault(f) }
	if err := s.open(&rep, want); err != nil {
		s.closeFiles()
		unlock()
		return nil, rep, err
	}
	s.fault = fault
	rep.Parts, rep.Segments = s.index.n, len(s.segments)
	for _, g := range s.segments {
		rep.Bytes += g.live
	}
	rep.Took = time.Since(began)
	return s, rep, nil
}

func (s *Store) open(rep *RecoveryReport, want bool) error {
	names, err := s.fs.List()
	if err != nil {
		return fmt.Errorf("listing the folder: %w", err)
	}
	if err := s.format(names, rep); err != nil {
		return err
	}
	if rep.Records, err = s.readLog(); err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, freshSuffix) { // never took its name
			_ = s.fs.Remove(name)
			continue
		}
		var id uint32
		if n, _ := fmt.Sscanf(name, segmentForm, &id); n != 1 || name != fmt.Sprintf(segmentForm, id) {
			continue
		}
		s.nextID = max(s.nextID, id+1)
		if err := s.openSegment(id, name); err != nil {
			if errors.Is(err, vfs.ErrPowerLoss) {
				return err
			}
			s.fault(StoreError{Code: CodeBadSegment, File: name, Err: err})
		}
	}
	covered := s.readSnapshot(rep, want)
	for _, r := range rep.Records { // what is written from now on is under no earlier doubt
		s.seq = max(s.seq, r.Seq)
	}
	ids := make([]uint32, 0, len(s.segments))
	for id := range s.segments {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		g := s.segments[id]
		from := max(covered[id], segmentHead)
		n, err := s.scan(g, from, id == ids[len(ids)-1])
		if rep.Scanned += n; err != nil {
			return err
		}
	}
	return nil
}

// format checks the folder's version and writes it into a new folder.
func (s *Store) format(names []string, rep *RecoveryReport) error {
	if slices.Contains(names, formatName) {
		f, err := s.fs.Open(formatName)
		if err != nil {
			return fmt.Errorf("reading %s: %w", formatName, err)
		}
		defer f.Close()
		text := make([]byte, 64)
		n, _ := f.ReadAt(text, 0)
		var v int
		if _, err := fmt.Sscanf(string(text[:n]), "cairnfront disk tier %d\n", &v); err == nil && v != formatVersion {
			return fmt.Errorf("%w: version %d, this program reads version %d; empty the folder or use the program that wrote it",
				ErrUnsupportedFormat, v, formatVersion)
		} else if err == nil {
			return nil
		} // torn at its first start: written anew, unless there are parts
	}
	for _, name := range names {
		if strings.HasPrefix(name, "seg-") || name == noticesName {
			if !slices.Contains(names, formatName) {
				return fmt.Errorf("%w: it holds %s and no %s", ErrUnsupportedFormat, name, formatName)
			}
		}
	}
	rep.Created = true
	if err := s.replace(formatName, []byte(fmt.Sprintf("cairnfront disk tier %d\n", formatVersion))); err != nil {
		return fmt.Errorf("writing %s: %w", formatName, err)
	}
	return nil
}

// replace writes a small file whole or not at all.
func (s *Store) replace(name string, text []byte) error {
	f, err := s.fs.Create(name + freshSuffix)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(text, 0)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(name+freshSuffix, name); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

func (s *Store) openSegment(id uint32, name string) error {
	f, err := s.fs.Open(name)
	if err != nil {
		return err
	}
	b := make([]byte, segmentHead)
	n, err := f.ReadAt(b, 0)
	if errors.Is(err, vfs.ErrPowerLoss) {
		return err
	}
	salt, err := parseSegmentHead(b[:n], id)
	if err != nil {
		_ = f.Close()
		return err
	}
	size, err := f.Size()
	if err != nil {
		_ = f.Close()
		return err
	}
	s.segments[id] = &segment{id: id, name: name, salt: salt, file: f, size: size, oldest: 1<<63 - 1, sealed: true}
	return nil
}

// Windows of a scan: small where bodies are long and only heads are wanted.
const (
	wideWindow   = 256 << 10
	narrowWindow = 4 << 10
	longRecord   = 64 << 10
)

// scan reads the heads of a segment's records from a place on and enters them. After something that is no record it
// goes on at the next one: a disk may have kept later writes and lost earlier ones. Only the last segment can hold what
// was not synced; there the bodies are read too, so that a torn new copy does not stand before a whole older one.
func (s *Store) scan(g *segment, from int64, bodies bool) (read int64, err error) {
	buf := make([]byte, wideWindow)
	var win []byte // bytes of the file from base on
	base, width := int64(0), wideWindow
	lost := false
	for at := from; at+recordHead <= g.size; {
		if at < base || at+recordHead+mostTag > base+int64(len(win)) && base+int64(len(win)) < g.size {
			n, err := g.file.ReadAt(buf[:min(int64(width), g.size-at)], at)
			if errors.Is(err, vfs.ErrPowerLoss) {
				return read, err
			}
			if n < recordHead {
				s.fault(StoreError{Code: CodeReadFailed, File: g.name, Offset: at, Err: err})
				return read, nil
			}
			read += int64(n)
			win, base = buf[:n], at
		}
		h, err := parseHead(win[at-base:], g.salt)
		if err == nil && at+h.size() > g.size {
			s.fault(StoreError{Code: CodeTruncated, File: g.name, Offset: at, Key: h.Key, Err: errors.New("the file ends within the part")})
			err = errors.New("cut off")
			lost = true
		}
		if err != nil {
			if !lost {
				lost = true
				s.fault(StoreError{Code: CodeBadHeader, File: g.name, Offset: at, Err: err})
			}
			at += grain
			width = wideWindow
			continue
		}
		if lost = false; h.struck {
			at += h.size()
			continue
		}
		if bodies {
			_, err := s.read(g, place{object: h.Object, part: h.Chunk, seq: h.Seq, at: uint32(at / grain), size: uint32(h.size())})
			if errors.Is(err, vfs.ErrPowerLoss) {
				return read, err
			}
			if read += int64(h.bodyLen); err != nil {
				s.fault(StoreError{Code: CodeBadBody, File: g.name, Offset: at, Key: h.Key, Err: err})
				if err := s.strike(g, at, h); err != nil {
					return read, err
				}
				at += h.size()
				continue
			}
		}
		s.enter(g, at, h)
		width = wideWindow
		if h.size() > longRecord {
			width = narrowWindow
		}
		at += h.size()
	}
	return read, nil
}

// strike marks a torn record, so that it does not stand before an older copy at a later start, when its segment is
// no longer the last.
func (s *Store) strike(g *segment, at int64, h head) error {
	_, err := g.file.WriteAt(appendHead(nil, g.salt, h.Meta, h.bodyLen, h.bodySum, 0, struckKind), at)
	if err == nil {
		err = g.file.Sync()
	}
	if errors.Is(err, vfs.ErrPowerLoss) {
		return err
	}
	return nil // it stays a torn one: each start will try again
}

// enter takes a record into the index unless a newer one of its part is there.
func (s *Store) enter(g *segment, at int64, h head) {
	g.oldest = min(g.oldest, h.IssuedAt)
	s.seq = max(s.seq, h.Seq)
	old := s.index.find(h.Key)
	if old != nil && old.seq >= h.Seq {
		return
	}
	if old != nil {
		s.segments[old.segment].live -= int64(old.size)
	}
	g.live += h.size()
	s.index.put(place{object: h.Object, part: h.Chunk, seq: h.Seq, segment: g.id, at: uint32(at / grain), size: uint32(h.size()), rank: h.Rank})
}

// Top is the highest seq written.
func (s *Store) LastSeq() uint64 { s.mu.Lock(); defer s.mu.Unlock(); return s.seq }

// Parts is how many parts are held.
func (s *Store) Chunks() int { s.mu.Lock(); defer s.mu.Unlock(); return s.index.n }

// Sizes are the bytes that live parts take and those of all segments.
func (s *Store) Sizes() (live, all int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.segments {
		live += g.live
		all += g.size
	}
	return live, all
}

// Oldest is the time of the oldest record on the disk, alive or not; far in the future where there is none.
func (s *Store) OldestIssuedAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := int64(1<<63 - 1)
	for _, g := range s.segments {
		oldest = min(oldest, g.oldest)
	}
	return oldest
}

// Has says whether a part is held, as far as the index knows.
func (s *Store) Contains(k eviction.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.find(k) != nil
}

// Confirm notes in which doubt a part's source has confirmed it; seq names the copy that was meant.
func (s *Store) Confirm(k eviction.Key, seq uint64, doubt uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.index.find(k); p != nil && p.seq == seq {
		p.confirmed = doubt
	}
}

// Put writes a part; the error is a Fault. The store gives its seq, which is returned.
func (s *Store) Put(m Meta, body []byte) (uint64, error) {
	if len(m.Tag) > mostTag || len(body) > mostBody {
		return 0, fmt.Errorf("a tag of %d and a body of %d bytes are too long", len(m.Tag), len(body))
	}
	s.write.Lock()
	defer s.write.Unlock()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, errClosed
	}
	s.seq++
	m.Seq = s.seq
	s.mu.Unlock()
	return m.Seq, s.append(m, body, nil)
}

// append writes a record to the active segment. The caller holds write. A record that is moved takes the index's place
// of the same copy and leaves it alone where that copy has gone since.
func (s *Store) append(m Meta, body []byte, moved *place) error {
	size := recordSize(len(m.Tag), len(body))
	if err := s.roll(size); err != nil {
		return s.writeFault(StoreError{File: fmt.Sprintf(segmentForm, s.nextID), Key: m.Key, Err: err})
	}
	g := s.active
	at := g.size
	if _, err := g.file.WriteAt(appendRecord(nil, g.salt, m, body, s.limits.Clock().UnixMilli()), at); err != nil {
		// The next record takes the same place.
		return s.writeFault(StoreError{File: g.name, Offset: at, Key: m.Key, Err: err})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.size += size
	g.oldest = min(g.oldest, m.IssuedAt)
	old := s.index.find(m.Key)
	if moved != nil && (old == nil || old.seq != moved.seq) {
		return nil
	}
	p := place{object: m.Object, part: m.Chunk, seq: m.Seq, segment: g.id, at: uint32(at / grain), size: uint32(size), rank: m.Rank}
	if old != nil {
		s.segments[old.segment].live -= int64(old.size)
	}
	if moved != nil {
		p.confirmed = old.confirmed
	}
	g.live += size
	s.index.put(p)
	return nil
}

func (s *Store) writeFault(f StoreError) error {
	f.Code = CodeWriteFailed
	if errors.Is(f.Err, vfs.ErrNoSpace) {
		f.Code = CodeDiskFull
	}
	s.fault(f)
	return f
}

// roll makes a new active segment where there is none, or where the present one is full.
func (s *Store) roll(size int64) error {
	if s.active != nil && s.active.size+size <= s.limits.SegmentBytes {
		return nil
	}
	if s.active != nil {
		if err := s.active.file.Sync(); err != nil {
			return err
		}
		s.mu.Lock()
		s.active.sealed = true
		s.mu.Unlock()
		s.active = nil
	}
	id, salt := s.nextID, s.limits.Salt()
	name := fmt.Sprintf(segmentForm, id)
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err := f.WriteAt(appendSegmentHead(nil, id, salt, s.limits.Clock().UnixMilli()), 0); err != nil {
		_ = f.Close()
		_ = s.fs.Remove(name)
		return err
	}
	if err := errors.Join(f.Sync(), s.fs.SyncDir()); err != nil {
		_ = f.Close()
		return err
	}
	s.nextID++
	s.active = &segment{id: id, name: name, salt: salt, file: f, size: segmentHead, oldest: 1<<63 - 1}
	s.mu.Lock()
	s.segments[id] = s.active
	s.mu.Unlock()
	return nil
}

// Get reads a part whole and checks it. ErrAbsent says that it is not held; a Fault costs the part, which is dropped.
func (s *Store) Get(k eviction.Key) (Chunk, error) {
	s.mu.Lock()
	found := s.index.find(k)
	if found == nil || s.closed {
		s.mu.Unlock()
		return Chunk{}, ErrNotFound
	}
	p := *found
	g := s.segments[p.segment]
	g.refs++
	s.mu.Unlock()
	part, err := s.read(g, p)
	s.mu.Lock()
	g.refs--
	s.closeDead(g)
	s.mu.Unlock()
	if err != nil {
		if errors.Is(err, vfs.ErrPowerLoss) {
			return Chunk{}, err
		}
		f := StoreError{Code: CodeReadFailed, File: g.name, Offset: int64(p.at) * grain, Key: k, Err: err}
		var bad badRecord
		if errors.As(err, &bad) {
			f.Code = bad.code
		}
		s.dropIf(k, p.seq)
		s.fault(f)
		return Chunk{}, f
	}
	return part, nil
}

type badRecord struct {
	code string
	err  error
}

func (b badRecord) Error() string { return b.err.Error() }

// read reads the record at a place and holds it against what the place says.
func (s *Store) read(g *segment, p place) (Chunk, error) {
	b := make([]byte, p.size)
	n, err := g.file.ReadAt(b, int64(p.at)*grain)
	if n < len(b) {
		return Chunk{}, fmt.Errorf("read %d of %d bytes: %w", n, len(b), err)
	}
	h, err := parseHead(b, g.salt)
	if err != nil {
		return Chunk{}, badRecord{CodeBadHeader, err}
	}
	if h.struck || h.Key != p.key() || h.Seq != p.seq || h.size() != int64(p.size) {
		return Chunk{}, badRecord{CodeBadHeader, fmt.Errorf("another part stands there: object %016x part %d", h.Object, h.Chunk)}
	}
	body := b[recordHead+len(h.Tag):][:h.bodyLen:h.bodyLen]
	if crc32.Checksum(body, castagnoli) != h.bodySum {
		return Chunk{}, badRecord{CodeBadBody, errors.New("body's checksum does not hold")}
	}
	return Chunk{Meta: h.Meta, Body: body, ConfirmedEpoch: p.confirmed}, nil
}

func (s *Store) closeDead(g *segment) {
	if g.dead && g.refs == 0 && g.file != nil {
		_ = g.file.Close()
		g.file = nil
	}
}

// Drop forgets a part. Its bytes are given back by compaction; after a start it may be there again.
func (s *Store) Delete(k eviction.Key) bool { return s.dropIf(k, 0) }

func (s *Store) dropIf(k eviction.Key, seq uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.index.find(k)
	if p == nil || (seq > 0 && p.seq != seq) {
		return false
	}
	s.segments[p.segment].live -= int64(p.size)
	return s.index.remove(k)
}

// Each calls f for every part with its size on the disk until it says no. The store is not to be used meanwhile.
func (s *Store) Each(f func(k eviction.Key, size int64, rank uint8) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.each(func(p *place) bool { return f(p.key(), int64(p.size), p.rank) })
}

// Sync returns once every part put before it outlasts a loss of power.
func (s *Store) Sync() error {
	s.write.Lock()
	g := s.active
	s.write.Unlock()
	if g == nil {
		return nil
	}
	return g.file.Sync()
}

// Close syncs and lets the folder go.
func (s *Store) Close() error {
	err := s.Sync()
	s.write.Lock()
	defer s.write.Unlock()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeFiles()
	s.unlock()
	return err
}

func (s *Store) closeFiles() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.segments {
		if g.dead = true; g.refs == 0 && g.file != nil {
			_ = g.file.Close()
			g.file = nil
		}
	}
	if s.notices != nil {
		_ = s.notices.Close()
	}
}
