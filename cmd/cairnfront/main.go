// Command cairnfront is a traffic router for a two-tier cache. It also has the edge cache, the tools for what either
// writes to disk, and the laboratory.
//
// Each command has a file, named after it. A command parses its flags, calls into a package and turns its error into
// one line on standard error and an exit code.
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
