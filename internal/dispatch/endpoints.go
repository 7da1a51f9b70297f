package dispatch

import (
	"cairnfront/internal/discovery"
	"cairnfront/routing"
)

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
			AgeSeconds:  max(d.now-ev.Purge.PurgedAt, 0),
			ObjectGroup: ev.Purge.Group,
			Object:      ev.Purge.Object,
		}, nil)
		return
	}
	snapshot := ev.Kind == discovery.Snapshot
	if snapshot {
		clear(d.endpointKinds)
	}
	if snapshot && kind != routing.Restored {
		kind = routing.Snapshot
	}
	endpoints := make([]routing.Endpoint, len(ev.Endpoints))
	for i, listed := range ev.Endpoints {
		endpoints[i] = listed.Endpoint
		if listed.Status == routing.Removed {
			delete(d.endpointKinds, listed.ID)
		} else {
			d.endpointKinds[listed.ID] = listed.Kind
		}
	}
	d.Pool.UpdateEndpoints(snapshot, ev.Endpoints)
	d.decide(routing.EndpointUpdate{Kind: kind, Endpoints: endpoints}, nil)
}

// fillSource is the source of a fill as the endpoint is told it, empty for none. An edge cache that is its own source
// fills nothing; a parent cache or the origin is named all the same.
func (d *Dispatcher) fillSource(action routing.StartAttempt) string {
	kind := d.endpointKinds[action.Endpoint]
	isParent := kind == int(d.Settings.Float(routing.SettingParentKind, -1))
	isOrigin := kind == int(d.Settings.Float(routing.SettingOriginKind, -1))
	if action.Source == action.Endpoint && !isParent && !isOrigin {
		return ""
	}
	return string(action.Source)
}
