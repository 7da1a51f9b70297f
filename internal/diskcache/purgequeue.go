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

func (q *purgeQueue) init() {
	q.ready = make(chan struct{}, 1)
	q.written.L = &q.mu
}

func (q *purgeQueue) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// enqueue appends records to the queue. If the queue overflows, it is emptied and the complete log is rewritten.
func (q *purgeQueue) enqueue(records []validity.Record) {
	if len(records) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, records...)
	if len(q.pending) > maxPendingRecords {
		q.pending, q.rewriteLog = nil, true
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *purgeQueue) requestRewrite() {
	q.mu.Lock()
	q.rewriteLog = true
	q.mu.Unlock()
}

// flush waits until every record has been written, or the context is cancelled.
func (q *purgeQueue) flush(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.written.Broadcast()
	})
	defer stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	for (len(q.pending) > 0 || q.rewriteLog || q.writing) && ctx.Err() == nil {
		q.written.Wait()
	}
	return ctx.Err()
}

// take removes all queued records for a write.
func (q *purgeQueue) take() (records []validity.Record, rewrite bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	records, rewrite = q.pending, q.rewriteLog
	q.pending, q.rewriteLog, q.writing = nil, false, true
	return records, rewrite
}

// finish ends a write. If it failed, its records return to the front of the queue. It reports whether the queue is
// empty.
func (q *purgeQueue) finish(records []validity.Record, rewrite bool, err error) (empty bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
	if err != nil {
		q.pending = append(records, q.pending...)
		q.rewriteLog = q.rewriteLog || rewrite
		return false
	}
	q.written.Broadcast()
	return len(q.pending) == 0 && !q.rewriteLog
}
