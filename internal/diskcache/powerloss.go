package diskcache

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// PowerLossResult is the result of a power-loss test run.
type PowerLossResult struct {
	Ops        int      // disk operations up to the first restart
	Checked    int      // chunks read by the checks
	Recovered  int      // chunks read successfully by the checks
	Purges     int      // purges whose record was acknowledged as durable
	Violations []string // violated guarantees, one line each
}

// Dimensions of a power-loss run.
const (
	powerLossStarts  = 3 // sessions, each ended by a restart
	powerLossSteps   = 45
	powerLossObjects = 8
	powerLossChunks  = 3 // per object
)

// powerLossRun executes random puts, purges, compactions and snapshots on a simulated disk that loses power in the
// middle, and checks the content after each restart. Tests and the lab use it.
type powerLossRun struct {
	seed uint64
	cut  int // number of the disk operation at which the power fails; 0 means only at the end

	// Faults injected by tests to show that the checks detect them.
	unsyncedLog   bool // purge records are acknowledged without a sync
	uncheckedBody bool // chunks with a wrong body checksum are served

	rnd      *rand.Rand
	fs       *vfs.FaultFS
	options  StoreOptions
	clock    int64                             // Unix ms
	start    int                               // number of the current session, from 0
	versions map[eviction.Key]map[int64][]byte // bodies ever put, by issue time; a chunk served must equal one of them
	purgedAt map[uint64]int64                  // Unix ms of the last acknowledged purge of each object
	synced   map[eviction.Key]int64            // issue time of the newest synced version, unless deleted since
	result   PowerLossResult
}

// RunPowerLoss executes the random operations determined by seed, with a power loss at the disk operation numbered cut.
// If cut is 0, the power does not fail before the end of the first session.
func RunPowerLoss(seed uint64, cut int) PowerLossResult {
	return (&powerLossRun{seed: seed, cut: cut}).run()
}

func (p *powerLossRun) run() PowerLossResult {
	const segmentBytes = 2500
	p.rnd = rand.New(rand.NewPCG(p.seed, 77))
	p.fs = vfs.NewFaultFS(p.seed*31 + uint64(p.cut))
	salt := p.seed
	p.options = StoreOptions{
		SegmentBytes: segmentBytes,
		Clock:        func() time.Time { return clock.FromUnixMillis(1) },
		Salt:         func() uint64 { salt++; return salt * 0x9e3779b97f4a7c15 },
	}
	p.versions = map[eviction.Key]map[int64][]byte{}
	p.purgedAt = map[uint64]int64{}
	p.synced = map[eviction.Key]int64{}
	p.clock = 1000
	for p.start = range powerLossStarts {
		p.fs.PowerLossAfter = p.powerLossAfter()
		p.playSession()
		if p.start == 0 {
			p.result.Ops = p.fs.OpCount()
		}
		p.fs.Restart()
	}
	return p.result
}

// powerLossAfter returns the number of the operation at which the power fails in the current session: the given one in
// the first session, one during or soon after recovery in the second, and none (0) in the third.
func (p *powerLossRun) powerLossAfter() int {
	switch p.start {
	case 0:
		return p.cut
	case 1:
		return 1 + int(p.seed+uint64(p.cut))%25
	}
	return 0
}

func (p *powerLossRun) violation(format string, args ...any) {
	line := fmt.Sprintf("start %d: ", p.start) + fmt.Sprintf(format, args...)
	p.result.Violations = append(p.result.Violations, line)
}

// powerLossSession is the part of a run between two restarts.
type powerLossSession struct {
	*powerLossRun
	store    *Store
	tracker  *validity.Tracker
	restored []validity.Record
	log      []validity.Record      // purge records appended in this session
	current  map[eviction.Key]int64 // issue time of the current version of each chunk in the index
}

// playSession opens the folder, checks its content and executes powerLossSteps random operations. After a power loss
// the remaining operations fail without effect.
func (p *powerLossRun) playSession() {
	store, report, err := OpenStore(p.fs, p.options, true, nil)
	if err != nil {
		if !errors.Is(err, vfs.ErrPowerLoss) {
			p.violation("open: %v", err)
		}
		return
	}
	l := &powerLossSession{
		powerLossRun: p,
		store:        store,
		tracker:      validity.NewTracker(0),
		restored:     report.Records,
	}
	l.tracker.Restore(report.Records, store.LastSeq(), p.clock)
	l.current = l.check(true)
	for range powerLossSteps {
		l.step()
	}
	l.check(false)
	_ = store.Close() // fails after a power loss
}

