package codestyle

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ruleFiles are the files outside the routing module that contain rules among other code. Their constants must have a
// row in docs/decisions.md, and so must functions that read one of these constants or guard against a failure.
var ruleFiles = []string{
	"cmd/cairnfront/drain.go",
	"cmd/cairnfront/listen.go",
	"cmd/cairnfront/reload.go",
	"internal/admission/connections.go",
	"internal/admission/controller.go",
	"internal/admission/limits.go",
	"internal/admission/memoryplan.go",
	"internal/admission/readiness.go",
	"internal/discovery/backoff.go",
	"internal/discovery/client.go",
	"internal/discovery/dial.go",
	"internal/discovery/revisions.go",
	"internal/dispatch/attempts.go",
	"internal/dispatch/dispatcher.go",
	"internal/dispatch/endpoints.go",
	"internal/dispatch/requests.go",
	"internal/dispatch/timers.go",
	"internal/fairshare/pool.go",
	"internal/frontend/accept.go",
	"internal/frontend/close.go",
	"internal/frontend/drain.go",
	"internal/frontend/eviction.go",
	"internal/frontend/framereader.go",
	"internal/frontend/processorturn.go",
	"internal/frontend/requestwindow.go",
	"internal/frontend/responsewriter.go",
	"internal/frontend/servicetime.go",
	"internal/frontend/streamwindow.go",
	"internal/frontend/timeouts.go",
	"internal/frontend/waitbudget.go",
	"internal/frontend/writeloop.go",
	"internal/netconn/close.go",
	"internal/netconn/errors.go",
	"internal/netconn/read.go",
	"internal/netconn/write.go",
	"internal/request/body.go",
	"internal/upstream/address/cooldown.go",
	"internal/upstream/address/observation.go",
	"internal/upstream/address/probe.go",
	"internal/upstream/address/race.go",
	"internal/upstream/address/samples.go",
	"internal/upstream/address/selector.go",
	"internal/upstream/connection.go",
	"internal/upstream/dial.go",
	"internal/upstream/idle.go",
	"internal/upstream/lifecycle.go",
	"internal/upstream/reader.go",
	"internal/upstream/retrybudget/budget.go",
	"internal/upstream/selection.go",
	"internal/upstream/silence.go",
	"internal/upstream/writer.go",
}

// guardWords is the phrase in the doc comment of each function that guards against a failure.
const guardWords = "guards against"

// TestRulesAreIndexed checks that docs/decisions.md has a row for each rule outside the routing module.
func TestRulesAreIndexed(t *testing.T) {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	page, err := os.ReadFile(filepath.Join(root, "docs", "decisions.md"))
	require.NoError(t, err)
	for _, fault := range ruleFaults(t, root, string(page), ruleFiles) {
		assert.Fail(t, "docs/decisions.md lacks a rule", "%s", fault)
	}
}

// TestRuleFaultsAreFound checks that ruleFaults reports each kind of missing row, and ignores code that is not a rule.
func TestRuleFaultsAreFound(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(root, "rules"), 0o700))
	listed := "package rules\n\nconst limit = 1\n\nconst (\n\tidle = iota\n\tbusy\n)\n\n" +
		"// guard guards against\n// a failure.\nfunc guard() {}\n\nfunc state() int { return busy }\n"
	other := "package rules\n\nconst size = 2\n\nfunc decide() int { return limit }\n\n" +
		"func hold() int { return size }\n\nfunc field(s struct{ limit int }) int { return s.limit }\n"
	require.NoError(t, os.WriteFile(filepath.Join(root, "rules", "rules.go"), []byte(listed), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(root, "rules", "other.go"), []byte(other), 0o600))
	files := []string{"rules/rules.go"}
	guard := "| a? | `rules/rules.go`: `guard` | none | `limit` | b | c |\n"
	decide := "| a? | `rules/other.go`: `decide` | none | - | b | c |\n"
	assert.Empty(t, ruleFaults(t, root, guard+decide, files))
	assert.Equal(t, []string{"rules/rules.go: limit has no row"},
		ruleFaults(t, root, strings.Replace(guard, "`limit`", "-", 1)+decide, files))
	assert.Equal(t, []string{"rules/rules.go: guard has no row"},
		ruleFaults(t, root, strings.Replace(guard, "`guard`", "`state`", 1)+decide, files))
	assert.Equal(t, []string{"rules/other.go: decide has no row"}, ruleFaults(t, root, guard, files))
	assert.Len(t, ruleFaults(t, root, "", files), 3, "an empty page")
}

