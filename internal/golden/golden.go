// Package golden compares what tests print with files that an earlier version of the program wrote. It is for tests
// only.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// UpdateVariable is the environment variable that has Compare write the files instead, if it is "1". That is only right
// where a change of what they hold is wanted.
const UpdateVariable = "UPDATE_GOLDEN"

// Compare fails a test whose text differs from the file of that name in the package's testdata.
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
