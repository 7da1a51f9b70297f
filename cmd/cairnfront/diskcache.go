package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache"

	"github.com/spf13/cobra"
)

const (
	// progressInterval is the shortest time between two progress updates on a terminal.
	progressInterval = 200 * time.Millisecond
	// timeFormat is the layout in which times are printed, in UTC.
	timeFormat = "2006-01-02 15:04:05.000"
)

// errBadRecords is returned if a disk cache has damaged records.
var errBadRecords = errors.New("bad records")

func diskCacheCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "disk-cache",
		Short: "Inspect, verify, compact or export the disk cache of a stopped edge cache",
		Long: "Inspect, verify, compact or export the disk cache of a stopped edge cache.\n\n" +
			"DIR is the directory of the disk cache. A directory in use by a running edge cache is refused.\n" +
			"A chunk is the unit of storage: one piece of an object.",
	}
	c.AddCommand(
		diskCacheInspectCommand(),
		diskCacheVerifyCommand(),
		diskCacheCompactCommand(),
		diskCacheExportCommand(),
	)
	return c
}

const inspectHelp = `Print how many chunks, bytes and purges a disk cache holds, and its faults.

  chunks     stored chunks; how many of each retention rank (0 is not cached, lower ranks are evicted first)
  bytes      of live chunks and of all segments, the files that chunks are stored in
  purges     stored purges, and the last event of the discovery service that was applied
  validity   chunks written up to this sequence number need a confirmation by their source before they are served;
             so do copies issued before a purge that is not stored any more
  oldest     when the oldest copy was issued by the origin, in UTC
  opened     how long opening took, how much of it the index snapshot saved, and damaged records by kind`

func diskCacheInspectCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "inspect DIR",
		Short: "Print how many chunks, bytes and purges a disk cache holds, and its faults",
		Long:  inspectHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			summary, err := diskcache.Inspect(args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(summary)
			}
			printSummary(cmd, summary)
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// printSummary prints the contents and faults of a disk cache as text.
func printSummary(cmd *cobra.Command, s diskcache.Inspection) {
	printf(cmd, "chunks     %d of %d objects; by retention rank 0 to 3: %v\n", s.Chunks, s.Objects, s.ByRank)
	printf(cmd, "bytes      %d live of %d in %d segments; about %d for the index in memory\n",
		s.LiveBytes, s.DiskBytes, s.Segments, s.IndexBytes)
	printf(cmd, "purges     %d stored, discovery revision %d, purge log of %d bytes\n",
		s.Purges, s.LastEvent, s.PurgeLogBytes)
	printf(cmd, "validity   unconfirmed up to sequence number %d; discarded purges up to %s\n",
		s.SuspectUpTo, formatMillis(s.PurgeFloor))
	printf(cmd, "oldest     issued %s\n", formatMillis(s.OldestIssuedAt))
	printf(cmd, "opened     in %.3f s, %d chunks from the index snapshot, %d bytes read; faults: %s\n",
		s.Took.Seconds(), s.FromSnapshot, s.Scanned, formatFaults(s.FaultsByCode))
}

func diskCacheVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Read every chunk and print each bad record; exit 1 if there is any",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			summary, bad, err := diskcache.Verify(args[0], func(f diskcache.StoreError) {
				printf(cmd, "%s %s at %d: object %016x chunk %d: %v\n",
					f.Code, f.File, f.Offset, f.Key.Object, f.Key.Chunk, f.Err)
			}, progressPrinter())
			if err != nil {
				return err
			}
			printf(cmd, "%d chunks are readable, %d of them invalidated by a purge; %d bad records\n",
				summary.Valid+summary.Invalidated, summary.Invalidated, bad)
			if bad > 0 {
				return fmt.Errorf("verify disk cache %s: %d %w", args[0], bad, errBadRecords)
			}
			return nil
		},
	}
}

// progressPrinter returns a function that prints progress to standard error, at most once every progressInterval, if
// that is a terminal.
func progressPrinter() func(done, total int) {
	shown := time.Now()
	return func(done, total int) {
		if isTerminal(os.Stderr) && time.Since(shown) > progressInterval {
			shown = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d", done, total)
		}
	}
}

func diskCacheCompactCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compact DIR",
		Short: "Rewrite segments without deleted and purged chunks to free their space",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, after, err := diskcache.CompactAll(args[0])
			if err != nil {
				return err
			}
			printf(cmd, "%d bytes before, %d after\n", before, after)
			return nil
		},
	}
}

func diskCacheExportCommand() *cobra.Command {
	var to string
	c := &cobra.Command{
		Use:   "export DIR",
		Short: "Write every chunk that no purge has invalidated to a tar file",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return exportChunks(cmd, args[0], to) },
	}
	c.Flags().StringVar(&to, "to", "-", "path of the tar file; - for standard output")
	return c
}

// exportChunks writes the chunks of a disk cache to a file, or to standard output if to is "-". An error from closing
// the file counts as a write error, as the system may report a full disk only then.
func exportChunks(cmd *cobra.Command, dir, to string) error {
	var out io.WriteCloser = os.Stdout
	if to != "-" {
		f, err := os.Create(to)
		if err != nil {
			return err
		}
		out = f
	}
	count, err := exportAndClose(dir, out)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%d chunks\n", count) // the export succeeded in any case
	return nil
}

// exportAndClose writes the chunks of a disk cache to out, closes it, and returns the number of chunks.
func exportAndClose(dir string, out io.WriteCloser) (count int, err error) {
	count, err = diskcache.Export(dir, out)
	return count, errors.Join(err, out.Close())
}

// formatFaults formats the number of faults of each kind, or "none" if there are none.
func formatFaults(byCode map[diskcache.FaultCode]int) string {
	if len(byCode) == 0 {
		return "none"
	}
	var list []string
	for _, code := range slices.Sorted(maps.Keys(byCode)) {
		list = append(list, fmt.Sprintf("%d %s", byCode[code], code))
	}
	return strings.Join(list, ", ")
}

// formatMillis formats a Unix time in milliseconds in UTC, and 0 as "none".
func formatMillis(millis int64) string {
	if millis == 0 {
		return "none"
	}
	return clock.FromUnixMillis(millis).UTC().Format(timeFormat)
}
