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

// SyntheticOrigin generates every chunk from a seed. Its exported fields are set before use.
type SyntheticOrigin struct {
	Seed         uint64
	MinBytes     int // of a chunk
	MaxBytes     int // of a chunk
	Groups       int
	Version      func(object uint64) uint64 // how often an object was published again; nil for never
	KeyRetention time.Duration              // for which idempotency keys are remembered
	OnExecute    func(id, idempotencyKey string)

	mu       sync.Mutex
	executed map[string]time.Time // by idempotency key
	sweptAt  time.Time
}

// SyntheticHeaderBytes is the length of the header of a synthetic chunk: object, chunk, version and length.
const SyntheticHeaderBytes = 24

// Get implements Origin.
func (o *SyntheticOrigin) Get(key eviction.Key) (tag string, group uint16, body []byte, ok bool) {
	version := uint64(0)
	if o.Version != nil {
		version = o.Version(key.Object)
	}
	hash := mix(o.Seed ^ key.Object ^ uint64(key.Chunk)<<32 ^ version*0x9e3779b97f4a7c15)
	tag = fmt.Sprintf("%016x", hash)
	group = uint16(key.Object % uint64(max(o.Groups, 1)))
	return tag, group, SyntheticBody(o.Seed, key, version, o.MinBytes, o.MaxBytes), true
}

// SyntheticBody returns a version of a synthetic chunk. Whoever knows the seed can verify every byte of it.
func SyntheticBody(seed uint64, key eviction.Key, version uint64, minBytes, maxBytes int) []byte {
	span := uint64(max(maxBytes-minBytes+1, 1))
	size := max(minBytes+int(mix(seed+key.Object*31+uint64(key.Chunk))%span), SyntheticHeaderBytes)
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

// mix is a 64-bit finalizer.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Execute implements Origin.
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

// isRepeat reports whether a key was seen within the retention time, and remembers it if not.
func (o *SyntheticOrigin) isRepeat(idempotencyKey string) bool {
	now := time.Now()
	o.sweep(now)
	if at, ok := o.executed[idempotencyKey]; ok && now.Sub(at) <= o.KeyRetention {
		return true
	}
	o.executed[idempotencyKey] = now
	return false
}

// sweep forgets keys older than the retention time, once in that time.
func (o *SyntheticOrigin) sweep(now time.Time) {
	if o.executed != nil && now.Sub(o.sweptAt) <= o.KeyRetention {
		return
	}
	recent := map[string]time.Time{}
	for key, at := range o.executed {
		if now.Sub(at) <= o.KeyRetention {
			recent[key] = at
		}
	}
	o.executed, o.sweptAt = recent, now
}
