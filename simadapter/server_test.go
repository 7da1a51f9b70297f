package simadapter

import (
	"strings"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeRouter records the events that it receives and returns the same actions for each.
type fakeRouter struct {
	events  *[]routing.Event
	actions []routing.Action
}

// panicObject is the object whose requests make a fakeRouter panic.
const panicObject = "h:bad"

func (r fakeRouter) Decide(_ float64, event routing.Event) []routing.Action {
	*r.events = append(*r.events, event)
	if arrived, ok := event.(routing.RequestArrived); ok && arrived.Object == panicObject {
		panic("two\nlines")
	}
	return r.actions
}

func serve(in string, actions ...routing.Action) (string, []routing.Event, error) {
	var events []routing.Event
	var out strings.Builder
	newRouter := func(uint64, routing.Settings) routing.Decider { return fakeRouter{&events, actions} }
	err := Serve(strings.NewReader(in), &out, newRouter)
	return out.String(), events, err
}

// startBatch is a batch that starts router 3.
const startBatch = "BATCH 1 0\nNEW_INSTANCE 3 9 me=2\nEND\n"

// The simulator parses each action by position. A missing or misplaced field would execute another decision than the
// module's. All actions must be written in the protocol's format.
func TestActionsAreWritten(t *testing.T) {
	attempt := routing.StartAttempt{
		Request:       "ab",
		Endpoint:      "1.2.3.4:5",
		Deadline:      2.25,
		Source:        "p:1",
		RetentionRank: 2,
		MaxAgeSeconds: 0.5,
		JoinFill:      true,
		Revalidate:    true,
	}
	out, _, err := serve(startBatch+"BATCH 2.5 1\nBELL 3 77\nEND\n",
		attempt,
		routing.CancelAttempt{Request: "ab", Attempt: 1},
		routing.RejectRequest{Request: "ab", RetryAfterSeconds: 0.25},
		routing.AbortRequest{Request: "cd"},
		routing.SetTimer{AfterSeconds: 0.5, Token: 9},
		routing.Probe{Endpoint: "x:1"},
		routing.SubscribeEndpoints{},
		routing.LogNote{Message: "a\nb"})
	require.NoError(t, err)
	assert.Equal(t, "EOR 0\n"+
		"ANSWER_FROM 3 ab 1.2.3.4:5 2.250000 p:1 2 0.500000 9\n"+
		"STOP_ATTEMPT 3 ab 1\n"+
		"DENY 3 ab 0.250000\n"+
		"LOSE 3 cd\n"+
		"NOTIFY_ME 3 0.500000 9\n"+
		"CHECK 3 x:1\n"+
		"KEEP_INFORMED 3 1\n"+
		"NOTE_DOWN 3 a b\n"+
		"EOR 1\n", out)
}

// A field parsed into the wrong place makes the module decide on events that the simulator did not send. Each line of
// the protocol must become its event with all fields.
func TestEventsAreParsed(t *testing.T) {
	_, events, err := serve(startBatch + "BATCH 2 1\n" +
		"SNAPSHOT_ROWS 0 1\nROW a:1 3 0 7 ready 1.5 6.1\nENDPOINTS 3 0 SAVED 1\n" +
		"SNAPSHOT_ROWS 0 1\nROW b:1 3 0 7 draining 1 -\nENDPOINTS 3 0 INCREMENTAL 2\n" +
		"ACCEPT 3 8b 1 0 h:k 8.5 640 11 3 4\n" +
		"REPLY 3 8b 0.5 204 8 a:1 0.7 2 1 load_share:0.5,x1:2\n" +
		"TIMED_OUT_CLIENT 3 8b\nBELL 3 5\nSTATUS_BACK 3 a:1 521 0.4 -\nEXPIRED_NOW 3 0.1 11 -\nNEWS 3 what\nEND\n")
	require.NoError(t, err)
	restored := routing.Endpoint{ID: "a:1", Zone: 3, Cell: 7, Weight: 1.5, StartedAt: 6.1}
	changed := routing.Endpoint{ID: "b:1", Zone: 3, Cell: 7, Weight: 1, Status: routing.Draining}
	assert.Equal(t, []routing.Event{
		routing.EndpointUpdate{Kind: routing.Restored, Endpoints: []routing.Endpoint{restored}},
		routing.EndpointUpdate{Kind: routing.Incremental, Endpoints: []routing.Endpoint{changed}},
		routing.RequestArrived{
			Request:     "8b",
			Class:       1,
			Object:      "h:k",
			Deadline:    8.5,
			SizeKB:      640,
			ObjectGroup: 11,
			Chunk:       3,
			Write:       true,
		},
		routing.AttemptEnded{
			Request:          "8b",
			FirstByteSeconds: 0.5,
			Result:           routing.CacheMiss,
			Detail:           routing.SourceCacheMiss,
			Endpoint:         "a:1",
			ElapsedSeconds:   0.7,
			Attempt:          2,
			RequestDone:      true,
			LoadReport:       []routing.LoadMetric{{Name: "util", Value: 0.5}, {Name: "link_fill", Value: 2}},
		},
		routing.ClientDisconnected{Request: "8b"},
		routing.TimerFired{Token: 5},
		routing.ProbeResult{Endpoint: "a:1", Result: routing.ConnectFailed, ElapsedSeconds: 0.4},
		routing.Purge{AgeSeconds: 0.1, ObjectGroup: 11},
	}, events)
}

// The simulator stops a router within a batch and may start another one with the same number. Actions of the stopped
// router would be attributed to the new one, so they must be dropped.
func TestActionsOfStoppedRouterAreDropped(t *testing.T) {
	out, events, err := serve(startBatch+"BATCH 2 1\nBELL 3 1\nDOWN 3\nNEW_INSTANCE 3 8 me=2\nBELL 3 2\nEND\n"+
		"BATCH 3 2\nEND\n", routing.SetTimer{AfterSeconds: 1, Token: 4})
	require.NoError(t, err)
	assert.Len(t, events, 2)
	assert.Equal(t, "EOR 0\nNOTIFY_ME 3 1.000000 4\nEOR 1\nEOR 2\n", out)
}

// A panic in the module would end the adapter without reporting which router failed. It must be reported as a fault of
// that router, on one line, and the session must continue.
func TestPanicIsReportedAsTheRoutersFault(t *testing.T) {
	out, _, err := serve(startBatch + "BATCH 2 1\nACCEPT 3 8b 0 0 " + panicObject + " 8 - - - -\nEND\n")
	require.NoError(t, err)
	assert.Equal(t, "EOR 0\nBUG 3 two lines\nEOR 1\n", out)
}

// Skipping a malformed line would continue the simulation with a missing event. Input that violates the protocol must
// end the session with an error of its kind that describes the problem.
func TestBadInputIsReported(t *testing.T) {
	for _, c := range []struct {
		in       string
		want     error
		wantText string
	}{
		{"hello\n", ErrSyntax, "expected a batch"},
		{"BATCH x 1\nEND\n", ErrSyntax, "bad line: batch"},
		{startBatch + "BATCH 2 1\nBELL 3 1\n", ErrTruncated, "ends within a batch"},
		{"BATCH 1 1\nBELL 3", ErrTruncated, "ends within a batch"},
		{"BATCH 1 1\nBELL 3 1\nEND\n", ErrUnknownRouter, "not started"},
		{startBatch + "BATCH 2 1\nBELL 3 x\nEND\n", ErrSyntax, "batch 1 line 2: bad line: bad number"},
		{startBatch + "BATCH 2 1\nACCEPT 3 -\nEND\n", ErrSyntax, "missing value"},
		{startBatch + "BATCH 2 1\nBELL\nEND\n", ErrSyntax, "missing router"},
		{startBatch + "BATCH 2 1\nENDPOINTS 3 4 FULL 1\nEND\n", ErrSyntax, "unknown list"},
		{startBatch + "BATCH 2 1\nREPLY 3 8b - 999 - a 1 0 0 -\nEND\n", ErrSyntax, "unknown result"},
		{"BATCH 2 1\nSNAPSHOT_ROWS 0 2\nROW a 0 0 0 ready 1 -\nEND\n", ErrSyntax, "expected a row"},
	} {
		_, _, err := serve(c.in)
		require.ErrorIs(t, err, c.want, c.in)
		assert.ErrorContains(t, err, c.wantText, c.in)
	}
}

// A line longer than the reader's buffer could be split into two. Lists of many endpoints and batches of many events
// must be read completely.
func TestLinesAndBatchesMayBeLong(t *testing.T) {
	const events = 50000
	var in strings.Builder
	in.WriteString("BATCH 1 0\nNEW_INSTANCE 3 9 pad=" + strings.Repeat("x", 3<<20) + "\nEND\nBATCH 2 1\n")
	for range events {
		in.WriteString("BELL 3 1\n")
	}
	_, received, err := serve(in.String() + "END\n")
	require.NoError(t, err)
	assert.Len(t, received, events)
}
