package diskcache

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"

	"golang.org/x/sync/errgroup"
)

// Plan is what the operators' file says of the tier.
type Config struct {
	SpaceBytes       int64 // bytes of disk that all segments may take
	SegmentBytes     int64
	Alpha            float64
	DailyWriteBytes  int64 // bytes a day, 0 for any
	MaxGhosts        int   // parts remembered that are not held
	MaxPurges        int   // purges remembered
	Readers          int
	ReadQueue        int           // reads that may wait for a reader
	ReadTimeout      time.Duration // after which a read is a miss
	WriteQueue       int           // parts that may wait to be written
	SyncInterval     time.Duration
	SnapshotInterval time.Duration
}

// Times and shares of the shell: resources, no choices.
const (
	liveShare  = 0.85                   // of the space that live parts may take; the rest is for what is dead and not yet given back
	mostNotice = 65536                  // records of purges that may wait for the disk, 64 bytes each
	backOff    = time.Second            // rest after a write that failed
	workEvery  = 500 * time.Millisecond // between looks for space to give back
	longLog    = 4 << 20                // bytes of the log from which a shorter one is worth writing
	inFlight   = time.Hour              // a copy this old may still be on its way here: its purges are not forgotten
)

// Errors of a read that is not waited for.
var (
	ErrReadQueueFull = errors.New("too many reads wait for the disk")
	ErrReadTimeout   = errors.New("the disk took too long")
	ErrInvalidated   = errors.New("purged")
)

// Counter counts what is told of by name.
type Counter interface{ Add(name string, n int64) }

// Tier is the disk in the path of txns. Nothing here waits for the disk without a bound, but Close.
type Cache struct {
	plan  Config
	store *Store
	count Counter
	log   *slog.Logger
	now   func() time.Time

	keepMu sync.Mutex
	keep   *eviction.Cafe

	trustMu sync.Mutex
	trust   *validity.Tracker

	reads  chan *read
	writes chan write

	noteMu  sync.Mutex
	notes   []validity.Record // to be written
	relog   bool              // too many waited: the whole is written anew
	noteUp  chan struct{}
	durable sync.Cond // of noteMu: all notes are written
	writing bool

	rest atomic.Int64 // Unix ns until which nothing is written
}

type read struct {
	key  eviction.Key
	done chan got
}

type got struct {
	part Chunk
	err  error
}

type write struct {
	meta Meta
	body []byte
}

// OpenTier opens a folder and makes a tier of it. Run has to be called for anything to move.
func OpenCache(fs vfs.FS, p Config, count Counter, log *slog.Logger) (*Cache, RecoveryReport, error) {
	p.Readers, p.ReadQueue, p.WriteQueue = max(p.Readers, 1), max(p.ReadQueue, 1), max(p.WriteQueue, 1)
	t := &Cache{plan: p, count: count, log: log, now: time.Now, reads: make(chan *read, p.ReadQueue),
		writes: make(chan write, p.WriteQueue), noteUp: make(chan struct{}, 1)}
	t.durable.L = &t.noteMu
	store, rep, err := OpenStore(fs, StoreOptions{SegmentBytes: p.SegmentBytes}, true, t.fault)
	if err != nil {
		return nil, rep, err
	}
	t.store = store
	t.trust = validity.NewTracker(p.MaxPurges)
	now := t.now()
	t.note(t.trust.Restore(rep.Records, store.LastSeq(), now.UnixMilli()))
	t.keep = eviction.NewCafe(eviction.Config{Alpha: p.Alpha, CapacityBytes: int64(float64(p.SpaceBytes) * liveShare), MaxGhosts: p.MaxGhosts, DailyWriteBytes: p.DailyWriteBytes})
	t.load(rep.Known, seconds(now))
	rep.Known, rep.Records = nil, nil
	return t, rep, nil
}

// load tells the choice what the disk holds. Of a part without a memory nothing is known but that it is held: it
// counts as asked for now, with a gap as long as the disk has room for.
func (t *Cache) load(known map[eviction.Key]eviction.AccessHistory, now float64) {
	type found struct {
		key  eviction.Key
		size int64
	}
	var all []found
	t.store.Each(func(k eviction.Key, size int64, _ uint8) bool { all = append(all, found{k, size}); return true })
	for _, f := range all {
		m, ok := known[f.key]
		if !ok || m.LastAccess > now {
			m = eviction.AccessHistory{MeanGap: unknownGap, LastAccess: now}
		}
		for _, out := range t.keep.Restore(f.key, f.size, m) {
			t.store.Delete(out)
		}
	}
}

