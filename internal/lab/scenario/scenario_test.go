package scenario

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestScenarioDirectoryIsCreated: a named directory is created with its parents and stays; a temporary one is removed.
func TestScenarioDirectoryIsCreated(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "not", "there")
	folder, remove, err := makeScenarioDirectory(missing)
	require.NoError(t, err)
	remove()
	assert.Equal(t, missing, folder)
	assert.DirExists(t, missing)

	folder, remove, err = makeScenarioDirectory("")
	require.NoError(t, err)
	assert.DirExists(t, folder)
	remove()
	assert.NoDirExists(t, folder)

	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, _, err = makeScenarioDirectory(filepath.Join(file, "below"))
	assert.ErrorContains(t, err, file, "the error names the folder")
}

// TestEarlierScenarioNamesAreAccepted: users' scripts and documentation refer to scenarios by the names of earlier
// versions. Each earlier name still runs the scenario, is the value of "scenario" in its JSON report, and is not
// listed.
func TestEarlierScenarioNamesAreAccepted(t *testing.T) {
	listed := map[string]bool{}
	for _, scenario := range Scenarios() {
		listed[scenario.Name] = true
	}
	for name, earlier := range map[string]string{
		"addresses":           "addresses",
		"demo":                "demo",
		"disk-admission":      "disk-admit",
		"disk-restart":        "disk-restart",
		"health-observations": "rumours",
		"membership":          "peers",
		"membership-cost":     "peers-cost",
		"origin-brownout":     "brownout",
		"partial-observation": "thin-views",
	} {
		t.Run(name, func(t *testing.T) {
			assert.True(t, listed[name])
			assert.Equal(t, name == earlier, listed[earlier])
			for _, accepted := range []string{name, earlier} {
				scenario, err := Find(accepted)
				require.NoError(t, err)
				assert.Equal(t, name, scenario.Name)
				assert.Equal(t, earlier, scenario.reportName())
				assert.NotNil(t, scenario.Run)
			}
		})
	}
	assert.Len(t, listed, 9)
	_, err := Find("unknown")
	assert.ErrorIs(t, err, ErrUnknownScenario)
}

// TestReportNamesTheScenarioForReadersAndForPrograms runs a scenario without processes, selected by its earlier name.
// The JSON report has the earlier name and the title has the current one.
func TestReportNamesTheScenarioForReadersAndForPrograms(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates a day of video")
	}
	r, err := Run(t.Context(), "disk-admit", Options{Seed: 1})
	require.NoError(t, err)
	assert.Empty(t, r.Broken)
	assert.Equal(t, "disk-admit", r.Scenario)
	assert.Equal(t, "disk-admission", r.Title())
}
