package edgecache

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
)

// Origin provides content and executes requests of classes that are not cacheable.
type Origin interface {
	// Get returns the current content of a chunk. ok is false if the origin does not have the chunk.
	Get(key eviction.Key) (etag string, group uint16, body []byte, ok bool)
	// Execute executes a request. effect is the effect of its class, one of the Effect constants of package config. For
	// EffectIdempotencyKey, a request whose idempotency key has been executed before may succeed without being executed
	// again.
	Execute(id, class, idempotencyKey string, key eviction.Key, effect string) error
}

// DirOrigin serves the files OBJECT/CHUNK of a directory. An ETag consists of the file's size and modification time. A
// DirOrigin is read-only: it executes no requests.
type DirOrigin string

// Get implements Origin.
func (d DirOrigin) Get(key eviction.Key) (etag string, group uint16, body []byte, ok bool) {
	path := filepath.Join(string(d), fmt.Sprintf("%016x", key.Object), strconv.FormatUint(uint64(key.Chunk), 10))
	info, err := os.Stat(path)
	if err != nil || info.Size() > cacheproto.MaxObjectBytes {
		return "", 0, nil, false
	}
	body, err = os.ReadFile(path)
	if err != nil {
		return "", 0, nil, false
	}
	etag = fmt.Sprintf("%x-%x", info.Size(), clock.UnixNanos(info.ModTime()))
	return etag, validity.UnknownGroup, body, true
}

var errReadOnlyOrigin = errors.New("origin is read-only")

// Execute implements Origin.
func (d DirOrigin) Execute(string, string, string, eviction.Key, string) error {
	return errReadOnlyOrigin
}
