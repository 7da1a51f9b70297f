package replication

import (
	"bytes"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/assert"
)

// TestVerifyOutputOfGoldenFolders compares the output for folders that an earlier version wrote
// with what that version printed.
func TestVerifyOutputOfGoldenFolders(t *testing.T) {
	var out bytes.Buffer
	t.Run("in their folder", func(t *testing.T) { // the output has the paths as they are given
		t.Chdir("wal/testdata")
		assert.False(t, Verify(&out, []string{"folder-r1", "folder-r2"}), "they differ at one command of shard 3")
	})
	golden.Compare(t, "verify.txt", out.String())
}
