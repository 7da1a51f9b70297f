package wal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/vfs"
)

// Identity identifies the owner of a folder.
type Identity struct {
	ID         uint64 // replica ID, drawn when the folder was created
	Owner      string // name of the router
	StartCount uint32 // times the folder was opened; lower in a restored copy than the count its peers know
}

// Offsets in the identity file: version (1), ID (8), start count (4), owner, checksum (4).
const (
	identityIDOffset         = 1
	identityStartCountOffset = 9
	identityOwnerOffset      = 13
)

// openIdentity reads or creates the identity, and increments its start count.
func (w *WAL) openIdentity(owner string, drawID func() uint64) error {
	content, err := readFile(w.fs, identityFile)
	switch {
	case errors.Is(err, vfs.ErrNotExist):
		w.identity = Identity{ID: drawID() | 1, Owner: owner} // never 0: in raft, ID 0 means no node
	case err != nil:
		return fmt.Errorf("read identity of write-ahead log: %w", err)
	default:
		if w.identity, err = parseIdentity(content); err != nil {
			return err
		}
		if w.identity.Owner != owner {
			return fmt.Errorf("%w: %q, this router is %q", ErrForeignOwner, w.identity.Owner, owner)
		}
	}
	w.identity.StartCount++
	return replaceFile(w.fs, identityFile, encodeIdentity(w.identity))
}

func encodeIdentity(identity Identity) []byte {
	content := []byte{formatVersion}
	content = binary.BigEndian.AppendUint64(content, identity.ID)
	content = binary.BigEndian.AppendUint32(content, identity.StartCount)
	content = append(content, identity.Owner...)
	return appendChecksum(content)
}

func parseIdentity(content []byte) (Identity, error) {
	body, ok := cutChecksum(content)
	if !ok || len(body) < identityOwnerOffset {
		return Identity{}, fmt.Errorf("%w: file %s", ErrCorrupt, identityFile)
	}
	if body[0] > formatVersion {
		return Identity{}, fmt.Errorf("%w: version %d, this program reads %d", ErrNewerVersion, body[0], formatVersion)
	}
	return Identity{
		ID:         binary.BigEndian.Uint64(body[identityIDOffset:]),
		Owner:      string(body[identityOwnerOffset:]),
		StartCount: binary.BigEndian.Uint32(body[identityStartCountOffset:]),
	}, nil
}
