package routing_test

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var updateTraces = flag.Bool("update-traces", false, "rewrite testdata/decision-traces.golden")

const tracesFile = "decision-traces.golden"

// TestDecisionTracesAreUnchanged simulates synthetic deployments from fixed seeds. It compares all actions, with
// numbers at full precision, by hash with the decisions of an earlier version of the module. A refactoring must not
// change any hash; a change of a decision rewrites the file (-update-traces) and gives the reason in its commit.
func TestDecisionTracesAreUnchanged(t *testing.T) {
	var got bytes.Buffer
	for _, scenario := range scenarios() {
		for _, seed := range scenario.seeds {
			trace := runScenario(scenario, seed)
			fmt.Fprintf(&got, "%s seed=%d events=%d actions=%d sha256=%x\n",
				scenario.name, seed, trace.events, trace.actions, trace.hash.Sum(nil))
		}
	}
	path := filepath.Join("testdata", tracesFile)
	if *updateTraces {
		require.NoError(t, os.WriteFile(path, got.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got.String())
}

// TestDecisionTraceDetectsChangedDecisions checks that the trace detects changes: another seed of the module must
// change the hash.
func TestDecisionTraceDetectsChangedDecisions(t *testing.T) {
	scenario := scenarios()[0]
	first := runScenario(scenario, 1).hash.Sum(nil)
	assert.Equal(t, first, runScenario(scenario, 1).hash.Sum(nil))
	scenario.moduleSeedOffset = 1
	assert.NotEqual(t, first, runScenario(scenario, 1).hash.Sum(nil))
}

// decisionTrace is a running hash of the actions as text. The text contains no names of types or fields of the module,
// so that renaming them does not change the hash.
type decisionTrace struct {
	hash    interface{ Sum([]byte) []byte }
	write   func([]byte) (int, error)
	events  int
	actions int
}

func newDecisionTrace() *decisionTrace {
	hash := sha256.New()
	return &decisionTrace{hash: hash, write: hash.Write}
}

func (d *decisionTrace) record(now float64, event int, action routing.Action) {
	d.actions++
	line := exact(now) + " " + strconv.Itoa(event) + " " + encodeAction(action) + "\n"
	_, _ = d.write([]byte(line))
}

// exact formats a number so that parsing it gives the same number.
func exact(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }

func encodeAction(action routing.Action) string {
	switch a := action.(type) {
	case routing.StartAttempt:
		return fmt.Sprintf("start %s to=%s until=%s from=%s rank=%d age=%s join=%t only=%t nostore=%t revalidate=%t",
			a.Request, a.Endpoint, exact(a.Deadline), a.Source, a.RetentionRank, exact(a.MaxAgeSeconds), a.JoinFill,
			a.CacheOnly, a.ParentNoStore, a.Revalidate)
	case routing.CancelAttempt:
		return fmt.Sprintf("cancel %s %d", a.Request, a.Attempt)
	case routing.RejectRequest:
		return fmt.Sprintf("reject %s after=%s", a.Request, exact(a.RetryAfterSeconds))
	case routing.AbortRequest:
		return fmt.Sprintf("abort %s", a.Request)
	case routing.SetTimer:
		return fmt.Sprintf("timer %s token=%d", exact(a.AfterSeconds), a.Token)
	case routing.Probe:
		return fmt.Sprintf("probe %s", a.Endpoint)
	case routing.SubscribeEndpoints:
		return "subscribe"
	case routing.LogNote:
		return fmt.Sprintf("note %q", a.Message)
	}
	return fmt.Sprintf("unknown %T", action)
}
