package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache"

	"github.com/spf13/cobra"
)

const (
	// progressInterval is the time between two lines of progress on a terminal.
	progressInterval = 200 * time.Millisecond
	// timeFormat is how points in time are printed, in UTC.
	timeFormat = "2006-01-02 15:04:05.000"
)

func tierCommand() *cobra.Command {
	c := &cobra.Command{Use: "tier", Short: "The disk of a stopped box"}
	c.AddCommand(tierInspectCommand(), tierVerifyCommand(), tierCompactCommand(), tierExportCommand())
	return c
}

func tierInspectCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "inspect DIR",
		Short: "Say what a folder holds",
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
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

// printSummary prints what a folder holds for a person to read.
func printSummary(cmd *cobra.Command, s diskcache.Inspection) {
	printf(cmd, "parts      %d of %d objects; by rank 0 to 3: %v\n", s.Chunks, s.Objects, s.ByRank)
	printf(cmd, "bytes      %d live of %d in %d segments; the index takes about %d\n",
		s.LiveBytes, s.DiskBytes, s.Segments, s.IndexBytes)
	printf(cmd, "purges     %d remembered, notice %d followed, log of %d bytes\n",
		s.Purges, s.LastEvent, s.PurgeLogBytes)
	printf(cmd, "trust      doubted up to seq %d; forgotten purges up to %s\n",
		s.SuspectUpTo, formatMillis(s.PurgeFloor))
	printf(cmd, "oldest     %s\n", formatMillis(s.OldestIssuedAt))
	printf(cmd, "opened     in %.3f s, %d parts by the snapshot, %d bytes read; faults %v\n",
		s.Took.Seconds(), s.FromSnapshot, s.Scanned, s.FaultsByCode)
}

func tierVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Read all and name every bad record; exit 1 if there is any",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			summary, bad, err := diskcache.Verify(args[0], func(f diskcache.StoreError) {
				printf(cmd, "%s %s at %d: object %016x part %d: %v\n",
					f.Code, f.File, f.Offset, f.Key.Object, f.Key.Chunk, f.Err)
			}, progressPrinter())
			if err != nil {
				return err
			}
			printf(cmd, "%d parts are whole, %d of them voided by a purge; %d bad\n",
				summary.Valid+summary.Invalidated, summary.Invalidated, bad)
			if bad > 0 {
				return fmt.Errorf("%d bad records", bad)
			}
			return nil
		},
	}
}

// progressPrinter returns a function that shows progress on standard error, from time to time, if that is a terminal.
func progressPrinter() func(done, total int) {
	shown := time.Now()
	return func(done, total int) {
		if isTerminal(os.Stderr) && time.Since(shown) > progressInterval {
			shown = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d", done, total)
		}
	}
}

func tierCompactCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compact DIR",
		Short: "Give back the space of what is dead",
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

func tierExportCommand() *cobra.Command {
	var to string
	c := &cobra.Command{
		Use:   "export DIR",
		Short: "Write every part that is not void as a tar file",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return exportTier(cmd, args[0], to) },
	}
	c.Flags().StringVar(&to, "to", "-", "file to write, - for standard output")
	return c
}

// exportTier writes a folder's chunks to a file, or to standard output for "-".
func exportTier(cmd *cobra.Command, dir, to string) error {
	out := os.Stdout
	if to != "-" {
		f, err := os.Create(to)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	count, err := diskcache.Export(dir, out)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%d parts\n", count)
	return nil
}

// formatMillis formats a Unix time in milliseconds, 0 as none.
func formatMillis(millis int64) string {
	if millis == 0 {
		return "none"
	}
	return clock.FromUnixMillis(millis).UTC().Format(timeFormat)
}
