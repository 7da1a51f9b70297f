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

// errNoClasses reports an edge cache configuration that defines no request classes.
var errNoClasses = errors.New(config.KeyEdgeCacheClasses + ": an edge cache needs the request classes that it serves")

// DiskCacheConfig converts the disk cache section of the configuration file to a diskcache.Config.
func DiskCacheConfig(c config.DiskCache) diskcache.Config {
	return diskcache.Config{
		SpaceBytes:         int64(c.CapacityMB * bytesPerMB),
		SegmentBytes:       int64(c.SegmentMB * bytesPerMB),
		Alpha:              c.Alpha,
		DailyWriteBytes:    int64(c.DailyWriteMB * bytesPerMB),
		MaxUncachedEntries: c.GhostEntries,
		MaxPurges:          c.RememberedPurges,
		Readers:            c.Readers,
		ReadQueue:          c.ReadQueue,
		ReadTimeout:        c.ReadTimeout.Duration(),
		WriteQueue:         c.WriteQueue,
		SyncInterval:       c.SyncInterval.Duration(),
		SnapshotInterval:   c.SnapshotInterval.Duration(),
	}
}

// Serve runs a server configured by the configuration file until the context ends. It writes log lines to out, and also
// the counters: when it returns and whenever dump receives a value.
func Serve(ctx context.Context, file config.File, out io.Writer, dump <-chan struct{}) error {
	metrics := telemetry.NewForEndpoint(out, file.EdgeCache.ID)
	defer metrics.Dump(out)
	s := &Server{Config: file.EdgeCache, Telemetry: metrics}
	if len(s.Config.Classes) == 0 {
		return errNoClasses
	}
	if s.Config.Role == roleOrigin {
		s.Origin = newOrigin(s.Config.Synthetic)
	} else if file.DiskCache.Directory != "" {
		disk, err := openDisk(file.DiskCache, metrics)
		if err != nil {
			return fmt.Errorf("%s: %w", config.KeyDiskCacheFolder, err)
		}
		s.Disk = disk
		defer func() {
			if err := disk.Close(); err != nil {
				metrics.Log.Error("disk cache close failed", "error", err.Error())
			}
		}()
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Config.Listen)
	if err != nil {
		return fmt.Errorf("%s: %w", config.KeyEdgeCacheListen, err)
	}
	done := make(chan struct{})
	defer close(done)
	go s.dumpOnRequest(out, dump, done)
	return s.Run(ctx, ln)
}

func newOrigin(c config.SyntheticContent) Origin {
	if c.Directory != "" {
		return DirOrigin(c.Directory)
	}
	return &SyntheticOrigin{
		Seed:         c.Seed,
		MinBytes:     c.MinBytes,
		MaxBytes:     c.MaxBytes,
		Groups:       c.Groups,
		KeyRetention: c.IdempotencyWindow.Duration(),
	}
}

func openDisk(c config.DiskCache, metrics *telemetry.Metrics) (*diskcache.Cache, error) {
	path, err := filepath.Abs(c.Directory)
	if err != nil {
		return nil, err
	}
	dir, err := vfs.MakeDir(path)
	if err != nil {
		return nil, err
	}
	disk, report, err := diskcache.OpenCache(dir, DiskCacheConfig(c), metrics, metrics.Log)
	if err != nil {
		return nil, err
	}
	metrics.Log.Info("disk cache opened",
		"chunks", report.Chunks,
		"bytes", report.Bytes,
		"segments", report.Segments,
		"faults", report.Faults,
		"snapshot_used", report.SnapshotUsed,
		"duration_seconds", report.Took.Seconds())
	return disk, nil
}

// dumpOnRequest writes the disk cache's status and the counters whenever dump receives a value. Serve runs it in a
// goroutine that ends after done is closed. The process may exit before a dump in progress is complete.
func (s *Server) dumpOnRequest(out io.Writer, dump, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-dump:
			if s.Disk != nil {
				s.logDiskStatus()
			}
			s.Telemetry.Dump(out)
		}
	}
}

func (s *Server) logDiskStatus() {
	status := s.Disk.Status()
	s.Telemetry.Log.Info("disk cache state",
		"chunks", status.Chunks,
		"live_bytes", status.LiveBytes,
		"disk_bytes", status.DiskBytes,
		"up_to_date", status.UpToDate,
		"revision", status.Number,
		"purges", status.Purges,
		"unconfirmed_up_to", status.SuspectUpTo,
		"queued_writes", status.PendingWrites,
		"queued_purge_records", status.PendingRecords)
}
