// Command cairnfront is a traffic router for a two-tier cache. It also holds the cache process, the tools for what
// either leaves on disk, and the laboratory.
//
// Each command has a file. A command parses its flags, calls into a package and turns its error into one line on
// standard error and an exit code.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes of all commands. README.md lists them.
const (
	exitOK      = 0
	exitFailure = 1 // an error, a file that is not in order, or a scenario that did not hold
)

func main() { os.Exit(run()) }

// run executes the command that the arguments name and returns the exit code.
func run() int {
	root := &cobra.Command{
		Use:           "cairnfront",
		Short:         "A traffic router for a two-tier cache",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		boxCommand(),
		checkCommand(),
		labCommand(),
		ledgerCommand(),
		operatorsCommand(),
		peersCommand(),
		reachCommand(),
		serveCommand(),
		tierCommand(),
		versionCommand(),
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cairnfront:", err)
		return exitFailure
	}
	return exitOK
}
