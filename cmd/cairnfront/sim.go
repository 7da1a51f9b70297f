package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/simulation"

	"github.com/spf13/cobra"
)

// Bounds of the simulations' flags.
const (
	minSimPeers        = 2
	minSimRouters      = 3
	maxSimShards       = 64
	minSimDurationSecs = 30
)

// Errors of flags of the simulations.
var (
	errTooFewPeers   = errors.New("at least two peers that are not hostile are needed")
	errTooFewRouters = errors.New("at least 3 routers, 1 to 64 slices and 30 s are needed")
)

// simulate plays seeds and returns a report.
type simulate func(ctx context.Context, seeds simulation.Seeds, progress func(string, ...any)) (*report.Report, error)

func simCommand() *cobra.Command {
	c := &cobra.Command{Use: "sim", Short: "The cores alone, by the thousand, on virtual time"}
	c.AddCommand(simPeersCommand(), simLedgerCommand())
	return c
}

func simPeersCommand() *cobra.Command {
	var m simulation.Membership
	c := simulationCommand("peers",
		"Detection, false drops and bytes by size and loss; with --acts, drawn fault scripts held to the invariants",
		func(ctx context.Context, seeds simulation.Seeds, progress func(string, ...any)) (*report.Report, error) {
			m.Seeds = seeds
			m.Progress = progress
			tooSmall := func(size int) bool { return size < minSimPeers }
			hostileOK := m.Hostile >= 0 && m.Hostile < m.Peers
			if m.Peers < minSimPeers || !hostileOK || slices.ContainsFunc(m.Sizes, tooSmall) {
				return nil, errTooFewPeers
			}
			return m.Run(ctx)
		})
	flags := c.Flags()
	flags.IntSliceVar(&m.Sizes, "sizes", []int{20, 100}, "numbers of peers of the curves")
	flags.Float64SliceVar(&m.Losses, "losses", []float64{0, 0.05, 0.3}, "shares of datagrams lost")
	flags.IntVar(&m.Acts, "acts", 0, "faults of a script drawn from each seed; 0: the curves")
	flags.IntVar(&m.Peers, "peers", 50, "peers of a drawn script")
	flags.IntVar(&m.Hostile, "hostile", 0, "of them hostile")
	flags.StringVar(&m.Script, "script", "", "file of one script to be played instead")
	return c
}

func simLedgerCommand() *cobra.Command {
	var r simulation.Replication
	c := simulationCommand("ledger",
		"Promises through machines lost with their disks, losses of power, stops and cuts; "+
			"what clients were told is checked for linearizability",
		func(ctx context.Context, seeds simulation.Seeds, progress func(string, ...any)) (*report.Report, error) {
			r.Seeds = seeds
			r.Progress = progress
			shardsOK := r.Shards >= 1 && r.Shards <= maxSimShards
			if r.Routers < minSimRouters || !shardsOK || r.DurationSeconds < minSimDurationSecs {
				return nil, errTooFewRouters
			}
			return r.Run(ctx)
		})
	flags := c.Flags()
	flags.IntVar(&r.Routers, "routers", 9, "routers, in three zones")
	flags.IntVar(&r.Shards, "slices", 3, "slices of the ledger that are played")
	flags.Float64Var(&r.DurationSeconds, "lasts", 60, "s of a play")
	flags.StringVar(&r.Script, "script", "", "file of one script to be played instead")
	return c
}

// simulationCommand returns a command that plays a range of seeds and writes the report.
func simulationCommand(name, short string, play simulate) *cobra.Command {
	var seedRange string
	var outputs reportOutputs
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			seeds, err := parseSeeds(seedRange)
			if err != nil {
				return err
			}
			return withProgress(func(ctx context.Context, progress func(string, ...any)) error {
				r, err := play(ctx, seeds, progress)
				if err != nil {
					return err
				}
				return outputs.write(cmd, r)
			})
		},
	}
	c.Flags().StringVar(&seedRange, "seeds", "1..2", "A..B")
	outputs.addFlags(c)
	return c
}

// parseSeeds parses a range of seeds, A..B.
func parseSeeds(text string) (simulation.Seeds, error) {
	var seeds simulation.Seeds
	if _, err := fmt.Sscanf(text, "%d..%d", &seeds.From, &seeds.To); err != nil || seeds.To < seeds.From {
		return simulation.Seeds{}, fmt.Errorf("--seeds is A..B, not %q", text)
	}
	return seeds, nil
}
