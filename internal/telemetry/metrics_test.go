package telemetry

import (
	"bytes"
	"errors"
	"io"
	"math"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// label is a label value for tests.
type label string

func (l label) String() string { return string(l) }

// A counter with labels has a value for each combination of label values. Guards against updates of the wrong
// combination, which give incorrect numbers during an incident. Each value and each total must be the sum of its
// updates.
func TestCountersAddUp(t *testing.T) {
	m := New(&bytes.Buffer{}, "")
	for range 2 {
		m.RequestReceived("page")
	}
	m.RequestReceived("order")
	m.RequestAnswered("page", label("rejected"), label("queue_full"))
	m.RequestCancelled("page", label("client_cancelled"))
	for name, want := range map[string]float64{
		`requests_received_total{class="page"}`:                                       2,
		`requests_received_total{class="order"}`:                                      1,
		`requests_received_total{class="write"}`:                                      0,
		`requests_answered_total{class="page",result="rejected",reason="queue_full"}`: 1,
		`requests_cancelled_total{class="page",reason="client_cancelled"}`:            1,
		"requests_open": 1,
	} {
		assert.Equal(t, want, m.Value(name), name) //nolint:testifylint // exact by intent
	}
	assert.EqualValues(t, 3, m.Total("requests_received_total"))  //nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, m.Total("requests_answered_total"))  //nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, m.Total("requests_cancelled_total")) //nolint:testifylint // exact by intent
}

// Scripts compare dumps line by line. Guards against an order that changes from dump to dump, with which every line
// differs. The dump must be sorted, with one line per value.
func TestDumpIsSortedWithOneLineForEachValue(t *testing.T) {
	m := New(&bytes.Buffer{}, "")
	m.RequestReceived("page")
	m.IncBy(DiskBytesWritten, 1<<52+1)
	m.SetMax(MaxTimerDelay, 0.0125)
	m.SetMax(MaxTimerDelay, 0.0025)
	m.SetMax(MaxResponseDelay, 2)
	m.RequestAnswered("page", label("completed"), label("attempt_completed"))
	var out bytes.Buffer
	m.Dump(&out)
	got := regexp.MustCompile(`(process_\w+) [1-9]\d*\n`).ReplaceAllString(out.String(), "$1 N\n")
	assert.Equal(t, `counter disk_written_bytes_total 4503599627370497
counter dispatch_timer_delay_max_seconds 0.012500
counter process_goroutines N
counter process_heap_bytes N
counter process_open_descriptors N
counter requests_answered_total{class="page",result="completed",reason="attempt_completed"} 1
counter requests_open 0
counter requests_received_total{class="page"} 1
counter response_delay_max_seconds 2
`, got)
}

// Guards against a label value with a quote or a line break, which would split the line of the dump. Such values must
// be escaped, and the series must be found by its escaped name.
func TestLabelValuesAreEscaped(t *testing.T) {
	series := CacheRequests.With("a \"b\" \\ c\nd")
	assert.Equal(t, `cache_requests_total{class="a \"b\" \\ c\nd"}`, series.String())
	m := New(&bytes.Buffer{}, "")
	m.Inc(series)
	assert.EqualValues(t, 1, m.Value(series.String())) //nolint:testifylint // exact by intent
}

// Guards against a misspelled metric name in a test, which must not be reported as a counter with the value 0.
func TestValuesOfUnknownSeriesAreNaN(t *testing.T) {
	m := New(&bytes.Buffer{}, "")
	for _, name := range []string{
		"", "requests_opened", "panics", `panics_total{class="page"}`, "requests_received_total",
		`requests_received_total{side="page"}`, `requests_received_total{class="page",side="client"}`,
		`connections_closed_total{reason="shutdown",side="client"}`,
	} {
		assert.True(t, math.IsNaN(m.Value(name)), name)
	}
	assert.True(t, math.IsNaN(m.Total("requests_opened")))
	assert.Zero(t, m.Total("requests_received_total"))
}

// The zero value of a series has an empty name, and using it must not panic. The same applies to a nil label value.
func TestZeroSeriesHasNoName(t *testing.T) {
	assert.Empty(t, Counter{}.String())
	noReason := ConnectionsClosed.With(SideClient, nil)
	assert.Equal(t, `connections_closed_total{side="client",reason=""}`, noReason.String())
}

// TestConnectionEndedWritesOneLine checks the log line and the counters of a closed connection.
func TestConnectionEndedWritesOneLine(t *testing.T) {
	var out bytes.Buffer
	m := New(&out, "n1")
	m.ConnectionOpened(SideClient)
	m.ConnectionEnded(ConnectionEnd{
		Remote:        Remote{Side: SideClient, Address: "192.0.2.1:5"},
		Reason:        label("peer_reset"),
		Err:           errors.New("gone"),
		OpenedAt:      time.Now(),
		BytesReceived: 3,
		BytesSent:     4,
	})
	got := regexp.MustCompile(`(time|duration_seconds)=\S+`).ReplaceAllString(out.String(), "$1=*")
	want := `time=* level=INFO msg="connection closed" router=n1 side=client reason=peer_reset ` +
		"remote_address=192.0.2.1:5 duration_seconds=* bytes_received=3 bytes_sent=4 error=gone"
	assert.Equal(t, want+"\n", got)
	assert.EqualValues(t, 0, m.Value(`connections_open{side="client"}`)) //nolint:testifylint // exact by intent
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, m.Value(`connections_closed_total{side="client",reason="peer_reset"}`))
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 3, m.Value(`connection_received_bytes_total{side="client"}`))
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 4, m.Value(`connection_sent_bytes_total{side="client"}`))
}

