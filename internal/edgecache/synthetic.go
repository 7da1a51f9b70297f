package edgecache

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cairnfront/internal/config"
	"cairnfront/internal/diskcache/eviction"
)

// SyntheticOrigin generates the content of every chunk from a seed. Its exported fields must be set before use.
type SyntheticOrigin struct {
	Seed         uint64
	MinBytes     int // minimum size of a chunk
	MaxBytes     int // maximum size of a chunk
	Groups       int
	Version      func(object uint64) uint64 // number of updates of an object; if nil, objects never change
	KeyRetention time.Duration              // time for which executed idempotency keys are remembered
	OnExecute    func(id, idempotencyKey string)

	mu           sync.Mutex
	executedAt   map[string]time.Time // by idempotency key
	lastExpiryAt time.Time
}

// SyntheticHeaderBytes is the length of a synthetic chunk's header: object, chunk number, version and chunk length.
const SyntheticHeaderBytes = 24

// Get implements Origin.
func (o *SyntheticOrigin) Get(key eviction.Key) (etag string, group uint16, body []byte, ok bool) {
	version := uint64(0)
	if o.Version != nil {
		version = o.Version(key.Object)
	}
	hash := mix64(o.Seed ^ key.Object ^ uint64(key.Chunk)<<32 ^ version*0x9e3779b97f4a7c15)
	etag = fmt.Sprintf("%016x", hash)
	group = uint16(key.Object % uint64(max(o.Groups, 1)))
	return etag, group, SyntheticBody(o.Seed, key, version, o.MinBytes, o.MaxBytes), true
}

// SyntheticBody returns the content of one version of a synthetic chunk. With the seed, every byte can be verified.
func SyntheticBody(seed uint64, key eviction.Key, version uint64, minBytes, maxBytes int) []byte {
	span := uint64(max(maxBytes-minBytes+1, 1))
	size := max(minBytes+int(mix64(seed+key.Object*31+uint64(key.Chunk))%span), SyntheticHeaderBytes)
	body := make([]byte, 0, size+8)
	body = binary.BigEndian.AppendUint64(body, key.Object)
	body = binary.BigEndian.AppendUint32(body, key.Chunk)
	body = binary.BigEndian.AppendUint64(body, version)
	body = binary.BigEndian.AppendUint32(body, uint32(size))
	source := rand.NewPCG(seed^key.Object, uint64(key.Chunk)<<40^version)
	for len(body) < size {
		body = binary.LittleEndian.AppendUint64(body, source.Uint64())
	}
	return body[:size]
}

// mix64 is the 64-bit finalizer of MurmurHash3 (fmix64).
func mix64(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Execute implements Origin. For EffectIdempotencyKey, it executes the requests of one key once within KeyRetention.
func (o *SyntheticOrigin) Execute(id, _, idempotencyKey string, _ eviction.Key, effect string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if effect == config.EffectIdempotencyKey && idempotencyKey != "" && o.isRepeat(idempotencyKey) {
		return nil
	}
	if o.OnExecute != nil {
		o.OnExecute(id, idempotencyKey)
	}
	return nil
}

// isRepeat reports whether a key was executed within the retention time. If not, it records the key as executed now.
func (o *SyntheticOrigin) isRepeat(idempotencyKey string) bool {
	now := time.Now()
	o.removeExpiredKeys(now)
	if at, ok := o.executedAt[idempotencyKey]; ok && now.Sub(at) <= o.KeyRetention {
		return true
	}
	o.executedAt[idempotencyKey] = now
	return false
}

// removeExpiredKeys removes keys older than the retention time. It runs at most once per retention time.
func (o *SyntheticOrigin) removeExpiredKeys(now time.Time) {
	if o.executedAt != nil && now.Sub(o.lastExpiryAt) <= o.KeyRetention {
		return
	}
	unexpired := map[string]time.Time{}
	for key, at := range o.executedAt {
		if now.Sub(at) <= o.KeyRetention {
			unexpired[key] = at
		}
	}
	o.executedAt, o.lastExpiryAt = unexpired, now
}
