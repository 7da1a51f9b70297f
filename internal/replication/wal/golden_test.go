package wal

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/golden"
	"cairnfront/internal/replication/shard"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// describe formats the content of a folder, one shard after the other.
func describe(id Identity, saved map[int]shard.PersistentState) string {
	var b strings.Builder
	fmt.Fprintf(&b, "owner %s id %d starts %d\n", id.Owner, id.ID, id.StartCount)
	for _, number := range slices.Sorted(maps.Keys(saved)) {
		state := saved[number]
		fmt.Fprintf(&b, "shard %d term %d vote %d commit %d\n",
			number, state.HardState.GetTerm(), state.HardState.GetVote(), state.HardState.GetCommit())
		if state.Snapshot != nil {
			meta := state.Snapshot.GetMetadata()
			fmt.Fprintf(&b, "  snapshot index %d term %d voters %v learners %v data %x\n",
				meta.GetIndex(), meta.GetTerm(), meta.GetConfState().GetVoters(), meta.GetConfState().GetLearners(),
				state.Snapshot.GetData())
		}
		for _, entry := range state.Entries {
			fmt.Fprintf(&b, "  entry index %d term %d type %d data %x\n",
				entry.GetIndex(), entry.GetTerm(), entry.GetType(), entry.GetData())
		}
	}
	return b.String()
}

// TestGoldenFoldersAreRead reads folders that an earlier version wrote. They contain several
// shards, snapshots, an overwritten entry, a removed shard and an unsynced tail.
func TestGoldenFoldersAreRead(t *testing.T) {
	for _, owner := range []string{"r1", "r2"} {
		folder := "folder-" + owner
		stored := filepath.Join("testdata", folder)
		id, saved, err := Inspect(vfs.Dir(stored))
		require.NoError(t, err)
		golden.Compare(t, folder+".txt", describe(id, saved))

		writable := t.TempDir()
		require.NoError(t, os.CopyFS(writable, os.DirFS(stored)))
		opened, reopened, err := Open(vfs.Dir(writable), owner, drawID)
		require.NoError(t, err)
		id.StartCount++ // opening a folder increments the start count; inspecting it does not
		assert.Equal(t, id, opened.Identity())
		assert.Equal(t, describe(id, saved), describe(opened.Identity(), reopened))
		opened.Close()
	}
}
