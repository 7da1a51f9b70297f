package validity

import (
	"cmp"
	"slices"
)

const (
	// DefaultMaxPurges is the default limit of purged objects that are remembered.
	DefaultMaxPurges = 65536
	// BytesPerPurge is the approximate memory per remembered purge: key, time and map overhead.
	BytesPerPurge = 64
	// trimDivisor divides the number of purges: when the limit is exceeded, 1/trimDivisor of the purges are discarded
	// at once. This bounds how often the purges are sorted.
	trimDivisor = 8
)

// purgeSet stores the time of the newest purge of each object and group, in Unix ms.
type purgeSet struct {
	objects     map[uint64]int64
	groups      map[uint16]int64
	newestGroup int64 // time of the newest purge of any group, for copies of an unknown group
	floor       int64 // purges up to this time may have been discarded
	limit       int   // maximum length of objects
}

func newPurgeSet(limit int) purgeSet {
	if limit <= 0 {
		limit = DefaultMaxPurges
	}
	return purgeSet{objects: map[uint64]int64{}, groups: map[uint16]int64{}, limit: limit}
}

func (p *purgeSet) len() int { return len(p.objects) + len(p.groups) }

func (p *purgeSet) addObject(object uint64, at int64) {
	p.objects[object] = max(p.objects[object], at)
}

func (p *purgeSet) addGroup(group uint16, at int64) {
	p.groups[group] = max(p.groups[group], at)
	p.newestGroup = max(p.newestGroup, at)
}

// invalidates reports whether a purge invalidates a copy. This includes copies issued in the same millisecond.
func (p *purgeSet) invalidates(c Copy) bool {
	if at, ok := p.objects[c.Object]; ok && c.IssuedAt <= at {
		return true
	}
	if c.Group == UnknownGroup {
		return c.IssuedAt <= p.newestGroup
	}
	at, ok := p.groups[c.Group]
	return ok && c.IssuedAt <= at
}

// trim discards the oldest purges of objects if there are more than the limit, raises the floor to the newest discarded
// purge, and reports whether it discarded any.
func (p *purgeSet) trim() bool {
	if len(p.objects) <= p.limit {
		return false
	}
	times := make([]int64, 0, len(p.objects))
	for _, at := range p.objects {
		times = append(times, at)
	}
	slices.Sort(times)
	p.floor = max(p.floor, times[len(times)/trimDivisor])
	for object, at := range p.objects {
		if at <= p.floor {
			delete(p.objects, object)
		}
	}
	return true
}

// prune discards purges older than the given time.
func (p *purgeSet) prune(before int64) {
	for object, at := range p.objects {
		if at < before {
			delete(p.objects, object)
		}
	}
	for group, at := range p.groups {
		if at < before {
			delete(p.groups, group)
		}
	}
}

// records returns the purges as records in a deterministic order.
func (p *purgeSet) records(now int64) []Record {
	var out []Record
	for object, at := range p.objects {
		out = append(out, Record{Kind: PurgeObject, Object: object, PurgedAt: at, WrittenAt: now})
	}
	for group, at := range p.groups {
		out = append(out, Record{Kind: PurgeGroup, Group: group, PurgedAt: at, WrittenAt: now})
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(
			cmp.Compare(a.PurgedAt, b.PurgedAt),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Group, b.Group),
		)
	})
	return out
}
