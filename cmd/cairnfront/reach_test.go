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

// TestEndpointWithTwoAddressesIsReachedByEither has a cache listen on a Unix socket too. The router uses that
// first, an operator disables and reinstates the address, and SIGHUP reads the file again without losing a request.
func TestEndpointWithTwoAddressesIsReachedByEither(t *testing.T) {
	dir := t.TempDir()
	m := startCache(t, func(h receivedAttempt) string { return okResponse(h, "x") })
	sock := filepath.Join(dir, "box.sock")
	ln, err := net.Listen("unix", sock)
	require.NoError(t, err)
	m.accept(t, ln)
	file, door := filepath.Join(dir, "operators.yaml"), filepath.Join(dir, "door.sock")
	write := func(list string) {
		require.NoError(t, os.WriteFile(file,
			[]byte(fmt.Sprintf("router:\n  socket: %q\n  addresses:\n    - {member: s-00000001, list: [%s]}\n", door,
				list)), 0o600))
	}
	tcp := m.Addr().String()
	write(fmt.Sprintf("%q, \"unix:%s\"", tcp, sock))
	s := startRouterWith(t, []string{"--operators", file}, 192, m, m)
	over := func() string {
		c := s.dial(t)
		c.send("page", objectID, "")
		code, _, _ := c.readResponse(t)
		require.EqualValues(t, 1, code)
		return m.lastAttempt().conn.LocalAddr().Network()
	}
	assert.Equal(t, "unix", over())
	out, errs, code := runCommand(t, "reach", "--socket", door)
	assert.Equal(t, 0, code, errs)
	assert.Contains(t, out, "unix:"+sock)
	_, errs, code = runCommand(t, "reach", "--socket", door, "rest", "s-00000001", "unix:"+sock)
	assert.Equal(t, 0, code, errs)
	assert.Equal(t, "tcp", over())
	_, errs, code = runCommand(t, "reach", "--socket", door, "rest", "s-00000001", tcp)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "its last address that is not disabled")
	_, _, code = runCommand(t, "reach", "--socket", door, "unrest", "s-00000001", "unix:"+sock)
	assert.Equal(t, 0, code)
	assert.Equal(t, "unix", over())

	write("nonsense")
	require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool {
		return strings.Contains(s.log.String(), "neither IP:PORT nor unix:/PATH") || strings.Contains(s.log.String(),
			"kept-old")
	}, patience, 5*time.Millisecond)
	assert.Equal(t, "unix", over(), "a file that can't be used leaves the old one in force")
	write(fmt.Sprintf("%q", tcp))
	require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(s.log.String(), "code=addresses") }, patience,
		5*time.Millisecond)
	require.Eventually(t, func() bool { return over() == "tcp" }, patience, 5*time.Millisecond)
	out, _, _ = runCommand(t, "reach", "--socket", door, "--json")
	var list []address.Status
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	for _, x := range list {
		if x.Endpoint == "s-00000001" {
			assert.Equal(t, address.Addr(tcp), x.Addr)
		}
	}
	info, err := os.Stat(door)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.NoError(t, s.stop(t, syscall.SIGTERM))
}
