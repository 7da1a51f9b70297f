package main

import (
	"fmt"

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
				printf(cmd, "%s is valid\n", args[0])
				printConfig(cmd, file)
				return nil
			},
		},
	)
	return c
}

// printConfig prints a one-line summary of each section of a configuration file.
func printConfig(cmd *cobra.Command, file config.File) {
	retryBudget := "no retry budget"
	if file.Router.RetryShare > 0 {
		retryBudget = fmt.Sprintf("retry budget of %g per first attempt", file.Router.RetryShare)
	}
	printf(cmd, "router      admin socket %s, %d entries of endpoint addresses, %s\n",
		orNone(file.Router.AdminSocket), len(file.Router.Addresses), retryBudget)
	printf(cmd, "membership  listening address %s, %d routers in the roster\n",
		orNone(file.Membership.Listen), len(file.Membership.Roster))
	printf(cmd, "edge cache  %s, role %s, %d request classes\n",
		file.EdgeCache.ID, file.EdgeCache.Role, len(file.EdgeCache.Classes))
	printf(cmd, "disk cache  directory %s, %g MB\n", orNone(file.DiskCache.Directory), file.DiskCache.CapacityMB)
}

// orNone returns text, or "none" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
