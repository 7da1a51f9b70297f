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
	powerLossSessions = 3 // sessions, each ended by a restart
	powerLossSteps    = 45
	powerLossObjects  = 8
	powerLossChunks   = 3 // per object
)

// powerLossRun executes random puts, purges, compactions and snapshots on a simulated disk that loses power in the
// middle, and checks the content after each restart. Tests and the lab use it.
type powerLossRun struct {
	seed        uint64
	powerLossAt int // number of the disk operation at which the power fails; 0 means only at the end

	// Faults injected by tests to show that the checks detect them.
	skipLogSync      bool // purge records are acknowledged without a sync
	skipBodyChecksum bool // chunks with a wrong body checksum are served

	random   *rand.Rand
	fs       *vfs.FaultFS
	options  StoreOptions
	clock    int64                             // Unix ms
	session  int                               // number of the current session, from 0
	versions map[eviction.Key]map[int64][]byte // bodies ever put, by issue time; a chunk served must equal one of them
	purgedAt map[uint64]int64                  // Unix ms of the last acknowledged purge of each object
	synced   map[eviction.Key]int64            // issue time of the newest synced version, unless deleted since
	result   PowerLossResult
}

// RunPowerLoss executes the random operations determined by seed, with a power loss at the disk operation numbered
// powerLossAt. If powerLossAt is 0, the power does not fail before the end of the first session.
func RunPowerLoss(seed uint64, powerLossAt int) PowerLossResult {
	return (&powerLossRun{seed: seed, powerLossAt: powerLossAt}).run()
}

func (p *powerLossRun) run() PowerLossResult {
	const segmentBytes = 2500
	p.random = rand.New(rand.NewPCG(p.seed, 77))
	p.fs = vfs.NewFaultFS(p.seed*31 + uint64(p.powerLossAt))
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
	for p.session = range powerLossSessions {
		p.fs.PowerLossAfter = p.powerLossAfter()
		p.runSession()
		if p.session == 0 {
			p.result.Ops = p.fs.OpCount()
		}
		p.fs.Restart()
	}
	return p.result
}

// powerLossAfter returns the number of the operation at which the power fails in the current session: the given one in
// the first session, one during or soon after recovery in the second, and none (0) in the third.
func (p *powerLossRun) powerLossAfter() int {
	switch p.session {
	case 0:
		return p.powerLossAt
	case 1:
		return 1 + int(p.seed+uint64(p.powerLossAt))%25
	}
	return 0
}

