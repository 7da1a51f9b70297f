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

// mutant is the code broken on purpose: texts of a file and what stands in their place, and the arguments of the
// simulation that has to find it.
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
		name:      "a member that was stopped blames the others",
		file:      "internal/membership/swim/health.go",
		edits:     [][2]string{{"if c.config.PublishedSWIM || paused == 0 {", "if true {"}},
		arguments: []string{"--seeds", "1..40", "--faults", "8", "--peers", "20"},
	},
	{
		name:      "nobody pings members that are not present",
		file:      "internal/membership/swim/probeorder.go",
		edits:     [][2]string{{"if c.prober.count%absentPingEvery == 0 {", "if false {"}},
		arguments: []string{"--seeds", "1..20", "--faults", "8", "--peers", "20"},
	},
}

// TestMutantsAreFound builds the program with each mutant laid over its file, and holds that the drawn scripts on
// virtual time find it; without it the same runs hold.
func TestMutantsAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program several times")
	}
	root, err := filepath.Abs("../../..")
	require.NoError(t, err)
	dir := t.TempDir()
	unchanged := mutant{name: "none", arguments: []string{"--seeds", "1..20", "--faults", "8", "--peers", "20"}}
	for _, m := range append([]mutant{unchanged}, mutants...) {
		overlay := map[string]map[string]string{"Replace": {}}
		if m.file != "" {
			path := filepath.Join(root, m.file)
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			for _, e := range m.edits {
				require.Equal(t, 1, strings.Count(string(text), e[0]), "%s: the text to be broken", m.name)
				text = []byte(strings.Replace(string(text), e[0], e[1], 1))
			}
			broken := filepath.Join(dir, "broken.go")
			require.NoError(t, os.WriteFile(broken, text, 0o600))
			overlay["Replace"][path] = broken
		}
		text, err := json.Marshal(overlay)
		require.NoError(t, err)
		file := filepath.Join(dir, "overlay.json")
		require.NoError(t, os.WriteFile(file, text, 0o600))
		program := filepath.Join(dir, "program")
		build := exec.Command("go", "build", "-overlay", file, "-o", program, "./cmd/cairnfront")
		build.Dir = root
		out, err := build.CombinedOutput()
		require.NoError(t, err, "%s: %s", m.name, out)
		simulate := exec.Command(program, append([]string{"lab", "sim", "membership"}, m.arguments...)...)
		out, err = simulate.CombinedOutput()
		if m.file == "" {
			assert.NoError(t, err, "%s", out)
			continue
		}
		assert.Error(t, err, "%s was not found: %s", m.name, out)
		for _, l := range strings.Split(string(out), "\n") {
			if strings.Contains(l, "broken:") {
				t.Logf("%s: %.200s", m.name, strings.TrimSpace(l))
				break
			}
		}
	}
}
