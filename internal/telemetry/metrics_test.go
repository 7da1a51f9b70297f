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
	"slices"
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
	m.SetMax("worst", 5)
	m.SetMax("worst", 3)
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

// TestCountersAreNamedOnlyInTheTable looks for names of counters in the source of all packages.
func TestCountersAreNamedOnlyInTheTable(t *testing.T) {
	for _, dir := range []string{"../../internal", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			if file.Name.Name != "telemetry" {
				assert.Empty(t, namedCounters(file), path)
			}
			return nil
		}))
	}
}

// TestNamedCountersAreFound shows that the check can fail.
func TestNamedCountersAreFound(t *testing.T) {
	text := `package p

func f(m *telemetry.Metrics) {
	m.Inc("panics")
	m.IncBy("box.bytes."+"hit", 2)
	m.SetMax(telemetry.Counter("loop.late.most-us"), 3)
	m.Inc(telemetry.Panics)
}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", text, 0)
	require.NoError(t, err)
	want := []string{`"panics"`, `"box.bytes."`, `"hit"`, `"loop.late.most-us"`}
	assert.Equal(t, want, namedCounters(file))
}

// namedCounters returns the strings that a file names counters with: those in the first argument of Inc, IncBy and
// SetMax, unless they are labels of a family.
func namedCounters(file *ast.File) []string {
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 || !isMethod(call, "Inc", "IncBy", "SetMax") {
			return true
		}
		ast.Inspect(call.Args[0], func(n ast.Node) bool {
			if inner, ok := n.(*ast.CallExpr); ok && isMethod(inner, "With") {
				return false
			}
			if literal, ok := n.(*ast.BasicLit); ok {
				names = append(names, literal.Value)
			}
			return true
		})
		return true
	})
	return names
}

// isMethod reports whether a call is one of a method with one of the names.
func isMethod(call *ast.CallExpr, names ...string) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	return ok && slices.Contains(names, method.Sel.Name)
}
