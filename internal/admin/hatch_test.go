package admin

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func begin(t *testing.T, d *Server) string {
	path := filepath.Join(t.TempDir(), "s")
	ln, err := Listen(path)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx, ln) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-done) })
	return path
}

func TestRequestsAreAnswered(t *testing.T) {
	path := begin(t, &Server{Handlers: map[string]Handler{
		"echo": func(_ context.Context, args map[string]string) (any, error) { return args["x"], nil },
		"fail": func(context.Context, map[string]string) (any, error) { return nil, errors.New("no such member") },
		"fall": func(context.Context, map[string]string) (any, error) { panic("at this") },
		"much": func(context.Context, map[string]string) (any, error) { return strings.Repeat("x", mostAnswer), nil },
	}})
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	data, err := Call(path, "echo", map[string]string{"x": "y"})
	require.NoError(t, err)
	assert.Equal(t, `"y"`, string(data))
	for do, want := range map[string]string{"fail": "no such member", "fall": "failed at this: at this", "what": "unknown request", "much": "ask for less"} {
		_, err = Call(path, do, nil)
		assert.ErrorContains(t, err, want)
	}
	for line, want := range map[string]string{"nonsense\n": "not a line of JSON", `{"v":9,"do":"echo"}` + "\n": "version 9", strings.Repeat("x", mostRequest+1): "a line over"} {
		c, err := net.Dial("unix", path)
		require.NoError(t, err)
		_, _ = c.Write([]byte(line))
		b := make([]byte, 400)
		n, _ := io.ReadAtLeast(c, b, 20)
		assert.Contains(t, string(b[:n]), want)
		_ = c.Close()
	}
}

func TestAnotherUserIsRefused(t *testing.T) {
	path := begin(t, &Server{allowed: func(uint32) bool { return false }})
	_, err := Call(path, "echo", nil)
	assert.ErrorContains(t, err, "may not ask here")
}

// The door had answered and closed before the request was written: the write fails, the answer still counts.
func TestARefusalBeforeTheRequestIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	ln, err := net.Listen("unix", path)
	require.NoError(t, err)
	defer ln.Close()
	for refusal, want := range map[string]string{`{"v":1,"error":"user 7 may not ask here"}` + "\n": "user 7 may not", "": "asking at " + path} {
		c, err := net.Dial("unix", path)
		require.NoError(t, err)
		defer c.Close()
		s, err := ln.Accept()
		require.NoError(t, err)
		_, err = s.Write([]byte(refusal))
		require.NoError(t, err)
		require.NoError(t, s.Close())
		_, err = exchange(c, path, "echo", nil)
		assert.ErrorContains(t, err, want)
	}
}

func TestASocketInUseAndAnotherFileAreLeftAlone(t *testing.T) {
	path := begin(t, &Server{})
	_, err := Listen(path)
	assert.ErrorContains(t, err, "in use")
	file := filepath.Join(t.TempDir(), "f")
	require.NoError(t, os.WriteFile(file, []byte("x"), 0o600))
	_, err = Listen(file)
	assert.ErrorContains(t, err, "no socket")
	old, err := net.Listen("unix", file+"2")
	require.NoError(t, err)
	old.(*net.UnixListener).SetUnlinkOnClose(false)
	_ = old.Close()
	ln, err := Listen(file + "2")
	require.NoError(t, err, "left behind")
	_ = ln.Close()
}
