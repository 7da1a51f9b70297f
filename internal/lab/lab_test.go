package lab

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestScenarioDirectoryIsMade holds that a named folder is made, with those above it, and kept; a temporary one is
// removed.
func TestScenarioDirectoryIsMade(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "not", "there")
	folder, remove, err := makeScenarioDirectory(missing)
	require.NoError(t, err)
	remove()
	assert.Equal(t, missing, folder)
	assert.DirExists(t, missing)

	folder, remove, err = makeScenarioDirectory("")
	require.NoError(t, err)
	assert.DirExists(t, folder)
	remove()
	assert.NoDirExists(t, folder)

	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, _, err = makeScenarioDirectory(filepath.Join(file, "below"))
	assert.ErrorContains(t, err, file, "the error names the folder")
}