// step executes one random operation. Operations that fail after a power loss are not acknowledged, so their errors are
// ignored.
func (l *powerLossSession) step() {
	l.clock += int64(1 + l.rnd.IntN(3))
	key := eviction.Key{
		Object: uint64(l.rnd.IntN(powerLossObjects)),
		Chunk:  uint32(l.rnd.IntN(powerLossChunks)),
	}
	switch l.rnd.IntN(12) {
	case 0, 1:
		l.purge(key.Object)
	case 2:
		if id, ok := PickCompaction(l.store.SegmentUsage(), 1); ok {
			_, _ = l.store.Compact(id, func(m Meta) bool { return m.IssuedAt > l.purgedAt[m.Object] })
		}
	case 3:
		_ = l.store.WriteSnapshot(func(eviction.Key) (eviction.AccessHistory, bool) {
			return eviction.AccessHistory{MeanGap: 1, LastAccess: 2}, true
		})
	case 4:
		if l.store.Sync() == nil {
			for key, version := range l.current {
				l.synced[key] = version
			}
		}
	case 5:
		l.store.Delete(key)
		delete(l.synced, key)
		delete(l.current, key)
	case 6:
		_ = l.store.RewritePurgeLog(l.shortLog)
	default:
		l.put(key)
	}
}

func (l *powerLossSession) purge(object uint64) {
	record := validity.Record{Kind: validity.PurgeObject, Object: object, PurgedAt: l.clock}
	l.log = append(l.log, record)
	if l.unsyncedLog {
		if _, err := l.store.purgeLog.WriteAt(validity.AppendRecord(nil, record), l.store.purgeLogSize); err == nil {
			l.store.purgeLogSize += validity.RecordSize
			l.purgedAt[object] = l.clock
		}
		return
	}
	if l.store.AppendPurgeRecords([]validity.Record{record}) == nil {
		l.purgedAt[object] = l.clock
		l.result.Purges++
	}
}

// shortLog returns the shortest list of records that restores the purges so far.
func (l *powerLossSession) shortLog() []validity.Record {
	tracker := validity.NewTracker(0)
	tracker.Restore(append(l.restored, l.log...), 0, l.clock)
	return tracker.Records(l.clock)
}

func (l *powerLossSession) put(key eviction.Key) {
	body := make([]byte, 20+l.rnd.IntN(700))
	for i := range body {
		body[i] = byte(l.rnd.Uint32())
	}
	if l.versions[key] == nil {
		l.versions[key] = map[int64][]byte{}
	}
	l.versions[key][l.clock] = body
	if _, err := l.store.Put(Meta{Key: key, IssuedAt: l.clock, ETag: versionTag(l.clock)}, body); err == nil {
		l.current[key] = l.clock
	}
}

func versionTag(version int64) string { return fmt.Sprint("v", version) }

// check reads every chunk and returns the versions served. Each served chunk must equal a version that was put under
// its key. With afterRestart, it also checks that every synced chunk and every acknowledged purge is still present.
func (l *powerLossSession) check(afterRestart bool) map[eviction.Key]int64 {
	served := map[eviction.Key]int64{}
	for object := range uint64(powerLossObjects) {
		for chunk := range uint32(powerLossChunks) {
			key := eviction.Key{Object: object, Chunk: chunk}
			if !l.checkChunk(key, afterRestart, served) {
				return served
			}
		}
		at := l.purgedAt[object]
		if afterRestart && at > 0 && !l.tracker.IsInvalidated(validity.Copy{Object: object, IssuedAt: at}) {
			l.violation("object %d: the purge at %d was acknowledged and is forgotten", object, at)
		}
	}
	return served
}

// checkChunk checks one chunk, adds its version to served, and reports whether the power is still on.
func (l *powerLossSession) checkChunk(
	key eviction.Key, afterRestart bool, served map[eviction.Key]int64,
) (powerOn bool) {
	chunk, err := l.store.Get(key)
	if l.uncheckedBody && err != nil {
		err = l.ignoreBadBody(key, err)
	}
	if errors.Is(err, vfs.ErrPowerLoss) {
		return false
	}
	l.result.Checked++
	if err != nil {
		version := l.synced[key]
		if afterRestart && version > 0 && version > l.purgedAt[key.Object] {
			l.violation("object %d chunk %d: version %d was synced and is gone: %v",
				key.Object, key.Chunk, version, err)
		}
		return true
	}
	l.result.Recovered++
	served[key] = chunk.IssuedAt
	body, known := l.versions[key][chunk.IssuedAt]
	if !known || !bytes.Equal(body, chunk.Body) || chunk.ETag != versionTag(chunk.IssuedAt) {
		l.violation("object %d chunk %d: wrong bytes for version %d", key.Object, key.Chunk, chunk.IssuedAt)
	}
	return true
}

// ignoreBadBody simulates a store that does not verify body checksums: each torn body it would serve is a violation.
func (l *powerLossSession) ignoreBadBody(key eviction.Key, err error) error {
	var fault StoreError
	if errors.As(err, &fault) && fault.Code == CodeBadBody {
		l.violation("object %d chunk %d: torn bytes", key.Object, key.Chunk)
	}
	if l.store.index.find(key) != nil {
		return nil
	}
	return err
}
