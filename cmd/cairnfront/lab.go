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

// errScenarioFailed is returned if a rule or bound of a scenario did not hold.
var errScenarioFailed = errors.New("the scenario did not hold")

// clearLine is the terminal's sequence that returns to the start of the line and clears it.
const clearLine = "\r\x1b[K"

// The sizes of a scenario.
const (
	sizeSmall = "small"
	sizeFull  = "full"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "The laboratory: scenarios on loopback, with faults, judged from what the stand-ins saw",
	}
	c.AddCommand(labListCommand(), labRunCommand(), simCommand())
	return c
}

func labListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenarios",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, s := range scenario.Scenarios() {
				printf(cmd, "%-14s %s\n", s.Name, s.Description)
			}
		},
	}
}

func labRunCommand() *cobra.Command {
	var s scenario.Options
	var size string
	var outputs reportOutputs
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Run a scenario; exit 0 only if every rule and bound held",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if size != sizeSmall && size != sizeFull {
				return fmt.Errorf("--size is small or full, not %q", size)
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			s.Program = program
			s.Full = size == sizeFull
			return withProgress(func(ctx context.Context, progress func(string, ...any)) error {
				s.Progress = progress
				r, err := scenario.Run(ctx, args[0], s)
				if err != nil {
					return err
				}
				return outputs.write(cmd, r)
			})
		},
	}
	flags := c.Flags()
	flags.Uint64Var(&s.Seed, "seed", 1, "of all chance")
	flags.StringVar(&size, "size", sizeSmall, "small or full")
	flags.StringVar(&s.Script, "script", "",
		"file of a fault script to be played instead of the scenario's own, where it has one")
	flags.StringVar(&s.Directory, "folder", "",
		"folder for files and logs, which are kept; by default one that is removed")
	outputs.addFlags(c)
	return c
}

// withProgress calls run with a context that ends on SIGTERM or SIGINT, and with a function that shows progress on
// standard error if that is a terminal and does nothing otherwise.
func withProgress(run func(ctx context.Context, progress func(format string, args ...any)) error) error {
	progress := func(string, ...any) {}
	if isTerminal(os.Stderr) {
		progress = func(format string, args ...any) { fmt.Fprintf(os.Stderr, clearLine+format, args...) }
		defer fmt.Fprint(os.Stderr, clearLine)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, progress)
}

// reportOutputs says where a report is written: a file, "-" for standard output, or empty for nowhere.
type reportOutputs struct{ json, html string }

// addFlags adds the flags of the outputs.
func (o *reportOutputs) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&o.json, "json", "", "file for the report as JSON, - for standard output")
	c.Flags().StringVar(&o.html, "html", "", "file for the report as one page")
}

// write writes a report as text, unless its JSON goes to standard output, and to the outputs. It returns
// errScenarioFailed if the scenario did not hold.
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

// writeOutput calls write with a file, or with standard output for "-". It does nothing for an empty path.
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
