// Package folder is the ledger on a machine's disk: the votes and logs of all its slices in one file after another, so that one
// sync serves them all, and a snapshot file a slice. It has the file layer of the disk tier under it. Format: docs/ledger-format.md.
//
// What was synced is believed only if its checksums hold. A torn end, as a loss of power leaves it, is cut off: nothing of it was
// acknowledged. Damage to what was synced is another matter: a holder that forgot it would vote against its word, so such a folder is
// refused. Each batch says up to where the file was synced before it, which tells the two apart; only damage to the very last batch
// looks like a torn end.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strings"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	version            = 1
	identityFile       = "holder"
	lockFile           = "lock"
	logNameFormat      = "log-%08x"
	snapshotNameFormat = "slice-%02x-%016x"

	rotateAt = 16 << 20 // bytes of a log file before the next one begins with what still counts
	longest  = 8 << 20  // bytes of a record
	headSize = 12       // length, checksum, kind, slice, two bytes unused
)

// Kinds of records.
const (
	kindHardState   = 1
	kindEntry       = 2
	kindSnapshot    = 3 // names a snapshot's index: entries up to it no longer count
	kindRemoveShard = 4 // the slice is not held here any more
	kindFileHeader  = 5 // first of a file: version, and the bytes of what the file begins with
	kindBatchHeader = 6 // before each batch: up to where the file was synced
)

// Errors that a caller tells apart.
var (
	ErrCorrupt      = errors.New("the ledger's folder is damaged")
	ErrNewerVersion = errors.New("the ledger's folder was written by a later version")
	ErrForeignOwner = errors.New("the ledger's folder is another router's")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Identity is what names a holder.
type Identity struct {
	ID         uint64 // drawn when the folder was made
	Owner      string // the router's name
	StartCount uint32 // times that it was opened: one brought back from an old copy has fewer than its peers have seen
}

// Folder is an open one. It belongs to one goroutine.
type WAL struct {
	fs      vfs.FS
	me      Identity
	release func()
	log     vfs.File
	number  uint32
	size    int64
	synced  int64
	held    map[int]*held
	buf     []byte
	// Counts for operators.
	SyncCount, BytesWritten int64
	broken                  error // after a write or sync that failed nothing more is written: what is on the disk is not known
}

// held is what of a slice counts.
type held struct {
	hard    *pb.HardState
	entries []*pb.Entry
	snap    uint64 // index of its snapshot, 0 for none
}

// Open opens a router's folder, or makes it. Draw gives the number of a new one.
func Open(fs vfs.FS, owner string, draw func() uint64) (*WAL, map[int]shard.PersistentState, error) {
	release, err := fs.Lock(lockFile)
	if err != nil {
		return nil, nil, fmt.Errorf("the ledger's folder: %w", err)
	}
	f := &WAL{fs: fs, release: release, held: map[int]*held{}}
	saved, err := f.open(owner, draw)
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, saved, nil
}

// Me is the holder's identity.
func (f *WAL) Identity() Identity { return f.me }

func (f *WAL) open(owner string, draw func() uint64) (map[int]shard.PersistentState, error) {
	if err := f.identify(owner, draw); err != nil {
		return nil, err
	}
	names, err := f.fs.List()
	if err != nil {
		return nil, fmt.Errorf("the ledger's folder: %w", err)
	}
	var logs []string
	for _, n := range names {
		if strings.HasPrefix(n, "log-") && !strings.HasSuffix(n, ".new") {
			logs = append(logs, n)
		}
	}
	if len(logs) == 0 {
		err = f.rotate()
	} else if err = f.read(logs[len(logs)-1], true); err == nil { // each begins with all that counted: older ones are left over
		f.log, err = f.fs.Open(logs[len(logs)-1])
	}
	if err == nil {
		err = f.clean(names)
	}
	if err != nil {
		return nil, fmt.Errorf("the ledger's log: %w", err)
	}
	return f.saved()
}

// saved is what counts of each slice.
func (f *WAL) saved() (map[int]shard.PersistentState, error) {
	out := map[int]shard.PersistentState{}
	for no, h := range f.held {
		s := shard.PersistentState{HardState: h.hard, Entries: h.entries}
		if h.snap > 0 {
			var err error
			if s.Snapshot, err = f.snapshot(no, h.snap); err != nil {
				return nil, err
			}
		}
		out[no] = s
	}
	return out, nil
}

// Inspect reads a stopped router's folder and changes nothing in it.
func Inspect(fs vfs.FS) (Identity, map[int]shard.PersistentState, error) {
	text, err := readFile(fs, identityFile)
	if err != nil {
		return Identity{}, nil, fmt.Errorf("the ledger's folder: %w", err)
	}
	f := &WAL{fs: fs, held: map[int]*held{}}
	if f.me, err = parseIdentity(text); err != nil {
		return f.me, nil, err
	}
	names, err := fs.List()
	if err != nil {
		return f.me, nil, fmt.Errorf("the ledger's folder: %w", err)
	}
	last := ""
	for _, n := range names {
		if strings.HasPrefix(n, "log-") && !strings.HasSuffix(n, ".new") {
			last = n
		}
	}
	if last == "" {
		return f.me, nil, fmt.Errorf("%w: it has no log", ErrCorrupt)
	}
	if err := f.read(last, false); err != nil {
		return f.me, nil, err
	}
	saved, err := f.saved()
	return f.me, saved, err
}

// identify reads who the folder belongs to, or makes it, and counts this opening.
func (f *WAL) identify(owner string, draw func() uint64) error {
	text, err := readFile(f.fs, identityFile)
	switch {
	case errors.Is(err, vfs.ErrNotExist):
		f.me = Identity{ID: draw() | 1, Owner: owner}
	case err != nil:
		return fmt.Errorf("the ledger's folder: %w", err)
	default:
		if f.me, err = parseIdentity(text); err != nil {
			return err
		}
		if f.me.Owner != owner {
			return fmt.Errorf("%w: it is %q's, this is %q", ErrForeignOwner, f.me.Owner, owner)
		}
	}
	f.me.StartCount++
	b := []byte{version}
	b = binary.BigEndian.AppendUint64(b, f.me.ID)
	b = binary.BigEndian.AppendUint32(b, f.me.StartCount)
	b = append(b, f.me.Owner...)
	return replaceFile(f.fs, identityFile, binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli)))
}

