package wal

import (
	"fmt"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"
)

// Inspect reads a stopped router's folder without changing it.
func Inspect(fs vfs.FS) (Identity, map[int]shard.PersistentState, error) {
	content, err := readFile(fs, identityFile)
	if err != nil {
		return Identity{}, nil, fmt.Errorf("read write-ahead log: %w", err)
	}
	w := &WAL{fs: fs, shards: map[int]*shardLog{}}
	if w.identity, err = parseIdentity(content); err != nil {
		return w.identity, nil, err
	}
	names, err := fs.List()
	if err != nil {
		return w.identity, nil, fmt.Errorf("list write-ahead log: %w", err)
	}
	name := newestLog(names)
	if name == "" {
		return w.identity, nil, fmt.Errorf("%w: no log file", ErrCorrupt)
	}
	if err := w.replay(name); err != nil {
		return w.identity, nil, err
	}
	saved, err := w.persistentStates()
	return w.identity, saved, err
}
