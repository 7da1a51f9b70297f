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
type Book struct {
	Log *slog.Logger

	mu     sync.Mutex
	counts map[string]int64
}

// New starts an empty book that logs to out.
func New(out io.Writer, name string) *Book {
	log := slog.New(slog.NewTextHandler(out, nil))
	if name != "" {
		log = log.With("router", name)
	}
	return &Book{Log: log, counts: map[string]int64{}}
}

// Add counts n more under a name.
func (b *Book) Add(name string, n int64) {
	b.mu.Lock()
	b.counts[name] += n
	b.mu.Unlock()
}

// Count reads a counter.
func (b *Book) Count(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[name]
}

// Taken, Answered and Left follow a txn: taken = answered + left + open at any time.
func (b *Book) Taken(rule string) {
	b.mu.Lock()
	b.counts["taken"]++
	b.counts["taken."+rule]++
	b.counts["open"]++
	b.mu.Unlock()
}

// Answered counts a final answer by remap rule, code and reason.
func (b *Book) Answered(rule, code, reason string) { b.ended("answered", rule, code+"."+reason) }

// Left counts a txn whose client went away before its answer.
func (b *Book) Left(rule, reason string) { b.ended("left", rule, reason) }

func (b *Book) ended(how, rule, what string) {
	b.mu.Lock()
	b.counts[how]++
	b.counts[how+"."+rule+"."+what]++
	b.counts["open"]--
	b.mu.Unlock()
}

// Ended is how a connection ended. Side is client, member or board.
type Ended struct {
	Side, Peer, Code string
	Err              error
	Since            time.Time
	In, Out          int64
}

// Ended counts an ended connection and leaves its one log line.
func (b *Book) Ended(e Ended) {
	b.mu.Lock()
	b.counts["conn."+e.Side+".ended."+e.Code]++
	b.counts["conn."+e.Side+".open"]--
	b.counts["bytes."+e.Side+".in"] += e.In
	b.counts["bytes."+e.Side+".out"] += e.Out
	b.mu.Unlock()
	args := []any{"side", e.Side, "code", e.Code, "peer", e.Peer, "lasted_s", time.Since(e.Since).Seconds(),
		"in", e.In, "out", e.Out}
	if e.Err != nil {
		args = append(args, "err", e.Err.Error())
	}
	b.Log.Info("connection ended", args...)
}

// Began counts a connection that came up or is being made.
func (b *Book) Began(side string) {
	b.Add("conn."+side+".begun", 1)
	b.Add("conn."+side+".open", 1)
}

// Most keeps the largest value seen under a name.
func (b *Book) Most(name string, v int64) {
	b.mu.Lock()
	b.counts[name] = max(b.counts[name], v)
	b.mu.Unlock()
}

// Print writes all counters, one a line, in the order of their names. Nobody waits for the writer: it may be slow.
func (b *Book) Print(w io.Writer) {
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
