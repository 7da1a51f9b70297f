package main

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"cairnfront/internal/telemetry"
)

// A file that can't be read, as the call failed for a moment, is read again: the discovery service's former address
// tells nothing any more. One that is read and is not in order is not.
const (
	maxReloadRetries    = 10
	reloadRetryInterval = 100 * time.Millisecond
)

// reloadRetry is a reload that is under way.
type reloadRetry struct {
	due  <-chan time.Time // nil for none
	left int
}

// reload reads the bootstrap file and the operators' file again. A file that can't be used leaves the old one in
// force.
func (r *router) reload(ctx context.Context) error {
	err := r.reloadBootstrap()
	if r.extensions == nil {
		return err
	}
	if err := r.extensions.reload(ctx); err != nil {
		r.logReloadFailure(err)
	}
	return err
}

// reloadOrRetry reloads and returns what is left to be tried.
func (r *router) reloadOrRetry(ctx context.Context, retries int) reloadRetry {
	var unread *fs.PathError
	if err := r.reload(ctx); retries == 0 || !errors.As(err, &unread) {
		return reloadRetry{}
	}
	return reloadRetry{due: time.After(reloadRetryInterval), left: retries - 1}
}

// reloadBootstrap reads the bootstrap file again and follows the discovery service's new address.
func (r *router) reloadBootstrap() error {
	fresh, err := r.load()
	if err == nil {
		err = fresh.CheckReload(r.config)
	}
	if err != nil {
		r.logReloadFailure(err)
		return err
	}
	r.metrics.Inc(telemetry.Reloads)
	r.metrics.Log.Info("reload", "code", "followed", "board", fresh.DiscoveryAddress)
	if fresh.DiscoveryAddress != r.config.DiscoveryAddress {
		replaceAddress(r.discovery.AddressChanges, fresh.DiscoveryAddress)
	}
	r.config = fresh
	return nil
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
