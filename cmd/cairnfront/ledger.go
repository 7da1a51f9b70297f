package main

import (
	"errors"

	"cairnfront/internal/replication"

	"github.com/spf13/cobra"
)

// errFoldersDiffer is returned if folders of the ledger can't be read, or disagree.
var errFoldersDiffer = errors.New("some folders can't be read, or do not agree")

func ledgerCommand() *cobra.Command {
	c := &cobra.Command{Use: "ledger", Short: "The record of promises that routers hold for each other"}
	c.AddCommand(&cobra.Command{
		Use:   "verify FOLDER...",
		Short: "What the folders of stopped routers hold, and whether they agree; changes nothing",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !replication.Verify(cmd.OutOrStdout(), args) {
				return errFoldersDiffer
			}
			return nil
		},
	})
	return c
}
