package request

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// BodyBudget limits the bytes of all bodies in memory. Its methods are safe for concurrent use.
type BodyBudget struct {
	sem  *semaphore.Weighted
	used atomic.Int64
}

// NewBodyBudget returns a budget of sizeBytes.
func NewBodyBudget(sizeBytes int64) *BodyBudget {
	return &BodyBudget{sem: semaphore.NewWeighted(sizeBytes)}
}

// UsedBytes returns the number of allocated bytes.
func (b *BodyBudget) UsedBytes() int64 { return b.used.Load() }

// TryAllocate returns a body of n bytes, or nil if the budget currently has no room for it.
func (b *BodyBudget) TryAllocate(n int) *Body {
	if !b.sem.TryAcquire(int64(n)) {
		return nil
	}
	return b.newBody(n)
}

// Allocate waits until the budget has room and returns a body of n bytes. It fails only if the context is done, with
// the context's error.
//
// It guards against starvation of large bodies by smaller ones that take each byte that becomes free; that would show
// as timeouts of large requests only. Callers are served in order, and TryAllocate fails while one is waiting.
func (b *BodyBudget) Allocate(ctx context.Context, n int) (*Body, error) {
	if err := b.sem.Acquire(ctx, int64(n)); err != nil {
		return nil, err
	}
	return b.newBody(n), nil
}

// newBody returns a body whose bytes the semaphore has granted.
func (b *BodyBudget) newBody(n int) *Body {
	b.used.Add(int64(n))
	return &Body{
		Bytes:     make([]byte, n),
		budget:    b,
		sizeBytes: int64(n),
	}
}

// Body is the body of a request or response. A body from a BodyBudget counts against it until Free, even if Bytes is
// changed; a body made as a literal counts against no budget.
type Body struct {
	Bytes []byte

	budget    *BodyBudget
	sizeBytes int64
	freed     atomic.Bool
}

// Free returns the bytes to the budget. Further calls have no effect, nor has a call on nil.
func (b *Body) Free() {
	if b == nil || b.budget == nil || !b.freed.CompareAndSwap(false, true) {
		return
	}
	b.budget.used.Add(-b.sizeBytes)
	b.budget.sem.Release(b.sizeBytes)
}

// Len returns the length of the body, or 0 for nil.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return len(b.Bytes)
}

// AllocatedBytes returns how many bytes the body uses of its budget, or 0 for nil.
func (b *Body) AllocatedBytes() int {
	if b == nil {
		return 0
	}
	return int(b.sizeBytes)
}