func parseIdentity(text []byte) (Identity, error) {
	if len(text) < 17 || crc32.Checksum(text[:len(text)-4], castagnoli) != binary.BigEndian.Uint32(text[len(text)-4:]) {
		return Identity{}, fmt.Errorf("%w: the file %s", ErrCorrupt, identityFile)
	}
	if text[0] > version {
		return Identity{}, fmt.Errorf("%w: %d, this program reads %d", ErrNewerVersion, text[0], version)
	}
	return Identity{ID: binary.BigEndian.Uint64(text[1:]), StartCount: binary.BigEndian.Uint32(text[9:]), Owner: string(text[13 : len(text)-4])}, nil
}

func readFile(fs vfs.FS, name string) ([]byte, error) {
	file, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	text := make([]byte, size)
	if size > 0 {
		if _, err := file.ReadAt(text, 0); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// replace writes a file whole or not at all, and outlasts a loss of power.
func replaceFile(fs vfs.FS, name string, text []byte) error {
	file, err := fs.Create(name + ".new")
	if err == nil {
		_, err = file.WriteAt(text, 0)
		err = errors.Join(err, file.Sync(), file.Close())
	}
	if err == nil {
		err = fs.Rename(name+".new", name)
	}
	if err == nil {
		err = fs.SyncDir()
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return nil
}

// record is one of a log file.
func appendRecord(b []byte, kind byte, slice int, payload []byte) []byte {
	from := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, 0, 0, 0, 0, kind, byte(slice), 0, 0)
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[from+4:], crc32.Checksum(b[from+8:], castagnoli))
	return b
}

// parseRecord reads the record at the beginning of a text; ok is false where there is none that holds.
func parseRecord(b []byte) (kind byte, slice int, payload []byte, size int, ok bool) {
	if len(b) < headSize {
		return 0, 0, nil, 0, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > longest || headSize+n > len(b) || crc32.Checksum(b[8:headSize+n], castagnoli) != binary.BigEndian.Uint32(b[4:]) {
		return 0, 0, nil, 0, false
	}
	return b[8], int(b[9]), b[headSize : headSize+n], headSize + n, true
}

// clean removes what a loss of power left over.
func (f *WAL) clean(names []string) error {
	keep := map[string]bool{identityFile: true, lockFile: true, fmt.Sprintf(logNameFormat, f.number): true}
	for no, h := range f.held {
		keep[fmt.Sprintf(snapshotNameFormat, no, h.snap)] = true
	}
	for _, n := range names {
		if !keep[n] && (strings.HasPrefix(n, "log-") || strings.HasPrefix(n, "slice-") || strings.HasSuffix(n, ".new")) {
			if err := f.fs.Remove(n); err != nil && !errors.Is(err, vfs.ErrNotExist) {
				return err
			}
		}
	}
	return nil
}

// read takes a log file's records.
func (f *WAL) read(name string, cut bool) error {
	text, err := readFile(f.fs, name)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if _, err := fmt.Sscanf(name, logNameFormat, &f.number); err != nil {
		return fmt.Errorf("%w: a file with the name %s", ErrCorrupt, name)
	}
	at, base := 0, 0
	for at < len(text) {
		kind, no, payload, size, ok := parseRecord(text[at:])
		if !ok {
			break
		}
		switch {
		case at > 0:
			if err := f.take(kind, no, payload); err != nil {
				return fmt.Errorf("%s at byte %d: %w", name, at, err)
			}
		case kind != kindFileHeader || len(payload) < 9:
			return fmt.Errorf("%w: %s does not begin as a log", ErrCorrupt, name)
		case payload[0] > version:
			return fmt.Errorf("%w: %s has %d, this program reads %d", ErrNewerVersion, name, payload[0], version)
		default:
			base = int(binary.BigEndian.Uint64(payload[1:]))
		}
		at += size
	}
	if at < base || at == 0 {
		return fmt.Errorf("%w: %s at byte %d of %d that it begins with", ErrCorrupt, name, at, base)
	}
	if at < len(text) {
		for i := at + 1; i+headSize <= len(text); i++ {
			if kind, _, payload, _, ok := parseRecord(text[i:]); ok && kind == kindBatchHeader && len(payload) == 8 && binary.BigEndian.Uint64(payload) > uint64(at) {
				return fmt.Errorf("%w: %s at byte %d, synced up to %d", ErrCorrupt, name, at, binary.BigEndian.Uint64(payload))
			}
		}
		if !cut {
			return nil
		}
		file, err := f.fs.Open(name)
		if err == nil {
			err = errors.Join(file.Truncate(int64(at)), file.Sync(), file.Close())
		}
		if err != nil {
			return fmt.Errorf("cutting the torn end of %s: %w", name, err)
		}
	}
	f.size, f.synced = int64(at), int64(at)
	return nil
}

func (f *WAL) of(no int) *held {
	if f.held[no] == nil {
		f.held[no] = &held{}
	}
	return f.held[no]
}

func (f *WAL) take(kind byte, no int, payload []byte) error {
	if kind == kindRemoveShard {
		delete(f.held, no)
		return nil
	}
	if kind != kindHardState && kind != kindEntry && kind != kindSnapshot {
		return nil // a batch's head, or of a later version and nothing that this one needs
	}
	h := f.of(no)
	switch kind {
	case kindHardState:
		h.hard = &pb.HardState{}
		if err := proto.Unmarshal(payload, h.hard); err != nil {
			return fmt.Errorf("%w: a vote: %w", ErrCorrupt, err)
		}
	case kindEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return fmt.Errorf("%w: an entry: %w", ErrCorrupt, err)
		}
		h.add(e)
	case kindSnapshot:
		if len(payload) != 8 {
			return fmt.Errorf("%w: a snapshot's place", ErrCorrupt)
		}
		h.shorten(binary.BigEndian.Uint64(payload))
	}
	return nil
}

// add puts an entry in its place; what stood there or behind it no longer counts.
func (h *held) add(e *pb.Entry) {
	for len(h.entries) > 0 && h.entries[len(h.entries)-1].GetIndex() >= e.GetIndex() {
		h.entries = h.entries[:len(h.entries)-1]
	}
	h.entries = append(h.entries, e)
}

func (h *held) shorten(index uint64) {
	h.snap = index
	h.entries = slices.DeleteFunc(slices.Clone(h.entries), func(e *pb.Entry) bool { return e.GetIndex() <= index })
}

// Write puts batches on the disk, with one sync if any of them wants it. After an error nothing may be sent or believed of them, and
// the folder takes nothing more: what is on the disk is not known until it is opened anew.
func (f *WAL) Write(batches []shard.Ready) error {
	if f.broken != nil {
		return f.broken
	}
	f.buf = f.buf[:0]
	sync := false
	for _, b := range batches {
		h := f.of(b.Shard)
		sync = sync || b.MustSync
		if b.Snapshot != nil {
			if err := f.keep(b.Shard, b.Snapshot); err != nil {
				return f.fail(err)
			}
			h.entries = nil
		}
		if b.HardState != nil {
			h.hard = b.HardState
			text, err := proto.Marshal(b.HardState)
			if err != nil {
				return f.fail(err)
			}
			f.buf = appendRecord(f.buf, kindHardState, b.Shard, text)
		}
		for _, e := range b.Entries {
			h.add(e)
			text, err := proto.Marshal(e)
			if err != nil {
				return f.fail(err)
			}
			f.buf = appendRecord(f.buf, kindEntry, b.Shard, text)
		}
	}
	if err := f.flush(sync); err != nil {
		return f.fail(err)
	}
	if f.size > rotateAt {
		if err := f.rotate(); err != nil {
			return f.fail(err)
		}
	}
	return nil
}

func (f *WAL) fail(err error) error {
	f.broken = fmt.Errorf("the ledger's disk: %w", err)
	return f.broken
}

func (f *WAL) flush(sync bool) error {
	if len(f.buf) > 0 {
		b := append(appendRecord(nil, kindBatchHeader, 0, binary.BigEndian.AppendUint64(nil, uint64(f.synced))), f.buf...)
		if _, err := f.log.WriteAt(b, f.size); err != nil {
			return err
		}
		f.size += int64(len(b))
		f.BytesWritten += int64(len(b))
		f.buf = f.buf[:0]
	}
	if sync {
		f.SyncCount++
		if err := f.log.Sync(); err != nil {
			return err
		}
		f.synced = f.size
	}
	return nil
}

// keep writes a snapshot's file and then names it in the log's buffer.
func (f *WAL) keep(no int, snap *pb.Snapshot) error {
	body, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	index := snap.GetMetadata().GetIndex()
	b := append([]byte{version}, body...)
	if err := replaceFile(f.fs, fmt.Sprintf(snapshotNameFormat, no, index), binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))); err != nil {
		return err
	}
	f.buf = appendRecord(f.buf, kindSnapshot, no, binary.BigEndian.AppendUint64(nil, index))
	old := f.of(no).snap
	f.of(no).shorten(index)
	if old > 0 && old != index {
		// The older one is needed until the log that names the new one is synced.
		if err := f.flush(true); err != nil {
			return err
		}
		return f.fs.Remove(fmt.Sprintf(snapshotNameFormat, no, old))
	}
	return nil
}

