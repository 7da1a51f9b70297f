package diskcache

import (
	"context"
	"sync"

	"cairnfront/internal/diskcache/validity"
)

// maxPendingRecords is the maximum length of the purge queue; each record takes validity.RecordSize bytes.
const maxPendingRecords = 65536

// purgeQueue is a bounded queue of purge records to be written to the purge log.
type purgeQueue struct {
	mu         sync.Mutex
	pending    []validity.Record
	rewriteLog bool          // the queue overflowed or the log is long: the next write replaces the complete log
	writing    bool          // a write is in progress
	ready      chan struct{} // wakes the goroutine that writes the log
	written    sync.Cond     // uses mu; signalled after a successful write
}

func (w *purgeQueue) init() {
	w.ready = make(chan struct{}, 1)
	w.written.L = &w.mu
}

func (w *purgeQueue) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// enqueue appends records to the queue. If the queue overflows, it is emptied and the complete log is rewritten.
func (w *purgeQueue) enqueue(records []validity.Record) {
	if len(records) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, records...)
	if len(w.pending) > maxPendingRecords {
		w.pending, w.rewriteLog = nil, true
	}
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

func (w *purgeQueue) requestRewrite() {
	w.mu.Lock()
	w.rewriteLog = true
	w.mu.Unlock()
}

// flush waits until every record has been written, or the context is cancelled.
func (w *purgeQueue) flush(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.written.Broadcast()
	})
	defer stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for (len(w.pending) > 0 || w.rewriteLog || w.writing) && ctx.Err() == nil {
		w.written.Wait()
	}
	return ctx.Err()
}

// take removes all queued records for a write.
func (w *purgeQueue) take() (records []validity.Record, rewrite bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, rewrite = w.pending, w.rewriteLog
	w.pending, w.rewriteLog, w.writing = nil, false, true
	return records, rewrite
}

// finish ends a write. If it failed, its records return to the front of the queue. It reports whether the queue is
// empty.
func (w *purgeQueue) finish(records []validity.Record, rewrite bool, err error) (empty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if err != nil {
		w.pending = append(records, w.pending...)
		w.rewriteLog = w.rewriteLog || rewrite
		return false
	}
	w.written.Broadcast()
	return len(w.pending) == 0 && !w.rewriteLog
}