// ruleFaults returns a fault for each rule of the files that no row of the page names. Rules are the constants of the
// files except enumerations, the functions of their packages that read such a constant, and functions of the files
// whose comment marks them as a guard.
func ruleFaults(t *testing.T, root, page string, files []string) (faults []string) {
	t.Helper()
	rows, _ := parseDecisions(page) // TestDecisionsAreIndexed reports incomplete rows
	named := namesOfRows(root, rows)
	check := func(path string, names []string) {
		relative, err := filepath.Rel(root, path)
		require.NoError(t, err)
		for _, name := range names {
			if !named[filepath.Dir(path)+" "+name] {
				faults = append(faults, filepath.ToSlash(relative)+": "+name+" has no row")
			}
		}
	}
	constants := map[string]map[string]bool{} // by directory
	for _, file := range files {
		path := filepath.Join(root, file)
		folder, tree := filepath.Dir(path), parseWithComments(t, path)
		if constants[folder] == nil {
			constants[folder] = map[string]bool{}
		}
		for _, name := range ruleConstants(tree) {
			constants[folder][name] = true
		}
		check(path, ruleConstants(tree))
		check(path, functionsMatching(tree, isGuard))
	}
	for folder, names := range constants {
		for _, path := range goFiles(t, folder) {
			if filepath.Dir(path) == folder && !strings.HasSuffix(path, "_test.go") {
				tree := parseWithComments(t, path)
				check(path, functionsMatching(tree, func(f *ast.FuncDecl) bool { return usesAny(f, names) }))
			}
		}
	}
	slices.Sort(faults)
	return slices.Compact(faults)
}

func parseWithComments(t *testing.T, path string) *ast.File {
	t.Helper()
	tree, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
	require.NoError(t, err)
	return tree
}

// functionsMatching returns the names of a file's functions that satisfy a condition.
func functionsMatching(tree *ast.File, condition func(*ast.FuncDecl) bool) (names []string) {
	for _, declaration := range tree.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && condition(function) {
			names = append(names, function.Name.Name)
		}
	}
	return names
}

// isGuard reports whether a function's comment names a failure that the function guards against.
func isGuard(function *ast.FuncDecl) bool {
	return strings.Contains(strings.Join(strings.Fields(function.Doc.Text()), " "), guardWords)
}

// ruleConstants returns the constants that a file declares, without enumerations (groups that use iota).
func ruleConstants(tree *ast.File) (names []string) {
	for _, declaration := range tree.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST || mentions(group, map[string]bool{"iota": true}) {
			continue
		}
		for _, spec := range group.Specs {
			names = append(names, constantNames(spec)...)
		}
	}
	return names
}

// constantNames returns the names that one spec of a constant declaration declares. It panics for any other spec.
func constantNames(spec ast.Spec) (names []string) {
	values, ok := spec.(*ast.ValueSpec)
	if !ok {
		panic(fmt.Sprintf("unexpected %T in a constant declaration", spec))
	}
	for _, name := range values.Names {
		names = append(names, name.Name)
	}
	return names
}

// usesAny reports whether a function's body uses one of the constants.
func usesAny(function *ast.FuncDecl, constants map[string]bool) bool {
	return function.Body != nil && mentions(function.Body, constants)
}

// mentions reports whether a syntax tree contains one of the names as an identifier, other than as a selected field or
// method.
func mentions(node ast.Node, names map[string]bool) (found bool) {
	selected := map[*ast.Ident]bool{}
	ast.Inspect(node, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			selected[n.Sel] = true
		case *ast.Ident:
			found = found || names[n.Name] && !selected[n]
		}
		return true
	})
	return found
}
