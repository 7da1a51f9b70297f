package main

import "cairnfront/internal/telemetry"

// reloadedFile is a file that SIGHUP reads again, as the log names it.
type reloadedFile string

// The files that SIGHUP reads again.
const (
	reloadedBootstrap     reloadedFile = "bootstrap"
	reloadedConfiguration reloadedFile = "configuration"
)

// logReloadFailure counts and logs a failed reload of a file, whose previous values stay in use.
func (r *router) logReloadFailure(file reloadedFile, err error) {
	r.metrics.Inc(telemetry.ReloadsFailed)
	r.metrics.Log.Error("configuration reload failed", "file", string(file), "error", err.Error())
}
