package dispatch

import (
	"flag"
	"os"
	"regexp"
	"testing"

	"cairnfront/internal/request"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestLogLinesKeepMessageAndKeys holds the message, level and keys of each kind of log line that this package writes.
func TestLogLinesKeepMessageAndKeys(t *testing.T) {
	l, _, x, _, log := stage(t, func(ev routing.Event) []routing.Action {
		switch ev := ev.(type) {
		case routing.RequestArrived:
			if ev.Request == "silent" {
				return nil
			}
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c"}, routing.LogNote{Message: "a note"}}
		case routing.AttemptEnded:
			panic("in a decision")
		}
		return nil
	})
	l.Handle(x)
	l.Clock = func() float64 { return 106 }
	l.ring()
	l.Handle(&request.Request{ID: "silent", ClassName: "page", Class: 1, Deadline: 110, ResponseWriter: &outlet{}})
	l.Clock = func() float64 { return 111 }
	l.ring()
	l.Handle(&request.Request{ID: "cd", ClassName: "page", Class: 1, Deadline: 120, ResponseWriter: &outlet{}})
	l.Handle(&request.Request{ID: "ab", ClassName: "page", Class: 1, Deadline: 120, ResponseWriter: &outlet{}})
	l.Handle(upstream.AttemptEnded{Attempt: l.open["ab"].hops[0].call, End: request.AttemptEnd{Result: routing.Overloaded}})
	l.safely(func() { panic("beside the decisions") })
	got := regexp.MustCompile(`(?m)^time=\S+ `).ReplaceAllString(log.String(), "")
	got = regexp.MustCompile(`stack=".*"`).ReplaceAllString(got, "stack=...")
	if *update {
		require.NoError(t, os.WriteFile("testdata/log.golden.txt", []byte(got), 0o600))
	}
	want, err := os.ReadFile("testdata/log.golden.txt")
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}
