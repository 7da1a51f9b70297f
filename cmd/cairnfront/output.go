package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// printf writes to a command's standard output. As with fmt.Printf, an error of writing is not reported.
func printf(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format, args...)
}

// isTerminal reports whether a file is a terminal, where progress is shown.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
