// Package book keeps the counters of what is taken in, sent and answered, and writes the log lines.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"
)

// Book is one router's counters and its log. Counters go by name; names are made of a stage, a remap rule and a
// code, set apart by dots.
type Metrics struct {
	Log *slog.Logger

	mu     sync.Mutex
	counts map[string]int64
}

// New starts an empty book that logs to out.
func New(out io.Writer, name string) *Metrics {
	log := slog.New(slog.NewTextHandler(out, nil))
	if name != "" {
		log = log.With("router", name)
	}
	return &Metrics{Log: log, counts: map[string]int64{}}
}

// Add counts n more under a name.
func (b *Metrics) Add(name string, n int64) {
	b.mu.Lock()
	b.counts[name] += n
	b.mu.Unlock()
}

// Count reads a counter.
func (b *Metrics) Value(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[name]
}

// Taken, Answered and Left follow a txn: taken = answered + left + open at any time.
func (b *Metrics) RequestReceived(rule string) {
	b.mu.Lock()
	b.counts["taken"]++
	b.counts["taken."+rule]++
	b.counts["open"]++
	b.mu.Unlock()
}

// Answered counts a final answer by remap rule, code and reason.
func (b *Metrics) RequestAnswered(rule, code, reason string) {
	b.requestEnded("answered", rule, code+"."+reason)
}

// Left counts a txn whose client went away before its answer.
func (b *Metrics) RequestCancelled(rule, reason string) { b.requestEnded("left", rule, reason) }

func (b *Metrics) requestEnded(how, rule, what string) {
	b.mu.Lock()
	b.counts[how]++
	b.counts[how+"."+rule+"."+what]++
	b.counts["open"]--
	b.mu.Unlock()
}

// Ended is how a connection ended. Side is client, member or board.
type ConnectionEnd struct {
	Side, RemoteAddr, Code string
	Err                    error
	OpenedAt               time.Time
	BytesIn, BytesOut      int64
}

// Ended counts an ended connection and leaves its one log line.
func (b *Metrics) ConnectionEnded(e ConnectionEnd) {
	b.mu.Lock()
	b.counts["conn."+e.Side+".ended."+e.Code]++
	b.counts["conn."+e.Side+".open"]--
	b.counts["bytes."+e.Side+".in"] += e.BytesIn
	b.counts["bytes."+e.Side+".out"] += e.BytesOut
	b.mu.Unlock()
	args := []any{"side", e.Side, "code", e.Code, "peer", e.RemoteAddr, "lasted_s", time.Since(e.OpenedAt).Seconds(),
		"in", e.BytesIn, "out", e.BytesOut}
	if e.Err != nil {
		args = append(args, "err", e.Err.Error())
	}
	b.Log.Info("connection ended", args...)
}

// Began counts a connection that came up or is being made.
func (b *Metrics) ConnectionOpened(side string) {
	b.Add("conn."+side+".begun", 1)
	b.Add("conn."+side+".open", 1)
}

// Most keeps the largest value seen under a name.
func (b *Metrics) Max(name string, v int64) {
	b.mu.Lock()
	b.counts[name] = max(b.counts[name], v)
	b.mu.Unlock()
}

// Print writes all counters, one a line, in the order of their names. Nobody waits for the writer: it may be slow.
func (b *Metrics) Dump(w io.Writer) {
	b.mu.Lock()
	lines := make([]string, 0, len(b.counts))
	for name, n := range b.counts {
		lines = append(lines, fmt.Sprintf("counter %s %d\n", name, n))
	}
	b.mu.Unlock()
	files, _ := os.ReadDir("/proc/self/fd")
	var mem runtime.MemStats
	runtime.GC() // for what is held, not what was
	runtime.ReadMemStats(&mem)
	lines = append(lines, fmt.Sprintf("counter process.descriptors %d\n", len(files)),
		fmt.Sprintf("counter process.goroutines %d\n", runtime.NumGoroutine()),
		fmt.Sprintf("counter process.heap-bytes %d\n", mem.HeapAlloc))
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}
