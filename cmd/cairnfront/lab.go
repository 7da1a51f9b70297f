package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"cairnfront/internal/lab"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/simulation"

	"github.com/spf13/cobra"
)

var errBroken = errors.New("the scenario did not hold")

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "The laboratory: scenarios on loopback, with faults, judged from what the stand-ins saw"}
	c.AddCommand(&cobra.Command{Use: "list", Short: "List the scenarios", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
		for _, s := range lab.Scenarios() {
			fmt.Fprintf(cmd.OutOrStdout(), "%-14s %s\n", s.Name, s.Description)
		}
	}})
	var s lab.Options
	var size, asJSON, asHTML string
	run := &cobra.Command{Use: "run SCENARIO", Short: "Run a scenario; exit 0 only if every rule and bound held", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if size != "small" && size != "full" {
				return fmt.Errorf("--size is small or full, not %q", size)
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			s.Program, s.Full = program, size == "full"
			if terminal(os.Stderr) {
				s.Progress = func(form string, args ...any) { fmt.Fprintf(os.Stderr, "\r\x1b[K"+form, args...) }
				defer fmt.Fprint(os.Stderr, "\r\x1b[K")
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			r, err := lab.Run(ctx, args[0], s)
			if err != nil {
				return err
			}
			return writeReport(cmd, r, asJSON, asHTML)
		}}
	run.Flags().Uint64Var(&s.Seed, "seed", 1, "of all chance")
	run.Flags().StringVar(&size, "size", "small", "small or full")
	run.Flags().StringVar(&s.Script, "script", "", "file of a fault script to be played instead of the scenario's own, where it has one")
	run.Flags().StringVar(&s.Directory, "folder", "", "folder for files and logs, which are kept; by default one that is removed")
	run.Flags().StringVar(&asJSON, "json", "", "file for the report as JSON, - for standard output")
	run.Flags().StringVar(&asHTML, "html", "", "file for the report as one page")
	c.AddCommand(run, simCommand())
	return c
}

// simCommand plays cores on virtual time.
func simCommand() *cobra.Command {
	c := &cobra.Command{Use: "sim", Short: "The cores alone, by the thousand, on virtual time"}
	var p simulation.Membership
	peers := simulationCommand("peers", "Detection, false drops and bytes by size and loss; with --acts, drawn fault scripts held to the invariants",
		func(ctx context.Context, from, to uint64, tell func(string, ...any)) (*report.Report, error) {
			p.Seeds, p.Progress = simulation.Seeds{From: from, To: to}, tell
			if p.Peers < 2 || p.Hostile < 0 || p.Hostile >= p.Peers || slices.ContainsFunc(p.Sizes, func(n int) bool { return n < 2 }) {
				return nil, errors.New("at least two peers that are not hostile are needed")
			}
			return p.Run(ctx)
		})
	peers.Flags().IntSliceVar(&p.Sizes, "sizes", []int{20, 100}, "numbers of peers of the curves")
	peers.Flags().Float64SliceVar(&p.Losses, "losses", []float64{0, 0.05, 0.3}, "shares of datagrams lost")
	peers.Flags().IntVar(&p.Acts, "acts", 0, "faults of a script drawn from each seed; 0: the curves")
	peers.Flags().IntVar(&p.Peers, "peers", 50, "peers of a drawn script")
	peers.Flags().IntVar(&p.Hostile, "hostile", 0, "of them hostile")
	peers.Flags().StringVar(&p.Script, "script", "", "file of one script to be played instead")
	var l simulation.Replication
	ledger := simulationCommand("ledger", "Promises through machines lost with their disks, losses of power, stops and cuts; what clients were told is checked for linearizability",
		func(ctx context.Context, from, to uint64, tell func(string, ...any)) (*report.Report, error) {
			l.Seeds, l.Progress = simulation.Seeds{From: from, To: to}, tell
			if l.Routers < 3 || l.Shards < 1 || l.Shards > 64 || l.DurationSeconds < 30 {
				return nil, errors.New("at least 3 routers, 1 to 64 slices and 30 s are needed")
			}
			return l.Run(ctx)
		})
	ledger.Flags().IntVar(&l.Routers, "routers", 9, "routers, in three zones")
	ledger.Flags().IntVar(&l.Shards, "slices", 3, "slices of the ledger that are played")
	ledger.Flags().Float64Var(&l.DurationSeconds, "lasts", 60, "s of a play")
	ledger.Flags().StringVar(&l.Script, "script", "", "file of one script to be played instead")
	c.AddCommand(peers, ledger)
	return c
}

// simulationCommand is a command that plays seeds and reports.
func simulationCommand(name, short string, play func(ctx context.Context, from, to uint64, tell func(string, ...any)) (*report.Report, error)) *cobra.Command {
	var seeds, asJSON, asHTML string
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var from, to uint64
			if _, err := fmt.Sscanf(seeds, "%d..%d", &from, &to); err != nil || to < from {
				return fmt.Errorf("--seeds is A..B, not %q", seeds)
			}
			tell := func(string, ...any) {}
			if terminal(os.Stderr) {
				tell = func(form string, args ...any) { fmt.Fprintf(os.Stderr, "\r\x1b[K"+form, args...) }
				defer fmt.Fprint(os.Stderr, "\r\x1b[K")
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			r, err := play(ctx, from, to, tell)
			if err != nil {
				return err
			}
			return writeReport(cmd, r, asJSON, asHTML)
		}}
	c.Flags().StringVar(&seeds, "seeds", "1..2", "A..B")
	c.Flags().StringVar(&asJSON, "json", "", "file for the report as JSON, - for standard output")
	c.Flags().StringVar(&asHTML, "html", "", "file for the report as one page")
	return c
}

// writeReport writes what was found in the forms that were asked for; errBroken where it did not hold.
func writeReport(cmd *cobra.Command, r *report.Report, asJSON, asHTML string) error {
	if asJSON != "-" {
		r.WriteText(cmd.OutOrStdout())
	}
	err := errors.Join(write(cmd, asJSON, r.WriteJSON), write(cmd, asHTML, r.WriteHTML))
	if err == nil && !r.Held {
		err = errBroken
	}
	return err
}

func write(cmd *cobra.Command, to string, f func(io.Writer) error) error {
	switch to {
	case "":
		return nil
	case "-":
		return f(cmd.OutOrStdout())
	}
	file, err := os.Create(to)
	if err != nil {
		return err
	}
	return errors.Join(f(file), file.Close())
}
