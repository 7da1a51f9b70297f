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

// TestFileSystemsBehaveAlike runs the same operations on Dir and FaultFS. Without faults both must behave the same.
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

// TestSyncedDataSurvivesPowerLoss simulates a power loss after an unsynced write that follows a sync. Synced data must
// survive, and the unsynced write must be lost for some seeds: a simulated disk that loses too little would hide faults
// of the store in the tests that use it.
func TestSyncedDataSurvivesPowerLoss(t *testing.T) {
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
	assert.True(t, lost, "an unsynced write must be lost for some seed")
}

// TestFaultsAreReturned fills the simulated disk, fails a read and flips a bit. Each fault must have the same effect as
// on a real disk, because the tests of the store inject faults this way.
func TestFaultsAreReturned(t *testing.T) {
	fs := NewFaultFS(1)
	file := writeFile(t, fs, "file", "0123456789")
	fs.CapacityBytes = 12
	n, err := file.WriteAt([]byte("abcdef"), 10)
	require.ErrorIs(t, err, ErrNoSpace)
	assert.Equal(t, 3, n, "a short write writes half of its bytes")
	fs.CapacityBytes = 0
	fs.FailRead = func(name string, offset int64) bool { return name == "file" && offset == 4 }
	_, err = file.ReadAt(make([]byte, 1), 4)
	require.ErrorIs(t, err, ErrIO)
	_, err = file.ReadAt(make([]byte, 1), 5)
	require.NoError(t, err)
	fs.FlipBit("file", 0, 1)
	assert.Equal(t, byte('0'^2), fs.Contents("file")[0])
}
