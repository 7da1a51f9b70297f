package telemetry

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"sort"
	"strings"
)

// Dump writes all counters, one a line, in the order of their names, together with what the process holds now. It
// collects garbage first. No counter waits for the writer, which may be slow.
func (m *Metrics) Dump(w io.Writer) {
	lines := append(m.lines(), processLines()...)
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "")) // a dump that can't be written is lost: there is no one to tell
}

// lines returns the line of each counter.
func (m *Metrics) lines() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := make([]string, 0, len(m.values))
	for c, value := range m.values {
		lines = append(lines, line(c, value))
	}
	return lines
}

// processLines returns the lines of what the process holds now. The heap is what is held after a collection.
func processLines() []string {
	descriptors, _ := os.ReadDir("/proc/self/fd")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return []string{
		line(ProcessDescriptors, int64(len(descriptors))),
		line(ProcessGoroutines, int64(runtime.NumGoroutine())),
		line(ProcessHeapBytes, int64(memory.HeapAlloc)),
	}
}

// line formats a counter as the dump writes it.
func line(c Counter, value int64) string { return fmt.Sprintf("counter %s %d\n", c, value) }
