package codestyle

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Column indexes of the tables in docs/decisions.md.
const (
	questionColumn = iota
	whereColumn
	inputsColumn
	constantsColumn
	guardColumn
	evidenceColumn
	decisionColumns
)

// decisionRow is a row of docs/decisions.md for one of the files that it names: a rule, the functions that implement it
// in that file, and its constants. A row that names several files is parsed as one decisionRow for each file.
type decisionRow struct {
	line      int
	file      string
	functions []string
	constants []string
	evidence  []string // what shows the rule at work, such as counters, with label="value" if only some series do
}

// declarations has the names of functions and constants that a Go file declares at its top level.
type declarations struct {
	functions map[string]bool // including methods, without their receiver type
	constants map[string]bool
}

// TestDecisionsAreIndexed checks docs/decisions.md against the code: everything that it names must exist, and each
// function and constant of the files in the deployment file's policy list must have a row.
func TestDecisionsAreIndexed(t *testing.T) {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	page, err := os.ReadFile(filepath.Join(root, "docs", "decisions.md"))
	require.NoError(t, err)
	policy := policyFiles(t, filepath.Join(root, "deploy", "balancer.toml"))
	assert.Contains(t, policy, "routing/router.go")
	for _, fault := range decisionFaults(t, root, string(page), policy) {
		assert.Fail(t, "docs/decisions.md and the code differ", "%s", fault)
	}
}

// TestDecisionFaultsAreFound checks that decisionFaults reports each kind of fault.
func TestDecisionFaultsAreFound(t *testing.T) {
	root := t.TempDir()
	code := "package rules\n\nconst limit = 1\n\nfunc decide() int { return limit }\n\nfunc other() {}\n"
	require.NoError(t, os.MkdirAll(filepath.Join(root, "rules"), 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(root, "rules", "rules.go"), []byte(code), 0o600))
	policy := []string{"rules/rules.go"}
	head := "| question | where | inputs | constants | guards against | shows in |\n"
	head += strings.Repeat("| --- ", decisionColumns) + "|\n"
	row := "| a? | `rules/rules.go`: `decide`, `other` | none | `limit` | b | c |\n"
	assert.Empty(t, decisionFaults(t, root, head+row, policy))
	for name, page := range map[string]string{
		"no such function":    strings.Replace(row, "`other`", "`other`, `gone`", 1),
		"no such constant":    strings.Replace(row, "`limit`", "`limit`, `gone`", 1),
		"no such file":        row + "| a? | `rules/gone.go`: `decide` | none | - | b | c |\n",
		"no function at all":  row + "| a? | `rules/rules.go` | none | - | b | c |\n",
		"second file is gone": strings.Replace(row, "`other`", "`other`; `rules/gone.go`: `decide`", 1),
		"second has no names": row + "| a? | `rules/rules.go`: `decide`; `rules/rules.go` | none | - | b | c |\n",
		"second lacks a name": strings.Replace(row, "`other`", "`other`; `rules/rules.go`: `gone`", 1),
		"function not named":  strings.Replace(row, ", `other`", "", 1),
		"constant not named":  strings.Replace(row, "`limit`", "-", 1),
		"a cell is missing":   row + "| a? | `rules/rules.go`: `decide` | none | - | b |\n",
		"a cell is empty":     row + "| a? | `rules/rules.go`: `decide` | none | - |  | c |\n",
		"name in a wrong row": strings.Replace(row, "`other`", "`other`, `limit`", 1),
	} {
		assert.Len(t, decisionFaults(t, root, head+page, policy), 1, name)
	}
	assert.Len(t, decisionFaults(t, root, "", policy), 3, "an empty page")
}

