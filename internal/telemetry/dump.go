package telemetry

import (
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"sort"
	"strconv"
	"strings"
)

// decimals is the number of decimal places of non-integer values in the dump. Such values are in seconds.
const decimals = 6

// Dump writes all metrics that have a value, one per line and sorted by name, together with the current resource usage
// of the process. A line is "counter NAME VALUE" for metrics of every kind. NAME includes the labels in the text format
// of Prometheus; VALUE is an integer or, if a metric in seconds is not at a full second, a decimal number. Dump runs a
// garbage collection first. It holds no lock while it writes, so a slow writer does not block updates of metrics.
func (m *Metrics) Dump(w io.Writer) {
	lines := append(m.lines(), processLines()...)
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "")) // there is no place to report a write error
}

// lines returns the line of each metric that has a value.
func (m *Metrics) lines() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := make([]string, 0, len(m.values))
	for s, value := range m.values {
		lines = append(lines, line(s, value))
	}
	return lines
}

// processLines returns the lines of the process's resource usage. The heap is measured after a garbage collection.
func processLines() []string {
	descriptors, _ := os.ReadDir("/proc/self/fd") // after an error, the entries read so far are counted
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return []string{
		line(ProcessDescriptors.series, float64(len(descriptors))),
		line(ProcessGoroutines.series, float64(runtime.NumGoroutine())),
		line(ProcessHeapBytes.series, float64(memory.HeapAlloc)),
	}
}

// line formats a series and its value as a line of the dump.
func line(s series, value float64) string {
	precision := decimals
	if value == math.Trunc(value) {
		precision = 0
	}
	return fmt.Sprintf("counter %s %s\n", s, strconv.FormatFloat(value, 'f', precision, 64))
}
