package wal

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// shardLog is what of a shard counts.
type shardLog struct {
	hardState     *pb.HardState
	entries       []*pb.Entry
	snapshotIndex uint64 // 0 for none
}

// put puts an entry in its place. Entries at its index and after it no longer count.
func (l *shardLog) put(entry *pb.Entry) {
	for len(l.entries) > 0 && l.entries[len(l.entries)-1].GetIndex() >= entry.GetIndex() {
		l.entries = l.entries[:len(l.entries)-1]
	}
	l.entries = append(l.entries, entry)
}

// setSnapshot names the shard's snapshot. Entries up to its index no longer count.
func (l *shardLog) setSnapshot(index uint64) {
	l.snapshotIndex = index
	l.entries = slices.DeleteFunc(slices.Clone(l.entries), func(entry *pb.Entry) bool {
		return entry.GetIndex() <= index
	})
}

// truncate drops the entries after an index.
func (l *shardLog) truncate(index uint64) {
	for len(l.entries) > 0 && l.entries[len(l.entries)-1].GetIndex() > index {
		l.entries = l.entries[:len(l.entries)-1]
	}
}

func (w *WAL) shardLog(number int) *shardLog {
	if w.shards[number] == nil {
		w.shards[number] = &shardLog{}
	}
	return w.shards[number]
}
