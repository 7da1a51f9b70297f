package routing

import (
	"cmp"
	"math"
	"slices"
)

const (
	storedCandidates   = 4   // endpoints of its hash order stored per object: usually the first one is used
	maxRepairedChanges = 256 // list changes up to which a stored order is repaired; after more it is recomputed
)

// hashOrder is the prefix of the order in which an object prefers the endpoints of a list, highest score first. It
// takes 32 bytes, and 8 bytes for each endpoint of best, which has at most storedCandidates between two decisions.
type hashOrder struct {
	best    []*endpoint
	version int // version of the list that best is computed from
}

// endpointList holds the ready endpoints of one role and its recent changes.
type endpointList struct {
	endpoints []*endpoint // sorted by ID
	version   int         // number of changes so far
	changes   []*endpoint // endpoints that were added, removed or had their score changed, most recent last
}

// listEntry is the list that an endpoint belongs to, and the values that its score in that list depends on.
type listEntry struct {
	list              *endpointList // nil if it is in no list
	weight, zonesAway float64
}

// updateList moves an endpoint to the given list, or out of its list if nil, and records changes of its score.
func (e *endpoint) updateList(list *endpointList) {
	entry := listEntry{list: list, weight: e.Weight, zonesAway: e.zonesAway}
	if list == nil {
		entry = listEntry{}
	}
	if e.listed == entry {
		return
	}
	if e.listed.list != nil {
		e.listed.list.remove(e)
	}
	e.listed = entry
	if list != nil {
		list.add(e)
	}
}

func compareIDs(e *endpoint, id EndpointID) int { return cmp.Compare(e.ID, id) }

func (l *endpointList) add(e *endpoint) {
	if at, found := slices.BinarySearchFunc(l.endpoints, e.ID, compareIDs); !found {
		l.endpoints = slices.Insert(l.endpoints, at, e)
	}
	l.recordChange(e)
}

func (l *endpointList) remove(e *endpoint) {
	if at, found := slices.BinarySearchFunc(l.endpoints, e.ID, compareIDs); found {
		l.endpoints = slices.Delete(l.endpoints, at, at+1)
	}
	l.recordChange(e)
}

func (l *endpointList) recordChange(e *endpoint) {
	l.version++
	if len(l.changes) >= 2*maxRepairedChanges {
		l.changes = append(l.changes[:0], l.changes[len(l.changes)-maxRepairedChanges:]...)
	}
	l.changes = append(l.changes, e)
}

// refresh updates the stored order of an object to the current version of the list. Only changed endpoints are
// compared: unchanged ones keep their relative order, and a changed one is inserted if it ranks before the last of
// these.
func (l *endpointList) refresh(order *hashOrder, object string) {
	pending := l.version - order.version
	order.version = l.version
	if pending == 0 {
		return
	}
	if pending > len(l.changes) || pending > maxRepairedChanges {
		order.best = nil
		return
	}
	changed := l.changes[len(l.changes)-pending:]
	order.best = slices.DeleteFunc(order.best, func(e *endpoint) bool { return slices.Contains(changed, e) })
	if len(order.best) == 0 {
		return
	}
	prefix := newHashPrefix(object)
	for i, e := range changed {
		if e.listed.list == l && !slices.Contains(changed[:i], e) {
			order.insert(prefix, e)
		}
	}
	order.best = order.best[:min(len(order.best), storedCandidates)]
}

// insert adds an endpoint at its rank if it ranks before the last one.
func (order *hashOrder) insert(prefix hashPrefix, e *endpoint) {
	score := prefix.score(e)
	for i, other := range order.best {
		otherScore := prefix.score(other)
		if score > otherScore || (score == otherScore && e.ID < other.ID) {
			order.best = slices.Insert(order.best, i, e)
			return
		}
	}
}

// candidates are the endpoints of a list in the order of an object's hash, or sorted by ID if order is nil.
type candidates struct {
	list   *endpointList
	order  *hashOrder
	object string
}

// at returns the candidate of a rank, or nil after the last one. The order is computed as far as requested, and for at
// most maxCandidates.
func (c candidates) at(rank int) *endpoint {
	best := c.list.endpoints
	if c.order != nil {
		known := len(c.order.best)
		if rank >= known && known < min(len(c.list.endpoints), maxCandidates) {
			c.order.best = highestByHash(c.object, c.list.endpoints, min(max(2*known, storedCandidates), maxCandidates))
		}
		best = c.order.best
	}
	if rank >= len(best) {
		return nil
	}
	return best[rank]
}

// first returns the first candidate for which fits returns true, or nil.
func (c candidates) first(fits func(*endpoint) bool) *endpoint {
	for rank := 0; ; rank++ {
		if e := c.at(rank); e == nil || fits(e) {
			return e
		}
	}
}

// trim discards the candidates after the first storedCandidates, which are stored with the object.
func (c candidates) trim() {
	if c.order != nil && len(c.order.best) > storedCandidates {
		c.order.best = slices.Clone(c.order.best[:storedCandidates])
	}
}

// highestByHash returns the first count endpoints of a list in the order of an object's hash. Endpoints of equal scores
// are sorted by ID, as in the list.
func highestByHash(object string, list []*endpoint, count int) []*endpoint {
	prefix := newHashPrefix(object)
	best, scores := make([]*endpoint, 0, count), make([]float64, 0, count)
	for _, e := range list {
		unit := prefix.extend(string(e.ID)).unit()
		full := len(best) == count
		if full && scoreBound(unit, e) <= scores[count-1] {
			continue
		}
		score := hashScore(unit, e)
		at, _ := slices.BinarySearchFunc(scores, score, func(better, score float64) int {
			if better >= score {
				return -1
			}
			return 1
		})
		if at == count {
			continue
		}
		if full {
			best, scores = best[:count-1], scores[:count-1]
		}
		best, scores = slices.Insert(best, at, e), slices.Insert(scores, at, score)
	}
	return best
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashPrefix is the FNV-1a hash of a string prefix.
type hashPrefix uint64

// newHashPrefix returns the hash of an object's name and a following space.
func newHashPrefix(object string) hashPrefix { return hashPrefix(fnvOffset).extend(object).extend(" ") }

func (h hashPrefix) extend(text string) hashPrefix {
	for i := range len(text) {
		h = (h ^ hashPrefix(text[i])) * fnvPrime
	}
	return h
}

// unit maps the hash to the interval (0, 1). The final mixing steps are those of MurmurHash3, as plain FNV gives
// similar strings similar high bits.
func (h hashPrefix) unit() float64 {
	mixed := uint64(h)
	mixed = (mixed ^ mixed>>33) * 0xff51afd7ed558ccd
	mixed = (mixed ^ mixed>>33) * 0xc4ceb9fe1a85ec53
	return (float64((mixed^mixed>>33)>>11) + 0.5) / (1 << 53)
}

// score returns the hash score of an endpoint for the object.
func (h hashPrefix) score(e *endpoint) float64 { return hashScore(h.extend(string(e.ID)).unit(), e) }

// scoreBound returns an upper bound of the score without computing a logarithm: ln(x) is at most x-1.
func scoreBound(unit float64, e *endpoint) float64 {
	bound := (unit - 1) / max(e.Weight, minHashWeight)
	if e.zonesAway != 0 {
		bound *= math.Pow(zoneDistanceFactor, e.zonesAway)
	}
	return bound
}
