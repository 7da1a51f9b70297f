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

// unixConversions are the methods and functions that turn a time into a count since the Unix epoch, or back. A span
// that is computed from such counts follows each step of the wall clock.
var unixConversions = map[string]bool{
	"UnixNano": true, "UnixMicro": true, "UnixMilli": true,
}

// TestUnixTimeIsReadByOnePackageOnly keeps conversions between times and Unix time in internal/clock.
func TestUnixTimeIsReadByOnePackageOnly(t *testing.T) {
	forEachGoFile(t, func(root, file string) {
		path := strings.TrimPrefix(file, root+"/")
		if strings.HasPrefix(path, "internal/clock/") || strings.HasSuffix(path, "_test.go") {
			return
		}
		for _, found := range unixConversionsIn(t, file) {
			assert.Fail(t, "Unix time outside of internal/clock", "%s", strings.TrimPrefix(found, root+"/"))
		}
	})
}

// TestUnixConversionsAreFound shows that the check can fail.
func TestUnixConversionsAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "code.go")
	text := "package code\n\nimport \"time\"\n\nvar a = time.Now().UnixMicro()\n\nvar b = time.UnixMilli(a)\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	assert.Len(t, unixConversionsIn(t, file), 2)
}

// unixConversionsIn lists the places of a file that convert between a time and Unix time.
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
