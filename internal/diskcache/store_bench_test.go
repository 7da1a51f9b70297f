package diskcache

import (
	"fmt"
	"path/filepath"
	"runtime"
	"testing"

	"cairnfront/internal/diskcache/vfs"

	"github.com/stretchr/testify/require"
)

// openBenchStore opens a store in a temporary folder of the operating system.
func openBenchStore(b *testing.B) *Store {
	b.Helper()
	dir, err := vfs.MakeDir(filepath.Join(b.TempDir(), "t"))
	require.NoError(b, err)
	store, _, err := OpenStore(dir, StoreOptions{}, false, nil)
	require.NoError(b, err)
	b.Cleanup(func() { _ = store.Close() })
	return store
}

func BenchmarkPut(b *testing.B) {
	for _, n := range []int{4 << 10, 100 << 10} {
		b.Run(fmt.Sprint(n>>10, "KB"), func(b *testing.B) {
			store := openBenchStore(b)
			x := body(chunkKey(1, 1), 1, n)
			b.SetBytes(int64(n))
			b.ReportAllocs()
			for i := range b.N {
				_, _ = store.Put(meta(chunkKey(i%500, 0), 1), x)
			}
		})
	}
}

func BenchmarkGet(b *testing.B) {
	for _, n := range []int{4 << 10, 100 << 10} {
		b.Run(fmt.Sprint(n>>10, "KB"), func(b *testing.B) {
			store := openBenchStore(b)
			for i := range 500 {
				_, _ = store.Put(meta(chunkKey(i, 0), 1), body(chunkKey(i, 0), 1, n))
			}
			b.SetBytes(int64(n))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				_, _ = store.Get(chunkKey(i*37%500, 0))
			}
		})
	}
}

// BenchmarkOpen opens a store with a million chunks of 24 bytes, with and without a snapshot. It reports the heap size
// of the index per chunk and the peak heap size.
func BenchmarkOpen(b *testing.B) {
	const chunks = 1_000_000
	dir, _ := vfs.MakeDir(filepath.Join(b.TempDir(), "t"))
	store, _, err := OpenStore(dir, StoreOptions{}, false, nil)
	require.NoError(b, err)
	for i := range chunks {
		_, err := store.Put(
			Meta{Key: chunkKey(i/15, i%15), IssuedAt: 1, ETag: "4be0c1927d55a6f3"},
			[]byte("a body of 24 bytes, so. "),
		)
		require.NoError(b, err)
	}
	require.NoError(b, store.Close())
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			if snapshot {
				store, _, err := OpenStore(dir, StoreOptions{}, false, nil)
				require.NoError(b, err)
				require.NoError(b, store.WriteSnapshot(nil))
				require.NoError(b, store.Close())
			}
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				store, report, err := OpenStore(dir, StoreOptions{}, false, nil)
				require.NoError(b, err)
				runtime.ReadMemStats(&after)
				peakHeapMB := float64(after.HeapSys-after.HeapReleased) / (1 << 20)
				runtime.GC()
				runtime.ReadMemStats(&after)
				require.Equal(b, chunks, report.Chunks)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/chunks, "B/chunk")
				b.ReportMetric(peakHeapMB, "MB-heap")
				b.ReportMetric(report.Took.Seconds(), "s/open")
				require.NoError(b, store.Close())
			}
		})
	}
}
