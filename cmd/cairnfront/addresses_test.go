package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/upstream/address"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEndpointWithTwoAddressesIsReachedByEither uses a cache that listens on TCP and on a Unix socket. The router must
// prefer the Unix socket, use TCP while an operator has put the socket's address into cooldown, and apply a reloaded
// file without losing a request.
//
// The path to one address of a cache may fail while the cache works. Without a second address, its requests would fail
// until the endpoint list changes.
func TestEndpointWithTwoAddressesIsReachedByEither(t *testing.T) {
	dir := t.TempDir()
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	cacheSocket := filepath.Join(dir, "cache.sock")
	ln, err := new(net.ListenConfig).Listen(t.Context(), "unix", cacheSocket)
	require.NoError(t, err)
	cache.accept(t, ln)
	file, socket := filepath.Join(dir, "config.yaml"), filepath.Join(dir, "admin.sock")
	write := func(list string) {
		require.NoError(t, os.WriteFile(file,
			[]byte(fmt.Sprintf("router:\n  socket: %q\n  addresses:\n    - {member: s-00000001, list: [%s]}\n", socket,
				list)), 0o600))
	}
	tcp := cache.Addr().String()
	write(fmt.Sprintf("%q, \"unix:%s\"", tcp, cacheSocket))
	router := startRouterWith(t, []string{"--config", file}, 192, cache, cache)
	networkUsed := func() string {
		c := router.dial(t)
		c.send("page", objectID, "")
		code, _, _ := c.readResponse(t)
		require.Equal(t, codeCompleted, code)
		return cache.lastAttempt().conn.LocalAddr().Network()
	}
	assert.Equal(t, "unix", networkUsed())
	out, errs, code := runCommand(t, "addresses", "--socket", socket)
	assert.Equal(t, 0, code, errs)
	assert.Contains(t, out, "unix:"+cacheSocket)
	_, errs, code = runCommand(t, "addresses", "--socket", socket, "cooldown", "s-00000001", "unix:"+cacheSocket)
	assert.Equal(t, 0, code, errs)
	assert.Equal(t, "tcp", networkUsed())
	_, errs, code = runCommand(t, "addresses", "--socket", socket, "cooldown", "s-00000001", tcp)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "its last address that is not disabled")
	_, _, code = runCommand(t, "addresses", "--socket", socket, "reinstate", "s-00000001", "unix:"+cacheSocket)
	assert.Equal(t, 0, code)
	assert.Equal(t, "unix", networkUsed())

	write("nonsense")
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool {
		return strings.Contains(router.log.String(), "neither IP:PORT nor unix:/PATH") ||
			strings.Contains(router.log.String(), "configuration reload failed")
	}, waitTimeout, 5*time.Millisecond)
	assert.Equal(t, "unix", networkUsed(), "an invalid file changes nothing")
	write(fmt.Sprintf("%q", tcp))
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	router.waitForLog(t, "endpoint addresses reloaded")
	require.Eventually(t, func() bool { return networkUsed() == "tcp" }, waitTimeout, 5*time.Millisecond)
	out, _, _ = runCommand(t, "addresses", "--socket", socket, "--json")
	var list []address.Status
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	for _, x := range list {
		if x.Endpoint == "s-00000001" {
			assert.Equal(t, address.Addr(tcp), x.Addr)
		}
	}
	info, err := os.Stat(socket)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.NoError(t, router.stop(t, syscall.SIGTERM))
}
