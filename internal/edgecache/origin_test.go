package edgecache

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairnfront/internal/config"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenSyntheticHash is the SHA-256 hash of 150 synthetic chunks, generated before the origin type was renamed.
const goldenSyntheticHash = "2aafbf97907ba656a409d444a07a92ca4a6883807df0ae73476ff299e590e002"

// TestGoldenSyntheticChunks checks that the synthetic content for a seed never changes, by its hash. If the same seed
// produced other bytes, recordings of earlier runs could no longer be verified.
func TestGoldenSyntheticChunks(t *testing.T) {
	origin := &SyntheticOrigin{Seed: 7, MinBytes: 100, MaxBytes: 3000, Groups: 16}
	hash := sha256.New()
	for object := range uint64(50) {
		for chunk := range uint32(3) {
			etag, group, body, ok := origin.Get(eviction.Key{Object: object * 977, Chunk: chunk})
			_, _ = fmt.Fprintf(hash, "%s %d %v %d\n", etag, group, ok, len(body))
			_, _ = hash.Write(body)
		}
	}
	assert.Equal(t, goldenSyntheticHash, hex.EncodeToString(hash.Sum(nil)))
}

// TestSyntheticOriginExecutesIdempotencyKeyOnce sends the same idempotency key several times. The router's tests rely
// on the origin executing a key once within the retention time, and again after that time has passed.
func TestSyntheticOriginExecutesIdempotencyKeyOnce(t *testing.T) {
	var executed []string
	origin := &SyntheticOrigin{
		KeyRetention: time.Minute,
		OnExecute:    func(id, _ string) { executed = append(executed, id) },
	}
	key := eviction.Key{Object: 1}
	require.NoError(t, origin.Execute("1", "order", "k", key, config.EffectIdempotencyKey))
	require.NoError(t, origin.Execute("2", "order", "k", key, config.EffectIdempotencyKey))
	require.NoError(t, origin.Execute("3", "order", "other", key, config.EffectIdempotencyKey))
	require.NoError(t, origin.Execute("4", "order", "k", key, ""))
	assert.Equal(t, []string{"1", "3", "4"}, executed)
	origin.KeyRetention = 0
	time.Sleep(time.Millisecond)
	require.NoError(t, origin.Execute("5", "order", "k", key, config.EffectIdempotencyKey))
	assert.Equal(t, "5", executed[len(executed)-1], "the retention time of the key has passed")
}

// TestDirOriginServesFiles requests an existing file and a missing one. The missing file must be reported as not found,
// and a request to execute something must be rejected because the origin is read-only.
func TestDirOriginServesFiles(t *testing.T) {
	directory := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(directory, "000000000000000a"), 0o750))
	require.NoError(t, os.WriteFile(filepath.Join(directory, "000000000000000a", "2"), []byte("content"), 0o600))
	origin := DirOrigin(directory)
	etag, group, body, ok := origin.Get(eviction.Key{Object: 10, Chunk: 2})
	assert.True(t, ok)
	assert.Regexp(t, "^7-[0-9a-f]+$", etag)
	assert.Equal(t, uint16(validity.UnknownGroup), group)
	assert.Equal(t, "content", string(body))
	_, _, _, ok = origin.Get(eviction.Key{Object: 10, Chunk: 3})
	assert.False(t, ok)
	assert.ErrorIs(t, origin.Execute("1", "order", "", eviction.Key{}, ""), errReadOnlyOrigin)
}

// TestServeRejectsConfigurationWithoutClasses starts an edge cache without request classes. Such a cache would answer
// every request with an error, which looks like a router fault, so the start must fail.
func TestServeRejectsConfigurationWithoutClasses(t *testing.T) {
	assert.ErrorIs(t, Serve(t.Context(), config.File{}, os.Stderr, nil), errNoClasses)
}
