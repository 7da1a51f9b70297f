package vfs

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func writeFile(t *testing.T, fs FS, name, content string) File {
	t.Helper()
	file, err := fs.Create(name)
	require.NoError(t, err)
	_, err = file.WriteAt([]byte(content), 0)
	require.NoError(t, err)
	return file
}

// Both file systems behave alike while nothing fails.
func TestFileSystemsBehaveAlike(t *testing.T) {
	dir, err := MakeDir(t.TempDir() + "/a/b")
	require.NoError(t, err)
	for name, fs := range map[string]FS{"dir": dir, "fault": NewFaultFS(1)} {
		t.Run(name, func(t *testing.T) {
			release, err := fs.Lock("LOCK")
			require.NoError(t, err)
			_, err = fs.Lock("LOCK")
			require.ErrorIs(t, err, ErrLocked)
			release()
			again, err := fs.Lock("LOCK")
			require.NoError(t, err)
			again()

			file := writeFile(t, fs, "one", "hello")
			require.NoError(t, file.Truncate(4))
			require.NoError(t, file.Sync())
			size, err := file.Size()
			require.NoError(t, err)
			assert.Equal(t, int64(4), size)
			require.NoError(t, fs.Rename("one", "two"))
			require.NoError(t, fs.SyncDir())
			_, err = fs.Open("one")
			require.ErrorIs(t, err, ErrNotExist)
			file, err = fs.Open("two")
			require.NoError(t, err)
			buf := make([]byte, 9)
			n, err := file.ReadAt(buf, 1)
			require.ErrorIs(t, err, io.EOF)
			assert.Equal(t, "ell", string(buf[:n]))
			names, err := fs.List()
			require.NoError(t, err)
			assert.Contains(t, names, "two")
			require.NoError(t, fs.Remove("two"))
			assert.ErrorIs(t, fs.Remove("two"), ErrNotExist)
		})
	}
}

// TestPowerLossKeepsWhatWasSynced loses the power between a sync and a later write, on the faulty disk that the
// other tests use. A disk that loses too little hides faults of the store. What was synced must be there, and the
// later write must be lost in some runs.
func TestPowerLossKeepsWhatWasSynced(t *testing.T) {
	lost := false
	for seed := range uint64(20) {
		fs := NewFaultFS(seed)
		file := writeFile(t, fs, "file", "synced")
		require.NoError(t, file.Sync())
		require.NoError(t, fs.SyncDir())
		_, err := file.WriteAt([]byte("UNSYNC"), 0)
		require.NoError(t, err)
		fs.PowerLossAfter = 1
		require.ErrorIs(t, fs.SyncDir(), ErrPowerLoss)
		_, err = fs.List()
		require.ErrorIs(t, err, ErrPowerLoss)
		fs.Restart()
		content := string(fs.Contents("file"))
		assert.Contains(t, []string{"synced", "UNSYNC"}, content, "a sector is written completely or not at all")
		lost = lost || content == "synced"
	}
	assert.True(t, lost, "an unsynced write can be lost")
}

// TestFaultsAreReturned fills the faulty disk, fails a read and flips a bit. Faults that it does not play would
// leave the tests of the store without a cause to fail. Each must show as it does on a real disk.
func TestFaultsAreReturned(t *testing.T) {
	fs := NewFaultFS(1)
	file := writeFile(t, fs, "file", "0123456789")
	fs.CapacityBytes = 12
	n, err := file.WriteAt([]byte("abcdef"), 10)
	require.ErrorIs(t, err, ErrNoSpace)
	assert.Equal(t, 3, n, "half of it is written")
	fs.CapacityBytes = 0
	fs.FailRead = func(name string, offset int64) bool { return name == "file" && offset == 4 }
	_, err = file.ReadAt(make([]byte, 1), 4)
	require.ErrorIs(t, err, ErrIO)
	_, err = file.ReadAt(make([]byte, 1), 5)
	require.NoError(t, err)
	fs.FlipBit("file", 0, 1)
	assert.Equal(t, byte('0'^2), fs.Contents("file")[0])
}
