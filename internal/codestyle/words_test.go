package codestyle

import (
	"fmt"
	"go/ast"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withdrawnPhrases are patterns of words and phrases that texts of the program must not use, each with the term that
// replaces it. String literals, comments, file names, help output and the operators' documentation are searched for
// them.
var withdrawnPhrases = []struct{ pattern, term string }{
	{`hops?`, "attempt"},
	{`txns?`, "request"},
	{`rumours?`, "health observation"},
	{`twins?`, "name conflict"},
	{`moot`, "not sent"},
	{`hatch`, "admin socket"},
	{`box(es)?`, "edge cache"},
	{`boards?`, "discovery service"},
	{`campus(es)?`, "zone"},
	{`hubs?`, "parent zone"},
	{`desks?`, "request handler"},
	{`tiers?`, "disk cache"},
	{`(a|the|its|by) reach`, "address selection"},
	{`standings?`, "partition state"},
	{`whole`, "complete"},
	{`seals?`, "signature"},
	{`li(fe|ves)`, "incarnation, or lifetime"},
	{`beats?`, "heartbeat, or refutation"},
	{`told`, "notified"},
	{`turned away`, "rejected"},
	{`kept`, "cached, retained or held"},
	{`sharers?`, "routers sharing the endpoint"},
	{`holders?`, "replica"},
	{`remap`, "request class"},
	{`promises?`, "reservation"},
	{`whereabouts`, "attempt location"},
	{`mute`, "no first frame"},
	{`half frame`, "partial frame"},
	{`crowded`, "evicted"},
	{`archive`, "origin"},
	{`doors?`, "admin endpoint"},
	{`ledgers?`, "replication"},
	{`siblings?`, "peer cache"},
	{`unrest`, "reinstate"},
	{`fleets?`, "routers, or cluster"},
}

// ordinaryUses matches phrases that contain a withdrawn word in its ordinary meaning, and are allowed.
var ordinaryUses = regexp.MustCompile(
	`(?i)two-tier cache|(as a|on the) whole|whole (numbers?|seconds?|milliseconds?)|told apart`)

// configurationKey matches a dotted path of keys of the configuration file, or a file name. Both are allowed.
var configurationKey = regexp.MustCompile(`[\w%*-]+(\.[\w%*-]+)+`)

// externalNameFiles are the files that map names of the users' protocols, of files on disk, of JSON keys and of earlier
// versions to the terms of docs/glossary.md, so they may contain withdrawn words. A path that ends in a slash is a
// directory. The comment of each entry names what it maps.
var externalNameFiles = []string{
	"cmd/cairnfront/aliases.go",              // commands and flags of earlier versions
	"internal/admin/wirenames.go",            // requests and states on the admin socket
	"internal/bootstrap/parse.go",            // keys of the bootstrap file
	"internal/cacheproto/",                   // the caches' protocol
	"internal/clientproto/",                  // the clients' protocol
	"internal/codestyle/",                    // the lists of withdrawn words
	"internal/config/keys.go",                // keys of the configuration file
	"internal/discovery/codec.go",            // the discovery service's messages
	"internal/diskcache/format.go",           // the disk cache's files
	"internal/lab/cluster/bootstrap_file.go", // keys of the bootstrap file
	"internal/lab/report/keys.go",            // keys of the JSON reports
	"internal/membership/datagram/",          // datagrams between peers
	"internal/membership/partition/",         // partition states on the wire
	"internal/membership/report.go",          // keys of the report
	"internal/replication/report.go",         // keys of the report
	"internal/replication/statemachine/",     // commands and snapshots
	"internal/replication/transport/",        // name of the protocol
	"internal/replication/wal/",              // the log's files
	"internal/wirenames/",                    // settings and load metrics of the users' interfaces
	"simadapter/",                            // the simulator's protocol
}

// externalNameTests are tests that check external names and may therefore contain withdrawn words.
var externalNameTests = []string{
	"cmd/cairnfront/aliases_test.go",
	"internal/admin/wirenames_test.go",
}

// withdrawnPattern matches any withdrawn word or phrase in a text whose separators are replaced by spaces.
var withdrawnPattern = func() *regexp.Regexp {
	var patterns []string
	for _, phrase := range withdrawnPhrases {
		patterns = append(patterns, phrase.pattern)
	}
	return regexp.MustCompile(`(?i)\b(?:` + strings.Join(patterns, "|") + `)\b`)
}()

// withdrawnPhrasesIn returns the withdrawn words and phrases in a text.
func withdrawnPhrasesIn(text string) []string {
	text = ordinaryUses.ReplaceAllString(text, "")
	text = configurationKey.ReplaceAllString(text, "")
	text = strings.NewReplacer("_", " ", "-", " ").Replace(text)
	return withdrawnPattern.FindAllString(text, -1)
}

// termFor returns the term that replaces a withdrawn word or phrase, or "" if it is not withdrawn.
func termFor(word string) string {
	for _, phrase := range withdrawnPhrases {
		if regexp.MustCompile(`(?i)^(?:` + phrase.pattern + `)$`).MatchString(word) {
			return phrase.term
		}
	}
	return ""
}

// mayContainWithdrawnWords reports whether externalNameFiles or externalNameTests list a path, which is relative to the
// repository.
func mayContainWithdrawnWords(path string) bool {
	for _, edge := range slices.Concat(externalNameFiles, externalNameTests) {
		if path == edge || strings.HasSuffix(edge, "/") && strings.HasPrefix(path, edge) {
			return true
		}
	}
	return false
}

// TestTextsUseTheGlossary fails for each string literal, comment and file name in the code that contains a withdrawn
// word.
func TestTextsUseTheGlossary(t *testing.T) {
	forEachGoFile(t, func(root, file string) {
		path := strings.TrimPrefix(file, root+"/")
		if mayContainWithdrawnWords(path) {
			return
		}
		for _, found := range withdrawnTextsIn(t, file) {
			assert.Fail(t, "a text contains a withdrawn word", "%s", strings.TrimPrefix(found, root+"/"))
		}
	})
}

// inlineCode matches inline code in a page. It is not searched: names that the program prints are checked by the tests
// of log lines, closed types and counters, and others are keys and values of file formats and protocols.
var inlineCode = regexp.MustCompile("`[^`]*`")

// TestOperatorsPagesUseTheGlossary fails for each line of the operators' documentation that contains a withdrawn word.
func TestOperatorsPagesUseTheGlossary(t *testing.T) {
	for _, page := range operatorsPages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for i, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "    ") { // an indented example may contain names of file formats and protocols
				continue
			}
			line = inlineCode.ReplaceAllString(line, "")
			for _, word := range withdrawnPhrasesIn(line) {
				assert.Fail(t, "a page contains a withdrawn word", "%s:%d: %s: use %s", page, i+1, word, termFor(word))
			}
		}
	}
}

