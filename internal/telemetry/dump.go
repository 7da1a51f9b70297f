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

// decimals is how many decimals a value that is no integer has in the dump. Such values are seconds.
const decimals = 6

// Dump writes all metrics that have a value, one a line, in the order of their names, together with what the process
// holds now. A line is "counter NAME VALUE" for metrics of every kind. NAME has the labels in the text form of
// Prometheus; VALUE is an integer, or a decimal number where the metric is in seconds. Dump collects garbage first.
// Nothing that counts waits for the writer, which may be slow.
func (m *Metrics) Dump(w io.Writer) {
	lines := append(m.lines(), processLines()...)
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "")) // there is nowhere to report a dump that can't be written
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

// processLines returns the lines of what the process holds now. The heap is what is held after a collection.
func processLines() []string {
	descriptors, _ := os.ReadDir("/proc/self/fd") // what could be listed is counted
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return []string{
		line(ProcessDescriptors.series, float64(len(descriptors))),
		line(ProcessGoroutines.series, float64(runtime.NumGoroutine())),
		line(ProcessHeapBytes.series, float64(memory.HeapAlloc)),
	}
}

// line formats a value as the dump writes it.
func line(s series, value float64) string {
	precision := decimals
	if value == math.Trunc(value) {
		precision = 0
	}
	return fmt.Sprintf("counter %s %s\n", s, strconv.FormatFloat(value, 'f', precision, 64))
}
