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
func TierPlan(t config.Tier) diskcache.Plan {
	return diskcache.Plan{Space: int64(t.SpaceMB * megabyte), SegmentBytes: int64(t.SegmentMB * megabyte), Alpha: t.Alpha,
		DailyWrites: int64(t.DailyWriteMB * megabyte), Ghosts: t.Ghosts, Purges: t.Purges, Readers: t.Readers, ReadQueue: t.ReadQueue,
		ReadWait: t.ReadWait.Duration(), WriteQueue: t.WriteQueue, SyncEvery: t.Sync.Duration(), SnapshotEvery: t.Snapshot.Duration()}
}

// Serve runs a box as the operators' file says until the context ends. Log lines go to out; the counters follow at
// the end, and whenever print is told to.
func Serve(ctx context.Context, rules config.Rulebook, out io.Writer, print <-chan struct{}) error {
	k := telemetry.New(out, rules.Box.ID)
	defer k.Print(out)
	b := &Box{Plan: rules.Box, Book: k}
	if len(b.Plan.Rules) == 0 {
		return errors.New("box.rules: a box has to know the remap rules of its txns")
	}
	if b.Plan.Role == "origin" {
		if b.Plan.Made.Folder != "" {
			b.Origin = Folder(b.Plan.Made.Folder)
		} else {
			m := b.Plan.Made
			b.Origin = &Maker{Seed: m.Seed, Least: m.LeastBytes, Most: m.MostBytes, Groups: m.Groups, Window: m.Window.Duration()}
		}
	}
	if rules.Tier.Folder != "" && b.Plan.Role != "origin" {
		path, err := filepath.Abs(rules.Tier.Folder)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		dir, err := vfs.MakeDir(path)
		if err != nil {
			return fmt.Errorf("tier.folder: %w", err)
		}
		t, rep, err := diskcache.OpenTier(dir, TierPlan(rules.Tier), k, k.Log)
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
	ln, err := net.Listen("tcp", b.Plan.Listen)
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
					s := b.Disk.State()
					k.Log.Info("tier", "code", "state", "parts", s.Parts, "live", s.Live, "on_disk", s.OnDisk, "certain", s.Certain, "followed",
						s.Number, "purges", s.Purges, "doubted_up_to", s.Doubted, "writes_waiting", s.WritesWaiting, "notes_waiting", s.NotesWaiting)
				}
				k.Print(out)
			}
		}
	}()
	return b.Run(ctx, ln)
}
