package replication

import (
	"bytes"
	"fmt"
	"io"
	"slices"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/wal"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// inspectedFolder is the content of a stopped router's folder, by shard.
type inspectedFolder struct {
	path   string
	shards map[int]shard.PersistentState
}

// Verify reads the write-ahead logs of stopped routers without changing them, and writes a summary
// of each and the differences between them. It returns false if a log cannot be read, or if two
// logs differ in a committed entry. The last line counts a shard once for each pair of folders
// that have it.
func Verify(w io.Writer, paths []string) bool {
	var folders []inspectedFolder
	readable := true
	for _, path := range paths {
		identity, shards, err := wal.Inspect(vfs.Dir(path))
		if err != nil {
			writef(w, "%s: %v\n", path, err)
			readable = false
			continue
		}
		if !summarize(w, path, identity, shards) {
			readable = false
		}
		folders = append(folders, inspectedFolder{path, shards})
	}
	same, different := 0, 0
	for i, a := range folders {
		for _, b := range folders[i+1:] {
			sameHere, differentHere := compareFolders(w, a, b)
			same += sameHere
			different += differentHere
		}
	}
	if len(folders) > 1 {
		writef(w, "%d shards compared in pairs agree, %d differ\n", same, different)
	}
	return readable && different == 0
}

// writef writes formatted output and ignores write errors, which the command reports when it exits.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// summarize writes a summary of a folder, and reports whether the state of every shard could be
// restored.
func summarize(w io.Writer, path string, identity wal.Identity, shards map[int]shard.PersistentState) bool {
	restored := true
	reservations, entries := 0, 0
	newest := 0.0
	for number, saved := range shards {
		state, err := replay(saved)
		if err != nil {
			writef(w, "%s: shard %d: %v\n", path, number, err)
			restored = false
			continue
		}
		reservations += state.Len()
		entries += len(saved.Entries)
		newest = max(newest, state.Now())
	}
	writef(w, "%s: router %s, replica %x, started %d times: ", path, identity.Owner, identity.ID, identity.StartCount)
	writef(w, "%d shards, %d reservations, %d log entries, newest at Unix time %.0f s\n",
		len(shards), reservations, entries, newest)
	return restored
}

// compareFolders compares the shards that are in both folders, and counts those that agree and
// those that differ.
func compareFolders(w io.Writer, a, b inspectedFolder) (same, different int) {
	for number, savedA := range a.shards {
		savedB, both := b.shards[number]
		if !both {
			continue
		}
		index, reason := findDifference(savedA, savedB)
		if reason == "" {
			same++
			continue
		}
		writef(w, "shard %d: %s and %s differ at log index %d: %s\n", number, a.path, b.path, index, reason)
		different++
	}
	return same, different
}

// replay returns the state that results from a replica's snapshot and its committed entries.
func replay(saved shard.PersistentState) (*statemachine.State, error) {
	state := statemachine.New()
	snapshotIndex := uint64(0)
	if saved.Snapshot != nil {
		var err error
		if state, err = statemachine.Restore(saved.Snapshot.GetData()); err != nil {
			return nil, err
		}
		snapshotIndex = saved.Snapshot.GetMetadata().GetIndex()
	}
	for _, entry := range saved.Entries {
		isCommitted := entry.GetIndex() > snapshotIndex && entry.GetIndex() <= saved.HardState.GetCommit()
		isCommand := entry.GetType() == pb.EntryType_EntryNormal && len(entry.GetData()) > 0
		if !isCommitted || !isCommand {
			continue
		}
		if command, err := statemachine.Decode(entry.GetData()); err == nil {
			state.Apply(entry.GetIndex(), command)
		}
	}
	return state, nil
}

// findDifference returns the first log index at which two replicas have different entries, among
// the entries that both have and both consider committed. reason is empty if there is none.
func findDifference(a, b shard.PersistentState) (index uint64, reason string) {
	committed := min(a.HardState.GetCommit(), b.HardState.GetCommit())
	for _, entryA := range a.Entries {
		index := entryA.GetIndex()
		i := slices.IndexFunc(b.Entries, func(entry *pb.Entry) bool { return entry.GetIndex() == index })
		if index > committed || i < 0 {
			continue
		}
		entryB := b.Entries[i]
		isSame := entryA.GetTerm() == entryB.GetTerm() &&
			entryA.GetType() == entryB.GetType() &&
			bytes.Equal(entryA.GetData(), entryB.GetData())
		if !isSame {
			return index, fmt.Sprintf("terms %d and %d, %d and %d bytes",
				entryA.GetTerm(), entryB.GetTerm(), proto.Size(entryA), proto.Size(entryB))
		}
	}
	return 0, ""
}
