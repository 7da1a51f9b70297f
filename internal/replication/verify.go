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

// Verify reads the folders of stopped routers, changes nothing, and writes what each holds and whether they agree. It says false if any
// can't be read, or two tell different things of what was agreed on.
func Verify(w io.Writer, paths []string) bool {
	type one struct {
		path  string
		saved map[int]shard.PersistentState
	}
	var all []one
	ok := true
	for _, path := range paths {
		me, saved, err := wal.Inspect(vfs.Dir(path))
		if err != nil {
			fmt.Fprintf(w, "%s: %v\n", path, err)
			ok = false
			continue
		}
		promises, entries := 0, 0
		var times float64
		for no, s := range saved {
			state, err := replay(s)
			if err != nil {
				fmt.Fprintf(w, "%s: slice %d: %v\n", path, no, err)
				ok = false
				continue
			}
			promises += state.Len()
			entries += len(s.Entries)
			times = max(times, state.Now())
		}
		fmt.Fprintf(w, "%s: router %s, holder %x, started %d times: %d slices, %d promises, %d commands in the log, newest at Unix %.0f s\n", path, me.Owner, me.ID, me.StartCount,
			len(saved), promises, entries, times)
		all = append(all, one{path, saved})
	}
	same, differ := 0, 0
	for i, a := range all {
		for _, b := range all[i+1:] {
			for no, x := range a.saved {
				y, both := b.saved[no]
				if !both {
					continue
				}
				if at, why := compare(x, y); why != "" {
					fmt.Fprintf(w, "slice %d: %s and %s differ at command %d: %s\n", no, a.path, b.path, at, why)
					differ++
				} else {
					same++
				}
			}
		}
	}
	if len(all) > 1 {
		fmt.Fprintf(w, "%d slices compared in pairs agree, %d differ\n", same, differ)
	}
	return ok && differ == 0
}

// replay is the state that a holder's snapshot and agreed commands come to.
func replay(s shard.PersistentState) (*statemachine.State, error) {
	state := statemachine.New()
	from := uint64(0)
	if s.Snapshot != nil {
		var err error
		if state, err = statemachine.Restore(s.Snapshot.GetData()); err != nil {
			return nil, err
		}
		from = s.Snapshot.GetMetadata().GetIndex()
	}
	for _, e := range s.Entries {
		if e.GetIndex() <= from || e.GetIndex() > s.HardState.GetCommit() || e.GetType() != pb.EntryType_EntryNormal || len(e.GetData()) == 0 {
			continue
		}
		if c, err := statemachine.Decode(e.GetData()); err == nil {
			state.Apply(e.GetIndex(), c)
		}
	}
	return state, nil
}

// compare looks through the commands that two holders both have and both know to be agreed on.
func compare(a, b shard.PersistentState) (at uint64, why string) {
	agreed := min(a.HardState.GetCommit(), b.HardState.GetCommit())
	for _, x := range a.Entries {
		i := slices.IndexFunc(b.Entries, func(e *pb.Entry) bool { return e.GetIndex() == x.GetIndex() })
		if x.GetIndex() > agreed || i < 0 {
			continue
		}
		if y := b.Entries[i]; x.GetTerm() != y.GetTerm() || !bytes.Equal(x.GetData(), y.GetData()) || x.GetType() != y.GetType() {
			return x.GetIndex(), fmt.Sprintf("terms %d and %d, %d and %d bytes", x.GetTerm(), y.GetTerm(), proto.Size(x), proto.Size(y))
		}
	}
	return 0, ""
}
