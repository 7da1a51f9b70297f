// Command cairnfront is the router on sockets.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"cairnfront/internal/bootstrap"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "cairnfront", Short: "A traffic router for a two-tier cache",
		SilenceUsage: true, SilenceErrors: true}
	var operators string
	serving := &cobra.Command{Use: "serve", Short: "Serve as the file that " + bootstrap.PathVariable + " names says", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve(bootstrap.LoadFromEnv, operators)
		}}
	serving.Flags().StringVar(&operators, "operators", "", "the operators' file; none by default")
	root.AddCommand(boxCommand(), labCommand(), ledgerCommand(), operatorsCommand(), peersCommand(), reachCommand(), serving, tierCommand(),
		&cobra.Command{Use: "check [FILE]", Short: "Check a start file, by default the one that " + bootstrap.PathVariable + " names",
			Args: cobra.MaximumNArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				read := bootstrap.LoadFromEnv
				if len(args) > 0 {
					read = func() (bootstrap.Config, error) { return bootstrap.LoadFile(args[0]) }
				}
				m, err := read()
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s on %s: %d remap rules, %d records, %d events of the notice board, %d MB, %d sockets\n",
						m.Name, m.ListenAddress, len(m.ClassNames), len(m.Settings), len(m.KnownEvents), m.MemoryMB, m.MaxSockets)
				}
				return err
			}},
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "cairnfront", version()) }},
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cairnfront:", err)
		os.Exit(1)
	}
}

// version is that of the module, or the commit that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