func (f *WAL) snapshot(no int, index uint64) (*pb.Snapshot, error) {
	name := fmt.Sprintf(snapshotNameFormat, no, index)
	text, err := readFile(f.fs, name)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	if len(text) < 5 || crc32.Checksum(text[:len(text)-4], castagnoli) != binary.BigEndian.Uint32(text[len(text)-4:]) {
		return nil, fmt.Errorf("%w: the checksum of %s", ErrCorrupt, name)
	}
	if text[0] > version {
		return nil, fmt.Errorf("%w: %s has %d, this program reads %d", ErrNewerVersion, name, text[0], version)
	}
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(text[1:len(text)-4], snap); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	return snap, nil
}

// Snapshot keeps one that the slice made of itself: the log before it no longer counts.
func (f *WAL) SaveSnapshot(no int, snap *pb.Snapshot) error {
	if f.broken != nil {
		return f.broken
	}
	f.buf = f.buf[:0]
	err := f.keep(no, snap)
	if err == nil {
		err = f.flush(true)
	}
	if err != nil {
		return f.fail(err)
	}
	return nil
}

// Forget drops a slice that is not held here any more.
func (f *WAL) RemoveShard(no int) error {
	if f.broken != nil {
		return f.broken
	}
	old := f.of(no).snap
	f.buf = appendRecord(f.buf[:0], kindRemoveShard, no, nil)
	delete(f.held, no)
	err := f.flush(true)
	if err == nil && old > 0 {
		err = f.fs.Remove(fmt.Sprintf(snapshotNameFormat, no, old))
	}
	if err != nil {
		return f.fail(err)
	}
	return nil
}

