package reservation

import (
	"slices"

	"cairnfront/internal/replication/statemachine"
)

const (
	// maxRemembered is the maximum number of keys whose location is remembered, at 120 bytes each.
	maxRemembered = 65536
	// ownGrantSeconds is how long a grant of this router allows further attempts in the same group
	// without asking the shard. It is short compared with a group's window, because such an attempt
	// may start that much later in the window.
	ownGrantSeconds = 2.0
)

// locationDecision is the decision about an attempt from the known location of its key.
type locationDecision uint8

const (
	askShard        locationDecision = iota // no valid location is known
	allowByLocation                         // this router has a recent grant for the attempt's group
	denyByLocation                          // the key completed, or is reserved for another group
)

// decideKnownLocation decides about an attempt in a group from the known location of its key. It
// prevents a request from running twice: two groups of endpoints do not drop each other's repeats,
// and when a completed request is retried, its group may have forgotten the key.
func decideKnownLocation(now float64, known location, group string) locationDecision {
	switch {
	case now >= known.expiresAt:
		return askShard
	case known.completed || known.group != group:
		return denyByLocation
	case known.isOwn() && now < known.recordedAt+ownGrantSeconds:
		return allowByLocation
	}
	return askShard
}

// keyGroup is a key and the group for which it was reserved.
type keyGroup struct{ key, group string }

// location is the known location of a key's attempts.
type location struct {
	group      string
	expiresAt  float64     // in seconds on the core's clock
	completed  bool        // an attempt ran and was answered
	number     uint64      // number of this router's reservation, 0 for one of another router
	recordedAt float64     // in seconds on the core's clock
	users      []RequestID // with an attempt allowed on this router's reservation, and not ended as not executed
}

// isOwn reports whether the reservation was made by this router.
func (l location) isOwn() bool { return l.number != 0 }

// remember stores a key's location. If locationOrder has maxRemembered keys, the location of its
// first key is removed. Because removeUser leaves keys in locationOrder, that location may already
// be gone, or may be a newer one of the same key.
func (c *Core) remember(key string, known location) {
	if _, ok := c.locations[key]; !ok {
		if len(c.locationOrder) >= maxRemembered {
			delete(c.locations, c.locationOrder[0])
			c.locationOrder = c.locationOrder[1:]
		}
		c.locationOrder = append(c.locationOrder, key)
	}
	c.locations[key] = known
}

// addUser records that a request had an attempt allowed on a reservation of this router.
func (c *Core) addUser(key string, known location, request RequestID) {
	if slices.Contains(known.users, request) {
		return
	}
	known.users = append(slices.Clip(known.users), request)
	c.locations[key] = known
}

// removeUser removes a request, none of whose attempts ran, from a reservation of this router.
// After the last user is removed, the reservation is settled as not executed and its location is
// removed.
func (c *Core) removeUser(key string, known location, request RequestID) {
	known.users = slices.DeleteFunc(slices.Clone(known.users), func(user RequestID) bool { return user == request })
	if len(known.users) > 0 {
		c.locations[key] = known
		return
	}
	delete(c.locations, key)
	c.settle(keyGroup{key, known.group}, known.number, statemachine.StatusNotExecuted)
}
