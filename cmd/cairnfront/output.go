package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// printf writes formatted text to a command's standard output. Write errors are ignored.
func printf(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format, args...)
}

// isTerminal reports whether a file is a terminal. Progress is printed only to a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
