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

// withdrawn has the words that no identifier uses any more, each with the term in its place (docs/glossary.md).
var withdrawn = map[string]string{
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

// checkedFolders are the trees whose code is held to the withdrawn words: all of it.
var checkedFolders = []string{"cmd", "internal", "routing", "simadapter"}

// TestIdentifiersUseTheGlossary walks all code and fails for each identifier with a withdrawn word.
func TestIdentifiersUseTheGlossary(t *testing.T) {
	forEachGoFile(t, func(root, file string) {
		for _, found := range withdrawnIn(t, file) {
			assert.Fail(t, "a withdrawn word", "%s", strings.TrimPrefix(found, root+"/"))
		}
	})
}

// forEachGoFile calls check with the repository's folder and each file of its code.
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

// TestWithdrawnWordsAreFound shows that the check can fail.
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

// withdrawnIn lists the identifiers of a file that have a withdrawn word, with their places.
func withdrawnIn(t *testing.T, file string) []string {
	t.Helper()
	var found []string
	inspectFile(t, file, func(node ast.Node, place string) {
		identifier, ok := node.(*ast.Ident)
		if !ok {
			return
		}
		for _, word := range words(identifier.Name) {
			if term := withdrawn[word]; term != "" {
				found = append(found, place+": "+identifier.Name+": say "+term)
			}
		}
	})
	return found
}

// inspectFile calls visit with each node of a file's syntax and its place.
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

// parseFile parses a file with its comments.
func parseFile(t *testing.T, file string) (*token.FileSet, *ast.File) {
	t.Helper()
	set := token.NewFileSet()
	tree, err := parser.ParseFile(set, file, nil, parser.SkipObjectResolution|parser.ParseComments)
	require.NoError(t, err)
	return set, tree
}

// words splits an identifier in mixed caps into lower-case words; a run of capitals is one word.
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

// runCommand runs a program and returns what it printed.
func runCommand(t *testing.T, name string, args ...string) string {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), name, args...).CombinedOutput()
	require.NoError(t, err, "%s %s: %s", name, strings.Join(args, " "), output)
	return string(output)
}