// TestEvidenceOfDecisionsIsPrinted checks that the program prints the evidence that a row names for its rule: a counter
// with the given labels; a reason, a message or a key of a log line; or the output of a command.
func TestEvidenceOfDecisionsIsPrinted(t *testing.T) {
	rows, faults := parseDecisions(readFile(t, "../../docs/decisions.md"))
	require.Empty(t, faults)
	counters := countersIn(t, "../../internal/telemetry/table.go")
	logged := loggedWords(t)
	for _, row := range rows {
		for _, shown := range row.evidence {
			printed := isCounter(shown, counters) || slices.Contains(logged, shown) || isCommand(shown)
			assert.True(t, printed, "line %d: the program never prints %s", row.line, shown)
		}
	}
}

// loggedWords returns all reasons, and all messages and keys of log lines, that the program can print.
func loggedWords(t *testing.T) (words []string) {
	t.Helper()
	for _, closed := range closedTypes {
		for _, variable := range closed.variables {
			words = append(words, textsOf(t, filepath.Join("../..", closed.file), variable)...)
		}
	}
	forEachGoFile(t, func(_, file string) {
		if strings.HasSuffix(file, "_test.go") {
			return
		}
		words = append(words, logKeysIn(t, file)...)
		lines, _ := logLinesIn(t, file)
		for line := range lines {
			words = append(words, strings.Trim(strings.TrimPrefix(line, "msg="), `"`))
		}
	})
	return words
}

// isCommand reports whether a text is a program command whose output may be the evidence of a rule.
func isCommand(shown string) bool {
	words := strings.Fields(shown)
	return len(words) == 2 && words[0] == "cairnfront" && slices.Contains([]string{"addresses", "peers"}, words[1])
}

// TestEvidenceThatIsNotPrintedIsFound checks that counters, labels, commands and words that are never printed are
// detected.
func TestEvidenceThatIsNotPrintedIsFound(t *testing.T) {
	counters := []string{"lost_total", "ended_total{class,result}"}
	for shown, want := range map[string]bool{
		"lost_total":                    true,
		"ended_total":                   true,
		`ended_total{result="broken"}`:  true,
		"ended_total{class,result}":     true,
		"gone_total":                    false,
		`lost_total{result="broken"}`:   false,
		`ended_total{reason="unknown"}`: false,
	} {
		assert.Equal(t, want, isCounter(shown, counters), shown)
	}
	assert.True(t, isCommand("cairnfront addresses"))
	assert.False(t, isCommand("cairnfront reach"))
	logged := loggedWords(t)
	assert.Subset(t, logged, []string{"no_first_frame", "bytes_received", "connection closed"})
	assert.NotContains(t, logged, "mute")
}

// isCounter reports whether a text names one of the counters and only labels that this counter has. Each counter is
// given as name{label,label}.
func isCounter(shown string, counters []string) bool {
	name, labels, _ := strings.Cut(strings.TrimSuffix(shown, "}"), "{")
	return slices.ContainsFunc(counters, func(counter string) bool {
		known, has, _ := strings.Cut(strings.TrimSuffix(counter, "}"), "{")
		if known != name {
			return false
		}
		for _, label := range strings.Split(labels, ",") {
			label, _, _ = strings.Cut(label, "=")
			if label != "" && !slices.Contains(strings.Split(has, ","), label) {
				return false
			}
		}
		return true
	})
}

// decisionFaults returns the differences between a page of decisions and the code under root.
func decisionFaults(t *testing.T, root, page string, policy []string) []string {
	t.Helper()
	rows, faults := parseDecisions(page)
	for _, row := range rows {
		faults = append(faults, rowFaults(t, root, row)...)
	}
	named := namesOfRows(root, rows)
	for _, file := range policy {
		path := filepath.Join(root, file)
		declared := declarationsOf(t, path)
		for _, names := range []map[string]bool{declared.functions, declared.constants} {
			for name := range names {
				if !named[filepath.Dir(path)+" "+name] {
					faults = append(faults, file+": "+name+" has no row")
				}
			}
		}
	}
	return faults
}

// namesOfRows returns the set of functions and constants that rows name, each as "directory name".
func namesOfRows(root string, rows []decisionRow) map[string]bool {
	named := map[string]bool{}
	for _, row := range rows {
		for _, name := range append(row.functions, row.constants...) {
			named[filepath.Dir(filepath.Join(root, row.file))+" "+name] = true
		}
	}
	return named
}

