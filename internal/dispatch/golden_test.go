package dispatch

import (
	"flag"
	"os"
	"regexp"
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "overwrite the golden files")

// TestLogLinesKeepMessageAndKeys compares the message, level and keys of each kind of log line of this package with the
// golden file.
func TestLogLinesKeepMessageAndKeys(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		switch ev := ev.(type) {
		case routing.RequestArrived:
			if ev.Request == "silent" {
				return nil
			}
			return []routing.Action{
				routing.StartAttempt{Request: "ab", Endpoint: "c"},
				routing.LogNote{Message: "a note"},
			}
		case routing.AttemptEnded:
			panic("in a decision")
		}
		return nil
	})
	arrive := func(id routing.RequestID, deadline float64) {
		f.arrive(&request.Request{ID: id, ClassName: "page", Class: 1, Deadline: deadline, ResponseWriter: f.recorder})
	}
	f.arrive(f.request)
	f.setTime(106)
	f.runDueTimers()
	arrive("silent", 110)
	f.setTime(111)
	f.runDueTimers()
	arrive("cd", 120)
	arrive("ab", 120)
	f.endFirstAttempt(request.AttemptEnd{Result: routing.Overloaded})
	f.recoverPanics(func() { panic("beside the decisions") })
	got := regexp.MustCompile(`(?m)^time=\S+ `).ReplaceAllString(f.log.String(), "")
	got = regexp.MustCompile(`stack=".*"`).ReplaceAllString(got, "stack=...")
	if *update {
		require.NoError(t, os.WriteFile("testdata/log.golden.txt", []byte(got), 0o600))
	}
	want, err := os.ReadFile("testdata/log.golden.txt")
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}