// rotate begins the next log file with all that counts, and drops the older ones once that is on the disk.
func (f *WAL) rotate() error {
	number := f.number + 1
	name := fmt.Sprintf(logNameFormat, number)
	file, err := f.fs.Create(name + ".new")
	if err != nil {
		return err
	}
	head := len(appendRecord(nil, kindFileHeader, 0, make([]byte, 9)))
	b := make([]byte, head)
	for _, no := range slices.Sorted(maps.Keys(f.held)) {
		h := f.held[no]
		if h.snap > 0 {
			b = appendRecord(b, kindSnapshot, no, binary.BigEndian.AppendUint64(nil, h.snap))
		}
		if h.hard != nil {
			text, err := proto.Marshal(h.hard)
			if err != nil {
				return err
			}
			b = appendRecord(b, kindHardState, no, text)
		}
		for _, e := range h.entries {
			text, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			b = appendRecord(b, kindEntry, no, text)
		}
	}
	copy(b, appendRecord(nil, kindFileHeader, 0, binary.BigEndian.AppendUint64([]byte{version}, uint64(len(b)))))
	if _, err := file.WriteAt(b, 0); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := errors.Join(file.Sync(), f.fs.Rename(name+".new", name), f.fs.SyncDir()); err != nil {
		return errors.Join(err, file.Close())
	}
	if f.log != nil {
		_ = f.log.Close()
		if err := f.fs.Remove(fmt.Sprintf(logNameFormat, f.number)); err != nil {
			return err
		}
	}
	f.log, f.number, f.size, f.synced = file, number, int64(len(b)), int64(len(b))
	f.BytesWritten += int64(len(b))
	return nil
}

// Close lets the folder go.
func (f *WAL) Close() {
	if f.log != nil {
		_ = f.log.Close()
	}
	if f.release != nil {
		f.release()
	}
}
