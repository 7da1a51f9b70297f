package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admin"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/golden"

	"github.com/stretchr/testify/require"
)

// volatile matches the counters whose values depend on the machine or on the duration of the test.
var volatile = regexp.MustCompile(`(?m)^(counter (?:process|connections?)_\S+|counter \S+_max_seconds) -?[\d.]+$`)

// TestCounterDumpKeepsNamesAndForm compares the complete counter dump on SIGUSR1 with a golden file, after a fixed
// sequence of requests, faults and commands.
//
// Dashboards and scripts read counters by name. Without this test, a renamed or missing counter would be noticed only
// during an incident.
func TestCounterDumpKeepsNamesAndForm(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string {
		switch attempt.fields["thing"] {
		case "00000000000000aa":
			return ""
		case "00000000000000bb":
			return attempt.id + " refused - 0\r\n\r\n"
		}
		return okResponse(attempt, "x")
	})
	path := filepath.Join(t.TempDir(), "config.yaml")
	socket := filepath.Join(t.TempDir(), "admin")
	text := fmt.Sprintf("router:\n  socket: %s\n  further_share: 0.5\n  addresses:\n"+
		"  - {member: s-00000001, list: [%q]}\n", socket, cache.Addr())
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	router := startRouterWith(t, []string{"--config", path}, 192, cache, cache)
	c := router.dial(t)
	for _, class := range []string{"page", "order", "write"} {
		c.send(class, objectID, "")
		c.expectCode(t, codeCompleted)
	}
	before := cache.attemptCount()
	c.send("page", "00000000000000aa", "")
	require.Eventually(t, func() bool { return cache.attemptCount() > before }, waitTimeout, time.Millisecond)
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, c.stream, 0))
	<-cache.cancelled
	bad := router.dial(t)
	_, _ = bad.Write([]byte(strings.Repeat("\xff", 64)))
	_, _ = bad.Read(make([]byte, 1))
	for _, request := range []admin.RequestName{
		admin.ShowAddresses, admin.CooldownAddress, admin.ShowPeers, "unknown",
	} {
		_, _ = admin.Call(t.Context(), socket, request, nil)
	}
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	router.waitForLog(t, "endpoint addresses reloaded")
	require.NoError(t, os.WriteFile(path, []byte("router: 1\n"), 0o600))
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	router.waitForLog(t, "configuration reload failed")
	require.NoError(t, router.Process.Signal(syscall.SIGUSR1))
	require.Eventually(t, func() bool { return strings.Contains(router.log.String(), "counter requests_open ") },
		waitTimeout, time.Millisecond)
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	var dump strings.Builder
	for line := range strings.Lines(router.log.String()) {
		if strings.HasPrefix(line, "counter ") {
			dump.WriteString(line)
		}
		if strings.HasPrefix(line, `counter upstream_attempts_total{class="write"}`) {
			break // the last series in order; the dump at exit follows
		}
	}
	golden.Compare(t, "counters.golden.txt", volatile.ReplaceAllString(dump.String(), "$1 N"))
}
