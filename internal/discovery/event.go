// Package discovery follows the discovery service, which tells routers and caches the list of endpoints and the purges
// as numbered events.
//
// It owns the binary codec of the events, their JSON form in the bootstrap file, and the client of the watch
// connection with its reconnects and its check for gaps. It does not keep the list of endpoints and decides nothing
// about them: events are handed on to the caller.
package discovery

import "cairnfront/routing"

// EventKind says what an event tells. Its values are those of the frame's kind byte.
type EventKind byte

// The kinds of event.
const (
	Heartbeat   EventKind = iota // nothing new; the revision is that of the service's last event
	Snapshot                     // Endpoints is the complete list
	Update                       // Endpoints holds the endpoints that changed
	PurgeObject                  // Purge names an object
	PurgeGroup                   // Purge names a group of objects
)

// Event is one message of the discovery service.
type Event struct {
	Revision  uint64
	Kind      EventKind
	Endpoints []Endpoint // of a Snapshot or Update
	Purge     Purge      // of a PurgeObject or PurgeGroup
	Checksum  uint32     // CRC-32 (IEEE) of the frame that brought the event; 0 if it came in no frame
}

// IsPurge reports whether the event invalidates copies.
func (e Event) IsPurge() bool { return e.Kind == PurgeObject || e.Kind == PurgeGroup }

// Endpoint is an entry of the endpoint list with the address at which it listens.
type Endpoint struct {
	routing.Endpoint
	Address string
}

// Purge invalidates the copies of an object or of a group that were made before a point in time.
type Purge struct {
	Object   string  // 16 hex digits; empty for all of the group
	Group    int     // of a PurgeGroup
	PurgedAt float64 // Unix time in seconds
}
