package admin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// start runs a server until the test ends and returns the path of its socket.
func start(t *testing.T, s *Server) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	ln, err := Listen(t.Context(), path)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return path
}

// testServer returns a server with a handler for each kind of result.
func testServer() *Server {
	return &Server{
		Metrics: telemetry.New(&bytes.Buffer{}, ""),
		Handlers: map[RequestName]Handler{
			"echo":  func(_ context.Context, args map[string]string) (any, error) { return args["x"], nil },
			"fail":  func(context.Context, map[string]string) (any, error) { return nil, errors.New("not known") },
			"panic": func(context.Context, map[string]string) (any, error) { panic("at this") },
			"large": func(context.Context, map[string]string) (any, error) {
				return strings.Repeat("x", maxResponseBytes), nil
			},
		},
	}
}

// Guards against a handler that fails or panics and so ends the router or leaves its client without a response. Each
// kind of result must become a response with its reason. The socket must not be accessible to other users, and the
// requests must be counted.
func TestRequestsAreAnswered(t *testing.T) {
	server := testServer()
	path := start(t, server)
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	data, err := Call(t.Context(), path, "echo", map[string]string{"x": "y"})
	require.NoError(t, err)
	assert.Equal(t, `"y"`, string(data))
	for name, want := range map[RequestName]string{
		"fail":  "not known",
		"panic": "handle request \"panic\": panic: at this",
		"what":  "unknown request",
		"large": "response is too long",
	} {
		_, err = Call(t.Context(), path, name, nil)
		require.ErrorContains(t, err, want)
	}
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, server.Metrics.Value(`admin_requests_total{request="echo"}`))
	assert.EqualValues(t, 1, server.Metrics.Value("panics_total")) //nolint:testifylint // exact by intent
}

// Clients of another version, or clients that do not speak the protocol, send lines that the server can't parse. The
// response must contain the reason, and a line without an end must not use unlimited memory.
func TestMalformedLinesAreAnsweredWithTheReason(t *testing.T) {
	path := start(t, testServer())
	for line, want := range map[string]string{
		"nonsense\n":                           "parse request: not a request in JSON",
		`{"v":9,"do":"echo"}` + "\n":           "unsupported protocol version 9",
		strings.Repeat("x", maxRequestBytes+1): "line is too long: over",
	} {
		conn, err := new(net.Dialer).DialContext(t.Context(), "unix", path)
		require.NoError(t, err)
		_, _ = conn.Write([]byte(line))
		response := make([]byte, 400)
		n, _ := io.ReadAtLeast(conn, response, 20)
		assert.Contains(t, string(response[:n]), want)
		_ = conn.Close()
	}
}

// The file mode of a socket does not stop other users in every environment. The server must check the client's user id
// from the kernel, respond to a user that is not allowed with the reason, and count the refusal.
func TestOtherUsersAreRefused(t *testing.T) {
	server := &Server{
		Metrics: telemetry.New(&bytes.Buffer{}, ""),
		allowed: func(uint32) bool { return false },
	}
	path := start(t, server)
	_, err := Call(t.Context(), path, "echo", nil)
	require.ErrorContains(t, err, "is not allowed")
	assert.EqualValues(t, 1, server.Metrics.Value("admin_users_refused_total")) //nolint:testifylint // exact by intent
}

// The server responds and closes the connection before the request is written. The client's write fails, but the client
// must still return the error in the response.
func TestClientReturnsARefusalSentBeforeItsRequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	ln, err := new(net.ListenConfig).Listen(t.Context(), "unix", path)
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	for refusal, want := range map[string]string{
		`{"v":1,"error":"authorize user 7: not allowed"}` + "\n": "user 7: not allowed",
		"": "send request to admin socket " + path,
	} {
		client, err := new(net.Dialer).DialContext(t.Context(), "unix", path)
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
		server, err := ln.Accept()
		require.NoError(t, err)
		_, err = server.Write([]byte(refusal))
		require.NoError(t, err)
		require.NoError(t, server.Close())
		_, err = exchange(client, path, "echo", nil)
		assert.ErrorContains(t, err, want)
	}
}

// A killed program leaves its socket file behind, with which the next start would fail. Removing any file at the path
// could delete other files, or disconnect a running program. Only a socket without a listener must be replaced.
func TestListenReplacesOnlyAStaleSocket(t *testing.T) {
	path := start(t, &Server{})
	_, err := Listen(t.Context(), path)
	require.ErrorIs(t, err, ErrSocketInUse)
	require.ErrorContains(t, err, "in use")
	file := filepath.Join(t.TempDir(), "f")
	require.NoError(t, os.WriteFile(file, []byte("x"), 0o600))
	_, err = Listen(t.Context(), file)
	require.ErrorIs(t, err, ErrNotASocket)
	require.ErrorContains(t, err, "not a socket")
	stale, err := new(net.ListenConfig).Listen(t.Context(), "unix", file+"2")
	require.NoError(t, err)
	unixListener, ok := stale.(*net.UnixListener)
	require.True(t, ok)
	unixListener.SetUnlinkOnClose(false)
	_ = stale.Close()
	ln, err := Listen(t.Context(), file+"2")
	require.NoError(t, err, "the stale socket is replaced")
	_ = ln.Close()
}