const unknownGap = 600 // s, the gap of a part that a crash left without one: it is worth a while, not for ever

func seconds(t time.Time) float64 { return float64(t.UnixMilli()) / 1000 }

func (t *Cache) fault(f StoreError) {
	t.count.Add("tier.fault."+f.Code, 1)
	t.log.Warn("tier", "code", f.Code, "file", f.File, "at", f.Offset, "err", f.Err.Error())
}

// Run moves parts and records until the context ends.
func (t *Cache) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range t.plan.Readers {
		g.Go(func() error { t.reader(ctx); return nil })
	}
	g.Go(func() error { t.writer(ctx); return nil })
	g.Go(func() error { t.notary(ctx); return nil })
	g.Go(func() error { t.janitor(ctx); return nil })
	return g.Wait()
}

// Close writes what waits and a snapshot, and lets the folder go. Run must have ended.
func (t *Cache) Close() error {
	for len(t.writes) > 0 {
		t.put(<-t.writes)
	}
	t.writeNotes()
	t.snapshot()
	return t.store.Close()
}

// Get reads a part. It waits for the disk no longer than the plan says; ErrAbsent, ErrBusy, ErrSlow and ErrVoid are
// misses like any fault. The verdict says whether the copy may be served at once.
func (t *Cache) Get(k eviction.Key) (Chunk, validity.Verdict, error) {
	if !t.store.Contains(k) {
		return Chunk{}, validity.Invalidated, ErrNotFound
	}
	r := &read{key: k, done: make(chan got, 1)}
	select {
	case t.reads <- r:
	default:
		t.count.Add("tier.read.queue-full", 1)
		return Chunk{}, validity.Invalidated, ErrReadQueueFull
	}
	wait := time.NewTimer(t.plan.ReadTimeout)
	defer wait.Stop()
	select {
	case x := <-r.done:
		if x.err != nil {
			t.lost(k)
			return Chunk{}, validity.Invalidated, x.err
		}
		v := t.Evaluate(validity.Copy{Object: k.Object, Group: x.part.Group, IssuedAt: x.part.IssuedAt, Seq: x.part.Seq, ConfirmedEpoch: x.part.ConfirmedEpoch})
		if v == validity.Invalidated {
			t.count.Add("tier.read.void", 1)
			t.Delete(k)
			return Chunk{}, v, ErrInvalidated
		}
		t.count.Add("tier.read.served", 1)
		return x.part, v, nil
	case <-wait.C:
		t.count.Add("tier.read.slow", 1)
		return Chunk{}, validity.Invalidated, ErrReadTimeout
	}
}

func (t *Cache) reader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.reads:
			part, err := t.store.Get(r.key)
			r.done <- got{part, err}
		}
	}
}

// Used tells of a request that memory answered. A part that the disk lacks is offered to it: most are worth keeping
// only once they have been asked for again.
func (t *Cache) Touch(m Meta, body []byte, doubts uint16) {
	t.keepMu.Lock()
	held := t.keep.Contains(m.Key)
	if held {
		t.keep.Request(seconds(t.now()), m.Key, recordSize(len(m.Tag), len(body)))
	}
	t.keepMu.Unlock()
	if !held {
		t.Admit(m, body, doubts)
	}
}

// Offer lets the choice say whether a part that came in is kept, and has it written behind. Doubts is what Doubts said
// when its source was asked: a copy that is asked for before a doubt and comes after it is not kept.
func (t *Cache) Admit(m Meta, body []byte, doubts uint16) bool {
	if t.Epoch() != doubts || t.now().UnixNano() < t.rest.Load() {
		return false
	}
	t.Delete(m.Key) // an older copy, if any
	size := recordSize(len(m.Tag), len(body))
	t.keepMu.Lock()
	c := t.keep.Request(seconds(t.now()), m.Key, size)
	t.keepMu.Unlock()
	for _, k := range c.Evict {
		t.store.Delete(k)
	}
	if !c.Admit {
		t.count.Add("tier.offer.passed", 1)
		return false
	}
	select {
	case t.writes <- write{m, body}:
		return true
	default:
		t.count.Add("tier.offer.queue-full", 1)
		t.lost(m.Key)
		return false
	}
}

