package simadapter

import (
	"strings"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// script is a decider that keeps what it hears and says what it was given.
type script struct {
	heard *[]routing.Event
	says  []routing.Action
}

func (s script) Decide(_ float64, ev routing.Event) []routing.Action {
	*s.heard = append(*s.heard, ev)
	if a, ok := ev.(routing.RequestArrived); ok && a.Object == "h:bad" {
		panic("two\nlines")
	}
	return s.says
}

func serve(in string, says ...routing.Action) (string, []routing.Event, error) {
	var heard []routing.Event
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out, func(uint64, routing.Settings) routing.Decider { return script{&heard, says} })
	return out.String(), heard, err
}

const start = "BATCH 1 0\nNEW_INSTANCE 3 9 me=2\nEND\n"

func TestActionsArePrinted(t *testing.T) {
	out, _, err := serve(start+"BATCH 2.5 1\nBELL 3 77\nEND\n",
		routing.StartAttempt{Request: "ab", Endpoint: "1.2.3.4:5", Deadline: 2.25, Source: "p:1", RetentionRank: 2, MaxAgeSeconds: 0.5, JoinFill: true, Revalidate: true},
		routing.CancelAttempt{Request: "ab", Attempt: 1}, routing.RejectRequest{Request: "ab", RetryAfterSeconds: 0.25}, routing.AbortRequest{Request: "cd"}, routing.SetTimer{AfterSeconds: 0.5, Token: 9},
		routing.Probe{Endpoint: "x:1"}, routing.SubscribeEndpoints{}, routing.LogNote{Message: "a\nb"})
	assert.NoError(t, err)
	assert.Equal(t, "EOR 0\nANSWER_FROM 3 ab 1.2.3.4:5 2.250000 p:1 2 0.500000 9\nSTOP_ATTEMPT 3 ab 1\nDENY 3 ab 0.250000\n"+
		"LOSE 3 cd\nNOTIFY_ME 3 0.500000 9\nCHECK 3 x:1\nKEEP_INFORMED 3 1\nNOTE_DOWN 3 a b\nEOR 1\n", out)
}

func TestEventsAreRenamed(t *testing.T) {
	_, heard, err := serve(start + "BATCH 2 1\n" +
		"SNAPSHOT_ROWS 0 1\nROW a:1 3 0 7 ready 1.5 6.1\nENDPOINTS 3 0 SAVED 1\n" +
		"SNAPSHOT_ROWS 0 1\nROW b:1 3 0 7 draining 1 -\nENDPOINTS 3 0 INCREMENTAL 2\n" +
		"ACCEPT 3 8b 1 0 h:k 8.5 640 11 3 4\nREPLY 3 8b 0.5 204 8 a:1 0.7 2 1 load_share:0.5,x1:2\n" +
		"TIMED_OUT_CLIENT 3 8b\nBELL 3 5\nSTATUS_BACK 3 a:1 521 0.4 -\nEXPIRED_NOW 3 0.1 11 -\nNEWS 3 what\nEND\n")
	assert.NoError(t, err)
	assert.Equal(t, []routing.Event{
		routing.EndpointUpdate{Kind: routing.Restored, Endpoints: []routing.Endpoint{{ID: "a:1", Zone: 3, Cell: 7, Weight: 1.5, StartedAt: 6.1}}},
		routing.EndpointUpdate{Kind: routing.Incremental, Endpoints: []routing.Endpoint{{ID: "b:1", Zone: 3, Cell: 7, Weight: 1, Status: routing.Draining}}},
		routing.RequestArrived{Request: "8b", Class: 1, Object: "h:k", Deadline: 8.5, SizeKB: 640, ObjectGroup: 11, Chunk: 3, Write: true},
		routing.AttemptEnded{Request: "8b", FirstByteSeconds: 0.5, Result: routing.CacheMiss, Detail: routing.SourceCacheMiss, Endpoint: "a:1", ElapsedSeconds: 0.7, Attempt: 2, RequestDone: true,
			LoadReport: []routing.LoadMetric{{Name: "util", Value: 0.5}, {Name: "link_fill", Value: 2}}},
		routing.ClientDisconnected{Request: "8b"}, routing.TimerFired{Token: 5}, routing.ProbeResult{Endpoint: "a:1", Result: routing.ConnectFailed, ElapsedSeconds: 0.4},
		routing.Purge{AgeSeconds: 0.1, ObjectGroup: 11},
	}, heard)
}

func TestSettingsAreRenamed(t *testing.T) {
	for _, c := range [][4]string{
		{"request_classes.1.effect", "fragile", "remap.1.effect", "unrepeatable"}, {"me", "2", "router", "2"},
		{"request_classes.count", "2", "remap.count", "2"}, {"never.heard", "x", "never.heard", "x"},
	} {
		key, value := TranslateSetting(c[0], c[1])
		assert.Equal(t, [2]string{c[2], c[3]}, [2]string{key, value})
	}
}

func TestWhatAKilledRouterSaidIsVoid(t *testing.T) {
	out, heard, err := serve(start+"BATCH 2 1\nBELL 3 1\nDOWN 3\nNEW_INSTANCE 3 8 me=2\nBELL 3 2\nEND\nBATCH 3 2\nEND\n",
		routing.SetTimer{AfterSeconds: 1, Token: 4})
	assert.NoError(t, err)
	assert.Len(t, heard, 2)
	assert.Equal(t, "EOR 0\nNOTIFY_ME 3 1.000000 4\nEOR 1\nEOR 2\n", out)
}

func TestPanicBecomesTheRoutersFault(t *testing.T) {
	out, _, err := serve(start + "BATCH 2 1\nACCEPT 3 8b 0 0 h:bad 8 - - - -\nEND\n")
	assert.NoError(t, err)
	assert.Equal(t, "EOR 0\nBUG 3 two lines\nEOR 1\n", out)
}

func TestBadInputIsNamed(t *testing.T) {
	for in, want := range map[string]string{
		"hello\n":                                                    "expected a batch",
		"BATCH x 1\nEND\n":                                           "bad batch line",
		start + "BATCH 2 1\nBELL 3 1\n":                              "ends within a batch",
		"BATCH 1 1\nBELL 3":                                          "ends within a batch",
		"BATCH 1 1\nBELL 3 1\nEND\n":                                 "not started",
		start + "BATCH 2 1\nBELL 3 x\nEND\n":                         "batch 1 line 2: bad number",
		start + "BATCH 2 1\nACCEPT 3 -\nEND\n":                       "missing value",
		start + "BATCH 2 1\nBELL\nEND\n":                             "missing router",
		start + "BATCH 2 1\nENDPOINTS 3 4 FULL 1\nEND\n":             "unknown list",
		start + "BATCH 2 1\nREPLY 3 8b - 999 - a 1 0 0 -\nEND\n":     "unknown result",
		"BATCH 2 1\nSNAPSHOT_ROWS 0 2\nROW a 0 0 0 ready 1 -\nEND\n": "expected a row",
	} {
		_, _, err := serve(in)
		assert.ErrorContains(t, err, want, in)
	}
}

func TestLongLinesAndBatches(t *testing.T) {
	var in strings.Builder
	in.WriteString("BATCH 1 0\nNEW_INSTANCE 3 9 pad=" + strings.Repeat("x", 3<<20) + "\nEND\nBATCH 2 1\n")
	for range 50000 {
		in.WriteString("BELL 3 1\n")
	}
	_, heard, err := serve(in.String() + "END\n")
	assert.NoError(t, err)
	assert.Len(t, heard, 50000)
}
