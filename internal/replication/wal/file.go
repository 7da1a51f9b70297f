package wal

import (
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/vfs"
)

// readFile returns the content of a file.
func readFile(fs vfs.FS, name string) ([]byte, error) {
	file, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	content := make([]byte, size)
	if size > 0 {
		if _, err := file.ReadAt(content, 0); err != nil {
			return nil, err
		}
	}
	return content, nil
}

// replaceFile replaces a file atomically. The new content survives a power loss.
func replaceFile(fs vfs.FS, name string, content []byte) error {
	if err := writeTemporary(fs, name+temporarySuffix, content); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := fs.Rename(name+temporarySuffix, name); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := fs.SyncDir(); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

func writeTemporary(fs vfs.FS, name string, content []byte) error {
	file, err := fs.Create(name)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(content, 0)
	return errors.Join(err, file.Sync(), file.Close())
}
