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

// Limits of the values of the simulations' flags.
const (
	minSimPeers        = 2
	minSimRouters      = 3
	maxSimShards       = 64
	minSimDurationSecs = 30
)

// Errors for invalid flags of the simulations.
var (
	errSeedRange     = errors.New("not a range FIRST..LAST")
	errTooFewPeers   = errors.New("simulate membership: at least 2 peers are needed, and one that is not hostile")
	errTooFewRouters = errors.New("simulate replication: at least 3 routers, 1 to 64 shards and 30 s are needed")
)

// simulate is a function that runs a simulation once for each seed and returns a report.
type simulate func(ctx context.Context, seeds simulation.Seeds, progress func(string, ...any)) (*report.Report, error)

func simCommand() *cobra.Command {
	c := &cobra.Command{Use: "sim", Short: "Simulate membership or replication on virtual time"}
	c.AddCommand(
		simMembershipCommand(),
		simReplicationCommand(),
		alias(aliasSimMembership, simMembershipCommand()),
		alias(aliasSimReplication, simReplicationCommand()),
	)
	return c
}

func simMembershipCommand() *cobra.Command {
	var m simulation.Membership
	c := simulationCommand("membership",
		"Measure failure detection by cluster size and packet loss, or check invariants under random faults (--faults)",
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
	flags.IntSliceVar(&m.Sizes, "sizes", []int{20, 100},
		"cluster sizes to measure, in peers; unused with --faults or --script")
	flags.Float64SliceVar(&m.Losses, "losses", []float64{0, 0.05, 0.3},
		"packet loss to measure, as `shares` of the datagrams from 0 to 1; unused with --faults or --script")
	flags.IntVar(&m.Faults, "faults", 0,
		"number of random faults for each seed; 0: measure --sizes and --losses instead")
	flags.IntVar(&m.Peers, "peers", 50, "peers in the cluster, with --faults")
	flags.IntVar(&m.Hostile, "hostile", 0, "byzantine peers among them, with --faults or --script; 0: none")
	flags.StringVar(&m.Script, "script", "", "path of a fault script; empty: faults as the other flags say")
	return c
}

func simReplicationCommand() *cobra.Command {
	var r simulation.Replication
	c := simulationCommand("replication",
		"Check reservations for linearizability under lost disks, power failures, pauses and network partitions",
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
	flags.IntVar(&r.Routers, "routers", 9, "routers, spread over three zones; at least 3")
	flags.IntVar(&r.Shards, "shards", 3, "shards, each a raft group; 1 to 64")
	flags.Float64Var(&r.DurationSeconds, "duration", 60, "virtual time of each run in seconds; at least 30")
	flags.StringVar(&r.Script, "script", "", "path of a fault script; empty: faults as the other flags say")
	return c
}

// simulationCommand returns a command that runs a simulation for a range of seeds and writes its report.
func simulationCommand(name, short string, run simulate) *cobra.Command {
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
			return withProgress(cmd.Context(), func(ctx context.Context, progress func(string, ...any)) error {
				r, err := run(ctx, seeds, progress)
				if err != nil {
					return err
				}
				return outputs.write(cmd, r)
			})
		},
	}
	c.Flags().StringVar(&seedRange, "seeds", "1..2", "range of seeds FIRST..LAST, one run each")
	outputs.addFlags(c)
	return c
}

// parseSeeds parses a range of seeds in the form FIRST..LAST.
func parseSeeds(text string) (simulation.Seeds, error) {
	var seeds simulation.Seeds
	if _, err := fmt.Sscanf(text, "%d..%d", &seeds.From, &seeds.To); err != nil || seeds.To < seeds.From {
		return simulation.Seeds{}, fmt.Errorf("--seeds %q: %w", text, errSeedRange)
	}
	return seeds, nil
}