func (t *Cache) holds(k eviction.Key) bool {
	t.keepMu.Lock()
	defer t.keepMu.Unlock()
	return t.keep.Contains(k)
}

func (t *Cache) lost(k eviction.Key) {
	t.keepMu.Lock()
	t.keep.Remove(k)
	t.keepMu.Unlock()
}

// Drop forgets a part.
func (t *Cache) Delete(k eviction.Key) {
	t.store.Delete(k)
	t.lost(k)
}

func (t *Cache) writer(ctx context.Context) {
	sync := time.NewTicker(max(t.plan.SyncInterval, 10*time.Millisecond))
	defer sync.Stop()
	dirty := false
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-t.writes:
			dirty = t.put(w) || dirty
		case <-sync.C:
			if dirty {
				if err := t.store.Sync(); err != nil {
					t.count.Add("tier.sync.failed", 1)
				}
				dirty = false
			}
		}
	}
}

func (t *Cache) put(w write) bool {
	t.trustMu.Lock()
	void := t.trust.IsInvalidated(validity.Copy{Object: w.meta.Object, Group: w.meta.Group, IssuedAt: w.meta.IssuedAt})
	t.trustMu.Unlock()
	if void { // purged while it waited
		t.lost(w.meta.Key)
		return false
	}
	if !t.holds(w.meta.Key) { // displaced while it waited
		return false
	}
	if _, err := t.store.Put(w.meta, w.body); err != nil {
		t.lost(w.meta.Key)
		t.rest.Store(t.now().Add(backOff).UnixNano())
		t.count.Add("tier.write.failed", 1)
		return false
	}
	if !t.holds(w.meta.Key) { // displaced meanwhile: what the choice does not count must not take space
		t.store.Delete(w.meta.Key)
	}
	t.count.Add("tier.write.parts", 1)
	t.count.Add("tier.write.bytes", int64(len(w.body)))
	return true
}

// Has says whether a part is held, as far as the index knows.
func (t *Cache) Contains(k eviction.Key) bool { return t.store.Contains(k) }

// Judge says what a copy is now, wherever it is held.
func (t *Cache) Evaluate(c validity.Copy) validity.Verdict {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.Evaluate(t.now().UnixMilli(), c)
}

// Doubts names the present doubt; see trust.Core.Doubts.
func (t *Cache) Epoch() uint16 {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.Epoch()
}

// Confirmed says that a part's source has confirmed the copy with that seq, asked in that doubt.
func (t *Cache) Confirm(k eviction.Key, seq uint64, doubts uint16) { t.store.Confirm(k, seq, doubts) }

// Ask is the number after which the notice board has to be asked; Connected and Hear are as in trust.Core. What Hear
// takes counts at once for what is served, and is written behind, in order: what is not written yet will be asked for
// again after a crash.
func (t *Cache) ResumeAfter() uint64 {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.ResumeAfter()
}

// Following is as in trust.Core.
func (t *Cache) Position() (uint64, bool) {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.Position()
}

// Connected says that a new connection to the notice board was made.
func (t *Cache) StreamOpened() {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	t.trust.StreamOpened()
}

// Hear takes an event of the notice board; see Ask.
func (t *Cache) Apply(n validity.Event) (again bool) {
	top := t.store.LastSeq()
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	records, again := t.trust.Apply(t.now().UnixMilli(), top, n)
	t.note(records) // under the lock: the order is that of the events
	return again
}

func (t *Cache) note(records []validity.Record) {
	if len(records) == 0 {
		return
	}
	t.noteMu.Lock()
	defer t.noteMu.Unlock()
	if t.notes = append(t.notes, records...); len(t.notes) > mostNotice {
		t.notes, t.relog = nil, true
	}
	select {
	case t.noteUp <- struct{}{}:
	default:
	}
}

// Settle waits until all that was heard is on the disk, or the context ends.
func (t *Cache) Flush(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { t.noteMu.Lock(); t.durable.Broadcast(); t.noteMu.Unlock() })
	defer stop()
	t.noteMu.Lock()
	defer t.noteMu.Unlock()
	for (len(t.notes) > 0 || t.relog || t.writing) && ctx.Err() == nil {
		t.durable.Wait()
	}
	return ctx.Err()
}

