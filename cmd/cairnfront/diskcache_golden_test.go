package main

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/require"
)

// elapsed matches the durations in the commands' output, which differ between runs.
var elapsed = regexp.MustCompile(`opened     in [0-9.]+ s|"Took":[0-9]+`)

// TestDiskCacheToolsPrintTheGoldenText compares the output of the disk-cache commands for a directory written by an
// earlier version, intact and damaged, with testdata/disk-cache.txt.
//
// Scripts parse this output, and directories of earlier versions stay in use. The test fails if a command reads such a
// directory differently or changes its output.
func TestDiskCacheToolsPrintTheGoldenText(t *testing.T) {
	var text strings.Builder
	for _, name := range []string{"folder", "damaged"} {
		goldenFolder := filepath.Join("..", "..", "internal", "diskcache", "testdata", "golden", name)
		scratch := t.TempDir()
		archive := filepath.Join(scratch, "archive.tar")
		run := func(folder string, args ...string) {
			path := filepath.Join(scratch, folder)
			if _, err := os.Stat(path); err != nil {
				require.NoError(t, os.CopyFS(path, os.DirFS(goldenFolder)))
			}
			out, errs, code := runCommand(t, append(append([]string{"disk-cache"}, args...), path)...)
			errs = strings.ReplaceAll(errs, scratch, "SCRATCH")
			fmt.Fprintf(&text, "== %s %s\n%s%sexit %d\n", name, args[0], out, errs, code)
		}
		run("1", "inspect")
		run("2", "inspect", "--json")
		run("3", "verify")
		run("4", "export", "--to", archive)
		content, err := os.ReadFile(archive)
		require.NoError(t, err)
		fmt.Fprintf(&text, "sha256 %x\n", sha256.Sum256(content))
		run("5", "compact")
		run("5", "verify")
	}
	golden.Compare(t, "disk-cache.txt", elapsed.ReplaceAllString(text.String(), "ELAPSED"))
}
