// Package txn holds what the stages hand to each other: a txn as it was taken in, and its answer.
package request

import (
	"context"
	"sync/atomic"

	"cairnfront/routing"

	"golang.org/x/sync/semaphore"
)

// Txn is a client's request, as it was written. What is text goes on unchanged.
type Txn struct {
	ID     string
	Stream uint32
	Rule   int
	Name   string // of the remap rule
	Object string
	Part   string
	PartNo int
	Group  int
	KB     float64
	Key    string // idempotency key, in keyed remap rules
	Tag    string // of the copy that the client holds
	Body   *Body
	Came   float64 // Unix seconds at which its last byte was read
	Limit  float64 // Unix seconds at which the client gives up
	To     Outlet

	left uint32 // 1 once nobody waits; a plain number, as a txn is copied while it is read in
}

// Leave says that the client has closed its connection or given the txn up. It may be said by any goroutine and counts
// at once, before the news has passed the queue of the route stage: no attempt begins after it.
func (t *Txn) Leave() { atomic.StoreUint32(&t.left, 1) }

// Left says whether nobody waits for the txn any more.
func (t *Txn) Left() bool { return atomic.LoadUint32(&t.left) == 1 }

// Outlet is where a txn's answer goes. It says whether the answer was taken: only the first one is.
type Outlet interface {
	Answer(t *Txn, a Answer) bool
}

// Verdict is the kind of a final answer.
type Verdict int

// The three final answers.
const (
	Completed Verdict = iota
	Rejected
	Aborted
)

func (v Verdict) String() string { return [...]string{"completed", "rejected", "aborted"}[v] }

// Answer is a final answer. Reason is for the counters.
type Answer struct {
	Verdict Verdict
	Reason  string
	Error   string  // told to the client where it was at fault
	Again   float64 // seconds the client should stay away
	Tag     string
	Same    bool // the client's copy is the one
	Body    *Body
}

// End is how a hop ended, as the connection saw it.
type End struct {
	Code   routing.AttemptResult
	Remark routing.ResultDetail
	Load   []routing.LoadMetric
	Tag    string
	Dated  int64 // Unix ms at which the origin gave the copy out, where told
	Group  int   // of the object, and one more; 0 where nobody told
	Same   bool
	Body   *Body
}

// Budget bounds the bytes of all bodies that are gathered.
type Budget struct {
	sem  *semaphore.Weighted
	used atomic.Int64
}

// NewBudget makes a budget of so many bytes.
func NewBudget(size int64) *Budget { return &Budget{sem: semaphore.NewWeighted(size)} }

// Used is how much of it is taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Try makes a body of n bytes, or returns nil where the budget has no room.
func (b *Budget) Try(n int) *Body {
	if !b.sem.TryAcquire(int64(n)) {
		return nil
	}
	return b.body(n)
}

// Wait makes a body of n bytes as soon as the budget has room.
func (b *Budget) Wait(ctx context.Context, n int) (*Body, error) {
	if err := b.sem.Acquire(ctx, int64(n)); err != nil {
		return nil, err
	}
	return b.body(n), nil
}

func (b *Budget) body(n int) *Body {
	b.used.Add(int64(n))
	return &Body{Bytes: make([]byte, n), budget: b, size: int64(n)}
}

// Body is a gathered body. It counts in its budget until it is freed.
type Body struct {
	Bytes  []byte
	budget *Budget
	size   int64
	freed  atomic.Bool
}

// Free gives its bytes back to the budget; more calls do nothing, nor does one on nil.
func (b *Body) Free() {
	if b != nil && b.budget != nil && b.freed.CompareAndSwap(false, true) {
		b.budget.used.Add(-b.size)
		b.budget.sem.Release(b.size)
	}
}

// Len is its length; that of nil is 0.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return len(b.Bytes)
}
