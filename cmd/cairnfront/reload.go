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

// If the bootstrap file can't be read at a reload, it is read again after an interval: a system call may fail
// temporarily, and the discovery service may already have left its former address. An invalid file is not read again.
const (
	maxReloadRetries    = 10
	reloadRetryInterval = 100 * time.Millisecond
)

// reloadRetry is a scheduled retry of a reload.
type reloadRetry struct {
	due  <-chan time.Time // nil if no retry is scheduled
	left int
}

// reload reads the bootstrap file and the configuration file again. If one can't be read or is invalid, the values of
// its last valid version stay in use.
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

// reloadOrRetry reloads and, if the bootstrap file could not be read, schedules a retry.
func (r *router) reloadOrRetry(ctx context.Context, retries int) reloadRetry {
	if err := r.reload(ctx); !mayReloadAgain(err, retries) {
		return reloadRetry{}
	}
	return reloadRetry{due: time.After(reloadRetryInterval), left: retries - 1}
}

// mayReloadAgain reports whether a reload that returned err is tried again: retries must be left, and the error must be
// that a file could not be read.
func mayReloadAgain(err error, retries int) bool {
	var readError *fs.PathError
	return retries > 0 && errors.As(err, &readError)
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

// checkReload returns an error if the new bootstrap file changes a value that needs a restart.
func checkReload(fresh, running bootstrap.Config) error {
	if err := fresh.CheckReload(running); err != nil {
		return fmt.Errorf("reload bootstrap file: %w", err)
	}
	return nil
}

// replaceAddress sends an address on a channel of capacity 1, in place of an earlier address that has not been received
// yet. It does not block, as there is no other sender.
func replaceAddress(changes chan string, address string) {
	select {
	case <-changes:
	default:
	}
	changes <- address
}
