package diskcache

import (
	"context"
	"sync"

	"cairnfront/internal/diskcache/validity"
)

// maxPendingRecords bounds the purge records that wait for the disk, validity.RecordSize bytes each.
const maxPendingRecords = 65536

// purgeQueue is the queue of purge records that wait for the disk.
type purgeQueue struct {
	mu         sync.Mutex
	pending    []validity.Record
	rewriteLog bool          // too many waited, or the log has grown: the complete log is written again
	writing    bool          // a write is under way
	ready      chan struct{} // wakes the writer
	written    sync.Cond     // of mu
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

// enqueue appends records to the queue. A full queue is replaced by a rewrite of the complete log.
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

// flush waits until every record is on the disk, or the context ends.
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

// take empties the queue for a write.
func (w *purgeQueue) take() (records []validity.Record, rewrite bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, rewrite = w.pending, w.rewriteLog
	w.pending, w.rewriteLog, w.writing = nil, false, true
	return records, rewrite
}

// finish ends a write; after an error its records go back to the front of the queue. It reports whether the queue
// is empty.
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
