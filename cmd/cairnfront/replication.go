package main

import (
	"errors"

	"cairnfront/internal/replication"

	"github.com/spf13/cobra"
)

// errLogsDiffer is returned if write-ahead logs can't be read, or if two logs differ in a committed entry.
var errLogsDiffer = errors.New("verify write-ahead logs: some can't be read, or two differ in a committed entry")

func replicationCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "replication",
		Short: "Check the write-ahead logs of stopped routers",
		Long: "Check the write-ahead logs of stopped routers.\n\n" +
			"Routers replicate reservations (which request with an idempotency key runs where) in shards, each\n" +
			"a raft group. A router keeps the shards that it replicates in one directory.",
	}
	c.AddCommand(&cobra.Command{
		Use:   "verify DIR...",
		Short: "Print what each write-ahead log holds and compare the logs; read-only, exit 1 if any two differ",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !replication.Verify(cmd.OutOrStdout(), args) {
				return errLogsDiffer
			}
			return nil
		},
	})
	return c
}
