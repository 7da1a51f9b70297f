package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReportIsWrittenInThreeFormats: programs read JSON, people read text and HTML. If a format omits a figure or a
// violation, its readers miss it.
func TestReportIsWrittenInThreeFormats(t *testing.T) {
	r := &Report{
		Scenario: "x",
		Counts:   map[string]int64{"n": 3},
		Figures:  map[string]float64{"f": 0.5},
		Broken:   []string{"<b>that</b>"},
		Plots: []Plot{{
			Title: "t",
			Lines: []Line{{Name: "a", X: []float64{0, 1}, Y: []float64{0, 2}}},
			Marks: []Mark{{At: 0.5, Name: "fault"}},
		}},
	}
	var b bytes.Buffer
	require.NoError(t, r.WriteJSON(&b))
	var back Report
	require.NoError(t, json.Unmarshal(b.Bytes(), &back))
	assert.Equal(t, r.Counts, back.Counts)
	b.Reset()
	require.NoError(t, r.WriteHTML(&b))
	assert.Equal(t, 1, strings.Count(b.String(), "<svg"))
	assert.Contains(t, b.String(), "&lt;b&gt;that")
	b.Reset()
	r.WriteText(&b)
	assert.Contains(t, b.String(), "BROKEN")
}

// TestViolatedRulesDetermineTheVerdict: the exit code and CI depend on the verdict. Each violated rule must be named,
// and a single violation must make the report fail.
func TestViolatedRulesDetermineTheVerdict(t *testing.T) {
	clean := New("x", 1, "small")
	clean.Close()
	assert.True(t, clean.Held)

	broken := New("x", 1, "small")
	broken.Rules = Rules{Lost: 1, SecondAnswers: 2, SecondEffects: 3, Drain: 4, Cold: 5, Purge: 6}
	broken.Close()
	assert.False(t, broken.Held)
	assert.Len(t, broken.Broken, 6)
}
