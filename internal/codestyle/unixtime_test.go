package codestyle

import (
	"go/ast"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unixConversions are the methods and functions that convert a time to or from a Unix time. A duration computed from
// Unix times changes with each step of the wall clock.
var unixConversions = map[string]bool{
	"UnixNano": true, "UnixMicro": true, "UnixMilli": true,
}

// TestUnixTimeIsReadByOnePackageOnly checks that only internal/clock converts between times and Unix times.
func TestUnixTimeIsReadByOnePackageOnly(t *testing.T) {
	forEachGoFile(t, func(root, file string) {
		path := strings.TrimPrefix(file, root+"/")
		if strings.HasPrefix(path, "internal/clock/") || strings.HasSuffix(path, "_test.go") {
			return
		}
		for _, found := range unixConversionsIn(t, file) {
			assert.Fail(t, "Unix time conversion outside internal/clock", "%s", strings.TrimPrefix(found, root+"/"))
		}
	})
}

// TestUnixConversionsAreFound checks that unixConversionsIn finds conversions in both directions.
func TestUnixConversionsAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "code.go")
	text := "package code\n\nimport \"time\"\n\nvar a = time.Now().UnixMicro()\n\nvar b = time.UnixMilli(a)\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	assert.Len(t, unixConversionsIn(t, file), 2)
}

// unixConversionsIn returns the positions in a file that convert between a time and a Unix time.
func unixConversionsIn(t *testing.T, file string) []string {
	t.Helper()
	var found []string
	inspectFile(t, file, func(node ast.Node, place string) {
		if selector, ok := node.(*ast.SelectorExpr); ok && unixConversions[selector.Sel.Name] {
			found = append(found, place+": "+selector.Sel.Name)
		}
	})
	return found
}