// notary writes records, as many as there are at once.
func (t *Cache) notary(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.noteUp:
		}
		for !t.writeNotes() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(backOff):
			}
		}
	}
}

func (t *Cache) writeNotes() bool {
	t.noteMu.Lock()
	notes, relog := t.notes, t.relog
	t.notes, t.relog, t.writing = nil, false, true
	t.noteMu.Unlock()
	var err error
	if relog {
		err = t.store.RewritePurgeLog(t.records)
	} else if len(notes) > 0 {
		err = t.store.AppendPurgeRecords(notes)
	}
	t.noteMu.Lock()
	defer t.noteMu.Unlock()
	if t.writing = false; err != nil {
		t.notes, t.relog = append(notes, t.notes...), t.relog || relog
		return false
	}
	t.durable.Broadcast()
	return len(t.notes) == 0 && !t.relog
}

// records is the shortest log.
func (t *Cache) records() []validity.Record {
	now, oldest := t.now(), t.store.OldestIssuedAt()
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	t.trust.PrunePurges(min(oldest, now.Add(-inFlight).UnixMilli()))
	return t.trust.Records(now.UnixMilli())
}

// janitor gives space back, shortens the log, marks the clock and writes snapshots.
func (t *Cache) janitor(ctx context.Context) {
	work := time.NewTicker(workEvery)
	defer work.Stop()
	shot := t.now()
	for marked := t.now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-work.C:
		}
		t.compact(ctx)
		now := t.now()
		if now.Sub(marked) > 10*time.Second {
			marked = now
			t.trustMu.Lock()
			m := t.trust.Checkpoint(now.UnixMilli())
			t.note([]validity.Record{m})
			t.trustMu.Unlock()
		}
		if t.store.PurgeLogBytes() > longLog {
			t.noteMu.Lock()
			t.relog = true
			t.noteMu.Unlock()
			t.note([]validity.Record{{Kind: validity.Checkpoint}})
		}
		if t.plan.SnapshotInterval > 0 && now.Sub(shot) > t.plan.SnapshotInterval {
			shot = now
			t.snapshot()
		}
	}
}

func (t *Cache) snapshot() {
	err := t.store.WriteSnapshot(func(k eviction.Key) (eviction.AccessHistory, bool) {
		t.keepMu.Lock()
		defer t.keepMu.Unlock()
		return t.keep.History(k)
	})
	if err == nil {
		t.count.Add("tier.snapshots", 1)
	}
}

func (t *Cache) compact(ctx context.Context) {
	for ctx.Err() == nil {
		id, ok := PickCompaction(t.store.SegmentUsage(), t.plan.SpaceBytes)
		if !ok {
			return
		}
		m, err := t.store.Compact(id, func(m Meta) bool {
			t.trustMu.Lock()
			void := t.trust.IsInvalidated(validity.Copy{Object: m.Object, Group: m.Group, IssuedAt: m.IssuedAt})
			t.trustMu.Unlock()
			if void {
				t.lost(m.Key)
			}
			return !void
		})
		t.count.Add("tier.compact.freed", m.Freed)
		if err != nil {
			t.count.Add("tier.compact.failed", 1)
			return
		}
		t.count.Add("tier.compact.segments", 1)
	}
}

// State is what an operator is shown.
type Status struct {
	validity.Status
	Chunks               int
	LiveBytes, DiskBytes int64
	WriteBudget          float64 // bytes that may be written now
	Ghosts               int
	IndexBytes           int64
	PendingRecords       int
	PendingWrites        int
}

// State says how things stand.
func (t *Cache) Status() Status {
	now := t.now()
	var s Status
	t.trustMu.Lock()
	s.Status = t.trust.Status(now.UnixMilli())
	t.trustMu.Unlock()
	s.Chunks = t.store.Chunks()
	s.LiveBytes, s.DiskBytes = t.store.Sizes()
	t.keepMu.Lock()
	s.WriteBudget, s.Ghosts = t.keep.WriteBudget(seconds(now)), t.keep.Ghosts()
	t.keepMu.Unlock()
	s.IndexBytes = int64(s.Chunks) * IndexBytesPerChunk
	t.noteMu.Lock()
	s.PendingRecords = len(t.notes)
	t.noteMu.Unlock()
	s.PendingWrites = len(t.writes)
	return s
}
