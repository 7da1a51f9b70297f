package statemachine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
)

// A snapshot consists of a line that identifies the format, the encoded state, and a CRC32C of both
// in big-endian order. The line is part of the format on disk: "ledger slice" means a shard of this
// package.
const (
	snapshotMagic   = "cairnfront ledger slice\n"
	snapshotVersion = 1
	checksumBytes   = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type encodedState struct {
	Version      uint          `cbor:"1,keyasint"`
	Now          float64       `cbor:"2,keyasint"`
	Revision     uint64        `cbor:"3,keyasint"`
	Reservations []Reservation `cbor:"4,keyasint"`
}

// Snapshot encodes the state. Replicas that applied the same commands return the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	state := encodedState{
		Version:      snapshotVersion,
		Now:          s.now,
		Revision:     s.revision,
		Reservations: make([]Reservation, 0, len(s.byKey)),
	}
	s.Ascend(func(r Reservation) bool {
		state.Reservations = append(state.Reservations, r)
		return true
	})
	body, err := encoding.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	snapshot := append([]byte(snapshotMagic), body...)
	return binary.BigEndian.AppendUint32(snapshot, crc32.Checksum(snapshot, castagnoli)), nil
}

// Restore decodes a snapshot. It rejects a newer version with ErrNewerVersion; unknown fields of
// the current version are skipped.
func Restore(snapshot []byte) (*State, error) {
	if len(snapshot) < len(snapshotMagic)+checksumBytes || !bytes.HasPrefix(snapshot, []byte(snapshotMagic)) {
		return nil, fmt.Errorf("%w: not a snapshot of a shard", ErrInvalid)
	}
	content, checksum := snapshot[:len(snapshot)-checksumBytes], snapshot[len(snapshot)-checksumBytes:]
	if crc32.Checksum(content, castagnoli) != binary.BigEndian.Uint32(checksum) {
		return nil, fmt.Errorf("%w: checksum of the snapshot does not match", ErrInvalid)
	}
	var state encodedState
	if err := decoding.Unmarshal(content[len(snapshotMagic):], &state); err != nil {
		return nil, fmt.Errorf("%w: decode snapshot: %w", ErrInvalid, err)
	}
	if state.Version > snapshotVersion {
		return nil, fmt.Errorf("%w: version %d, this program reads %d", ErrNewerVersion, state.Version, snapshotVersion)
	}
	s := New()
	s.now = state.Now
	s.revision = state.Revision
	slices.SortStableFunc(state.Reservations, func(a, b Reservation) int {
		return cmp.Compare(a.removeAt(), b.removeAt())
	})
	for _, r := range state.Reservations {
		if r.Key == "" || r.Kind == 0 {
			return nil, fmt.Errorf("%w: reservation without a key or kind", ErrInvalid)
		}
		s.put(r)
	}
	return s, nil
}
