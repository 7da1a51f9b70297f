package netconn

import (
	"bytes"
	"errors"
	"flag"
	"net"
	"os"
	"regexp"
	"testing"

	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// TestEndedConnectionLogLines compares the log line and the counters of an ended connection with the golden file, for
// each end code. The time and the duration are masked.
func TestEndedConnectionLogLines(t *testing.T) {
	var log bytes.Buffer
	metrics := telemetry.New(&log, "n1")
	for code := NoEndCode + 1; code <= SocketError; code++ {
		near, _ := net.Pipe()
		c := New(near, 8, 0)
		metrics.ConnectionOpened(telemetry.SideEndpoint)
		c.Close(code, errors.New("cause"))
		c.LogEnd(metrics, telemetry.Remote{Side: telemetry.SideEndpoint, Endpoint: "m", Address: "a:1"})
	}
	metrics.Dump(&log)
	masked := regexp.MustCompile(`(time|duration_seconds)=\S+`).ReplaceAll(log.Bytes(), []byte("$1=*"))
	masked = regexp.MustCompile(`counter process_\S+ \d+\n`).ReplaceAll(masked, nil)
	const file = "testdata/ended-connections.golden"
	if *update {
		require.NoError(t, os.WriteFile(file, masked, 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(masked))
}