// Guards against the end of a client's connection whose log line and counter do not tell which requests it took.
func TestEndOfClientConnectionTellsWhatItTook(t *testing.T) {
	var out bytes.Buffer
	m := New(&out, "")
	m.ConnectionEnded(ConnectionEnd{
		Remote: Remote{Side: SideClient}, Reason: label("slow_reader"), OpenedAt: time.Now(),
		Taken: &TakenByEnd{
			OpenRequests: 2, UnsentResponses: 3, UnreadRequests: 7, UnreadBytes: 4, UnsentBytes: 5, BodyMemoryBytes: 6,
		},
	})
	assert.Contains(t, out.String(),
		"open_requests=2 unsent_responses=3 unread_requests=7 unread_bytes=4 unsent_bytes=5 body_memory_bytes=6\n")
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 12, m.Value(`connection_requests_unanswered_total{reason="slow_reader"}`))
}

// TestLogLinesIdentifyTheProcess checks the key with which each log line identifies its process. Log lines of an edge
// cache with the key router would point operators to the wrong machine; with the key endpoint, the key would occur
// twice.
func TestLogLinesIdentifyTheProcess(t *testing.T) {
	for want, construct := range map[string]func(io.Writer, string) *Metrics{
		"router=n1":      New,
		"endpoint_id=n1": NewForEndpoint,
	} {
		var out bytes.Buffer
		construct(&out, "n1").Log.Info("serving", "endpoint", "m")
		assert.Regexp(t, "^time=[^ ]+ level=INFO msg=serving "+want+" endpoint=m\n$", out.String())
		out.Reset()
		construct(&out, "").Log.Info("serving")
		assert.Regexp(t, "^time=[^ ]+ level=INFO msg=serving\n$", out.String())
	}
}

// TestRecoveredPanicIsCountedAndLogged checks the log line and the counter of a recovered panic.
func TestRecoveredPanicIsCountedAndLogged(t *testing.T) {
	var out bytes.Buffer
	m := New(&out, "")
	func() {
		defer func() { m.RecordPanic(ComponentRouting, recover(), "event", "e") }()
		panic("a fault")
	}()
	assert.Regexp(t, `level=ERROR msg="panic recovered" component=routing error="a fault" event=e stack="goroutine .*`+
		`TestRecoveredPanicIsCountedAndLogged`, out.String())
	assert.EqualValues(t, 1, m.Value("panics_total")) //nolint:testifylint // exact by intent
}
