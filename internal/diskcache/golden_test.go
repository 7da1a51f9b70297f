package diskcache

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	goldenFolder  = "testdata/golden/folder"
	goldenDamaged = "testdata/golden/damaged"
)

// writeGoldenFolder creates a folder with three segments, several chunks of one object, a replaced chunk, purge
// records, a snapshot, and records that the snapshot does not cover.
func writeGoldenFolder(t *testing.T, path string) {
	t.Helper()
	dir, err := vfs.MakeDir(path)
	require.NoError(t, err)
	salt := uint64(0)
	options := StoreOptions{
		SegmentBytes: 2048,
		Salt:         func() uint64 { salt++; return salt * 0x9e3779b97f4a7c15 },
		Clock:        func() time.Time { return time.UnixMilli(1_700_000_000_900) },
	}
	store, _, err := OpenStore(dir, options, true, nil)
	require.NoError(t, err)
	put := func(object uint64, chunk uint32, issuedAt int64, size int) {
		key := eviction.Key{Object: object, Chunk: chunk}
		info := Meta{
			Key:      key,
			Group:    uint16(object % 5),
			Rank:     uint8(object % 4),
			IssuedAt: issuedAt,
			ETag:     fmt.Sprintf("v%d", issuedAt),
		}
		if object == 9 {
			info.Group = validity.UnknownGroup
		}
		_, err := store.Put(info, body(key, issuedAt, size))
		require.NoError(t, err)
	}
	for chunk := range uint32(5) {
		put(7, chunk, 1000+int64(chunk), 200+int(chunk)*37)
	}
	for object := range uint64(6) {
		put(object, 0, 1500, 150+int(object))
	}
	put(7, 2, 2000, 99)
	require.NoError(t, store.AppendPurgeRecords([]validity.Record{
		{Kind: validity.Checkpoint, Number: 40, Checksum: 0xabcdef01, WrittenAt: 1_700_000_000_000},
		{
			Kind: validity.PurgeObject, Object: 3, PurgedAt: 1600, Number: 41, Checksum: 0x11223344,
			WrittenAt: 1_700_000_000_100,
		},
		{
			Kind: validity.PurgeGroup, Group: 4, PurgedAt: 1700, Number: 42, Checksum: 0x55667788,
			WrittenAt: 1_700_000_000_200,
		},
		{Kind: validity.EventGap, Seq: 3, WrittenAt: 1_700_000_000_300},
		{Kind: validity.PurgeFloor, PurgedAt: 900, WrittenAt: 1_700_000_000_400},
	}))
	require.NoError(t, store.WriteSnapshot(func(key eviction.Key) (eviction.AccessHistory, bool) {
		return eviction.AccessHistory{MeanGap: float64(key.Object) + 0.5, LastAccess: 1_700_000_000}, key.Object != 2
	}))
	put(9, 0, 2500, 333)
	put(8, 1, 2600, 0)
	put(8, 0, 2600, 1200)
	require.NoError(t, store.Close())
}

func copyFolder(t *testing.T, from string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "folder")
	require.NoError(t, os.CopyFS(path, os.DirFS(from)))
	return path
}

// describeFolder opens a folder and returns a text with the faults, the purge records and every chunk with its hash.
func describeFolder(t *testing.T, path string) string {
	t.Helper()
	var out strings.Builder
	store, report, err := OpenStore(vfs.Dir(path), StoreOptions{}, true, func(fault StoreError) {
		fmt.Fprintf(&out, "fault %s %s %d object=%d chunk=%d: %v\n",
			fault.Code, fault.File, fault.Offset, fault.Key.Object, fault.Key.Chunk, fault.Err)
	})
	require.NoError(t, err)
	for _, r := range report.Records {
		fmt.Fprintf(&out, "record kind=%d group=%d object=%d at=%d number=%d sum=%08x clock=%d seq=%d\n",
			r.Kind, r.Group, r.Object, r.PurgedAt, r.Number, r.Checksum, r.WrittenAt, r.Seq)
	}
	live, all := store.Sizes()
	fmt.Fprintf(&out, "live=%d all=%d last-seq=%d oldest=%d log=%d chunks=%d\n",
		live, all, store.LastSeq(), store.OldestIssuedAt(), store.PurgeLogBytes(), store.Chunks())
	for _, key := range store.keys() {
		chunk, err := store.Get(key)
		if err != nil {
			fmt.Fprintf(&out, "%016x/%d: %v\n", key.Object, key.Chunk, err)
			continue
		}
		history, known := report.AccessHistories[key]
		fmt.Fprintf(&out, "%016x/%d seq=%d group=%d rank=%d at=%d tag=%s bytes=%d known=%v gap=%v last=%v sha256=%x\n",
			key.Object, key.Chunk, chunk.Seq, chunk.Group, chunk.Rank, chunk.IssuedAt, chunk.ETag, len(chunk.Body),
			known, history.MeanGap, history.LastAccess, sha256.Sum256(chunk.Body))
	}
	require.NoError(t, store.Close())
	return out.String()
}

