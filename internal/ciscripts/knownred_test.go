package ciscripts

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runKnownRed runs .ci/known-red with a list of known failures on a repository that has the tests TestSlow and
// FuzzParse. It returns the script's output and whether the script succeeded.
func runKnownRed(t *testing.T, list string) (skip, messages string, ok bool) {
	t.Helper()
	repository := t.TempDir()
	tests := "package p\n\nfunc TestSlow(t *testing.T) {}\n\nfunc FuzzParse(f *testing.F) {}\n"
	require.NoError(t, os.WriteFile(filepath.Join(repository, "p_test.go"), []byte(tests), 0o600))
	file := filepath.Join(repository, "KNOWN-RED.txt")
	require.NoError(t, os.WriteFile(file, []byte(list), 0o600))
	return runScript(t, nil, "../../.ci/known-red", file, repository)
}

// runScript runs a bash script with the given standard input. It returns the script's output and whether it succeeded.
func runScript(t *testing.T, input io.Reader, path string, args ...string) (stdout, stderr string, ok bool) {
	t.Helper()
	script, err := filepath.Abs(path)
	require.NoError(t, err)
	var output, messages bytes.Buffer
	command := exec.CommandContext(t.Context(), "bash", append([]string{script}, args...)...)
	command.Stdin, command.Stdout, command.Stderr = input, &output, &messages
	err = command.Run()
	return output.String(), messages.String(), err == nil
}

// TestKnownFailuresAreSkippedAndPrinted checks that CI skips exactly the tests that the list names and prints each
// entry, without a limit on the number of entries.
func TestKnownFailuresAreSkippedAndPrinted(t *testing.T) {
	slow := "TestSlow | go test -run TestSlow ./p -seed 7 | two of ten runs were late | issue 41\n"
	fuzz := "FuzzParse | go test -run FuzzParse ./p, no seed | a panic at an empty line | issue 47"
	skip, messages, ok := runKnownRed(t, "# known failures\n\n"+slow+slow+slow+slow+fuzz)
	require.True(t, ok, messages)
	assert.Equal(t, "^(TestSlow|TestSlow|TestSlow|TestSlow|FuzzParse)$\n", skip)
	assert.Contains(t, messages, "known to fail, not run: "+slow)
	assert.Contains(t, messages, "known to fail, not run: "+fuzz)
}

// A pattern built from an empty list may match every test, and CI would then pass without running any. An empty list
// must skip no test.
func TestEmptyListOfKnownFailuresSkipsNothing(t *testing.T) {
	for _, list := range []string{"", "\n# nothing is known to fail\n"} {
		skip, messages, ok := runKnownRed(t, list)
		assert.True(t, ok, messages)
		assert.Empty(t, skip)
	}
}

// TestIncompleteEntryOfKnownFailuresFails checks that CI fails if an entry is incomplete or names a test that does not
// exist. An incomplete entry would hide a failure, and one without an existing test would have no effect.
func TestIncompleteEntryOfKnownFailuresFails(t *testing.T) {
	for entry, message := range map[string]string{
		"TestSlow: late, issue 41":                            `an entry is "TestName | command`,
		"TestSlow | go test, seed 7 | late":                   `an entry is "TestName | command`,
		"the soak | go test, seed 7 | late | issue 41":        "no name of a test",
		"TestSlow | | late | issue 41":                        "the command is missing",
		"TestSlow | go test | late | issue 41":                "the command names no seed",
		"TestSlow | go test, seed 7 | | issue 41":             "what was seen is missing",
		"TestSlow | go test, seed 7 | late |":                 "the issue is missing",
		"TestSlow | go test, seed 7 | late | soon":            "the issue is missing",
		"TestSlo | go test, seed 7 | late | issue 41":         "there is no test TestSlo",
		"TestRemoved | go test, seed 7 | late | issue 41":     "there is no test TestRemoved",
		"TestSlow | a | b, seed 7 | late | issue 41":          `an entry is "TestName | command`,
		"TestSlow$|^Test | go test, seed 7 | late | issue 41": `an entry is "TestName | command`,
	} {
		_, messages, ok := runKnownRed(t, entry)
		assert.False(t, ok, entry)
		assert.Contains(t, messages, message, entry)
	}
}
