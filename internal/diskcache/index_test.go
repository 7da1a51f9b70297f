package diskcache

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"

	"pgregory.net/rapid"
)

// TestIndexMatchesMap applies random puts and removals to the index and to a map. Both must have the same content. A
// removal that breaks a probe sequence of the table would lose chunks that are on the disk.
func TestIndexMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x index
		want := map[eviction.Key]uint64{}
		for n := range rapid.IntRange(1, 3000).Draw(t, "n") {
			key := chunkKey(n*7919%rapid.SampledFrom([]int{50, 400}).Draw(t, "wide"), 0)
			if n%3 == 0 {
				_, present := want[key]
				if x.remove(key) != present {
					t.Fatalf("remove(%v) returned the wrong result", key)
				}
				delete(want, key)
			} else {
				x.put(location{object: key.Object, segment: 1, seq: uint64(n)})
				want[key] = uint64(n)
			}
		}
		if x.count != len(want) {
			t.Fatalf("index has %d locations, want %d", x.count, len(want))
		}
		for key, seq := range want {
			if p := x.find(key); p == nil || p.seq != seq {
				t.Fatalf("key %v is missing or has the wrong sequence number", key)
			}
		}
	})
}
