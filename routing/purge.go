package routing

import (
	"maps"
	"slices"
)

const (
	maxPurges            = 16384 // bounds the memory for purges; caches may return with their disk after hours
	droppedPurgesDivisor = 8     // fraction (1/n) of the purges dropped when there are too many
)

// purgeKey is the object that a purge invalidates, or the object group if object is empty.
type purgeKey struct {
	object string
	group  int
}

// recordPurge records a purge and removes what it invalidates from the known contents of the caches.
func (r *Router) recordPurge(p Purge) {
	key := purgeKey{object: p.Object}
	if p.Object == "" {
		key.group = p.ObjectGroup
	}
	r.purges[key] = max(r.purges[key], r.now-p.AgeSeconds)
	if len(r.purges) > r.maxPurges {
		r.evictOldestPurges()
	}
	if p.Object != "" {
		if o := r.objects[p.Object]; o != nil {
			o.dropCached()
		}
		return
	}
	for _, o := range r.objects {
		if o.group == p.ObjectGroup {
			o.dropCached()
		}
	}
}

// evictOldestPurges drops several of the oldest purges at once, so that it does not run for each new purge, and records
// the time of the latest dropped one: copies on the disk of a restarted endpoint must be newer than that (see
// ageOfNewestPurge).
func (r *Router) evictOldestPurges() {
	times := make([]float64, 0, len(r.purges))
	for _, at := range r.purges {
		times = append(times, at)
	}
	slices.Sort(times)
	r.purgesDroppedUntil = max(r.purgesDroppedUntil, times[len(times)/droppedPurgesDivisor])
	maps.DeleteFunc(r.purges, func(_ purgeKey, at float64) bool { return at <= r.purgesDroppedUntil })
}
