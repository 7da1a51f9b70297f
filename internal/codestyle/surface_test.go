package codestyle

import (
	"go/ast"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// closedTypes are the texts that stand in the log and in labels of counters. Each is listed in full by the tables of
// the operators' pages whose first column has the heading.
var closedTypes = []struct {
	heading   string
	file      string
	variables []string // the variables and constants with the texts
}{
	{"reason", "internal/netconn/endcode.go", []string{"endCodeTexts"}},
	{"reason of an answer", "internal/request/response.go", []string{"reasonTexts"}},
	{"reason of a cancellation", "internal/request/response.go", []string{"cancelReasonTexts"}},
	{"result of an attempt", "internal/request/labels.go", []string{"resultLabels"}},
	{"detail of an answer", "internal/request/labels.go", []string{"detailLabels", "noDetailLabel"}},
	{"reason of a disk fault", "internal/diskcache/errors.go", []string{"faultCodeTexts"}},
	{"reason of a peer's state", "internal/membership/swim/action.go", []string{"reasonTexts"}},
	{"reason of a refusal", "internal/membership/metrics.go", []string{"refusalReasons"}},
}

// logMethods are the methods that write a log line; the first argument is its message.
var logMethods = []string{"Debug", "Info", "Warn", "Error"}

// snakeCase matches the keys of log lines.
var snakeCase = regexp.MustCompile(`^[a-z]+(_[a-z0-9]+)*$`)

// TestLogLinesAreDocumented holds that each log line has a constant message that the operators' pages list, and that
// they list no other one.
func TestLogLinesAreDocumented(t *testing.T) {
	emitted := map[string]string{} // place by message, as it is printed
	forEachGoFile(t, func(root, file string) {
		if strings.HasSuffix(file, "_test.go") {
			return
		}
		lines, faults := logLinesIn(t, file)
		for _, fault := range faults {
			assert.Fail(t, "a log line", "%s", strings.TrimPrefix(fault, root+"/"))
		}
		maps.Copy(emitted, lines)
	})
	documented := map[string]bool{}
	message := regexp.MustCompile(`msg=("[^"]+"|\w+)`)
	for _, page := range operatorsPages(t) {
		for _, match := range message.FindAllString(readFile(t, page), -1) {
			documented[match] = true
		}
	}
	assertSameNames(t, "log line", slices.Collect(maps.Keys(emitted)), slices.Collect(maps.Keys(documented)))
}

// logLinesIn returns the messages of a file's log lines as they are printed, each with its place, and what is wrong
// with them: messages that are not constant, keys that are not in snake_case.
func logLinesIn(t *testing.T, file string) (places map[string]string, faults []string) {
	t.Helper()
	places = map[string]string{}
	inspectFile(t, file, func(node ast.Node, place string) {
		faults = append(faults, badKeys(attributesIn(node), place)...)
		call, ok := node.(*ast.CallExpr)
		if !ok || !isLogCall(call) {
			return
		}
		message, ok := stringLiteral(call.Args[0])
		switch {
		case !ok:
			faults = append(faults, place+": the message is not constant")
		case message != strings.ToLower(message):
			faults = append(faults, place+": the message is not in lower case")
		case strings.Contains(message, " "):
			places["msg="+strconv.Quote(message)] = place
		default:
			places["msg="+message] = place
		}
	})
	return places, faults
}

// isLogCall reports whether a call writes a log line: x.Log.Info, logger.Warn and the like.
func isLogCall(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(logMethods, method.Sel.Name) || len(call.Args) == 0 {
		return false
	}
	receiver := ""
	switch x := method.X.(type) {
	case *ast.Ident:
		receiver = x.Name
	case *ast.SelectorExpr:
		receiver = x.Sel.Name
	}
	return slices.Contains([]string{"log", "logger"}, strings.ToLower(receiver))
}

// isAttributeList reports whether a literal is a list of keys and values of a log line: []any that begins with a
// string.
func isAttributeList(list *ast.CompositeLit) bool {
	array, ok := list.Type.(*ast.ArrayType)
	if !ok || len(list.Elts) < 2 {
		return false
	}
	element, ok := array.Elt.(*ast.Ident)
	_, key := stringLiteral(list.Elts[0])
	return ok && element.Name == "any" && key
}

// badKeys lists the keys, every other of the arguments, that are not constant or not in snake_case.
func badKeys(arguments []ast.Expr, place string) (faults []string) {
	for i := 0; i < len(arguments); i += 2 {
		if key, ok := stringLiteral(arguments[i]); !ok || !snakeCase.MatchString(key) {
			faults = append(faults, place+": key "+key+" is not a constant in snake_case")
		}
	}
	return faults
}

// logKeysIn returns the keys of a file's log lines.
func logKeysIn(t *testing.T, file string) (keys []string) {
	t.Helper()
	inspectFile(t, file, func(node ast.Node, _ string) {
		attributes := attributesIn(node)
		for i := 0; i < len(attributes); i += 2 {
			if key, ok := stringLiteral(attributes[i]); ok {
				keys = append(keys, key)
			}
		}
	})
	return keys
}

// attributesIn returns the keys and values of a log line that a node has: the arguments of a call that writes the line,
// a list of them, or what is appended to such a list.
func attributesIn(node ast.Node) []ast.Expr {
	switch node := node.(type) {
	case *ast.CompositeLit:
		if isAttributeList(node) {
			return node.Elts
		}
	case *ast.CallExpr:
		if node.Ellipsis == token.NoPos && (isLogCall(node) || isAppendToAttributes(node)) {
			return node.Args[1:]
		}
	}
	return nil
}

// isAppendToAttributes reports whether a call appends to a variable that is named attributes.
func isAppendToAttributes(call *ast.CallExpr) bool {
	function, ok := call.Fun.(*ast.Ident)
	if !ok || function.Name != "append" || len(call.Args) < 2 {
		return false
	}
	list, ok := call.Args[0].(*ast.Ident)
	return ok && list.Name == "attributes"
}

// stringLiteral returns the value of a string literal.
func stringLiteral(expression ast.Expr) (value string, ok bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// TestClosedTypesAreDocumented holds that the operators' pages list each text of a closed type, and no other one.
func TestClosedTypesAreDocumented(t *testing.T) {
	for _, closed := range closedTypes {
		var texts []string
		for _, variable := range closed.variables {
			found := textsOf(t, filepath.Join("../..", closed.file), variable)
			require.NotEmpty(t, found, "%s has no %s", closed.file, variable)
			texts = append(texts, found...)
		}
		for _, text := range texts {
			assert.Regexp(t, snakeCase, text, closed.heading)
		}
		assertSameNames(t, closed.heading, texts, documentedNames(t, closed.heading))
	}
}

// TestCountersAreDocumented holds that the operators' pages list each counter with its labels, and no other one.
func TestCountersAreDocumented(t *testing.T) {
	assertSameNames(t, "counter", countersIn(t, "../../internal/telemetry/table.go"), documentedNames(t, "counter"))
}

// countersIn returns the counters that a file defines, each with the names of its labels: name{label,label}.
func countersIn(t *testing.T, file string) (names []string) {
	t.Helper()
	inspectFile(t, file, func(node ast.Node, _ string) {
		call, ok := node.(*ast.CallExpr)
		if !ok || !strings.HasPrefix(calledName(call.Fun), "new") {
			return
		}
		var texts []string
		for _, argument := range call.Args {
			if text, ok := stringLiteral(argument); ok {
				texts = append(texts, text)
			}
		}
		if len(texts) < 2 || !snakeCase.MatchString(texts[0]) {
			return
		}
		name := texts[0]
		if labels := texts[1 : len(texts)-1]; len(labels) > 0 { // the last text is the help
			name += "{" + strings.Join(labels, ",") + "}"
		}
		names = append(names, name)
	})
	return names
}

// calledName returns the name of a function that is called, also with type arguments; empty for a method.
func calledName(function ast.Expr) string {
	switch function := function.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.IndexExpr:
		return calledName(function.X)
	case *ast.IndexListExpr:
		return calledName(function.X)
	}
	return ""
}

// textsOf returns the string literals in the value of a variable or a constant, without empty ones.
func textsOf(t *testing.T, file, name string) (texts []string) {
	t.Helper()
	_, tree := parseFile(t, file)
	ast.Inspect(tree, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || spec.Names[0].Name != name {
			return true
		}
		for _, value := range spec.Values {
			ast.Inspect(value, func(node ast.Node) bool {
				if literal, ok := node.(*ast.BasicLit); ok {
					if text, ok := stringLiteral(literal); ok && text != "" {
						texts = append(texts, text)
					}
				}
				return true
			})
		}
		return false
	})
	return texts
}

