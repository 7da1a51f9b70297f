package diskcache

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// A power cut is played for tests and for the laboratory: a script of puts, purges, compactions and snapshots on a
// faulty disk, with the power cut in the middle, and a look at what is there after.

// CutResult is what a played power cut showed.
type PowerLossResult struct {
	Ops, Checked int      // operations of the disk; parts read after the restart
	Recovered    int      // of them whole
	Purges       int      // acknowledged before the cut
	Violations   []string // what broke, one line each
}

type powerScript struct {
	seed uint64
	cut  int

	// What tests break on purpose.
	unsyncedLog, uncheckedBody bool
}

// PlayPowerCut plays the script drawn from the seed with the power cut at an operation; 0 cuts it at the end.
func RunPowerLoss(seed uint64, cut int) PowerLossResult {
	return (&powerScript{seed: seed, cut: cut}).play()
}

// wrote is all versions of a part that were ever handed to the store: what is served must be one of them.
type wrote map[eviction.Key]map[int64][]byte

func (p *powerScript) play() (out PowerLossResult) {
	rnd := rand.New(rand.NewPCG(p.seed, 77))
	fs := vfs.NewFaultFS(p.seed*31 + uint64(p.cut))
	salt := p.seed
	limits := StoreOptions{SegmentBytes: 2500, Clock: func() time.Time { return time.UnixMilli(1) },
		Salt: func() uint64 { salt++; return salt * 0x9e3779b97f4a7c15 }}
	ever, acked := wrote{}, map[uint64]int64{}
	synced := map[eviction.Key]int64{} // the newest version that a sync has covered, unless dropped
	clock := int64(1000)
	for life := range 3 {
		if fs.PowerLossAfter = 0; life == 1 || (life == 0 && p.cut > 0) {
			fs.PowerLossAfter = max(p.cut, 1)
			if life == 1 { // and again while it recovers, or soon after
				fs.PowerLossAfter = 1 + int(p.seed+uint64(p.cut))%25
			}
		}
		p.live(fs, limits, rnd, &clock, ever, acked, synced, life, &out)
		if life == 0 {
			out.Ops = fs.OpCount()
		}
		fs.Restart()
	}
	return out
}

// live opens the folder, checks what is there and goes on with the script until the power goes or the script ends.
func (p *powerScript) live(fs *vfs.FaultFS, limits StoreOptions, rnd *rand.Rand, clock *int64, ever wrote, acked map[uint64]int64,
	synced map[eviction.Key]int64, life int, out *PowerLossResult) {
	say := func(form string, args ...any) {
		out.Violations = append(out.Violations, fmt.Sprintf("life %d: ", life)+fmt.Sprintf(form, args...))
	}
	s, rep, err := OpenStore(fs, limits, true, nil)
	if err != nil {
		if !errors.Is(err, vfs.ErrPowerLoss) {
			say("can't be opened: %v", err)
		}
		return
	}
	core := validity.NewTracker(0)
	core.Restore(rep.Records, s.LastSeq(), *clock)
	current := p.check(s, core, ever, acked, synced, say, out) // what the index names
	var log []validity.Record
	steps := 45
	for range steps {
		*clock += int64(1 + rnd.IntN(3))
		key := eviction.Key{Object: uint64(rnd.IntN(8)), Chunk: uint32(rnd.IntN(3))}
		switch rnd.IntN(12) {
		case 0, 1: // a purge
			r := validity.Record{Kind: validity.PurgeObject, Object: key.Object, PurgedAt: *clock}
			if log = append(log, r); p.unsyncedLog {
				if _, err := s.notices.WriteAt(validity.AppendRecord(nil, r), s.logged); err == nil {
					s.logged += validity.RecordSize
					acked[key.Object] = *clock
				}
			} else if s.AppendPurgeRecords([]validity.Record{r}) == nil {
				acked[key.Object] = *clock
				out.Purges++
			}
		case 2:
			if id, ok := PickCompaction(s.SegmentUsage(), 1); ok {
				_, _ = s.Compact(id, func(m Meta) bool { return m.IssuedAt > acked[m.Object] })
			}
		case 3:
			_ = s.WriteSnapshot(func(eviction.Key) (eviction.AccessHistory, bool) {
				return eviction.AccessHistory{MeanGap: 1, LastAccess: 2}, true
			})
		case 4:
			if s.Sync() == nil {
				for key, v := range current {
					synced[key] = v
				}
			}
		case 5:
			s.Delete(key)
			delete(synced, key)
			delete(current, key)
		case 6:
			_ = s.RewritePurgeLog(func() []validity.Record {
				c := validity.NewTracker(0)
				c.Restore(append(rep.Records, log...), 0, *clock)
				return c.Records(*clock)
			})
		default:
			n := 20 + rnd.IntN(700)
			b := make([]byte, n)
			for i := range b {
				b[i] = byte(rnd.Uint32())
			}
			if ever[key] == nil {
				ever[key] = map[int64][]byte{}
			}
			ever[key][*clock] = b
			if _, err := s.Put(Meta{Key: key, IssuedAt: *clock, Tag: fmt.Sprint("v", *clock)}, b); err == nil {
				current[key] = *clock
			}
		}
	}
	p.check(s, core, ever, nil, nil, say, out)
	_ = s.Close()
}

// check reads every part. Each that is served must be, whole, a version that was written under that name, and with
// what was acknowledged no copy may pass as younger than its purge.
func (p *powerScript) check(s *Store, core *validity.Tracker, ever wrote, acked map[uint64]int64, synced map[eviction.Key]int64,
	say func(string, ...any), out *PowerLossResult) map[eviction.Key]int64 {
	served := map[eviction.Key]int64{}
	for o := range uint64(8) {
		for part := range uint32(3) {
			key := eviction.Key{Object: o, Chunk: part}
			got, err := s.Get(key)
			if p.uncheckedBody && err != nil {
				if pl := s.index.find(key); pl != nil {
					err = nil
				}
				var f StoreError
				if errors.As(err, &f) && f.Code == CodeBadBody {
					say("object %d part %d: torn bytes", o, part)
				}
			}
			if errors.Is(err, vfs.ErrPowerLoss) {
				return served
			}
			out.Checked++
			if err != nil {
				if v := synced[key]; v > 0 && v > acked[o] {
					say("object %d part %d: version %d was synced and is gone: %v", o, part, v, err)
				}
				continue
			}
			out.Recovered++
			served[key] = got.IssuedAt
			if b, ok := ever[key][got.IssuedAt]; !ok || !bytes.Equal(b, got.Body) || got.Tag != fmt.Sprint("v", got.IssuedAt) {
				say("object %d part %d: wrong bytes for version %d", o, part, got.IssuedAt)
			}
		}
		if at := acked[o]; at > 0 && !core.IsInvalidated(validity.Copy{Object: o, IssuedAt: at}) {
			say("object %d: the purge at %d was acknowledged and is forgotten", o, at)
		}
	}
	return served
}
