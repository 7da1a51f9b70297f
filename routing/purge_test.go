package routing

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A cache that was down during a purge may return with its disk, long after running caches have dropped their copies.
func TestPurgeLimitsCopyAgeIndefinitely(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	p := r.findOrAddChunk(r.findOrAddObject("x", 3), 0)
	r.findOrAddEndpoint("c0").addCached(&cachedChunk{chunk: p, sizeKB: 1}, 0)
	r.Decide(100, Purge{AgeSeconds: 0.2, ObjectGroup: 3, Object: "x"})
	assert.Empty(t, r.findOrAddEndpoint("c0").cached)
	req := &request{RequestArrived: RequestArrived{Object: "x", ObjectGroup: 3}}
	other := &request{RequestArrived: RequestArrived{Object: "y", ObjectGroup: 3}}
	a := &attempt{target: r.findOrAddEndpoint("c0"), source: r.findOrAddEndpoint("p0")}
	assert.InDelta(t, 0.2-purgeAgeMarginSeconds, r.maxCopyAge(req, a), 1e-9)
	assert.Zero(t, r.maxCopyAge(other, a))
	r.now = 3700
	assert.InDelta(t, 3600.2-purgeAgeMarginSeconds, r.maxCopyAge(req, a), 1e-9)
	r.Decide(3710, Purge{ObjectGroup: 3})
	//nolint:testifylint // exact by intent
	assert.Equal(t, minCopyAgeSeconds, r.maxCopyAge(other, a), "never 0, which allows any age")
}

// Old purges are dropped to bound memory. An endpoint that started after the latest dropped one must not serve copies
// from before it.
func TestDroppedPurgesLimitCopyAgeOfEndpointsStartedSince(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	for i := range maxPurges + 1 {
		r.Decide(100+float64(i)/100, Purge{Object: string(rune(i + 1000))})
	}
	assert.LessOrEqual(t, len(r.purges), maxPurges)
	a := &attempt{target: r.findOrAddEndpoint("c0"), source: r.findOrAddEndpoint("p0")}
	req := &request{RequestArrived: RequestArrived{Object: "never purged", ObjectGroup: 3}}
	assert.Zero(t, r.maxCopyAge(req, a))
	a.target.StartedAt = r.purgesDroppedUntil + 1
	assert.InDelta(t, r.now-r.purgesDroppedUntil-purgeAgeMarginSeconds, r.maxCopyAge(req, a), 1e-9)
	a.target, a.source = a.source, a.target
	assert.Positive(t, r.maxCopyAge(req, a), "also as a source of fills")
}

// During congestion, a late answer is worth less than a timely stale copy, and requesting a fresh copy loads the link
// further. The maximum copy age must grow by the stale time, but never past a purge, and not if a late answer is worth
// more.
func TestStaleCopyIsAllowedUnderCongestionUnlessPurged(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.settings[SettingFreshTime] = "5,0"
	r.settings[SettingStaleTime] = "10,0"
	r.settings[SettingStalePriority] = "0.5,0.5"
	req := &request{RequestArrived: RequestArrived{Object: "x", ObjectGroup: 3}}
	a := &attempt{target: r.findOrAddEndpoint("c0"), source: r.findOrAddEndpoint("p0")}
	assert.Zero(t, r.maxCopyAge(req, a))
	r.zoneLink.decreasedAt = 100
	assert.Equal(t, 15.0, r.maxCopyAge(req, a)) //nolint:testifylint // exact by intent
	r.purges[purgeKey{object: "x"}] = 97
	assert.InDelta(t, 3-purgeAgeMarginSeconds, r.maxCopyAge(req, a), 1e-9)
	r.class(0).latePriorityShare, r.purges = 0.6, nil
	assert.Zero(t, r.maxCopyAge(req, a), "a late answer is worth more")
}

// The number of purges that are remembered: decision traces cover it only through endpoints that start later.
func TestPurgesAreLimitedToMaximumNumber(t *testing.T) {
	const remembered = 16384
	r := newTestRouter(WithIdempotencyKey)
	purge := func(i int) { r.Decide(100+float64(i)/100, Purge{Object: strconv.Itoa(i)}) }
	for i := range remembered {
		purge(i)
	}
	assert.Len(t, r.purges, remembered)
	assert.Zero(t, r.purgesDroppedUntil)
	purge(remembered)
	assert.Len(t, r.purges, remembered-remembered/8, "an eighth is dropped at once")
	assert.Equal(t, 100+float64(remembered/8)/100, r.purgesDroppedUntil) //nolint:testifylint // exact by intent
}
