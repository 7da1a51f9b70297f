package vfs

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// Permissions of directories and files that Dir creates.
const (
	dirMode  = 0o750
	fileMode = 0o640
)

// Dir is the path of a real directory. It implements FS.
type Dir string

// MakeDir creates a directory and its parents if they do not exist.
func MakeDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return "", fmt.Errorf("create folder: %w", err)
	}
	return Dir(path), nil
}

// osFile adapts an os.File to File.
type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (f osFile) WriteAt(p []byte, offset int64) (int, error) {
	n, err := f.File.WriteAt(p, offset)
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		err = fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return n, err
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

func open(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	return open(d.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Open implements FS.
func (d Dir) Open(name string) (File, error) { return open(d.path(name), os.O_RDWR) }

// Rename implements FS.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements FS.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS with flock(2). The operating system releases the lock when the process ends.
func (d Dir) Lock(name string) (func(), error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		return nil, fmt.Errorf("%s: %w", string(d), ErrLocked)
	}
	return func() { _ = f.Close() }, nil
}
