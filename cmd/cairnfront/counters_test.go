package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// counterDump maps each series of a counter dump (name and labels, as printed) to its integer value.
type counterDump map[string]int

// total returns the sum of a counter over all of its label values.
func (d counterDump) total(name string) int {
	sum := 0
	for series, value := range d {
		if metric, _, _ := strings.Cut(series, "{"); metric == name {
			sum += value
		}
	}
	return sum
}

// received returns how many requests were received.
func (d counterDump) received() int { return d.total("requests_received_total") }

// answered returns how many requests were answered with a final response.
func (d counterDump) answered() int { return d.total("requests_answered_total") }

// cancelled returns how many requests were cancelled, over all classes.
func (d counterDump) cancelled() int { return d.total("requests_cancelled_total") }

// completed returns how many requests of a class were completed by an endpoint's response.
func (d counterDump) completed(class string) int {
	return d[`requests_answered_total{class="`+class+`",result="completed",reason="attempt_completed"}`]
}

// connectionsOpen returns how many connections are open on a side: client or endpoint.
func (d counterDump) connectionsOpen(side string) int { return d[`connections_open{side="`+side+`"}`] }

// connectionsOpened returns how many connections were opened on a side: client or endpoint.
func (d counterDump) connectionsOpened(side string) int {
	return d[`connections_opened_total{side="`+side+`"}`]
}

// dumpCounters makes the program print its counters and returns them.
func (router *routerProcess) dumpCounters(t *testing.T) counterDump {
	t.Helper()
	const lastPrintedSeries = "counter process_goroutines"
	before := strings.Count(router.log.String(), lastPrintedSeries)
	require.NoError(t, router.Process.Signal(syscall.SIGUSR1))
	printed := func() bool { return strings.Count(router.log.String(), lastPrintedSeries) > before }
	require.Eventually(t, printed, waitTimeout, time.Millisecond)
	return router.counters()
}

// counters returns the last printed value of each counter.
func (router *routerProcess) counters() counterDump {
	out := counterDump{}
	for text := range strings.Lines(router.log.String()) {
		var name string
		var n int
		if k, _ := fmt.Sscanf(text, "counter %s %d", &name, &n); k == 2 {
			out[name] = n
		}
	}
	return out
}
