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
type Plan struct {
	Space         int64 // bytes of disk that all segments may take
	SegmentBytes  int64
	Alpha         float64
	DailyWrites   int64 // bytes a day, 0 for any
	Ghosts        int   // parts remembered that are not held
	Purges        int   // purges remembered
	Readers       int
	ReadQueue     int           // reads that may wait for a reader
	ReadWait      time.Duration // after which a read is a miss
	WriteQueue    int           // parts that may wait to be written
	SyncEvery     time.Duration
	SnapshotEvery time.Duration
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
	ErrBusy = errors.New("too many reads wait for the disk")
	ErrSlow = errors.New("the disk took too long")
	ErrVoid = errors.New("purged")
)

// Counter counts what is told of by name.
type Counter interface{ Add(name string, n int64) }

// Tier is the disk in the path of txns. Nothing here waits for the disk without a bound, but Close.
type Tier struct {
	plan  Plan
	store *Store
	count Counter
	log   *slog.Logger
	now   func() time.Time

	keepMu sync.Mutex
	keep   *eviction.Core

	trustMu sync.Mutex
	trust   *validity.Core

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
	part Part
	err  error
}

type write struct {
	meta Meta
	body []byte
}

// OpenTier opens a folder and makes a tier of it. Run has to be called for anything to move.
func OpenTier(fs vfs.FS, p Plan, count Counter, log *slog.Logger) (*Tier, Report, error) {
	p.Readers, p.ReadQueue, p.WriteQueue = max(p.Readers, 1), max(p.ReadQueue, 1), max(p.WriteQueue, 1)
	t := &Tier{plan: p, count: count, log: log, now: time.Now, reads: make(chan *read, p.ReadQueue),
		writes: make(chan write, p.WriteQueue), noteUp: make(chan struct{}, 1)}
	t.durable.L = &t.noteMu
	store, rep, err := Open(fs, Limits{SegmentBytes: p.SegmentBytes}, true, t.fault)
	if err != nil {
		return nil, rep, err
	}
	t.store = store
	t.trust = validity.New(p.Purges)
	now := t.now()
	t.note(t.trust.Restore(rep.Records, store.Top(), now.UnixMilli()))
	t.keep = eviction.New(eviction.Terms{Alpha: p.Alpha, Capacity: int64(float64(p.Space) * liveShare), Ghosts: p.Ghosts, Daily: p.DailyWrites})
	t.load(rep.Known, seconds(now))
	rep.Known, rep.Records = nil, nil
	return t, rep, nil
}

// load tells the choice what the disk holds. Of a part without a memory nothing is known but that it is held: it
// counts as asked for now, with a gap as long as the disk has room for.
func (t *Tier) load(known map[eviction.Key]eviction.Memory, now float64) {
	type found struct {
		key  eviction.Key
		size int64
	}
	var all []found
	t.store.Each(func(k eviction.Key, size int64, _ uint8) bool { all = append(all, found{k, size}); return true })
	for _, f := range all {
		m, ok := known[f.key]
		if !ok || m.Last > now {
			m = eviction.Memory{Gap: unknownGap, Last: now}
		}
		for _, out := range t.keep.Load(f.key, f.size, m) {
			t.store.Drop(out)
		}
	}
}

const unknownGap = 600 // s, the gap of a part that a crash left without one: it is worth a while, not for ever

func seconds(t time.Time) float64 { return float64(t.UnixMilli()) / 1000 }

func (t *Tier) fault(f Fault) {
	t.count.Add("tier.fault."+f.Code, 1)
	t.log.Warn("tier", "code", f.Code, "file", f.File, "at", f.At, "err", f.Err.Error())
}

