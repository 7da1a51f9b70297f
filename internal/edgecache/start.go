package edgecache

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"

	"cairnfront/internal/config"
	"cairnfront/internal/diskcache"
	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/telemetry"
)

const megabyte = 1 << 20

// TierPlan is the tier's plan as the operators' file has it.
func DiskCacheConfig(t config.DiskCache) diskcache.Config {
	return diskcache.Config{SpaceBytes: int64(t.CapacityMB * megabyte), SegmentBytes: int64(t.SegmentMB * megabyte), Alpha: t.Alpha,
		DailyWriteBytes: int64(t.DailyWriteMB * megabyte), MaxGhosts: t.GhostEntries, MaxPurges: t.RememberedPurges, Readers: t.Readers, ReadQueue: t.ReadQueue,
		ReadTimeout: t.ReadTimeout.Duration(), WriteQueue: t.WriteQueue, SyncInterval: t.SyncInterval.Duration(), SnapshotInterval: t.SnapshotInterval.Duration()}
}

// Serve runs a box as the operators' file says until the context ends. Log lines go to out; the counters follow at
// the end, and whenever print is told to.
func Serve(ctx context.Context, rules config.File, out io.Writer, print <-chan struct{}) error {
	k := telemetry.New(out, rules.EdgeCache.ID)
	defer k.Dump(out)
	b := &Server{Config: rules.EdgeCache, Telemetry: k}
	if len(b.Config.Classes) == 0 {
		return errors.New("box.rules: a box has to know the remap rules of its txns")
	}
	if b.Config.Role == "origin" {
		if b.Config.Synthetic.Directory != "" {
			b.Origin = DirOrigin(b.Config.Synthetic.Directory)
		} else {
			m := b.Config.Synthetic
			b.Origin = &SyntheticOrigin{Seed: m.Seed, MinBytes: m.MinBytes, MaxBytes: m.MaxBytes, Groups: m.Groups, KeyRetention: m.IdempotencyWindow.Duration()}
		}
	}
	if rules.DiskCache.Directory != "" && b.Config.Role != "origin" {
		path, err := filepath.Abs(rules.DiskCache.Directory)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		dir, err := vfs.MakeDir(path)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		t, rep, err := diskcache.OpenCache(dir, DiskCacheConfig(rules.DiskCache), k, k.Log)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		k.Log.Info("tier", "code", "opened", "parts", rep.Chunks, "bytes", rep.Bytes, "segments", rep.Segments, "faults", rep.Faults,
			"snapshot", rep.SnapshotUsed, "took_s", rep.Took.Seconds())
		b.Disk = t
		defer func() {
			if err := t.Close(); err != nil {
				k.Log.Error("tier", "code", "close-failed", "err", err.Error())
			}
		}()
	}
	ln, err := net.Listen("tcp", b.Config.Listen)
	if err != nil {
		return fmt.Errorf("box.listen: %w", err)
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-print:
				if b.Disk != nil {
					s := b.Disk.Status()
					k.Log.Info("tier", "code", "state", "parts", s.Chunks, "live", s.LiveBytes, "on_disk", s.DiskBytes, "certain", s.UpToDate, "followed",
						s.Number, "purges", s.Purges, "doubted_up_to", s.SuspectUpTo, "writes_waiting", s.PendingWrites, "notes_waiting", s.PendingRecords)
				}
				k.Dump(out)
			}
		}
	}()
	return b.Run(ctx, ln)
}
