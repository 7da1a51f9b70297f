package main

import "cairnfront/internal/telemetry"

// reloadedFile is the name in log lines of a file that is read again on SIGHUP.
type reloadedFile string

// The files that are read again on SIGHUP.
const (
	reloadedBootstrap     reloadedFile = "bootstrap"
	reloadedConfiguration reloadedFile = "configuration"
)

// logReloadFailure counts and logs a failed reload of a file, whose previous values stay in use.
func (r *router) logReloadFailure(file reloadedFile, err error) {
	r.metrics.Inc(telemetry.ReloadsFailed)
	r.metrics.Log.Error("configuration reload failed", "file", string(file), "error", err.Error())
}
