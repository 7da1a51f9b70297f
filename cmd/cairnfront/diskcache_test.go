package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/diskcache"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runCommand runs the program and returns what it printed and its exit code.
func runCommand(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	c := exec.CommandContext(t.Context(), program, args...)
	var a, b bytes.Buffer
	c.Stdout, c.Stderr = &a, &b
	_ = c.Run()
	return a.String(), b.String(), c.ProcessState.ExitCode()
}

// stoppedCacheDirectory returns the directory of a stopped edge cache's disk cache: 20 chunks of 10 objects, one of
// which was purged.
func stoppedCacheDirectory(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "disk")
	d, err := vfs.MakeDir(path)
	require.NoError(t, err)
	s, _, err := diskcache.OpenStore(d, diskcache.StoreOptions{}, false, nil)
	require.NoError(t, err)
	for i := range 20 {
		_, err := s.Put(diskcache.Meta{
			Key: eviction.Key{Object: uint64(i / 2), Chunk: uint32(i % 2)}, IssuedAt: 1000,
			ETag: "t", Rank: 2,
		}, bytes.Repeat([]byte{byte(i)}, 500))
		require.NoError(t, err)
	}
	require.NoError(t, s.AppendPurgeRecords([]validity.Record{{
		Kind: validity.PurgeObject, Object: 3, PurgedAt: 2000,
		Number: 7,
	}}))
	require.NoError(t, s.Close())
	return path
}

// Operators run the disk-cache commands on the directory of a stopped cache, sometimes because it is damaged. A command
// that miscounted or modified the directory would mislead them. Each command must print the counts of a known
// directory, and report a damaged record with exit code 1.
func TestDiskCacheCommandsOnAStoppedCache(t *testing.T) {
	path := stoppedCacheDirectory(t)
	out, _, code := runCommand(t, "disk-cache", "inspect", path)
	assert.Equal(t, 0, code)
	assert.Contains(t, out, "20 of 10 objects")
	assert.Contains(t, out, "discovery revision 7")
	out, _, code = runCommand(t, "disk-cache", "inspect", "--json", path)
	var in map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &in))
	assert.Equal(t, 20.0, in["Parts"]) //nolint:testifylint // a count is exact
	assert.Equal(t, 0, code)
	out, _, code = runCommand(t, "disk-cache", "verify", path)
	assert.Equal(t, 0, code, out)
	assert.Contains(t, out, "20 chunks are readable, 2 of them invalidated by a purge; 0 bad records")
	tar := filepath.Join(t.TempDir(), "x.tar")
	_, errs, code := runCommand(t, "disk-cache", "export", "--to", tar, path)
	assert.Equal(t, "18 chunks\n", errs)
	assert.Equal(t, 0, code)
	out, _, code = runCommand(t, "disk-cache", "compact", path)
	assert.Equal(t, 0, code, out)
	out, _, _ = runCommand(t, "disk-cache", "verify", path)
	assert.Contains(t, out, "18 chunks are readable, 0 of them invalidated")

	names, _ := filepath.Glob(filepath.Join(path, "seg-*"))
	b, err := os.ReadFile(names[len(names)-1])
	require.NoError(t, err)
	b[len(b)/2] ^= 4
	require.NoError(t, os.WriteFile(names[len(names)-1], b, 0o600))
	out, _, code = runCommand(t, "disk-cache", "verify", path)
	assert.Equal(t, 1, code)
	assert.Contains(t, out, "bad_body seg-")
	_, errs, code = runCommand(t, "disk-cache", "inspect", t.TempDir())
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "folder has no disk cache")
}

// A command that opened the directory of a running cache could destroy its segments. The commands must reject the
// directory while the cache runs, and the cache must exit with code 0 on SIGTERM.
func TestEdgeCacheLocksItsFolderAndDrains(t *testing.T) {
	path := stoppedCacheDirectory(t)
	file := filepath.Join(t.TempDir(), "o.yaml")
	require.NoError(t, os.WriteFile(file,
		[]byte(fmt.Sprintf("box:\n  rules: [{name: video}]\n  drain_s: 0.1\ntier:\n  folder: %q\n", path)), 0o600))
	_, errs, code := runCommand(t, "edge-cache", "--config", filepath.Join(t.TempDir(), "none.yaml"))
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "none.yaml")
	c := exec.CommandContext(t.Context(), program, "edge-cache", "--config", file)
	log := &logBuffer{}
	c.Stderr = log
	require.NoError(t, c.Start())
	require.Eventually(t, func() bool { return bytes.Contains([]byte(log.String()), []byte("serving")) }, waitTimeout,
		5*time.Millisecond, log)
	_, errs, code = runCommand(t, "disk-cache", "verify", path)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "in use by another process")
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	require.NoError(t, c.Wait(), log.String())
	out, _, code := runCommand(t, "disk-cache", "verify", path)
	assert.Equal(t, 0, code, out)
}

// Operators write the configuration file from the printed defaults and check it before a reload. The defaults must be
// valid, the sections of a valid file must be summarized, and a mistake must be printed with its place.
func TestConfigCommandsPrintSchemaDefaultsAndErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "o.yaml")
	out, _, code := runCommand(t, "config", "defaults")
	assert.Equal(t, 0, code)
	require.NoError(t, os.WriteFile(file, []byte(out), 0o600))
	out, errs, code := runCommand(t, "config", "check", file)
	assert.Equal(t, 0, code, errs)
	assert.Equal(t, file+" is valid\n"+
		"router      admin socket none, 0 entries of endpoint addresses, no retry budget\n"+
		"membership  listening address none, 0 routers in the roster\n"+
		"edge cache  s-00000001, role cache, 0 request classes\n"+
		"disk cache  directory none, 4096 MB\n", out)
	require.NoError(t, os.WriteFile(file, []byte("tier:\n  alpha: dear\n"), 0o600))
	_, errs, code = runCommand(t, "config", "check", file)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "o.yaml:2:10: tier.alpha")
}

// lateErrorFile accepts every write, and reports only from Close that the disk is full.
type lateErrorFile struct{ bytes.Buffer }

// Close always fails with ENOSPC.
func (*lateErrorFile) Close() error { return syscall.ENOSPC }

// The system may report a failed write only when the file is closed. The export command ignored that error, exited with
// code 0 and left a truncated tar file. The export must return the error of Close.
func TestExportReportsAnErrorOfClosing(t *testing.T) {
	count, err := exportAndClose(stoppedCacheDirectory(t), &lateErrorFile{})
	assert.Positive(t, count)
	assert.ErrorIs(t, err, syscall.ENOSPC)
}
