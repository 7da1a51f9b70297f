// Command cairnfront is a traffic router for a two-tier cache. It also has commands that run an edge cache, inspect the
// files that routers and edge caches write to disk, and run test scenarios and simulations.
//
// Each command is implemented in a file named after it. A command parses its flags and calls other packages. If it
// returns an error, the program prints one line to standard error and exits with code 1.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes of all commands. README.md lists them.
const (
	exitOK      = 0
	exitFailure = 1 // an error, an invalid or damaged file, or a scenario with a failed check
)

func main() { os.Exit(run()) }

// run executes the command given by the program's arguments and returns the exit code.
func run() int {
	root := &cobra.Command{
		Use:           "cairnfront",
		Short:         "Route requests to edge caches, their parent caches and the origin",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		addressesCommand(),
		checkCommand(),
		configCommand(),
		diskCacheCommand(),
		edgeCacheCommand(),
		labCommand(),
		peersCommand(),
		replicationCommand(),
		serveCommand(),
		versionCommand(),
	)
	root.AddCommand(aliasedCommands()...)
	root.SetGlobalNormalizationFunc(currentFlagName)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cairnfront:", err)
		return exitFailure
	}
	return exitOK
}
