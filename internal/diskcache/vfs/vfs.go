// Package vfs is the file system interface of the disk cache and the write-ahead log: one directory without
// subdirectories, whose files are read and written at offsets.
//
// [Dir] is a real directory. [FaultFS] is an in-memory directory that simulates power losses, full disks, hangs and
// flipped bits. The package does not cache, buffer or retry anything.
package vfs

import (
	"errors"
	"io/fs"
)

// Errors that callers distinguish. Both implementations of FS wrap them.
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
	// Sync makes earlier writes and truncations durable: after it returns nil, they survive a power loss.
	Sync() error
	Close() error
}

// FS is a directory. Names contain no separators. The effects of Create, Rename and Remove survive a power loss only
// after the next SyncDir.
type FS interface {
	// Create creates a file, or truncates an existing one, and opens it for reading and writing.
	Create(name string) (File, error)
	// Open opens a file for reading and writing. It returns ErrNotExist if there is none.
	Open(name string) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files in lexical order.
	List() ([]string, error)
	SyncDir() error
	// Lock locks the directory for this process until release is called. It returns ErrLocked if it is locked already.
	Lock(name string) (release func(), err error)
}
