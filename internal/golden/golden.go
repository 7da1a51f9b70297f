// Package golden compares the output of tests with golden files, which an earlier version of the program wrote. Only
// tests use it.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// UpdateVariable is the environment variable that makes Compare update the golden files if its value is "1". Set it
// only if a change of the files' content is intended.
const UpdateVariable = "UPDATE_GOLDEN"

// Compare fails the test if got differs from the golden file of that name in the package's testdata directory.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(UpdateVariable) == "1" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o750))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}
