package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/scenario"

	"github.com/spf13/cobra"
)

// errUnknownSize is returned if the size of a scenario is neither small nor full.
var errUnknownSize = errors.New("not small or full")

// errScenarioFailed is returned if any check of a scenario failed.
var errScenarioFailed = errors.New("a check of the scenario failed")

// clearLine is the terminal control sequence that moves to the start of the line and clears it.
const clearLine = "\r\x1b[K"

// The sizes of a scenario.
const (
	sizeSmall = "small"
	sizeFull  = "full"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "Run test scenarios with injected faults on loopback, or simulations",
	}
	c.AddCommand(labListCommand(), labRunCommand(), simCommand())
	return c
}

func labListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenarios with what each one tests",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, s := range scenario.Scenarios() {
				printf(cmd, "%-20s %s\n", s.Name, s.Description)
			}
		},
	}
}

func labRunCommand() *cobra.Command {
	var options scenario.Options
	var size string
	var outputs reportOutputs
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Run a scenario and print its report; exit 1 if any check fails",
		Long: "Run a scenario and print its report; exit 1 if any check fails.\n\n" +
			"A scenario starts routers, edge caches and stubs of other services on loopback, sends requests, and\n" +
			"injects faults. It checks what clients and stubs recorded. 'cairnfront lab list' lists the scenarios.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if size != sizeSmall && size != sizeFull {
				return fmt.Errorf("--size %q: %w", size, errUnknownSize)
			}
			options.Full = size == sizeFull
			return runScenario(cmd, args[0], options, outputs)
		},
	}
	flags := c.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random choices: faults, load, object sizes")
	flags.StringVar(&size, "size", sizeSmall, "size of the test cluster and the load: small or full")
	flags.StringVar(&options.Script, "script", "",
		"path of a fault script; empty: the scenario's own faults")
	flags.StringVar(&options.Directory, "folder", "",
		"directory for files and logs, not removed after the run; empty: a temporary one")
	outputs.addFlags(c)
	return c
}

// runScenario runs a scenario, whose processes are started from this program's executable, and writes the report.
func runScenario(cmd *cobra.Command, name string, options scenario.Options, outputs reportOutputs) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("run scenario %s: find own executable: %w", name, err)
	}
	options.Program = program
	return withProgress(cmd.Context(), func(ctx context.Context, progress func(string, ...any)) error {
		options.Progress = progress
		r, err := scenario.Run(ctx, name, options)
		if err != nil {
			return err
		}
		return outputs.write(cmd, r)
	})
}

// withProgress calls run with a context that is cancelled on SIGTERM or SIGINT, and with a function that prints
// progress to standard error if that is a terminal, and does nothing otherwise.
func withProgress(
	ctx context.Context, run func(ctx context.Context, progress func(format string, args ...any)) error,
) error {
	progress := func(string, ...any) {}
	if isTerminal(os.Stderr) {
		progress = func(format string, args ...any) { fmt.Fprintf(os.Stderr, clearLine+format, args...) }
		defer fmt.Fprint(os.Stderr, clearLine)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, progress)
}

// reportOutputs has the paths to write a report to: "-" means standard output, an empty path no output.
type reportOutputs struct{ json, html string }

// addFlags adds the --json and --html flags to a command.
func (o *reportOutputs) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&o.json, "json", "", "path for the report as JSON; - for standard output; empty: none")
	c.Flags().StringVar(&o.html, "html", "", "path for the report as an HTML page; - for standard output; empty: none")
}

// write writes a report to the outputs, and as text to standard output unless the JSON report is written there. It
// returns errScenarioFailed if a check of the report failed.
func (o *reportOutputs) write(cmd *cobra.Command, r *report.Report) error {
	if o.json != "-" {
		r.WriteText(cmd.OutOrStdout())
	}
	err := errors.Join(writeOutput(cmd, o.json, r.WriteJSON), writeOutput(cmd, o.html, r.WriteHTML))
	if err == nil && !r.Held {
		return errScenarioFailed
	}
	return err
}

// writeOutput calls write with the file at path, or with standard output if path is "-". It does nothing if path is
// empty.
func writeOutput(cmd *cobra.Command, path string, write func(io.Writer) error) error {
	switch path {
	case "":
		return nil
	case "-":
		return write(cmd.OutOrStdout())
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
