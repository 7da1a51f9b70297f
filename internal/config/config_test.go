package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An installation that sets nothing gets the defaults. If they differ from those of the schema, the printed
// documentation is wrong. An empty file must give the values that the schema names.
func TestEmptyFileHasTheDefaults(t *testing.T) {
	empty, err := Parse("empty", nil)
	require.NoError(t, err)
	full, err := Parse("defaults", Defaults())
	require.NoError(t, err)
	assert.Equal(t, empty, full)
	assert.Equal(t, 4096.0, empty.DiskCache.CapacityMB) //nolint:testifylint // exact by intent
	assert.Empty(t, empty.DiskCache.Directory, "nothing is on by default")
}

// Operators start from the file under deploy. If it falls behind the program, they set values that they did not mean.
// It must be what the program prints.
func TestFileUnderDeployHoldsTheDefaults(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operators.yaml")
	require.NoError(t, err)
	assert.Equal(t, string(Defaults()), string(text), "cairnfront config defaults > deploy/operators.yaml")
}

// A mistake that is reported without its place is searched for by trial. Every mistake of a file must be reported at
// once, each with line, column, key and reason.
func TestMistakesAreNamedWithTheirPlace(t *testing.T) {
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

// A reload is tried again where the file could not be read, and not where it is invalid. The two must be told apart by
// the type of the error.
func TestFileThatCannotBeReadIsNoFieldError(t *testing.T) {
	_, err := Read(t.TempDir() + "/none.yaml")
	require.ErrorIs(t, err, os.ErrNotExist)
	assert.NotErrorAs(t, err, &FieldError{})
}

// FuzzParse holds that no text panics, and that what is accepted has usable values.
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
