// Package discovery receives the endpoint list and purges from the discovery service, which sends them to routers and
// caches as numbered events.
//
// It contains the binary codec of the events, their JSON form in the bootstrap file, and the client of the discovery
// service, which reconnects and detects gaps in the revisions. It does not store the endpoint list and makes no
// decisions about endpoints: it passes the events to the caller.
package discovery

import "cairnfront/routing"

// EventKind is the type of an event. Its values are those of the kind byte of a frame.
type EventKind byte

// The kinds of events.
const (
	Heartbeat   EventKind = iota // no change; the revision is that of the service's last event
	Snapshot                     // Endpoints is the complete list
	Update                       // Endpoints lists the endpoints that changed
	PurgeObject                  // Purge identifies one object
	PurgeGroup                   // Purge identifies a group of objects
)

// Event is one message of the discovery service.
type Event struct {
	Revision  uint64
	Kind      EventKind
	Endpoints []Endpoint // set for a Snapshot or Update
	Purge     Purge      // set for a PurgeObject or PurgeGroup
	Checksum  uint32     // CRC-32 (IEEE) of the event's frame; 0 if the event was not received in a frame
}

// IsPurge reports whether the event is a purge of an object or of a group.
func (e Event) IsPurge() bool { return e.Kind == PurgeObject || e.Kind == PurgeGroup }

// Endpoint is an entry of the endpoint list, with the address on which the endpoint listens.
type Endpoint struct {
	routing.Endpoint
	Address string
}

// Purge invalidates the copies of an object, or of a group of objects, that were made before PurgedAt.
type Purge struct {
	Object   string  // 16 hex digits; empty for a PurgeGroup
	Group    int     // set for a PurgeGroup
	PurgedAt float64 // Unix time in seconds
}
