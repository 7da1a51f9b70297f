package edgecache

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
)

// Origin is where bytes come from and where writes run.
type Origin interface {
	// Give returns a part as it is now; ok is false where there is none.
	Get(k eviction.Key) (tag string, group uint16, body []byte, ok bool)
	// Run carries out a write; a keyed one whose key it knows is completed without running again.
	Execute(id, rule, key string, k eviction.Key, effect string) error
}

// Maker makes every part from a seed. Version tells how often an object was published anew; nil is never.
type SyntheticOrigin struct {
	Seed               uint64
	MinBytes, MaxBytes int // bytes of a part
	Groups             int
	Version            func(object uint64) uint64
	KeyRetention       time.Duration // for which keys of writes are remembered
	OnExecute          func(id, key string)

	mu   sync.Mutex
	keys map[string]time.Time
	old  time.Time
}

// MadeHead is how many bytes at the front of a made part say what it is: object, part, version, length.
const SyntheticHeaderBytes = 24

// Give implements Origin.
func (m *SyntheticOrigin) Get(k eviction.Key) (string, uint16, []byte, bool) {
	v := uint64(0)
	if m.Version != nil {
		v = m.Version(k.Object)
	}
	b := SyntheticBody(m.Seed, k, v, m.MinBytes, m.MaxBytes)
	return fmt.Sprintf("%016x", mix(m.Seed^k.Object^uint64(k.Chunk)<<32^v*0x9e3779b97f4a7c15)), uint16(k.Object % uint64(max(m.Groups, 1))), b, true
}

// MadeBody is a part as it is made: who knows the seed can tell every byte of it.
func SyntheticBody(seed uint64, k eviction.Key, version uint64, least, most int) []byte {
	n := max(least+int(mix(seed+k.Object*31+uint64(k.Chunk))%uint64(max(most-least+1, 1))), SyntheticHeaderBytes)
	b := make([]byte, 0, n+8)
	b = binary.BigEndian.AppendUint64(b, k.Object)
	b = binary.BigEndian.AppendUint32(b, k.Chunk)
	b = binary.BigEndian.AppendUint64(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	r := rand.NewPCG(seed^k.Object, uint64(k.Chunk)<<40^version)
	for len(b) < n {
		b = binary.LittleEndian.AppendUint64(b, r.Uint64())
	}
	return b[:n]
}

func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Run implements Origin.
func (m *SyntheticOrigin) Execute(id, _, key string, _ eviction.Key, effect string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if effect == "keyed" && key != "" {
		if m.keys == nil || now.Sub(m.old) > m.KeyRetention {
			fresh := map[string]time.Time{}
			for k, at := range m.keys {
				if now.Sub(at) <= m.KeyRetention {
					fresh[k] = at
				}
			}
			m.keys, m.old = fresh, now
		}
		if at, ok := m.keys[key]; ok && now.Sub(at) <= m.KeyRetention {
			return nil
		}
		m.keys[key] = now
	}
	if m.OnExecute != nil {
		m.OnExecute(id, key)
	}
	return nil
}

// Folder gives out files OBJECT/PART; its tags are made of size and time of change. It runs no writes.
type DirOrigin string

// Give implements Origin.
func (f DirOrigin) Get(k eviction.Key) (string, uint16, []byte, bool) {
	path := filepath.Join(string(f), fmt.Sprintf("%016x", k.Object), fmt.Sprint(k.Chunk))
	info, err := os.Stat(path)
	if err != nil || info.Size() > mostBody {
		return "", 0, nil, false
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", 0, nil, false
	}
	return fmt.Sprintf("%x-%x", info.Size(), info.ModTime().UnixNano()), validity.UnknownGroup, b, true
}

var errNoWrites = errors.New("this origin runs no writes")

// Run implements Origin.
func (f DirOrigin) Execute(string, string, string, eviction.Key, string) error { return errNoWrites }
