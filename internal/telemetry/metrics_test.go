package telemetry

import (
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCountersAddUp(t *testing.T) {
	m := New(&bytes.Buffer{}, "")
	for range 3 {
		m.RequestReceived("page")
	}
	m.RequestAnswered("page", "rejected", "memory")
	m.RequestCancelled("page", "cancelled")
	for name, want := range map[string]int64{
		"taken":                         3,
		"answered":                      1,
		"left":                          1,
		"open":                          1,
		"answered.page.rejected.memory": 1,
		"left.page.cancelled":           1,
	} {
		assert.Equal(t, want, m.Value(name), name)
	}
	m.Max("worst", 5)
	m.Max("worst", 3)
	var out bytes.Buffer
	m.Dump(&out)
	assert.Contains(t, out.String(), "counter open 1\n")
	assert.Contains(t, out.String(), "counter worst 5\n")
	assert.Regexp(t, `(?s)answered.*left.*open.*process\.goroutines [1-9].*taken`, out.String(), "in order of names")
}

// TestConnectionEndedWritesOneLine holds the log line of an ended connection.
func TestConnectionEndedWritesOneLine(t *testing.T) {
	var out bytes.Buffer
	m := New(&out, "n1")
	m.ConnectionOpened("client")
	m.ConnectionEnded(ConnectionEnd{
		Side:       "client",
		RemoteAddr: "192.0.2.1:5",
		Code:       "reset",
		Err:        errors.New("gone"),
		OpenedAt:   time.Now(),
		BytesIn:    3,
		BytesOut:   4,
	})
	got := regexp.MustCompile(`time=\S+|lasted_s=\S+`).ReplaceAllString(out.String(), "_")
	want := `_ level=INFO msg="connection ended" router=n1 side=client code=reset peer=192.0.2.1:5 ` +
		"_ in=3 out=4 err=gone"
	assert.Equal(t, want+"\n", got)
	assert.EqualValues(t, 0, m.Value("conn.client.open"))
	assert.EqualValues(t, 3, m.Value("bytes.client.in"))
}

func TestFamilyFillsItsLabelsInOrder(t *testing.T) {
	assert.Equal(t, Counter("answered.page.rejected.memory"), RequestsAnsweredByCode.With("page", "rejected", "memory"))
	assert.Equal(t, Counter("box.answers.page.okhit"), CacheResponses.With("page", "ok", "hit"))
}

// table returns the names and patterns of counters.go.
func table(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "counters.go", nil, 0)
	require.NoError(t, err)
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 {
			name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			names = append(names, name)
		}
		return true
	})
	return names
}

// TestTableHoldsThePublishedNames compares the table with the names that operators rely on.
func TestTableHoldsThePublishedNames(t *testing.T) {
	want, err := os.ReadFile("testdata/counters.golden.txt")
	require.NoError(t, err)
	assert.Equal(t, strings.Fields(string(want)), table(t))
}

// TestNamesUsedInTheTreeStandInTheTable looks for calls of Add and Max with a name, or the beginning of one, in the
// source of all packages.
func TestNamesUsedInTheTreeStandInTheTable(t *testing.T) {
	names := table(t)
	found := 0
	for _, dir := range []string{"../../internal", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				prefix, whole, ok := counterName(n)
				if ok {
					found++
					assert.True(t, inTable(names, prefix, whole), "%s: %q is not in counters.go", path, prefix)
				}
				return true
			})
			return nil
		}))
	}
	assert.Positive(t, found)
}

// counterName returns the string that a call of Add or Max begins its first argument with, and whether it is all of it.
func counterName(n ast.Node) (text string, whole, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) != 2 {
		return "", false, false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || method.Sel.Name != "Add" && method.Sel.Name != "Max" {
		return "", false, false
	}
	whole = true
	argument := call.Args[0]
	for {
		sum, isSum := argument.(*ast.BinaryExpr)
		if !isSum {
			break
		}
		argument, whole = sum.X, false
	}
	literal, isLiteral := argument.(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false, false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, whole, err == nil
}

// label matches a label of a pattern once the pattern is quoted as a regular expression.
var label = regexp.MustCompile(`\\\{[a-z]+\\\}`)

// inTable reports whether a name, or the beginning of one, stands in the table.
func inTable(names []string, text string, whole bool) bool {
	for _, name := range names {
		pattern := label.ReplaceAllString(regexp.QuoteMeta(name), `[^.]+`)
		matches := regexp.MustCompile("^" + pattern + "$").MatchString(text)
		if whole && matches || !whole && strings.HasPrefix(name, text+"{") {
			return true
		}
	}
	return false
}
