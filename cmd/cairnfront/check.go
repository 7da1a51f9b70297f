package main

import (
	"cairnfront/internal/bootstrap"

	"github.com/spf13/cobra"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check a bootstrap file, by default the one that " + bootstrap.PathVariable + " names",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			load := bootstrap.LoadFromEnv
			if len(args) > 0 {
				load = func() (bootstrap.Config, error) { return bootstrap.LoadFile(args[0]) }
			}
			c, err := load()
			if err != nil {
				return err
			}
			if err := c.CheckObjectives(); err != nil {
				return err
			}
			printf(cmd, "router %s, listen address %s: %d request classes, %d settings, %d known discovery events, "+
				"memory limit %d MB, limit of %d sockets\n",
				c.Name, c.ListenAddress, len(c.ClassNames), len(c.Settings), len(c.KnownEvents),
				c.MemoryMB, c.MaxSockets)
			return nil
		},
	}
}