func (p *powerLossRun) violation(format string, args ...any) {
	line := fmt.Sprintf("start %d: ", p.session) + fmt.Sprintf(format, args...)
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

// runSession opens the folder, checks its content and executes powerLossSteps random operations. After a power loss
// the remaining operations fail without effect.
func (p *powerLossRun) runSession() {
	store, report, err := OpenStore(p.fs, p.options, true, nil)
	if err != nil {
		if !errors.Is(err, vfs.ErrPowerLoss) {
			p.violation("open: %v", err)
		}
		return
	}
	s := &powerLossSession{
		powerLossRun: p,
		store:        store,
		tracker:      validity.NewTracker(0),
		restored:     report.Records,
	}
	s.tracker.Restore(report.Records, store.LastSeq(), p.clock)
	s.current = s.check(true)
	for range powerLossSteps {
		s.step()
	}
	s.check(false)
	_ = store.Close() // fails after a power loss
}

// step executes one random operation. Operations that fail after a power loss are not acknowledged, so their errors are
// ignored.
func (s *powerLossSession) step() {
	s.clock += int64(1 + s.random.IntN(3))
	key := eviction.Key{
		Object: uint64(s.random.IntN(powerLossObjects)),
		Chunk:  uint32(s.random.IntN(powerLossChunks)),
	}
	switch s.random.IntN(12) {
	case 0, 1:
		s.purge(key.Object)
	case 2:
		if id, ok := PickCompaction(s.store.SegmentUsage(), 1); ok {
			_, _ = s.store.Compact(id, func(m Meta) bool { return m.IssuedAt > s.purgedAt[m.Object] })
		}
	case 3:
		_ = s.store.WriteSnapshot(func(eviction.Key) (eviction.AccessHistory, bool) {
			return eviction.AccessHistory{MeanGap: 1, LastAccess: 2}, true
		})
	case 4:
		if s.store.Sync() == nil {
			for key, version := range s.current {
				s.synced[key] = version
			}
		}
	case 5:
		s.store.Delete(key)
		delete(s.synced, key)
		delete(s.current, key)
	case 6:
		_ = s.store.RewritePurgeLog(s.minimalLog)
	default:
		s.put(key)
	}
}

func (s *powerLossSession) purge(object uint64) {
	record := validity.Record{Kind: validity.PurgeObject, Object: object, PurgedAt: s.clock}
	s.log = append(s.log, record)
	if s.skipLogSync {
		if _, err := s.store.purgeLog.WriteAt(validity.AppendRecord(nil, record), s.store.purgeLogSize); err == nil {
			s.store.purgeLogSize += validity.RecordSize
			s.purgedAt[object] = s.clock
		}
		return
	}
	if s.store.AppendPurgeRecords([]validity.Record{record}) == nil {
		s.purgedAt[object] = s.clock
		s.result.Purges++
	}
}

// minimalLog returns the shortest list of records that restores the purges so far.
func (s *powerLossSession) minimalLog() []validity.Record {
	tracker := validity.NewTracker(0)
	tracker.Restore(append(s.restored, s.log...), 0, s.clock)
	return tracker.Records(s.clock)
}

func (s *powerLossSession) put(key eviction.Key) {
	body := make([]byte, 20+s.random.IntN(700))
	for i := range body {
		body[i] = byte(s.random.Uint32())
	}
	if s.versions[key] == nil {
		s.versions[key] = map[int64][]byte{}
	}
	s.versions[key][s.clock] = body
	if _, err := s.store.Put(Meta{Key: key, IssuedAt: s.clock, ETag: versionTag(s.clock)}, body); err == nil {
		s.current[key] = s.clock
	}
}

func versionTag(version int64) string { return fmt.Sprint("v", version) }

// check reads every chunk and returns the versions served. Each served chunk must equal a version that was put under
// its key. With afterRestart, it also checks that every synced chunk and every acknowledged purge is still present.
func (s *powerLossSession) check(afterRestart bool) map[eviction.Key]int64 {
	served := map[eviction.Key]int64{}
	for object := range uint64(powerLossObjects) {
		for chunk := range uint32(powerLossChunks) {
			key := eviction.Key{Object: object, Chunk: chunk}
			if !s.checkChunk(key, afterRestart, served) {
				return served
			}
		}
		at := s.purgedAt[object]
		if afterRestart && at > 0 && !s.tracker.IsInvalidated(validity.Copy{Object: object, IssuedAt: at}) {
			s.violation("object %d: the purge at %d was acknowledged and is forgotten", object, at)
		}
	}
	return served
}

// checkChunk checks one chunk, adds its version to served, and reports whether the power is still on.
func (s *powerLossSession) checkChunk(
	key eviction.Key, afterRestart bool, served map[eviction.Key]int64,
) (powerOn bool) {
	chunk, err := s.store.Get(key)
	if s.skipBodyChecksum && err != nil {
		err = s.ignoreBadBody(key, err)
	}
	if errors.Is(err, vfs.ErrPowerLoss) {
		return false
	}
	s.result.Checked++
	if err != nil {
		version := s.synced[key]
		if afterRestart && version > 0 && version > s.purgedAt[key.Object] {
			s.violation("object %d chunk %d: version %d was synced and is gone: %v",
				key.Object, key.Chunk, version, err)
		}
		return true
	}
	s.result.Recovered++
	served[key] = chunk.IssuedAt
	body, known := s.versions[key][chunk.IssuedAt]
	if !known || !bytes.Equal(body, chunk.Body) || chunk.ETag != versionTag(chunk.IssuedAt) {
		s.violation("object %d chunk %d: wrong bytes for version %d", key.Object, key.Chunk, chunk.IssuedAt)
	}
	return true
}

// ignoreBadBody simulates a store that does not verify body checksums: each torn body it would serve is a violation.
func (s *powerLossSession) ignoreBadBody(key eviction.Key, err error) error {
	var fault StoreError
	if errors.As(err, &fault) && fault.Code == CodeBadBody {
		s.violation("object %d chunk %d: torn bytes", key.Object, key.Chunk)
	}
	if s.store.index.find(key) != nil {
		return nil
	}
	return err
}
