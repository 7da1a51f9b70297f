package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cairnfront/internal/diskcache"

	"github.com/spf13/cobra"
)

func tierCommand() *cobra.Command {
	c := &cobra.Command{Use: "tier", Short: "The disk of a stopped box"}
	var asJSON bool
	inspect := &cobra.Command{Use: "inspect DIR", Short: "Say what a folder holds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, err := diskcache.Inspect(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if asJSON {
				return json.NewEncoder(out).Encode(in)
			}
			fmt.Fprintf(out, "parts      %d of %d objects; by rank 0 to 3: %v\n", in.Chunks, in.Objects, in.ByRank)
			fmt.Fprintf(out, "bytes      %d live of %d in %d segments; the index takes about %d\n", in.LiveBytes, in.DiskBytes, in.Segments, in.IndexBytes)
			fmt.Fprintf(out, "purges     %d remembered, notice %d followed, log of %d bytes\n", in.Purges, in.LastEvent, in.PurgeLogBytes)
			fmt.Fprintf(out, "trust      doubted up to seq %d; forgotten purges up to %s\n", in.SuspectUpTo, moment(in.PurgeFloor))
			fmt.Fprintf(out, "oldest     %s\n", moment(in.OldestIssuedAt))
			fmt.Fprintf(out, "opened     in %.3f s, %d parts by the snapshot, %d bytes read; faults %v\n", in.Took.Seconds(), in.FromSnapshot, in.Scanned, in.FaultsByCode)
			return nil
		}}
	inspect.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	verify := &cobra.Command{Use: "verify DIR", Short: "Read all and name every bad record; exit 1 if there is any", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			shown := time.Now()
			in, bad, err := diskcache.Verify(args[0], func(f diskcache.StoreError) {
				fmt.Fprintf(cmd.OutOrStdout(), "%s %s at %d: object %016x part %d: %v\n", f.Code, f.File, f.Offset, f.Key.Object, f.Key.Chunk, f.Err)
			}, func(done, all int) {
				if terminal(os.Stderr) && time.Since(shown) > 200*time.Millisecond {
					shown = time.Now()
					fmt.Fprintf(os.Stderr, "\r%d of %d", done, all)
				}
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d parts are whole, %d of them voided by a purge; %d bad\n", in.Valid+in.Invalidated, in.Invalidated, bad)
			if bad > 0 {
				return fmt.Errorf("%d bad records", bad)
			}
			return nil
		}}
	compact := &cobra.Command{Use: "compact DIR", Short: "Give back the space of what is dead", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, after, err := diskcache.CompactAll(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%d bytes before, %d after\n", before, after)
			}
			return err
		}}
	var to string
	export := &cobra.Command{Use: "export DIR", Short: "Write every part that is not void as a tar file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			w := os.Stdout
			if to != "-" {
				f, err := os.Create(to)
				if err != nil {
					return err
				}
				defer f.Close()
				w = f
			}
			n, err := diskcache.Export(args[0], w)
			if err == nil {
				fmt.Fprintf(cmd.ErrOrStderr(), "%d parts\n", n)
			}
			return err
		}}
	export.Flags().StringVar(&to, "to", "-", "file to write, - for standard output")
	c.AddCommand(inspect, verify, compact, export)
	return c
}

func moment(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05.000")
}

// terminal says whether a person is looking.
func terminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}
