// Package timing has the laboratory's helpers for the wall clock: waiting with a limit, and times as numbers.
package timing
