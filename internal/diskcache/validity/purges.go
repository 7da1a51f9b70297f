package validity

import (
	"cmp"
	"slices"
)

const (
	// DefaultMaxPurges is the number of purged objects that are remembered unless configured.
	DefaultMaxPurges = 65536
	// BytesPerPurge is the approximate memory that a remembered purge takes: key, time and share of the map.
	BytesPerPurge = 64
	// forgetShare is the divisor of the share of purges that a full memory forgets at once. It bounds how often the
	// purges are sorted.
	forgetShare = 8
)

// purgeSet remembers the time of the newest purge of each object and group, in Unix ms.
type purgeSet struct {
	objects     map[uint64]int64
	groups      map[uint16]int64
	newestGroup int64 // newest purge of any group, for copies of an unknown group
	floor       int64 // purges up to this time may be forgotten
	limit       int   // of objects
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

// covers reports whether a purge invalidates a copy. A copy issued in the millisecond of the purge is invalidated.
func (p *purgeSet) covers(c Copy) bool {
	if at, ok := p.objects[c.Object]; ok && c.IssuedAt <= at {
		return true
	}
	if c.Group == UnknownGroup {
		return c.IssuedAt <= p.newestGroup
	}
	at, ok := p.groups[c.Group]
	return ok && c.IssuedAt <= at
}

// trim forgets the oldest purges of objects when there are more than the limit, raises the floor to the newest one
// forgotten, and reports whether it did.
func (p *purgeSet) trim() bool {
	if len(p.objects) <= p.limit {
		return false
	}
	times := make([]int64, 0, len(p.objects))
	for _, at := range p.objects {
		times = append(times, at)
	}
	slices.Sort(times)
	p.floor = max(p.floor, times[len(times)/forgetShare])
	for object, at := range p.objects {
		if at <= p.floor {
			delete(p.objects, object)
		}
	}
	return true
}

// prune forgets purges older than a time.
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

// records lists the purges in a fixed order.
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
