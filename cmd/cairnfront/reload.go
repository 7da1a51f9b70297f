package main

import (
	"context"

	"cairnfront/internal/telemetry"
)

// reload reads the bootstrap file and the operators' file again. A file that can't be used leaves the old one in
// force.
func (r *router) reload(ctx context.Context) {
	r.reloadBootstrap()
	if r.extensions == nil {
		return
	}
	if err := r.extensions.reload(ctx); err != nil {
		r.logReloadFailure(err)
	}
}

// reloadBootstrap reads the bootstrap file again and follows the discovery service's new address.
func (r *router) reloadBootstrap() {
	fresh, err := r.load()
	if err == nil {
		err = fresh.CheckReload(r.config)
	}
	if err != nil {
		r.logReloadFailure(err)
		return
	}
	r.metrics.Inc(telemetry.Reloads)
	r.metrics.Log.Info("reload", "code", "followed", "board", fresh.DiscoveryAddress)
	if fresh.DiscoveryAddress != r.config.DiscoveryAddress {
		replaceAddress(r.discovery.AddressChanges, fresh.DiscoveryAddress)
	}
	r.config = fresh
}

// logReloadFailure counts and logs that the old configuration stays in force.
func (r *router) logReloadFailure(err error) {
	r.metrics.Inc(telemetry.ReloadsFailed)
	r.metrics.Log.Error("reload", "code", "kept-old", "err", err.Error())
}

// replaceAddress puts an address into a channel of capacity 1 in place of an earlier one that was not taken yet. It
// does not wait, as nobody else writes to the channel.
func replaceAddress(changes chan string, address string) {
	select {
	case <-changes:
	default:
	}
	changes <- address
}
