package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"

	"cairnfront/internal/admin"
	"cairnfront/internal/membership"
	"cairnfront/internal/upstream/address"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requestLog records the requests that an admin server received. It is safe for concurrent use.
type requestLog struct {
	mu       sync.Mutex
	requests []string
}

func (l *requestLog) add(name admin.RequestName, args map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, fmt.Sprint(name, args))
}

// take returns the recorded requests and clears the log.
func (l *requestLog) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := l.requests
	l.requests = nil
	return requests
}

// adminStub serves an admin socket that answers each request with the response for its name and records the requests.
func adminStub(t *testing.T, responses map[admin.RequestName]any) (socket string, received *requestLog) {
	t.Helper()
	socket = filepath.Join(t.TempDir(), "admin.sock")
	received = &requestLog{}
	server := &admin.Server{Handlers: map[admin.RequestName]admin.Handler{}}
	for name, response := range responses {
		server.Handlers[name] = func(_ context.Context, args map[string]string) (any, error) {
			received.add(name, args)
			return response, nil
		}
	}
	ln, err := admin.Listen(t.Context(), socket)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return socket, received
}

// TestAddressesPrintsTheTermsForWireNames checks the printed term of each condition, which differs from its name on the
// wire.
//
// Operators' documentation lists only the terms, so a printed wire name could not be looked up.
func TestAddressesPrintsTheTermsForWireNames(t *testing.T) {
	terms := map[string]string{
		"well": "healthy", "refused": "connect_refused", "hung": "connect_timed_out",
		"broken": "connection_broken", "quiet": "unresponsive", "by-hand": "disabled", "later": "later",
	}
	var statuses []address.Status
	for name := range terms {
		statuses = append(statuses, address.Status{Endpoint: "s-1", Addr: address.Addr("at-" + name), Condition: name})
	}
	socket, _ := adminStub(t, map[admin.RequestName]any{admin.ShowAddresses: statuses})
	out, errs, code := runCommand(t, "addresses", "--socket", socket)
	assert.Equal(t, exitOK, code, errs)
	for name, term := range terms {
		assert.Regexp(t, `s-1 +0 at-`+name+` +`+term+` +for 0 s, cooldown 0\.0 s`, out)
	}
	out, _, _ = runCommand(t, "addresses", "--socket", socket, "--json")
	for name := range terms {
		assert.Contains(t, out, `"state":"`+name+`"`)
	}
}

// Without a path, connecting would fail with an error about an empty address. Each command that needs the admin socket
// must print which flag or environment variable sets its path.
func TestCommandsWithoutAnAdminSocketSaySo(t *testing.T) {
	t.Setenv(adminSocketVariable, "")
	for _, args := range [][]string{
		{"addresses"},
		{"addresses", "cooldown", "e", "a"},
		{"addresses", "reinstate", "e", "a"},
		{"peers"},
		{"peers", "leave"},
	} {
		_, errs, code := runCommand(t, args...)
		assert.Equal(t, exitFailure, code)
		assert.Equal(t, "cairnfront: no admin socket: set --socket or CAIRNFRONT_SOCKET\n", errs, args)
	}
}

// TestPeersPrintsTheReport compares the printed text of a report that has every optional part with the expected text.
//
// Operators need each part of the report when they investigate an incident.
func TestPeersPrintsTheReport(t *testing.T) {
	report := membership.Report{
		Name: "r0", PartitionState: "whole", Epoch: 3, SinceSeconds: 12, Present: 2, Roster: 3, Health: 1, Silent: true,
		UptimeSeconds: 10, InBytes: 1000, InDatagrams: 50, OutBytes: 500, OutDatagrams: 25, SendsDropped: 4,
		Detections: 2, DetectionP50Seconds: 1.5, DetectionP99Seconds: 2.5,
		Members: []membership.MemberReport{
			{
				Name: "r1", State: "alive", SinceSeconds: 7, Zone: "east", Address: "127.0.0.1:1",
				StartMillis: 5, Trusted: true,
			},
			{
				Name: "r2", State: "suspect", StartMillis: 6, Refutations: 2,
				Accusers: []string{"r0", "r1"}, FailedProbes: 3,
				ConfirmedAccusations: 1, RefutedAccusations: 2, ConfirmedObservations: 3, RefutedObservations: 4,
				Silenced: true, ViewDiffers: true,
			},
		},
		Doubts: []membership.EndpointDoubt{{Endpoint: "s-1", Level: 0.5, Witnesses: []string{"r1", "r2"}}},
	}
	socket, _ := adminStub(t, map[admin.RequestName]any{admin.ShowPeers: report})
	out, errs, code := runCommand(t, "peers", "--socket", socket)
	assert.Equal(t, exitOK, code, errs)
	assert.Equal(t, "r0: partition state complete for 12 s, epoch 3; 2 of 3 routers present, "+
		"local health score 1 of 8 (0 is healthy)\n"+
		"received 100 bytes/s, 5.0 datagrams/s; sent 50 bytes/s, 2.5 datagrams/s, 4 not sent (rate limit); "+
		"2 failures detected, p50 1.5 s, p99 2.5 s\n"+
		"SILENT: a newer process uses this router's name\n"+
		"r1               alive    for      7 s  zone east       127.0.0.1:1           incarnation 5.0\n"+
		"r2               suspect  for      0 s  zone                                  incarnation 6.2"+
		"  failed probes 3, accused by r0 r1  its accusations: 1.0 confirmed, 2.0 refuted"+
		"  its endpoint observations: 3.0 confirmed, 4.0 refuted  UNTRUSTED  view differs\n"+
		"endpoint s-1          doubt 0.50: r1, r2\n", out)
	out, _, _ = runCommand(t, "peers", "--socket", socket, "--json")
	assert.Contains(t, out, `"standing":"whole"`)
}
