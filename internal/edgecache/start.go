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
func DiskCacheConfig(t config.Tier) diskcache.Config {
	return diskcache.Config{SpaceBytes: int64(t.SpaceMB * megabyte), SegmentBytes: int64(t.SegmentMB * megabyte), Alpha: t.Alpha,
		DailyWriteBytes: int64(t.DailyWriteMB * megabyte), MaxGhosts: t.Ghosts, MaxPurges: t.Purges, Readers: t.Readers, ReadQueue: t.ReadQueue,
		ReadTimeout: t.ReadWait.Duration(), WriteQueue: t.WriteQueue, SyncInterval: t.Sync.Duration(), SnapshotInterval: t.Snapshot.Duration()}
}

// Serve runs a box as the operators' file says until the context ends. Log lines go to out; the counters follow at
// the end, and whenever print is told to.
func Serve(ctx context.Context, rules config.Rulebook, out io.Writer, print <-chan struct{}) error {
	k := telemetry.New(out, rules.Box.ID)
	defer k.Print(out)
	b := &Server{Config: rules.Box, Telemetry: k}
	if len(b.Config.Rules) == 0 {
		return errors.New("box.rules: a box has to know the remap rules of its txns")
	}
	if b.Config.Role == "origin" {
		if b.Config.Made.Folder != "" {
			b.Origin = DirOrigin(b.Config.Made.Folder)
		} else {
			m := b.Config.Made
			b.Origin = &SyntheticOrigin{Seed: m.Seed, MinBytes: m.LeastBytes, MaxBytes: m.MostBytes, Groups: m.Groups, KeyRetention: m.Window.Duration()}
		}
	}
	if rules.Tier.Folder != "" && b.Config.Role != "origin" {
		path, err := filepath.Abs(rules.Tier.Folder)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		dir, err := vfs.MakeDir(path)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		t, rep, err := diskcache.OpenCache(dir, DiskCacheConfig(rules.Tier), k, k.Log)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		k.Log.Info("tier", "code", "opened", "parts", rep.Parts, "bytes", rep.Bytes, "segments", rep.Segments, "faults", rep.Faults,
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
				k.Print(out)
			}
		}
	}()
	return b.Run(ctx, ln)
}
