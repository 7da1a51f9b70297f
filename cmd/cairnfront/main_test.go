package main

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestExitCodes checks that commands that need no running process exit with the codes that README.md documents.
//
// Scripts use the exit code to determine whether a command succeeded.
func TestExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"version"}, exitOK},
		{[]string{"config", "defaults"}, exitOK},
		{[]string{"lab", "list"}, exitOK},
		{[]string{"unknown"}, exitFailure},
		{[]string{"version", "argument"}, exitFailure},
		{[]string{"config", "check", missing}, exitFailure},
		{[]string{"check", missing}, exitFailure},
		{[]string{"edge-cache", "--config", missing}, exitFailure},
		{[]string{"addresses", "--socket", missing}, exitFailure},
		{[]string{"peers", "--socket", missing}, exitFailure},
		{[]string{"disk-cache", "inspect", missing}, exitFailure},
		{[]string{"replication", "verify", missing}, exitFailure},
		{[]string{"lab", "run", "unknown"}, exitFailure},
		{[]string{"lab", "sim", "membership", "--seeds", "2..1"}, exitFailure},
	} {
		_, errs, code := runCommand(t, c.args...)
		assert.Equal(t, c.code, code, "%v: %s", c.args, errs)
		if c.code == exitFailure {
			assert.Regexp(t, `^cairnfront: [^\n]+\n$`, errs, "%v: one line", c.args)
		}
	}
}