// TestGoldenFolderIsReadAsWritten reads a folder written by an earlier version, and a damaged copy of it. With an
// incompatible change of the format, all installations would lose their cached chunks at an update.
func TestGoldenFolderIsReadAsWritten(t *testing.T) {
	if os.Getenv(golden.UpdateVariable) == "1" {
		require.NoError(t, os.RemoveAll(goldenFolder))
		writeGoldenFolder(t, goldenFolder)
		writeDamagedFolder(t)
	}
	golden.Compare(t, "golden/folder.txt", describeFolder(t, copyFolder(t, goldenFolder)))
	golden.Compare(t, "golden/damaged.txt", describeFolder(t, copyFolder(t, goldenDamaged)))
}

// writeDamagedFolder copies the golden folder, flips a bit in a record header and in a body, truncates a segment and
// appends garbage to the purge log.
func writeDamagedFolder(t *testing.T) {
	t.Helper()
	require.NoError(t, os.RemoveAll(goldenDamaged))
	require.NoError(t, os.CopyFS(goldenDamaged, os.DirFS(goldenFolder)))
	change := func(name string, edit func([]byte) []byte) {
		path := filepath.Join(goldenDamaged, name)
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, edit(content), 0o600))
	}
	change("seg-00000001.cf", func(b []byte) []byte {
		b[segmentHeaderSize+20] ^= 1
		b[len(b)-9] ^= 4
		return b
	})
	change("seg-00000002.cf", func(b []byte) []byte { return b[:len(b)-40] })
	change("notices.log", func(b []byte) []byte { return append(b, "garbage"...) })
}

// TestGoldenFolderIsWrittenTheSame compares the written files byte by byte. The snapshot is excluded, because it lists
// the segments in random order; TestGoldenFolderIsReadAsWritten covers it.
func TestGoldenFolderIsWrittenTheSame(t *testing.T) {
	path := filepath.Join(t.TempDir(), "folder")
	writeGoldenFolder(t, path)
	wantNames, err := vfs.Dir(goldenFolder).List()
	require.NoError(t, err)
	names, err := vfs.Dir(path).List()
	require.NoError(t, err)
	assert.Equal(t, wantNames, names)
	for _, name := range names {
		if name == snapshotName {
			continue
		}
		want, err := os.ReadFile(filepath.Join(goldenFolder, name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(path, name))
		require.NoError(t, err)
		assert.Equal(t, hex.Dump(want), hex.Dump(got), name)
	}
	assert.Equal(t, describeFolder(t, copyFolder(t, goldenFolder)), describeFolder(t, path))
}

// TestGoldenHeaderBytes compares the encoded headers with the bytes specified in docs/disk-cache-format.md.
func TestGoldenHeaderBytes(t *testing.T) {
	info := Meta{
		Key:      eviction.Key{Object: 0x0102030405060708, Chunk: 0x0a0b0c0d},
		Group:    0x1122,
		Rank:     3,
		IssuedAt: 0x21222324252627,
		ETag:     "4be0c1927d55a6f3",
		Seq:      0x31323334353637,
	}
	const salt = 0x4142434445464748
	torn := recordHeader{Meta: info, bodyLen: 10, bodyChecksum: 0x81828384}
	text := "segment\n" + hex.Dump(appendSegmentHeader(nil, 0x51525354, salt, 0x61626364656667)) +
		"record\n" + hex.Dump(appendRecord(nil, salt, info, []byte("some bytes"), 0x71727374757677)) +
		"struck\n" + hex.Dump(appendRecordHeader(nil, salt, torn, 0, kindTorn))
	golden.Compare(t, "golden/headers.txt", text)
}

// TestGoldenInspectionJSON checks the JSON keys of the tools' output, which differ from the names of the Go fields.
func TestGoldenInspectionJSON(t *testing.T) {
	result, err := Inspect(copyFolder(t, goldenFolder))
	require.NoError(t, err)
	result.Took = 0
	text, err := json.MarshalIndent(result, "", " ")
	require.NoError(t, err)
	golden.Compare(t, "golden/inspect.json", string(text)+"\n")
}

// TestGoldenPowerLoss checks that power-loss runs of fixed seeds have the same results as before.
func TestGoldenPowerLoss(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(4) {
		for _, powerLossAt := range []int{0, 3, 11, 24, 47, 80, 113} {
			result := RunPowerLoss(seed, powerLossAt)
			fmt.Fprintf(&text, "seed %d cut %d: ops=%d checked=%d recovered=%d purges=%d violations=%d\n",
				seed, powerLossAt, result.Ops, result.Checked, result.Recovered, result.Purges, len(result.Violations))
		}
	}
	golden.Compare(t, "golden/powerloss.txt", text.String())
}
