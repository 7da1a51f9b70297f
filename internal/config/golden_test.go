package config

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

var update = flag.Bool("update", false, "write the golden files anew")

// assertGolden compares a text with a golden file byte for byte.
func assertGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}

func TestFileWithEveryKeyParsesToTheGoldenValue(t *testing.T) {
	file, err := Read("testdata/every-key.yaml")
	require.NoError(t, err)
	text, err := json.MarshalIndent(file, "", "  ")
	require.NoError(t, err)
	assertGolden(t, "every-key.golden.json", string(text)+"\n")
}

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
		sub := property.(map[string]any)
		switch v := value[name].(type) {
		case map[string]any:
			assertHasKeys(t, key, sub, v)
		case []any:
			if item, ok := v[0].(map[string]any); ok {
				assertHasKeys(t, key, sub["items"].(map[string]any), item)
			}
		}
	}
}

func TestSchemaAndDefaultsStayAsPublished(t *testing.T) {
	assertGolden(t, "schema.golden.json", string(Schema))
	assertGolden(t, "defaults.golden.yaml", string(Defaults()))
}

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
	assertGolden(t, "broken.golden.txt", out.String())
}
