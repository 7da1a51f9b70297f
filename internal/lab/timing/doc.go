// Package timing has what the laboratory needs of the wall clock: waiting with a limit, and times as numbers.
package timing
