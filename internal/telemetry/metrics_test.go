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

// label is a label of tests.
type label string

func (l label) String() string { return string(l) }

// A counter with labels has a value for each combination of them. An update under the wrong one makes the figures of an
// incident wrong. Each value and each total must be the sum of its updates.
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

// Scripts compare dumps line by line. An order that changes from dump to dump makes every line differ. The dump must be
// sorted, with one line a value.
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

// A label's value with a quote or a line break would break the line of the dump in two. Such values must be escaped,
// and the series must be found by its escaped name.
func TestLabelValuesAreEscaped(t *testing.T) {
	series := CacheRequests.With("a \"b\" \\ c\nd")
	assert.Equal(t, `cache_requests_total{class="a \"b\" \\ c\nd"}`, series.String())
	m := New(&bytes.Buffer{}, "")
	m.Inc(series)
	assert.EqualValues(t, 1, m.Value(series.String())) //nolint:testifylint // exact by intent
}

// TestValuesOfUnknownSeriesAreNaN: a misspelt name in a test does not pass for a counter that never counted.
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

// TestZeroSeriesHasNoName: a series that no metric made has no name, and its use does not panic.
func TestZeroSeriesHasNoName(t *testing.T) {
	assert.Empty(t, Counter{}.String())
	noReason := ConnectionsClosed.With(SideClient, nil)
	assert.Equal(t, `connections_closed_total{side="client",reason=""}`, noReason.String())
}

// TestConnectionEndedWritesOneLine holds the log line of a closed connection.
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

// TestLinesNameTheProcess holds the key by which each line names its process. Lines of an edge cache that name it as a
// router send the reader of the logs to the wrong machine; named by the key endpoint they would have that key twice.
func TestLinesNameTheProcess(t *testing.T) {
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

// TestRecoveredPanicIsCountedAndLogged holds the log line of a recovered panic.
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