// TestWithdrawnPhrasesAreFound checks that withdrawn words are found in texts, and that ordinary uses are allowed.
func TestWithdrawnPhrasesAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "half_frame.go")
	text := `package code

// A box is asked by one more hop.
var text = "the hatch was turned-away" + "peers.rumours: 2" // kept_old

type record struct {
	Box string ` + "`json:\"box\"`" + `
}
`
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	found := withdrawnTextsIn(t, file)
	require.Len(t, found, 6, "%q", found)
	assert.Contains(t, found[0], "half_frame.go: half frame: use partial frame")

	for _, allowed := range []string{
		"a two-tier cache", "a whole number", "told apart", "boxing", "a heartbeat", "tier.folder", "notices.log",
	} {
		assert.Empty(t, withdrawnPhrasesIn(allowed), allowed)
	}
	for _, phrase := range withdrawnPhrases {
		assert.NotEmpty(t, phrase.term)
	}
	for _, word := range []string{"box", "Boxes", "turned-away", "turned away", "the reach", "board-anew", "no_hops"} {
		assert.NotEmpty(t, withdrawnPhrasesIn(word), word)
	}
}

// withdrawnTextsIn returns the withdrawn words in a file's name, string literals and comments, each with its position.
// Struct tags are not searched, as they contain external names.
func withdrawnTextsIn(t *testing.T, file string) []string {
	t.Helper()
	var found []string
	report := func(place, text string) {
		for _, word := range withdrawnPhrasesIn(text) {
			found = append(found, fmt.Sprintf("%s: %s: use %s", place, word, termFor(word)))
		}
	}
	report(file, strings.TrimSuffix(filepath.Base(file), ".go"))
	set, tree := parseFile(t, file)
	for _, group := range tree.Comments {
		for _, comment := range group.List {
			report(set.Position(comment.Pos()).String(), comment.Text)
		}
	}
	notTexts := map[*ast.BasicLit]bool{} // struct tags and import paths
	ast.Inspect(tree, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.Field:
			notTexts[node.Tag] = true
		case *ast.ImportSpec:
			notTexts[node.Path] = true
		case *ast.BasicLit:
			text, ok := stringLiteral(node)
			if ok && !notTexts[node] && (!strings.HasSuffix(file, "_test.go") || isProse(text)) {
				report(set.Position(node.Pos()).String(), text)
			}
		}
		return true
	})
	return found
}

