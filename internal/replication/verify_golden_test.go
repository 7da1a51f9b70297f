package replication

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestVerifyOutputOfGoldenFolders compares the output for folders that an earlier version wrote
// with what that version printed.
func TestVerifyOutputOfGoldenFolders(t *testing.T) {
	want, err := os.ReadFile("testdata/verify.txt")
	require.NoError(t, err)
	t.Chdir("wal/testdata")
	var out bytes.Buffer
	assert.False(t, Verify(&out, []string{"folder-r1", "folder-r2"}), "the folders differ at one command of shard 3")
	assert.Equal(t, string(want), out.String())
}