// documentedNames returns what stands in backquotes in the first column of the operators' tables with a heading.
func documentedNames(t *testing.T, heading string) (names []string) {
	t.Helper()
	for _, page := range operatorsPages(t) {
		names = append(names, tableNames(readFile(t, page), heading)...)
	}
	return names
}

// tableNames returns what stands in backquotes in the first column of the tables with a heading.
func tableNames(page, heading string) (names []string) {
	quoted := regexp.MustCompile("`([^`]+)`")
	inTable := false
	for _, line := range strings.Split(page, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			inTable = false
			continue
		}
		first := strings.TrimSpace(cells[1])
		if first == heading {
			inTable = true
			continue
		}
		if inTable {
			for _, match := range quoted.FindAllStringSubmatch(first, -1) {
				names = append(names, match[1])
			}
		}
	}
	return names
}

// operatorsPages returns the pages that are read on call.
func operatorsPages(t *testing.T) []string {
	t.Helper()
	pages, err := filepath.Glob("../../docs/operate/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, pages)
	return append(pages, "../../docs/oncall.md", "../../README.md")
}

// assertSameNames fails for each name that only the code has, or only the pages.
func assertSameNames(t *testing.T, what string, code, pages []string) {
	t.Helper()
	for _, difference := range differences(code, pages) {
		assert.Fail(t, "code and operators' pages differ", "%s %s", what, difference)
	}
}

// differences lists the names that only one of two lists has, and those that the second has twice.
func differences(code, pages []string) (list []string) {
	for _, name := range code {
		if !slices.Contains(pages, name) {
			list = append(list, name+" is not in a page")
		}
	}
	seen := map[string]bool{}
	for _, name := range pages {
		if !slices.Contains(code, name) {
			list = append(list, name+" is not in the code")
		}
		if seen[name] {
			list = append(list, name+" is in the pages twice")
		}
		seen[name] = true
	}
	return list
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

// TestSurfaceDifferencesAreFound shows that the checks of log lines, texts and counters can fail.
func TestSurfaceDifferencesAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "code.go")
	text := `package code

var reasonTexts = [...]string{None: "", Closed: "peer_closed", Reset: "peer_reset"}

const noneLabel = "none"

var Panics = newCounter("panics_total", "Panics.")
var Ended = newCounterVec2[Class, Result]("attempts_ended_total", "class", "result", "Attempts.")

func f(s server) {
	s.Log.Info("connection closed", "bytes_in", 1, "lasted-s", 2)
	s.Metrics.Log.Warn("panic: " + s.cause)
	logger.Error("Serving", key, 1)
	attributes := []any{"tookS", 3}
	attributes = append(attributes, "bytes_sent", 4, "by-hand", 5)
	logger.Error("serving", attributes...)
	_ = err.Error()
}
`
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	lines, faults := logLinesIn(t, file)
	assert.ElementsMatch(t, []string{`msg="connection closed"`, "msg=serving"}, slices.Collect(maps.Keys(lines)))
	assert.Len(t, faults, 6, "%q", faults)
	assert.Contains(t, logKeysIn(t, file), "bytes_sent")
	assert.Equal(t, []string{"peer_closed", "peer_reset"}, textsOf(t, file, "reasonTexts"))
	assert.Equal(t, []string{"none"}, textsOf(t, file, "noneLabel"))
	assert.Empty(t, textsOf(t, file, "otherTexts"))
	assert.Equal(t, []string{"panics_total", "attempts_ended_total{class,result}"}, countersIn(t, file))

	page := "| counter | what |\n| --- | --- |\n| `a`, `b` | `c` |\n\n| reason | what |\n| --- | --- |\n| `d` | e |\n"
	assert.Equal(t, []string{"a", "b"}, tableNames(page, "counter"))
	assert.Equal(t, []string{"d"}, tableNames(page, "reason"))
	assert.Empty(t, differences([]string{"a", "b"}, []string{"b", "a"}))
	assert.Equal(t,
		[]string{"a is not in a page", "c is not in the code", "b is in the pages twice"},
		differences([]string{"a", "b"}, []string{"b", "c", "b"}))
}
