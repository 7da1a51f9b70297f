package dispatch

import (
	"cairnfront/internal/discovery"
	"cairnfront/routing"
)

// listedEndpoint is the part of an entry of the endpoint list that the dispatcher stores.
type listedEndpoint struct {
	kind          int
	startedAtUnix float64 // start time in the endpoint list, Unix seconds; 0 if the endpoint started long ago
	startedAt     float64 // the same time in monotonic seconds
}

// toListedEndpoint returns the entry to store for a listed endpoint; previous is its former entry, zero if there is
// none. A start time is translated to monotonic time once, when it is first received, and to the latest possible time:
// a warming endpoint may seem colder than it is, but never warmer (rule 4 in package routing). A new start time is
// always after the previous one, whatever the clocks show.
func (d *Dispatcher) toListedEndpoint(listed routing.Endpoint, previous listedEndpoint) listedEndpoint {
	entry := listedEndpoint{kind: listed.Kind, startedAtUnix: listed.StartedAt}
	switch {
	case listed.StartedAt <= 0:
	case listed.StartedAt == previous.startedAtUnix:
		entry.startedAt = previous.startedAt
	default:
		entry.startedAt = d.WallClock.LatestInstant(listed.StartedAt)
		if entry.startedAt <= previous.startedAt {
			entry.startedAt = d.now
		}
	}
	return entry
}

// LoadBootstrap applies the discovery events of the bootstrap file. It must be called before Run.
func (d *Dispatcher) LoadBootstrap(events []discovery.Event) {
	d.advanceClock()
	for i, ev := range events {
		kind := routing.Incremental
		if i == 0 {
			kind = routing.Restored
		}
		d.applyDiscovery(ev, kind)
	}
}

// applyDiscovery handles a purge or a change of the endpoint list. Kind is the kind of the update that is passed to the
// Decider; a snapshot is always passed as Snapshot unless kind is Restored.
func (d *Dispatcher) applyDiscovery(ev discovery.Event, kind routing.UpdateKind) {
	if ev.IsPurge() {
		d.decide(routing.Purge{
			AgeSeconds:  purgeAge(d.WallClock.LatestInstant(ev.Purge.PurgedAt), d.now),
			ObjectGroup: ev.Purge.Group,
			Object:      ev.Purge.Object,
		}, nil)
		return
	}
	snapshot, previousEndpoints := ev.Kind == discovery.Snapshot, d.endpoints
	if snapshot {
		d.endpoints = map[routing.EndpointID]listedEndpoint{}
	}
	if snapshot && kind != routing.Restored {
		kind = routing.Snapshot
	}
	endpoints := make([]routing.Endpoint, len(ev.Endpoints))
	for i, listed := range ev.Endpoints {
		entry := d.toListedEndpoint(listed.Endpoint, previousEndpoints[listed.ID])
		endpoints[i] = listed.Endpoint
		endpoints[i].StartedAt = entry.startedAt
		if listed.Status == routing.Removed {
			delete(d.endpoints, listed.ID)
		} else {
			d.endpoints[listed.ID] = entry
		}
	}
	d.Pool.UpdateEndpoints(snapshot, ev.Endpoints)
	d.decide(routing.EndpointUpdate{Kind: kind, Endpoints: endpoints}, nil)
}

// purgeAge returns the age of a purge in seconds; latest is the latest time at which it may have been made. The purge
// is taken to be as recent as possible, so that every copy that may be older than the purge counts as older (rule 5 in
// package routing). Otherwise a purged copy could be served after a step of the wall clock.
func purgeAge(latest, now float64) float64 { return max(now-latest, 0) }

// fillSource returns the fill source that is sent with an attempt, or an empty string to send none. For an edge cache
// that is its own fill source the string is empty, because it does not fetch; a parent cache or the origin gets its own
// id.
func (d *Dispatcher) fillSource(action routing.StartAttempt) string {
	kind := d.endpoints[action.Endpoint].kind
	isParent := kind == int(d.Settings.Float(routing.SettingParentKind, -1))
	isOrigin := kind == int(d.Settings.Float(routing.SettingOriginKind, -1))
	if action.Source == action.Endpoint && !isParent && !isOrigin {
		return ""
	}
	return string(action.Source)
}