// rowFaults returns a fault for each file, function and constant that a row names and that does not exist.
func rowFaults(t *testing.T, root string, row decisionRow) (faults []string) {
	t.Helper()
	path := filepath.Join(root, row.file)
	if _, err := os.Stat(path); err != nil {
		return []string{fmt.Sprintf("line %d: no file %s", row.line, row.file)}
	}
	declared, constants := declarationsOf(t, path), packageConstants(t, filepath.Dir(path))
	for _, function := range row.functions {
		if !declared.functions[function] {
			faults = append(faults, fmt.Sprintf("line %d: no function %s in %s", row.line, function, row.file))
		}
	}
	for _, constant := range row.constants {
		if !constants[constant] {
			faults = append(faults,
				fmt.Sprintf("line %d: no constant %s in the package of %s", row.line, constant, row.file))
		}
	}
	return faults
}

var backquoted = regexp.MustCompile("`([^`]+)`")

// parseDecisions parses the rows of all tables of a page, and returns a fault for each incomplete row.
func parseDecisions(page string) (rows []decisionRow, faults []string) {
	for i, line := range strings.Split(page, "\n") {
		heading := strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| question |")
		if heading || !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		parsed := parseRow(i+1, cells)
		if parsed == nil {
			faults = append(faults, fmt.Sprintf("line %d: not a full row: %s", i+1, line))
		}
		rows = append(rows, parsed...)
	}
	return rows, faults
}

// parseRow parses the cells of a row and returns one decisionRow for each of its files. Only the first one has the
// constants and the evidence. It returns nil if the row is incomplete.
func parseRow(line int, cells []string) (rows []decisionRow) {
	if len(cells) != decisionColumns || hasEmptyCell(cells) {
		return nil
	}
	for _, part := range strings.Split(cells[whereColumn], ";") {
		where := quotedNames(part)
		if len(where) < 2 {
			return nil
		}
		rows = append(rows, decisionRow{line: line, file: where[0], functions: where[1:]})
	}
	rows[0].constants = quotedNames(cells[constantsColumn])
	rows[0].evidence = quotedNames(cells[evidenceColumn])
	return rows
}

func hasEmptyCell(cells []string) bool {
	for _, cell := range cells {
		if strings.TrimSpace(cell) == "" {
			return true
		}
	}
	return false
}

func quotedNames(cell string) []string {
	var names []string
	for _, match := range backquoted.FindAllStringSubmatch(cell, -1) {
		names = append(names, match[1])
	}
	return names
}

// policyFiles returns the files in the policy list of a deployment file.
func policyFiles(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, line := range strings.Split(string(text), "\n") {
		list, found := strings.CutPrefix(line, "policy = [")
		if !found {
			continue
		}
		list, _, _ = strings.Cut(list, "]")
		var files []string
		for _, item := range strings.Split(list, ",") {
			files = append(files, strings.Trim(strings.TrimSpace(item), `"`))
		}
		return files
	}
	require.Fail(t, "no policy list", "in %s", path)
	return nil
}

// packageConstants returns the constants that the files of a directory declare, without test files.
func packageConstants(t *testing.T, folder string) map[string]bool {
	t.Helper()
	all := map[string]bool{}
	for _, file := range goFiles(t, folder) {
		if filepath.Dir(file) != folder || strings.HasSuffix(file, "_test.go") {
			continue
		}
		for name := range declarationsOf(t, file).constants {
			all[name] = true
		}
	}
	return all
}

func declarationsOf(t *testing.T, path string) declarations {
	t.Helper()
	tree, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	found := declarations{functions: map[string]bool{}, constants: map[string]bool{}}
	for _, declaration := range tree.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			found.functions[d.Name.Name] = true
		case *ast.GenDecl:
			if d.Tok != token.CONST {
				continue
			}
			for _, spec := range d.Specs {
				for _, name := range constantNames(spec) {
					found.constants[name] = true
				}
			}
		}
	}
	return found
}
