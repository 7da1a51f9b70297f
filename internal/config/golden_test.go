package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// A renamed field of the code may cease to read its key, and the default takes its place in silence. A file with every
// key must give the same value as in an earlier version.
func TestFileWithEveryKeyParsesToTheGoldenValue(t *testing.T) {
	file, err := Read("testdata/every-key.yaml")
	require.NoError(t, err)
	text, err := json.MarshalIndent(file, "", "  ")
	require.NoError(t, err)
	golden.Compare(t, "every-key.golden.json", string(text)+"\n")
}

// A key that is added to the schema alone would not be held by the golden value. The file must have every key of the
// schema.
func TestEveryKeyOfTheSchemaStandsInTheFile(t *testing.T) {
	text, err := os.ReadFile("testdata/every-key.yaml")
	require.NoError(t, err)
	var value map[string]any
	require.NoError(t, yaml.Unmarshal(text, &value))
	var schema map[string]any
	require.NoError(t, json.Unmarshal(Schema, &schema))
	assertHasKeys(t, "", schema, value)
}

// assertHasKeys checks that a value names each property of a schema, those of a list's first item too.
func assertHasKeys(t *testing.T, path string, schema, value map[string]any) {
	t.Helper()
	properties, _ := schema["properties"].(map[string]any)
	for name, property := range properties {
		key := path + "." + name
		if !assert.Contains(t, value, name, key) {
			continue
		}
		sub := mustObject(property)
		switch v := value[name].(type) {
		case map[string]any:
			assertHasKeys(t, key, sub, v)
		case []any:
			if item, ok := v[0].(map[string]any); ok {
				assertHasKeys(t, key, mustObject(sub["items"]), item)
			}
		}
	}
}

// Editors and scripts of installations use the printed schema and defaults. A change that nobody wanted would reach
// them unseen. Both must stay byte for byte.
func TestSchemaAndDefaultsStayAsPublished(t *testing.T) {
	golden.Compare(t, "schema.golden.json", string(Schema))
	golden.Compare(t, "defaults.golden.yaml", string(Defaults()))
}

// Operators mend a file by its errors. Errors that lose their place or reason in a refactoring leave them searching.
// The errors of each broken file must stay as they were.
func TestErrorsOfBrokenFilesKeepPlaceAndReason(t *testing.T) {
	paths, err := filepath.Glob("testdata/broken/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	var out strings.Builder
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		_, err = Parse(filepath.Base(path), text)
		require.Error(t, err, path)
		out.WriteString(err.Error() + "\n\n")
	}
	golden.Compare(t, "broken.golden.txt", out.String())
}
