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
	ln, err := Listen(path)
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

// testServer has a handler for each kind of result.
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

func TestRequestsAreAnswered(t *testing.T) {
	server := testServer()
	path := start(t, server)
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	data, err := Call(path, "echo", map[string]string{"x": "y"})
	require.NoError(t, err)
	assert.Equal(t, `"y"`, string(data))
	for name, want := range map[RequestName]string{
		"fail":  "not known",
		"panic": "handle request \"panic\": panic: at this",
		"what":  "unknown request",
		"large": "response is too long",
	} {
		_, err = Call(path, name, nil)
		assert.ErrorContains(t, err, want)
	}
	assert.EqualValues(t, 1, server.Metrics.Value(`admin_requests_total{request="echo"}`))
	assert.EqualValues(t, 1, server.Metrics.Value("panics_total"))
}

func TestMalformedLinesAreAnsweredWithTheReason(t *testing.T) {
	path := start(t, testServer())
	for line, want := range map[string]string{
		"nonsense\n":                           "parse request: not a request in JSON",
		`{"v":9,"do":"echo"}` + "\n":           "unsupported protocol version 9",
		strings.Repeat("x", maxRequestBytes+1): "line is too long: over",
	} {
		conn, err := net.Dial("unix", path)
		require.NoError(t, err)
		_, _ = conn.Write([]byte(line))
		response := make([]byte, 400)
		n, _ := io.ReadAtLeast(conn, response, 20)
		assert.Contains(t, string(response[:n]), want)
		_ = conn.Close()
	}
}

func TestOtherUsersAreRefused(t *testing.T) {
	server := &Server{
		Metrics: telemetry.New(&bytes.Buffer{}, ""),
		allowed: func(uint32) bool { return false },
	}
	path := start(t, server)
	_, err := Call(path, "echo", nil)
	assert.ErrorContains(t, err, "is not allowed")
	assert.EqualValues(t, 1, server.Metrics.Value("admin_users_refused_total"))
}

// TestRefusalBeforeTheRequestIsReadReachesTheClient has a server that responds and closes before the request is
// written: the write fails, the response still counts.
func TestRefusalBeforeTheRequestIsReadReachesTheClient(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	ln, err := net.Listen("unix", path)
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	for refusal, want := range map[string]string{
		`{"v":1,"error":"authorize user 7: not allowed"}` + "\n": "user 7: not allowed",
		"": "send request to admin socket " + path,
	} {
		client, err := net.Dial("unix", path)
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

func TestListenReplacesOnlyAStaleSocket(t *testing.T) {
	path := start(t, &Server{})
	_, err := Listen(path)
	assert.ErrorIs(t, err, ErrSocketInUse)
	assert.ErrorContains(t, err, "in use")
	file := filepath.Join(t.TempDir(), "f")
	require.NoError(t, os.WriteFile(file, []byte("x"), 0o600))
	_, err = Listen(file)
	assert.ErrorIs(t, err, ErrNotASocket)
	assert.ErrorContains(t, err, "not a socket")
	stale, err := net.Listen("unix", file+"2")
	require.NoError(t, err)
	stale.(*net.UnixListener).SetUnlinkOnClose(false)
	_ = stale.Close()
	ln, err := Listen(file + "2")
	require.NoError(t, err, "left behind")
	_ = ln.Close()
}
