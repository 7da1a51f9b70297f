package dispatch

import (
	"cairnfront/internal/discovery"
	"cairnfront/routing"
)

// listedEndpoint is what the dispatcher stores of an entry of the endpoint list.
type listedEndpoint struct {
	kind          int
	startedAtUnix float64 // as listed, Unix seconds; 0 for long ago
	startedAt     float64 // the same time in monotonic seconds
}

// list returns the entry of a listed endpoint; earlier is the one before, zero for none. The time of a start is
// translated once, when it is first received, and as late as it may have been: a warming endpoint is taken for colder
// than it is rather than for warmer (rule 4). A start that is new came after the one before, whatever the clocks say.
func (d *Dispatcher) list(listed routing.Endpoint, earlier listedEndpoint) listedEndpoint {
	entry := listedEndpoint{kind: listed.Kind, startedAtUnix: listed.StartedAt}
	switch {
	case listed.StartedAt <= 0:
	case listed.StartedAt == earlier.startedAtUnix:
		entry.startedAt = earlier.startedAt
	default:
		entry.startedAt = d.Wall.LatestInstant(listed.StartedAt)
		if entry.startedAt <= earlier.startedAt {
			entry.startedAt = d.now
		}
	}
	return entry
}

// LoadBootstrap handles the discovery events that the router was started with. It is called before Run.
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

// applyDiscovery handles a purge or a change of the endpoint list. Kind is that of an update which is no snapshot.
func (d *Dispatcher) applyDiscovery(ev discovery.Event, kind routing.UpdateKind) {
	if ev.IsPurge() {
		d.decide(routing.Purge{
			AgeSeconds:  purgeAge(d.Wall.LatestInstant(ev.Purge.PurgedAt), d.now),
			ObjectGroup: ev.Purge.Group,
			Object:      ev.Purge.Object,
		}, nil)
		return
	}
	snapshot, known := ev.Kind == discovery.Snapshot, d.endpoints
	if snapshot {
		d.endpoints = map[routing.EndpointID]listedEndpoint{}
	}
	if snapshot && kind != routing.Restored {
		kind = routing.Snapshot
	}
	endpoints := make([]routing.Endpoint, len(ev.Endpoints))
	for i, listed := range ev.Endpoints {
		entry := d.list(listed.Endpoint, known[listed.ID])
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

// purgeAge returns how many seconds ago a purge was, which was at a time at the latest. It is not older than it may be,
// so that a copy counts as older than the purge wherever that can't be excluded (rule 5). Else a purged copy could be
// answered after a step of the wall clock.
func purgeAge(latest, now float64) float64 { return max(now-latest, 0) }

// fillSource is the source of a fill as the attempt names it, empty for none. An edge cache that is its own source
// fills nothing; a parent cache or the origin is named all the same.
func (d *Dispatcher) fillSource(action routing.StartAttempt) string {
	kind := d.endpoints[action.Endpoint].kind
	isParent := kind == int(d.Settings.Float(routing.SettingParentKind, -1))
	isOrigin := kind == int(d.Settings.Float(routing.SettingOriginKind, -1))
	if action.Source == action.Endpoint && !isParent && !isOrigin {
		return ""
	}
	return string(action.Source)
}
