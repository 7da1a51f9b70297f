package routing

import (
	"maps"
	"slices"
)

const (
	maxPurges              = 16384 // purges remembered: bounds memory; caches may return with a disk after hours
	forgottenPurgesDivisor = 8     // one in so many purges is forgotten when there are too many
)

// purgeKey names what a purge invalidates: an object, or a group where there is none.
type purgeKey struct {
	object string
	group  int
}

// recordPurge remembers a purge and forgets what was thought cached of it.
func (r *Router) recordPurge(p Purge) {
	key := purgeKey{object: p.Object}
	if p.Object == "" {
		key.group = p.ObjectGroup
	}
	r.purges[key] = max(r.purges[key], r.now-p.AgeSeconds)
	if len(r.purges) > maxPurges {
		r.forgetOldestPurges()
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

// forgetOldestPurges drops some of the purges, so that it is not done for each one, and remembers until when: copies
// that an endpoint with an older disk brings back must be younger than that (see ageOfNewestPurge).
func (r *Router) forgetOldestPurges() {
	times := make([]float64, 0, len(r.purges))
	for _, at := range r.purges {
		times = append(times, at)
	}
	slices.Sort(times)
	r.purgesForgottenUntil = max(r.purgesForgottenUntil, times[len(times)/forgottenPurgesDivisor])
	maps.DeleteFunc(r.purges, func(_ purgeKey, at float64) bool { return at <= r.purgesForgottenUntil })
}
