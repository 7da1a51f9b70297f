package replication

import (
	"bytes"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/assert"
)

// TestVerifyOutputOfGoldenFolders verifies folders that an earlier version wrote, and compares the
// output with the output of that version.
func TestVerifyOutputOfGoldenFolders(t *testing.T) {
	var out bytes.Buffer
	t.Run("in their folder", func(t *testing.T) { // the output contains the paths as given
		t.Chdir("wal/testdata")
		assert.False(t, Verify(&out, []string{"folder-r1", "folder-r2"}), "the folders differ in a command of shard 3")
	})
	golden.Compare(t, "verify.txt", out.String())
}
