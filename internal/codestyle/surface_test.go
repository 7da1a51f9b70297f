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

// closedTypes are the enumerations whose texts are printed in log lines and counter labels. The operators'
// documentation lists all texts of each one, in tables whose first column has the given heading.
var closedTypes = []struct {
	heading   string
	file      string
	variables []string // variables and constants that define the texts
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

// logMethods are the methods that write a log line. Their first argument is the message.
var logMethods = []string{"Debug", "Info", "Warn", "Error"}

// snakeCase matches a valid key of a log line.
var snakeCase = regexp.MustCompile(`^[a-z]+(_[a-z0-9]+)*$`)

// TestLogLinesAreDocumented checks that the message of each log line is constant, and that the operators' documentation
// lists exactly these messages.
func TestLogLinesAreDocumented(t *testing.T) {
	emitted := map[string]string{} // position in the code by message as printed
	forEachGoFile(t, func(root, file string) {
		if strings.HasSuffix(file, "_test.go") {
			return
		}
		lines, faults := logLinesIn(t, file)
		for _, fault := range faults {
			assert.Fail(t, "invalid log line", "%s", strings.TrimPrefix(fault, root+"/"))
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

// logLinesIn returns the position of each log line of a file by its message as printed. It also returns faults:
// messages that are not constant or not in lower case, and keys that are not constant or not in snake_case.
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

// isLogCall reports whether a call writes a log line, such as x.Log.Info or logger.Warn.
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

// isAttributeList reports whether a literal is a list of keys and values of a log line: an []any of at least two
// elements, the first of which is a string literal.
func isAttributeList(list *ast.CompositeLit) bool {
	array, ok := list.Type.(*ast.ArrayType)
	if !ok || len(list.Elts) < 2 {
		return false
	}
	element, ok := array.Elt.(*ast.Ident)
	_, key := stringLiteral(list.Elts[0])
	return ok && element.Name == "any" && key
}

// badKeys returns a fault for each key that is not constant or not in snake_case. Arguments alternate between keys and
// values.
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

// attributesIn returns the keys and values of a log line in a node: the arguments of a log call after its message, the
// elements of an attribute list, or the arguments appended to such a list.
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

// isAppendToAttributes reports whether a call appends to a variable named attributes.
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

// TestClosedTypesAreDocumented checks that the operators' documentation lists exactly the texts of each closed type.
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

// TestCountersAreDocumented checks that the operators' documentation lists exactly the existing counters, with their
// labels.
func TestCountersAreDocumented(t *testing.T) {
	assertSameNames(t, "counter", countersIn(t, "../../internal/telemetry/table.go"), documentedNames(t, "counter"))
}

// countersIn returns the counters that a file defines, each as name{label,label}, or name if it has no labels.
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
		if labels := texts[1 : len(texts)-1]; len(labels) > 0 { // the last string is the help text
			name += "{" + strings.Join(labels, ",") + "}"
		}
		names = append(names, name)
	})
	return names
}

// calledName returns the name of a called function, which may have type arguments. It returns "" for a method.
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

// textsOf returns the non-empty string literals in the initial value of a variable or constant.
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

// documentedNames returns the names in backquotes in the first column of all tables with a heading in the operators'
// documentation.
func documentedNames(t *testing.T, heading string) (names []string) {
	t.Helper()
	for _, page := range operatorsPages(t) {
		names = append(names, tableNames(readFile(t, page), heading)...)
	}
	return names
}

// tableNames returns the names in backquotes in the first column of a page's tables with a heading.
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

// operatorsPages returns the paths of the documentation for operators on call.
func operatorsPages(t *testing.T) []string {
	t.Helper()
	pages, err := filepath.Glob("../../docs/operate/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, pages)
	return append(pages, "../../docs/oncall.md", "../../README.md")
}

// assertSameNames fails for each name that is missing in the code or in the pages, or listed twice in the pages.
func assertSameNames(t *testing.T, what string, code, pages []string) {
	t.Helper()
	for _, difference := range differences(code, pages) {
		assert.Fail(t, "code and operators' documentation differ", "%s %s", what, difference)
	}
}

// differences describes the names that are in only one of the two lists, and those that the second list contains twice.
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

// TestSurfaceDifferencesAreFound checks that faults in log lines, texts and counters are detected.
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
