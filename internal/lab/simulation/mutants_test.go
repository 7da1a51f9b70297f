package simulation

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// mutant is a deliberate defect in the code: replacements of texts in a file, and the arguments of the simulation that
// must detect it.
type mutant struct {
	name, file string
	edits      [][2]string
	arguments  []string
}

var mutants = []mutant{
	{
		name: "a failed member comes back without a higher incarnation",
		file: "internal/membership/swim/probe.go",
		edits: [][2]string{{
			"if m.state == Failed || m.state == Unknown {\n\t\treturn //",
			"if m.state == Failed {\n\t\tc.setState(now, id, m.record.State, ReasonAcked)\n\t}\n" +
				"\tif m.state == Unknown {\n\t\treturn //",
		}},
		arguments: []string{"--seeds", "1..20", "--faults", "8", "--peers", "20"},
	},
	{
		name:      "one accusation is enough for a failure",
		file:      "internal/membership/swim/suspicion.go",
		edits:     [][2]string{{"if c.config.PublishedSWIM && a.Dead {", "if a.Accuser != c.self {"}},
		arguments: []string{"--seeds", "1..20", "--faults", "3", "--peers", "20", "--hostile", "3"},
	},
	{
		name:      "a paused member accuses the others",
		file:      "internal/membership/swim/health.go",
		edits:     [][2]string{{"if c.config.PublishedSWIM || paused == 0 {", "if true {"}},
		arguments: []string{"--seeds", "1..40", "--faults", "8", "--peers", "20"},
	},
	{
		name:      "members that are not present are never pinged",
		file:      "internal/membership/swim/probeorder.go",
		edits:     [][2]string{{"if c.prober.count%absentPingEvery == 0 {", "if false {"}},
		arguments: []string{"--seeds", "1..20", "--faults", "8", "--peers", "20"},
	},
}

// overlayFile writes the overlay of a build in which the mutant's file is replaced, and returns its path.
func (m *mutant) overlayFile(t *testing.T, root, directory string) string {
	t.Helper()
	overlay := map[string]map[string]string{"Replace": {}}
	if m.file != "" {
		path := filepath.Join(root, m.file)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, edit := range m.edits {
			require.Equal(t, 1, strings.Count(string(text), edit[0]), "occurrences of the text to be replaced")
			text = []byte(strings.Replace(string(text), edit[0], edit[1], 1))
		}
		broken := filepath.Join(directory, "broken.go")
		require.NoError(t, os.WriteFile(broken, text, 0o600))
		overlay["Replace"][path] = broken
	}
	text, err := json.Marshal(overlay)
	require.NoError(t, err)
	file := filepath.Join(directory, "overlay.json")
	require.NoError(t, os.WriteFile(file, text, 0o600))
	return file
}

// simulate builds the program with the mutant applied, and runs the mutant's simulation.
func (m *mutant) simulate(t *testing.T) (output string, err error) {
	t.Helper()
	root, err := filepath.Abs("../../..")
	require.NoError(t, err)
	directory := t.TempDir()
	program := filepath.Join(directory, "program")
	overlay := m.overlayFile(t, root, directory)
	build := exec.CommandContext(t.Context(), "go", "build", "-overlay", overlay, "-o", program, "./cmd/cairnfront")
	build.Dir = root
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	arguments := append([]string{"lab", "sim", "membership"}, m.arguments...)
	out, err = exec.CommandContext(t.Context(), program, arguments...).CombinedOutput()
	return string(out), err
}

// TestMutantsAreFound: a simulation with checks that find nothing also passes on defective code. Each mutant violates
// one rule of the protocol, and the generated scripts on virtual time must detect it; without a mutant the same runs
// pass.
func TestMutantsAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program several times")
	}
	t.Run("no mutant", func(t *testing.T) {
		unchanged := mutant{arguments: []string{"--seeds", "1..20", "--faults", "8", "--peers", "20"}}
		output, err := unchanged.simulate(t)
		assert.NoError(t, err, output)
	})
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			output, err := m.simulate(t)
			require.Error(t, err, "not found: %s", output)
			for _, line := range strings.Split(output, "\n") {
				if strings.Contains(line, "broken:") {
					t.Logf("%.200s", strings.TrimSpace(line))
					break
				}
			}
		})
	}
}
