package reservation

import (
	"slices"

	"cairnfront/internal/replication/statemachine"
)

const (
	// maxRemembered is the number of keys whose location is remembered, 120 bytes each.
	maxRemembered = 65536
	// ownGrantSeconds is for how long an own grant allows a further attempt into the same group. It is
	// short against a group's window, of which it uses up a part.
	ownGrantSeconds = 2.0
)

// locationDecision is what the known location of a key means for an attempt.
type locationDecision uint8

const (
	askShard        locationDecision = iota // nothing that counts is known
	allowByLocation                         // an own grant for the attempt's group is recent
	denyByLocation                          // the key completed, or is recorded in another group
)

// decideKnownLocation decides an attempt into a group by what is known of its key. The failure that
// it guards against is a request that runs twice: two groups of endpoints do not drop each other's
// repeats, and a completed request's retry may find that its group has forgotten the key.
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

// keyGroup is a key and the group that it was reserved for.
type keyGroup struct{ key, group string }

// location is what is known of where a key's attempts run.
type location struct {
	group      string
	expiresAt  float64 // seconds of the core's clock
	completed  bool    // an attempt ran and was answered
	number     uint64  // of the own reservation, 0 for another router's
	recordedAt float64 // seconds of the core's clock
	users      []RequestID
}

// isOwn says that the reservation is this router's. Its users are the requests that had an attempt
// allowed on it and did not end as not executed.
func (l location) isOwn() bool { return l.number != 0 }

// remember records a key's location. The oldest key is forgotten for a new one beyond the bound.
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

// addUser notes a request that has an attempt allowed on an own reservation.
func (c *Core) addUser(key string, known location, request RequestID) {
	if slices.Contains(known.users, request) {
		return
	}
	known.users = append(slices.Clip(known.users), request)
	c.locations[key] = known
}

// removeUser takes a request off an own reservation on which none of its attempts ran. With the
// last one the reservation is settled as not executed and its location forgotten.
func (c *Core) removeUser(key string, known location, request RequestID) {
	known.users = slices.DeleteFunc(slices.Clone(known.users), func(user RequestID) bool { return user == request })
	if len(known.users) > 0 {
		c.locations[key] = known
		return
	}
	delete(c.locations, key)
	c.settle(keyGroup{key, known.group}, known.number, statemachine.StatusNotExecuted)
}
