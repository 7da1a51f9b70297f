package scenario

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var purgeScenario = Scenario{
	Name:        "purge",
	Description: "A purge under load",
	Run:         runPurge,
}

func runPurge(ctx context.Context, options Options, r *report.Report) error {
	testCluster, err := cluster.New(options.clusterOptions(), 1) // one zone
	if err != nil {
		return err
	}
	defer testCluster.Close(r) // a router that does not end on SIGTERM breaks the report
	if err := testCluster.StartOneZone(ctx); err != nil {
		return err
	}
	if err := testCluster.AddRouter(1); err != nil {
		return err
	}
	clients := testCluster.NewClientGroup(testCluster.Routers[0], 16, 20*time.Millisecond)
	stop := standin.StartLoad(ctx, clients)
	defer stop()
	if err := timing.Sleep(ctx, time.Second); err != nil {
		return err
	}
	testCluster.Purge(1, false)
	if err := timing.Sleep(ctx, time.Second); err != nil {
		return err
	}
	stop()
	testCluster.Verify(r, []*standin.ClientGroup{clients})
	r.Steps = append(r.Steps, "16 clients for two seconds, a purge after the first")
	return nil
}

// TestLaboratoryPageShowsThisScenario: an example that no longer compiles misleads authors of scenarios. The example in
// docs/laboratory.md must be the code above.
func TestLaboratoryPageShowsThisScenario(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "laboratory.md"))
	require.NoError(t, err)
	code, err := os.ReadFile("documentation_test.go")
	require.NoError(t, err)
	_, example, found := strings.Cut(string(page), "```go\n")
	require.True(t, found, "the page has no example")
	example, _, _ = strings.Cut(example, "```")
	assert.Contains(t, string(code), example)
	assert.NotNil(t, purgeScenario.Run)
}
