// Package vfs is the file system as the disk cache and the write-ahead log see it: one directory without
// subdirectories, whose files are read and written at offsets.
//
// [Dir] is a real directory. [FaultFS] is one in memory that loses power, fills up, hangs and flips bits on request.
// The package does not cache, buffer or retry anything.
package vfs

import (
	"errors"
	"io/fs"
)

// Errors that callers tell apart. Both file systems wrap them.
var (
	ErrNoSpace  = errors.New("no space left")
	ErrLocked   = errors.New("in use by another process")
	ErrNotExist = fs.ErrNotExist
)

// File is an open file. ReadAt and WriteAt may be called concurrently.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	Size() (int64, error)
	Truncate(size int64) error
	// Sync returns once everything written before survives a power loss.
	Sync() error
	Close() error
}

// FS is a directory. Names contain no separators. What Create, Rename and Remove did survives a power loss only after
// the next SyncDir.
type FS interface {
	// Create makes an empty file, or empties an existing one, and opens it for reading and writing.
	Create(name string) (File, error)
	// Open opens a file for reading and writing; ErrNotExist if there is none.
	Open(name string) (File, error)
	// Rename replaces an existing file of the new name.
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files in order.
	List() ([]string, error)
	SyncDir() error
	// Lock takes the directory for this process until release is called; ErrLocked if another process holds it.
	Lock(name string) (release func(), err error)
}
