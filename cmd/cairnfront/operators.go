package main

import (
	"cairnfront/internal/config"

	"github.com/spf13/cobra"
)

func operatorsCommand() *cobra.Command {
	c := &cobra.Command{Use: "operators", Short: "The operators' file"}
	c.AddCommand(
		&cobra.Command{
			Use:   "defaults",
			Short: "Print a file that says every default",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := cmd.OutOrStdout().Write(config.Defaults())
				return err
			},
		},
		&cobra.Command{
			Use:   "schema",
			Short: "Print the JSON Schema of the file",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := cmd.OutOrStdout().Write(config.Schema)
				return err
			},
		},
		&cobra.Command{
			Use:   "check FILE",
			Short: "Check a file; every mistake is named with line and column",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				file, err := config.Read(args[0])
				if err != nil {
					return err
				}
				printf(cmd, "%s: box %s (%s, %d remap rules), disk %q, peers at %q (%d in the roster)\n",
					args[0], file.EdgeCache.ID, file.EdgeCache.Role, len(file.EdgeCache.Classes),
					file.DiskCache.Directory, file.Membership.Listen, len(file.Membership.Roster))
				return nil
			},
		},
	)
	return c
}
