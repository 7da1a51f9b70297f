package main

import (
	"cairnfront/internal/config"

	"github.com/spf13/cobra"
)

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Print or check the configuration file"}
	c.AddCommand(
		&cobra.Command{
			Use:   "defaults",
			Short: "Print a configuration file with the default, unit and meaning of every key",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := cmd.OutOrStdout().Write(config.Defaults())
				return err
			},
		},
		&cobra.Command{
			Use:   "schema",
			Short: "Print the JSON Schema of the configuration file",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := cmd.OutOrStdout().Write(config.Schema)
				return err
			},
		},
		&cobra.Command{
			Use:   "check FILE",
			Short: "Check a configuration file; print each mistake with its line and column",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				file, err := config.Read(args[0])
				if err != nil {
					return err
				}
				printf(cmd, "%s: edge cache %s (role %s, %d request classes), disk cache directory %q, "+
					"peer address %q (%d routers in the roster)\n",
					args[0], file.EdgeCache.ID, file.EdgeCache.Role, len(file.EdgeCache.Classes),
					file.DiskCache.Directory, file.Membership.Listen, len(file.Membership.Roster))
				return nil
			},
		},
	)
	return c
}
