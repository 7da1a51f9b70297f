// Package disk is the file system as the store sees it: one folder without sub-folders, whose files are read and
// written at places. Dir is the real one; Faulty loses power, fills up, hangs and flips bits when it is told to.
package vfs

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// Errors that a caller tells apart. Both file systems wrap them.
var (
	ErrNoSpace  = errors.New("no space left")
	ErrLocked   = errors.New("in use by another process")
	ErrNotExist = fs.ErrNotExist
)

// File is an open file. ReadAt and WriteAt may be called from several goroutines.
type File interface {
	ReadAt(p []byte, at int64) (int, error)
	WriteAt(p []byte, at int64) (int, error)
	Size() (int64, error)
	Truncate(size int64) error
	// Sync returns once all that was written before it outlasts a loss of power.
	Sync() error
	Close() error
}

// FS is a folder. Names hold no separators. What Create, Rename and Remove did outlasts a loss of power only after
// the next SyncDir.
type FS interface {
	Create(name string) (File, error) // empty, for reading and writing
	Open(name string) (File, error)   // for reading and writing; ErrGone where there is none
	Rename(from, to string) error     // takes the place of what stands there
	Remove(name string) error
	List() ([]string, error) // in order
	SyncDir() error
	// Lock takes the folder for this process until it is let go; ErrInUse where another has it.
	Lock(name string) (release func(), err error)
}

// Dir is a real folder.
type Dir string

// MakeDir makes the folder if it is not there.
func MakeDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return "", fmt.Errorf("making the folder: %w", err)
	}
	return Dir(path), nil
}

type file struct{ *os.File }

func (f file) Size() (int64, error) {
	s, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return s.Size(), nil
}

func (f file) WriteAt(p []byte, at int64) (int, error) {
	n, err := f.File.WriteAt(p, at)
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		err = fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return n, err
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

func open(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, 0o640)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
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

// Lock implements FS. The lock ends with the process, however that ends.
func (d Dir) Lock(name string) (func(), error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", string(d), ErrLocked)
	}
	return func() { _ = f.Close() }, nil
}
