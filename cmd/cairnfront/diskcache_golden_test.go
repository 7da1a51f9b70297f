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

// elapsed is what differs from run to run in the tools' output.
var elapsed = regexp.MustCompile(`opened     in [0-9.]+ s|"Took":[0-9]+`)

// TestDiskCacheToolsPrintTheGoldenText compares what the tools print for a folder of an earlier version, intact and
// damaged, with testdata/disk-cache.txt.
//
// Scripts read the tools' output, and folders of earlier versions stay in use. A tool that reads or prints them
// differently breaks both.
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
