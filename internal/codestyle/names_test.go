package codestyle

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"unicode"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withdrawnWords maps each word that identifiers must not use to the term that replaces it (docs/glossary.md).
var withdrawnWords = map[string]string{
	"bell":         "timer",
	"benched":      "ejected",
	"brain":        "routing",
	"deaf":         "discard input",
	"desk":         "request handler",
	"drill":        "simulator adapter",
	"hangup":       "graceful close",
	"hatch":        "admin socket",
	"hop":          "attempt",
	"hops":         "attempts",
	"keeper":       "rebalancer",
	"leaver":       "client disconnected",
	"leavers":      "clients disconnected",
	"outlet":       "response writer",
	"parting":      "client disconnected",
	"partings":     "clients disconnected",
	"remap":        "class",
	"repeatable":   "idempotent",
	"rulebook":     "settings",
	"rumour":       "health observation",
	"rumours":      "health observations",
	"sibling":      "peer cache",
	"sla":          "latency objective",
	"taker":        "frontend",
	"txn":          "request",
	"txns":         "requests",
	"unrepeatable": "non-idempotent",
	"whereabouts":  "attempt location",
}

// checkedFolders are the directory trees that are searched for withdrawn words. They contain all code of the module.
var checkedFolders = []string{"cmd", "internal", "routing", "simadapter"}

// TestIdentifiersUseTheGlossary fails for each identifier in the code that contains a withdrawn word.
func TestIdentifiersUseTheGlossary(t *testing.T) {
	forEachGoFile(t, func(root, file string) {
		for _, found := range withdrawnIn(t, file) {
			assert.Fail(t, "an identifier contains a withdrawn word", "%s", strings.TrimPrefix(found, root+"/"))
		}
	})
}

// forEachGoFile calls check with the repository's root directory and the path of each Go file in checkedFolders.
func forEachGoFile(t *testing.T, check func(root, file string)) {
	t.Helper()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	for _, folder := range checkedFolders {
		for _, file := range goFiles(t, filepath.Join(root, folder)) {
			check(root, file)
		}
	}
}

// TestWithdrawnWordsAreFound checks that withdrawn words are found in identifiers, and only complete words.
func TestWithdrawnWordsAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "code.go")
	text := "package code\n\ntype openTxn struct{ lastHop int }\n\nfunc attempt(hopper int) int { return hopper }\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	assert.Len(t, withdrawnIn(t, file), 2)
}

func goFiles(t *testing.T, folder string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".go") {
			files = append(files, path)
		}
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, files, "no Go files in %s", folder)
	return files
}

// withdrawnIn returns the position of each identifier in a file that contains a withdrawn word, with the term to use.
func withdrawnIn(t *testing.T, file string) []string {
	t.Helper()
	var found []string
	inspectFile(t, file, func(node ast.Node, place string) {
		identifier, ok := node.(*ast.Ident)
		if !ok {
			return
		}
		for _, word := range words(identifier.Name) {
			if term := withdrawnWords[word]; term != "" {
				found = append(found, place+": "+identifier.Name+": use "+term)
			}
		}
	})
	return found
}

// inspectFile calls visit with each node of a file's syntax tree and its position.
func inspectFile(t *testing.T, file string, visit func(node ast.Node, place string)) {
	t.Helper()
	set, tree := parseFile(t, file)
	ast.Inspect(tree, func(node ast.Node) bool {
		if node != nil {
			visit(node, set.Position(node.Pos()).String())
		}
		return true
	})
}

// parseFile parses a Go file including its comments.
func parseFile(t *testing.T, file string) (*token.FileSet, *ast.File) {
	t.Helper()
	set := token.NewFileSet()
	tree, err := parser.ParseFile(set, file, nil, parser.SkipObjectResolution|parser.ParseComments)
	require.NoError(t, err)
	return set, tree
}

// words splits an identifier in MixedCaps or snake_case into lower-case words. A run of capitals is one word.
func words(identifier string) []string {
	var list []string
	var word []rune
	letters := []rune(identifier)
	for i, letter := range letters {
		begins := unicode.IsUpper(letter) && i > 0 &&
			(!unicode.IsUpper(letters[i-1]) || i+1 < len(letters) && unicode.IsLower(letters[i+1]))
		if (begins || letter == '_') && len(word) > 0 {
			list = append(list, strings.ToLower(string(word)))
			word = nil
		}
		if letter != '_' {
			word = append(word, letter)
		}
	}
	return append(list, strings.ToLower(string(word)))
}

// runCommand runs a program, which must succeed, and returns its combined output.
func runCommand(t *testing.T, name string, args ...string) string {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), name, args...).CombinedOutput()
	require.NoError(t, err, "%s %s: %s", name, strings.Join(args, " "), output)
	return string(output)
}
