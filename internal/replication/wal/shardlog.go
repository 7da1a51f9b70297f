package wal

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// shardLog is the current raft log and hard state of one shard.
type shardLog struct {
	hardState     *pb.HardState
	entries       []*pb.Entry
	snapshotIndex uint64 // 0 if there is none
}

// putEntry adds an entry at its index, and discards the entries at that index and after it.
func (l *shardLog) putEntry(entry *pb.Entry) {
	for len(l.entries) > 0 && l.entries[len(l.entries)-1].GetIndex() >= entry.GetIndex() {
		l.entries = l.entries[:len(l.entries)-1]
	}
	l.entries = append(l.entries, entry)
}

// setSnapshot sets the index of the shard's snapshot, and discards the entries up to it.
func (l *shardLog) setSnapshot(index uint64) {
	l.snapshotIndex = index
	l.entries = slices.DeleteFunc(slices.Clone(l.entries), func(entry *pb.Entry) bool {
		return entry.GetIndex() <= index
	})
}

// truncate discards the entries after an index.
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
