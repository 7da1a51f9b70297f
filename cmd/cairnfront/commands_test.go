package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A command that fails silently, or prints its complete help text, does not show its user the cause. A command that
// succeeds must print its result, and one that fails must print a single line with the reason.
func TestCommandsPrintWhatTheyDid(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	cache := startCache(t, nil)
	good := string(bootstrapFile("127.0.0.1:1", "127.0.0.1:2", 192, cache, cache))
	portTaken := strings.Replace(good, "127.0.0.1:1", cache.Addr().String(), 1)
	for _, c := range []struct {
		args       []string
		env        string
		ok         bool
		wantOutput string
	}{
		{[]string{"version"}, "", true, "cairnfront"},
		{[]string{"--help"}, "", true, "serve"},
		{[]string{"check", write("good", good)}, "", true, "3 request classes"},
		{[]string{"check"}, write("bad", "{"), false, "JSON"},
		{[]string{"serve"}, "", false, "LB_CONFIG is not set"},
		{[]string{"serve"}, filepath.Join(dir, "absent"), false, "no such file"},
		{[]string{"serve"}, write("parts", strings.Replace(good, `"known"`, `"x"`, 1)), false, "known"},
		{[]string{"serve"}, write("taken", portTaken), false, "address already in use"},
		{[]string{"what"}, "", false, "unknown command"},
	} {
		cmd := exec.CommandContext(t.Context(), program, c.args...)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+c.env)
		var out, errs bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		assert.Equal(t, c.ok, err == nil, c.args)
		if c.ok {
			assert.Contains(t, out.String(), c.wantOutput)
			continue
		}
		assert.Contains(t, errs.String(), c.wantOutput)
		assert.Equal(t, 1, strings.Count(errs.String(), "\n"), "the error is a single line: %s", errs.String())
	}
}