// Run moves parts and records until the context ends.
func (t *Tier) Run(ctx context.Context) error {
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
func (t *Tier) Close() error {
	for len(t.writes) > 0 {
		t.put(<-t.writes)
	}
	t.writeNotes()
	t.snapshot()
	return t.store.Close()
}

// Get reads a part. It waits for the disk no longer than the plan says; ErrAbsent, ErrBusy, ErrSlow and ErrVoid are
// misses like any fault. The verdict says whether the copy may be served at once.
func (t *Tier) Get(k eviction.Key) (Part, validity.Verdict, error) {
	if !t.store.Has(k) {
		return Part{}, validity.Void, ErrAbsent
	}
	r := &read{key: k, done: make(chan got, 1)}
	select {
	case t.reads <- r:
	default:
		t.count.Add("tier.read.queue-full", 1)
		return Part{}, validity.Void, ErrBusy
	}
	wait := time.NewTimer(t.plan.ReadWait)
	defer wait.Stop()
	select {
	case x := <-r.done:
		if x.err != nil {
			t.lost(k)
			return Part{}, validity.Void, x.err
		}
		v := t.Judge(validity.Copy{Object: k.Object, Group: x.part.Group, Dated: x.part.Dated, Seq: x.part.Seq, Confirmed: x.part.Confirmed})
		if v == validity.Void {
			t.count.Add("tier.read.void", 1)
			t.Drop(k)
			return Part{}, v, ErrVoid
		}
		t.count.Add("tier.read.served", 1)
		return x.part, v, nil
	case <-wait.C:
		t.count.Add("tier.read.slow", 1)
		return Part{}, validity.Void, ErrSlow
	}
}

func (t *Tier) reader(ctx context.Context) {
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
func (t *Tier) Used(m Meta, body []byte, doubts uint16) {
	t.keepMu.Lock()
	held := t.keep.Holds(m.Key)
	if held {
		t.keep.Ask(seconds(t.now()), m.Key, recordSize(len(m.Tag), len(body)))
	}
	t.keepMu.Unlock()
	if !held {
		t.Offer(m, body, doubts)
	}
}

// Offer lets the choice say whether a part that came in is kept, and has it written behind. Doubts is what Doubts said
// when its source was asked: a copy that is asked for before a doubt and comes after it is not kept.
func (t *Tier) Offer(m Meta, body []byte, doubts uint16) bool {
	if t.Doubts() != doubts || t.now().UnixNano() < t.rest.Load() {
		return false
	}
	t.Drop(m.Key) // an older copy, if any
	size := recordSize(len(m.Tag), len(body))
	t.keepMu.Lock()
	c := t.keep.Ask(seconds(t.now()), m.Key, size)
	t.keepMu.Unlock()
	for _, k := range c.Out {
		t.store.Drop(k)
	}
	if !c.Keep {
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

func (t *Tier) holds(k eviction.Key) bool {
	t.keepMu.Lock()
	defer t.keepMu.Unlock()
	return t.keep.Holds(k)
}

func (t *Tier) lost(k eviction.Key) {
	t.keepMu.Lock()
	t.keep.Lost(k)
	t.keepMu.Unlock()
}

// Drop forgets a part.
func (t *Tier) Drop(k eviction.Key) {
	t.store.Drop(k)
	t.lost(k)
}

func (t *Tier) writer(ctx context.Context) {
	sync := time.NewTicker(max(t.plan.SyncEvery, 10*time.Millisecond))
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

func (t *Tier) put(w write) bool {
	t.trustMu.Lock()
	void := t.trust.Voided(validity.Copy{Object: w.meta.Object, Group: w.meta.Group, Dated: w.meta.Dated})
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
		t.store.Drop(w.meta.Key)
	}
	t.count.Add("tier.write.parts", 1)
	t.count.Add("tier.write.bytes", int64(len(w.body)))
	return true
}

// Has says whether a part is held, as far as the index knows.
func (t *Tier) Has(k eviction.Key) bool { return t.store.Has(k) }

// Judge says what a copy is now, wherever it is held.
func (t *Tier) Judge(c validity.Copy) validity.Verdict {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.Judge(t.now().UnixMilli(), c)
}

// Doubts names the present doubt; see trust.Core.Doubts.
func (t *Tier) Doubts() uint16 {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.Doubts()
}

// Confirmed says that a part's source has confirmed the copy with that seq, asked in that doubt.
func (t *Tier) Confirmed(k eviction.Key, seq uint64, doubts uint16) { t.store.Confirm(k, seq, doubts) }

// Ask is the number after which the notice board has to be asked; Connected and Hear are as in trust.Core. What Hear
// takes counts at once for what is served, and is written behind, in order: what is not written yet will be asked for
// again after a crash.
func (t *Tier) Ask() uint64 {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.Ask()
}

// Following is as in trust.Core.
func (t *Tier) Following() (uint64, bool) {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	return t.trust.Following()
}

// Connected says that a new connection to the notice board was made.
func (t *Tier) Connected() {
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	t.trust.Connected()
}

// Hear takes an event of the notice board; see Ask.
func (t *Tier) Hear(n validity.Notice) (again bool) {
	top := t.store.Top()
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	records, again := t.trust.Hear(t.now().UnixMilli(), top, n)
	t.note(records) // under the lock: the order is that of the events
	return again
}

func (t *Tier) note(records []validity.Record) {
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
func (t *Tier) Settle(ctx context.Context) error {
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
func (t *Tier) notary(ctx context.Context) {
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

func (t *Tier) writeNotes() bool {
	t.noteMu.Lock()
	notes, relog := t.notes, t.relog
	t.notes, t.relog, t.writing = nil, false, true
	t.noteMu.Unlock()
	var err error
	if relog {
		err = t.store.Relog(t.records)
	} else if len(notes) > 0 {
		err = t.store.Log(notes)
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
func (t *Tier) records() []validity.Record {
	now, oldest := t.now(), t.store.Oldest()
	t.trustMu.Lock()
	defer t.trustMu.Unlock()
	t.trust.Settled(min(oldest, now.Add(-inFlight).UnixMilli()))
	return t.trust.Records(now.UnixMilli())
}

// janitor gives space back, shortens the log, marks the clock and writes snapshots.
func (t *Tier) janitor(ctx context.Context) {
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
			m := t.trust.Mark(now.UnixMilli())
			t.note([]validity.Record{m})
			t.trustMu.Unlock()
		}
		if t.store.LogSize() > longLog {
			t.noteMu.Lock()
			t.relog = true
			t.noteMu.Unlock()
			t.note([]validity.Record{{Kind: validity.Mark}})
		}
		if t.plan.SnapshotEvery > 0 && now.Sub(shot) > t.plan.SnapshotEvery {
			shot = now
			t.snapshot()
		}
	}
}

func (t *Tier) snapshot() {
	err := t.store.Snapshot(func(k eviction.Key) (eviction.Memory, bool) {
		t.keepMu.Lock()
		defer t.keepMu.Unlock()
		return t.keep.Recall(k)
	})
	if err == nil {
		t.count.Add("tier.snapshots", 1)
	}
}

func (t *Tier) compact(ctx context.Context) {
	for ctx.Err() == nil {
		id, ok := Emptiest(t.store.Uses(), t.plan.Space)
		if !ok {
			return
		}
		m, err := t.store.Compact(id, func(m Meta) bool {
			t.trustMu.Lock()
			void := t.trust.Voided(validity.Copy{Object: m.Object, Group: m.Group, Dated: m.Dated})
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
type State struct {
	validity.State
	Parts         int
	Live, OnDisk  int64
	Budget        float64 // bytes that may be written now
	Remembered    int
	IndexBytes    int64
	NotesWaiting  int
	WritesWaiting int
}

// State says how things stand.
func (t *Tier) State() State {
	now := t.now()
	var s State
	t.trustMu.Lock()
	s.State = t.trust.State(now.UnixMilli())
	t.trustMu.Unlock()
	s.Parts = t.store.Parts()
	s.Live, s.OnDisk = t.store.Sizes()
	t.keepMu.Lock()
	s.Budget, s.Remembered = t.keep.Budget(seconds(now)), t.keep.Remembered()
	t.keepMu.Unlock()
	s.IndexBytes = int64(s.Parts) * IndexBytes
	t.noteMu.Lock()
	s.NotesWaiting = len(t.notes)
	t.noteMu.Unlock()
	s.WritesWaiting = len(t.writes)
	return s
}
