// Package txn holds what the stages hand to each other: a txn as it was taken in, and its answer.
package request

import (
	"context"
	"sync/atomic"

	"cairnfront/routing"

	"golang.org/x/sync/semaphore"
)

// Txn is a client's request, as it was written. What is text goes on unchanged.
type Request struct {
	ID             string
	StreamID       uint32
	Class          int
	ClassName      string // of the remap rule
	Object         string
	Part           string
	PartNumber     int
	PurgeGroup     int
	SizeKB         float64
	IdempotencyKey string // idempotency key, in keyed remap rules
	ETag           string // of the copy that the client holds
	Body           *Body
	ArrivedAt      float64 // Unix seconds at which its last byte was read
	Deadline       float64 // Unix seconds at which the client gives up
	ResponseWriter ResponseWriter

	cancelled uint32 // 1 once nobody waits; a plain number, as a txn is copied while it is read in
}

// Leave says that the client has closed its connection or given the txn up. It may be said by any goroutine and counts
// at once, before the news has passed the queue of the route stage: no attempt begins after it.
func (t *Request) Cancel() { atomic.StoreUint32(&t.cancelled, 1) }

// Left says whether nobody waits for the txn any more.
func (t *Request) Cancelled() bool { return atomic.LoadUint32(&t.cancelled) == 1 }

// Outlet is where a txn's answer goes. It says whether the answer was taken: only the first one is.
type ResponseWriter interface {
	Respond(t *Request, a Response) bool
}

// Verdict is the kind of a final answer.
type Result int

// The three final answers.
const (
	Completed Result = iota
	Rejected
	Aborted
)

func (v Result) String() string { return [...]string{"completed", "rejected", "aborted"}[v] }

// Answer is a final answer. Reason is for the counters.
type Response struct {
	Result            Result
	Reason            string
	ErrorText         string  // told to the client where it was at fault
	RetryAfterSeconds float64 // seconds the client should stay away
	ETag              string
	NotModified       bool // the client's copy is the one
	Body              *Body
}

// End is how a hop ended, as the connection saw it.
type AttemptEnd struct {
	Code              routing.AttemptResult
	Remark            routing.ResultDetail
	LoadReport        []routing.LoadMetric
	ETag              string
	OriginTimeMillis  int64 // Unix ms at which the origin gave the copy out, where told
	PurgeGroupPlusOne int   // of the object, and one more; 0 where nobody told
	NotModified       bool
	Body              *Body
}

// Budget bounds the bytes of all bodies that are gathered.
type BodyBudget struct {
	sem  *semaphore.Weighted
	used atomic.Int64
}

// NewBudget makes a budget of so many bytes.
func NewBodyBudget(size int64) *BodyBudget { return &BodyBudget{sem: semaphore.NewWeighted(size)} }

// Used is how much of it is taken.
func (b *BodyBudget) UsedBytes() int64 { return b.used.Load() }

// Try makes a body of n bytes, or returns nil where the budget has no room.
func (b *BodyBudget) TryAllocate(n int) *Body {
	if !b.sem.TryAcquire(int64(n)) {
		return nil
	}
	return b.body(n)
}

// Wait makes a body of n bytes as soon as the budget has room.
func (b *BodyBudget) Allocate(ctx context.Context, n int) (*Body, error) {
	if err := b.sem.Acquire(ctx, int64(n)); err != nil {
		return nil, err
	}
	return b.body(n), nil
}

func (b *BodyBudget) body(n int) *Body {
	b.used.Add(int64(n))
	return &Body{Bytes: make([]byte, n), budget: b, size: int64(n)}
}

// Body is a gathered body. It counts in its budget until it is freed.
type Body struct {
	Bytes  []byte
	budget *BodyBudget
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
