package reservation

import (
	"slices"

	"cairnfront/internal/replication/statemachine"
)

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
