package diskcache

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// FuzzParseRecordHeader parses arbitrary bytes as a record header. An accepted header must be within the limits of the
// format: with a longer body, the read would extend past the segment.
func FuzzParseRecordHeader(f *testing.F) {
	f.Add(appendRecord(nil, 7, meta(chunkKey(1, 2), 3), []byte("body"), 4), uint64(7))
	f.Add(make([]byte, recordHeaderSize), uint64(0))
	f.Fuzz(func(t *testing.T, b []byte, salt uint64) {
		h, err := parseRecordHeader(b, salt)
		if err == nil && (h.bodyLen > maxBodyBytes || len(h.ETag) > maxETagBytes || h.size() < recordHeaderSize) {
			t.Fatalf("%+v", h)
		}
	})
}

// FuzzOpen opens a folder whose segment, purge log and snapshot contain arbitrary bytes. OpenStore must either succeed
// or return an error, and the store must not return a chunk under another key.
func FuzzOpen(f *testing.F) {
	fs := vfs.NewFaultFS(1)
	store, _, err := OpenStore(fs, testOptions(), true, nil)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 5 {
		_, _ = store.Put(meta(chunkKey(i, 0), 100), body(chunkKey(i, 0), 100, 90))
	}
	_ = store.AppendPurgeRecords([]validity.Record{{Kind: validity.PurgeObject, Object: 1, PurgedAt: 5}})
	_ = store.WriteSnapshot(nil)
	_ = store.Close()
	f.Add(fs.Contents("seg-00000001.cf"), fs.Contents(snapshotName), fs.Contents(purgeLogName))
	f.Fuzz(func(t *testing.T, seg, snap, log []byte) {
		fs := vfs.NewFaultFS(1)
		files := map[string][]byte{
			formatFileName:    []byte("cairnfront disk tier 1\n"),
			"seg-00000001.cf": seg,
			snapshotName:      snap,
			purgeLogName:      log,
		}
		for name, b := range files {
			h, _ := fs.Create(name)
			_, _ = h.WriteAt(b, 0)
		}
		store, _, err := OpenStore(fs, testOptions(), true, nil)
		if err != nil {
			return
		}
		var keys []eviction.Key
		store.Each(func(key eviction.Key, _ int64, _ uint8) bool { keys = append(keys, key); return true })
		for _, key := range keys {
			if chunk, err := store.Get(key); err == nil && chunk.Key != key {
				t.Fatalf("Get returned chunk %v for key %v", chunk.Key, key)
			}
		}
		if _, err := store.Put(meta(chunkKey(1, 1), 1), []byte("x")); err != nil {
			t.Fatal(err)
		}
	})
}
