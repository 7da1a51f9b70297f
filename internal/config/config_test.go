package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An installation with an empty file gets the defaults. Guards against defaults that differ from those in the schema,
// so that the printed documentation is wrong. An empty file must give the same values as the printed defaults.
func TestEmptyFileHasTheDefaults(t *testing.T) {
	empty, err := Parse("empty", nil)
	require.NoError(t, err)
	full, err := Parse("defaults", Defaults())
	require.NoError(t, err)
	assert.Equal(t, empty, full)
	assert.Equal(t, 4096.0, empty.DiskCache.CapacityMB) //nolint:testifylint // exact by intent
	assert.Empty(t, empty.DiskCache.Directory, "the disk cache is disabled by default")
}

// Operators start from the file in the deploy directory. If it is outdated, they set values that they did not intend.
// It must be identical to the defaults that the program prints.
func TestDeployedFileMatchesTheDefaults(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operators.yaml")
	require.NoError(t, err)
	assert.Equal(t, string(Defaults()), string(text), "cairnfront config defaults > deploy/operators.yaml")
}

// Guards against errors without a position, with which an operator finds a mistake only by trial and error. All
// mistakes in a file must be reported together, each with its line, column, key and reason.
func TestAllMistakesAreReportedWithTheirPosition(t *testing.T) {
	for text, want := range map[string]string{
		"box:\n  colour: red\n":              "f:2:3: box.colour: unknown key",
		"tier:\n  space_mb: much\n":          "f:2:13: tier.space_mb: got string, want number",
		"tier:\n  alpha: 0\n":                "f:2:10: tier.alpha: exclusiveMinimum: got 0, want 0",
		"box:\n  rules:\n    - kept: true\n": "f:3:7: box.rules.0: missing property 'name'",
		"box:\n  id: s-1\n  id: s-2\n":       "f:3:3: box: duplicate key \"id\"",
		"box: [\n":                           "invalid YAML: did not find",
		"tier:\n  alpha: .inf\n":             "f:2:10: tier.alpha: +Inf is not a finite number",
		"box:\n  made: {least_bytes: 900, most_bytes: 100}\n": "f:2:23: " +
			"box.made.least_bytes: 900 is greater than most_bytes, 100",
	} {
		_, err := Parse("f", []byte(text))
		require.Error(t, err, text)
		assert.Contains(t, err.Error(), want)
		var mistake FieldError
		require.ErrorAs(t, err, &mistake)
		assert.Equal(t, "f", mistake.File)
	}
}

// A reload is retried if the file could not be read, but not if the file is invalid. The type of the error must
// distinguish the two cases.
func TestUnreadableFileIsNoFieldError(t *testing.T) {
	_, err := Read(t.TempDir() + "/none.yaml")
	require.ErrorIs(t, err, os.ErrNotExist)
	assert.NotErrorAs(t, err, &FieldError{})
}

// FuzzParse checks that Parse never panics, and that the values of accepted files are valid.
func FuzzParse(f *testing.F) {
	f.Add("box:\n  rules:\n  - {name: a}\ntier: {alpha: 2}\n")
	f.Add("a: &x [*x]")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Parse("f", []byte(text))
		if err == nil && (file.DiskCache.Alpha <= 0 || file.EdgeCache.StreamsPerConnection < 1) {
			t.Fatalf("%+v", file)
		}
	})
}
