package routing

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// referenceOrder sorts a complete list by the score of weighted rendezvous hashing.
func referenceOrder(object string, list []*endpoint) []*endpoint {
	score := func(e *endpoint) float64 {
		hash := fnv.New64a()
		hash.Write([]byte(object + " " + string(e.ID)))
		mixed := hash.Sum64()
		mixed = (mixed ^ mixed>>33) * 0xff51afd7ed558ccd
		mixed = (mixed ^ mixed>>33) * 0xc4ceb9fe1a85ec53
		unit := (float64((mixed^mixed>>33)>>11) + 0.5) / (1 << 53)
		return math.Log(unit) / max(e.Weight, 1e-3) * math.Pow(2, e.zonesAway)
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b *endpoint) int { return cmp.Compare(score(b), score(a)) })
	return sorted
}

// ranked returns all candidates in their order.
func ranked(c candidates) []*endpoint {
	var all []*endpoint
	for rank, e := 0, c.at(0); e != nil; rank, e = rank+1, c.at(rank+1) {
		all = append(all, e)
	}
	return all
}

// TestRepairedHashOrdersMatchFullSort generates changes of the list: caches that are added, removed, drained and change
// their weight, many or few at a time. The repaired orders of several objects must equal those of sorting the complete
// list.
func TestRepairedHashOrdersMatchFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(7, testSettings(Idempotent))
		now := 100.0
		objects := []*object{r.findOrAddObject("a", 0), r.findOrAddObject("b", 0), r.findOrAddObject("c", 0)}
		most := rapid.SampledFrom([]int{3, 20, 90}).Draw(t, "caches")
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			now++
			var rows []Endpoint
			for range rapid.IntRange(1, rapid.SampledFrom([]int{1, 4, 300}).Draw(t, "size")).Draw(t, "rows") {
				rows = append(rows, Endpoint{
					ID:     EndpointID(fmt.Sprintf("s-%08x", rapid.IntRange(0, most).Draw(t, "cache"))),
					Zone:   1,
					Kind:   rapid.IntRange(0, 1).Draw(t, "kind"),
					Status: EndpointStatus(rapid.IntRange(0, 2).Draw(t, "status")),
					Weight: rapid.SampledFrom([]float64{0, 1, 4, 4}).Draw(t, "weight"),
				})
			}
			kinds := []UpdateKind{Incremental, Incremental, Incremental, Snapshot}
			kind := rapid.SampledFrom(kinds).Draw(t, "kind of update")
			r.Decide(now, EndpointUpdate{Kind: kind, Endpoints: rows})
			for _, o := range objects[:rapid.IntRange(0, len(objects)).Draw(t, "objects used")] {
				checkOrder(t, r.cacheCandidates(o))
				checkOrder(t, r.parentCandidates(o))
			}
		}
		checkLists(t, r)
	})
}

func checkOrder(t *rapid.T, c candidates) {
	want := referenceOrder(c.object, c.list.endpoints)
	want = want[:min(len(want), maxCandidates)]
	first := c.at(0)
	if len(want) > 0 && first != want[0] {
		t.Fatalf("first of %d: %v, want %v", len(want), first.ID, want[0].ID)
	}
	if got := ranked(c); !slices.Equal(got, want) {
		t.Fatalf("%d endpoints are not in the order of a sort", len(want))
	}
	c.trim()
	if len(c.order.best) > storedCandidates {
		t.Fatalf("%d endpoints are stored", len(c.order.best))
	}
}

// checkLists compares the lists with the statuses of all endpoints.
func checkLists(t *rapid.T, r *Router) {
	var caches, parents []*endpoint
	for _, e := range r.endpoints {
		if e.Status == Ready && e.Kind == 0 {
			caches = append(caches, e)
		} else if e.Status == Ready {
			parents = append(parents, e)
		}
	}
	if !slices.Equal(caches, r.caches.endpoints) || !slices.Equal(parents, r.parents.endpoints) {
		t.Fatalf("the lists are not those of the ready endpoints by id")
	}
}

// TestChunkAndCacheRecordsAgree checks that the records of chunks and caches about each other agree across
// restarts, purges and removals.
func TestChunkAndCacheRecordsAgree(t *testing.T) {
	r := newTestRouter(Idempotent)
	check := func(want int) {
		t.Helper()
		held := 0
		for _, o := range r.objects {
			for _, c := range o.chunks {
				held += len(c.cachedBy)
				for _, e := range c.cachedBy {
					assert.NotNil(t, e.cached[c])
				}
			}
		}
		copies := 0
		for _, e := range r.endpoints {
			copies += len(e.cached)
			assert.Len(t, e.byGap, len(e.cached))
		}
		assert.Equal(t, []int{want, want}, []int{held, copies})
	}
	for i := range 40 {
		c := r.findOrAddChunk(r.findOrAddObject(strconv.Itoa(i%10), i%2), i%4)
		cache := r.caches.endpoints[i%3]
		if cache.cached[c] == nil {
			r.addCopy(cache, c)
		}
		r.setGap(c, 1)
	}
	check(40)
	r.Decide(101, Purge{Object: "3"})
	check(36)
	r.Decide(101, Purge{ObjectGroup: 1})
	check(20)
	onFirst := len(r.caches.endpoints[0].cached)
	r.Decide(102, EndpointUpdate{Endpoints: []Endpoint{{ID: "c0", Zone: 1, Weight: 4, StartedAt: 101}}})
	check(20 - onFirst)
	onSecond := len(r.caches.endpoints[1].cached)
	r.Decide(103, EndpointUpdate{Endpoints: []Endpoint{{ID: "c1", Zone: 1, Weight: 4, Status: Removed}}})
	check(20 - onFirst)
	r.Decide(103+removedEndpointTTLSeconds, EndpointUpdate{})
	check(20 - onFirst - onSecond)
	assert.Nil(t, r.findEndpoint("c1"))
}