// prose matches a text of at least three words without the punctuation of JSON, YAML, log lines and the protocols.
var prose = regexp.MustCompile(`^[\w%.,;'-]+( [\w%.,;'-]+){2,}$`)

// isProse reports whether a string of a test is a text for a reader. Other strings of tests are data, which may contain
// names of file formats and protocols.
func isProse(text string) bool { return prose.MatchString(text) }

// If data were classified as prose, the check would report names that can't be changed. If prose were classified as
// data, the check would find no withdrawn word in it.
func TestProseIsDistinguishedFromData(t *testing.T) {
	for text, want := range map[string]bool{
		"the box was asked twice":         true,
		"few attempts, after 3 s":         true,
		"box":                             false,
		`{"box": "a b c"}`:                false,
		"box:\n  rules: [a]\n":            false,
		"msg=peer code=alive peer=n1 x y": false,
	} {
		assert.Equal(t, want, isProse(text), text)
	}
}

// TestHelpUsesTheGlossary fails for each withdrawn word in the help of a command.
func TestHelpUsesTheGlossary(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cairnfront")
	runCommand(t, "go", "build", "-o", program, "cairnfront/cmd/cairnfront")
	commands := 0
	var visit func(path []string)
	visit = func(path []string) {
		commands++
		help := runCommand(t, program, append(path[:len(path):len(path)], "--help")...)
		for _, word := range withdrawnPhrasesIn(help) {
			command := strings.Join(path, " ")
			assert.Fail(t, "a help text contains a withdrawn word", "%s: %s: use %s", command, word, termFor(word))
		}
		for _, name := range subcommandsIn(help) {
			visit(append(path[:len(path):len(path)], name))
		}
	}
	visit(nil)
	assert.Greater(t, commands, 15, "number of commands whose help was read")
}

// subcommandsIn returns the names of the commands that a help text lists, without help and completion, which cobra adds
// to every program.
func subcommandsIn(help string) []string {
	_, list, _ := strings.Cut(help, "Available Commands:\n")
	list, _, _ = strings.Cut(list, "\n\n")
	var names []string
	for _, line := range strings.Split(list, "\n") {
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "help" && fields[0] != "completion" {
			names = append(names, fields[0])
		}
	}
	return names
}

// A subcommand that is not found in the help output is not checked for withdrawn words. All subcommands of an example
// must be found.
func TestSubcommandsAreReadFromTheHelp(t *testing.T) {
	help := "What it does\n\nAvailable Commands:\n  completion  x\n  edge-cache  y\n  serve       z\n\nFlags:\n  -h\n"
	assert.Equal(t, []string{"edge-cache", "serve"}, subcommandsIn(help))
	assert.Empty(t, subcommandsIn("What it does\n\nFlags:\n  -h, --help\n"))
}

// assertFilesExist fails for each path of a list of exceptions that does not exist: obsolete entries must be removed,
// so that the lists only shrink.
func assertFilesExist(t *testing.T, paths []string) {
	t.Helper()
	for _, path := range paths {
		_, err := os.Stat(filepath.Join("../..", path))
		assert.NotErrorIs(t, err, fs.ErrNotExist, path)
	}
}

// A listed exception whose file was renamed or removed has no effect and misleads readers of the list. Every listed
// file must exist.
func TestExternalNameFilesExist(t *testing.T) {
	assertFilesExist(t, slices.Concat(externalNameFiles, externalNameTests))
}
