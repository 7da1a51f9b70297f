package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"time"

	"cairnfront/internal/bootstrap"
	"cairnfront/internal/telemetry"
)

// A file that can't be read at a reload is read again after an interval, as a system call may fail temporarily and the
// discovery service's former address may be out of use already. An invalid file is not read again.
const (
	maxReloadRetries    = 10
	reloadRetryInterval = 100 * time.Millisecond
)

// reloadRetry is a reload that is to be tried again.
type reloadRetry struct {
	due  <-chan time.Time // nil for none
	left int
}

// reload reads the bootstrap file and the configuration file again. After a file that can't be used, the values of
// the last valid one stay in use.
func (r *router) reload(ctx context.Context) error {
	err := r.reloadBootstrap()
	if r.extensions == nil {
		return err
	}
	if err := r.extensions.reload(ctx); err != nil {
		r.logReloadFailure(reloadedConfiguration, err)
	}
	return err
}

// reloadOrRetry reloads and returns the retry, if a file could not be read.
func (r *router) reloadOrRetry(ctx context.Context, retries int) reloadRetry {
	if err := r.reload(ctx); !mayReloadAgain(err, retries) {
		return reloadRetry{}
	}
	return reloadRetry{due: time.After(reloadRetryInterval), left: retries - 1}
}

// mayReloadAgain says whether a reload that ended with an error is tried again: some retries are left, and a file could
// not be read.
func mayReloadAgain(err error, retries int) bool {
	var unread *fs.PathError
	return retries > 0 && errors.As(err, &unread)
}

// reloadBootstrap reads the bootstrap file again and switches to the discovery service's new address.
func (r *router) reloadBootstrap() error {
	fresh, err := r.load()
	if err == nil {
		err = checkReload(fresh, r.config)
	}
	if err != nil {
		r.logReloadFailure(reloadedBootstrap, err)
		return err
	}
	r.metrics.Inc(telemetry.Reloads)
	r.metrics.Log.Info("bootstrap file reloaded", "discovery_address", fresh.DiscoveryAddress)
	if fresh.DiscoveryAddress != r.config.DiscoveryAddress {
		replaceAddress(r.discovery.AddressChanges, fresh.DiscoveryAddress)
	}
	r.config = fresh
	return nil
}

// checkReload returns an error if the bootstrap file changes what can't change without a restart.
func checkReload(fresh, running bootstrap.Config) error {
	if err := fresh.CheckReload(running); err != nil {
		return fmt.Errorf("reload bootstrap file: %w", err)
	}
	return nil
}

// replaceAddress puts an address into a channel of capacity 1, in place of an earlier one that was not received yet. It
// does not block, as nothing else writes to the channel.
func replaceAddress(changes chan string, address string) {
	select {
	case <-changes:
	default:
	}
	changes <- address
}
