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

// Guards against a renamed struct field that no longer reads its key, so that the default is used without an error. The
// values of a file with every key must match the golden file.
func TestFileWithEveryKeyParsesToTheGoldenValue(t *testing.T) {
	file, err := Read("testdata/every-key.yaml")
	require.NoError(t, err)
	text, err := json.MarshalIndent(file, "", "  ")
	require.NoError(t, err)
	golden.Compare(t, "every-key.golden.json", string(text)+"\n")
}

// Guards against a key that is added to the schema but not to the test file, so that the golden file does not cover it.
// The test file must contain every key of the schema.
func TestFileWithEveryKeyCoversTheSchema(t *testing.T) {
	text, err := os.ReadFile("testdata/every-key.yaml")
	require.NoError(t, err)
	var value map[string]any
	require.NoError(t, yaml.Unmarshal(text, &value))
	var schema map[string]any
	require.NoError(t, json.Unmarshal(Schema, &schema))
	assertHasKeys(t, "", schema, value)
}

// assertHasKeys checks that a value contains each property of a schema, including those of the first item of a list.
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

// Editors and scripts of installations use the printed schema and defaults. Guards against unintended changes of these.
// Both must be identical to the golden files.
func TestSchemaAndDefaultsMatchTheGoldenFiles(t *testing.T) {
	golden.Compare(t, "schema.golden.json", string(Schema))
	golden.Compare(t, "defaults.golden.yaml", string(Defaults()))
}

// Guards against a refactoring in which errors lose their position or reason, which operators need to fix a file. The
// errors of each invalid file must match the golden file.
func TestErrorsOfInvalidFilesMatchTheGoldenFile(t *testing.T) {
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
