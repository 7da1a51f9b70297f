package request

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// BodyBudget bounds the bytes of all bodies that are held in memory. Its methods may be called by any goroutine.
type BodyBudget struct {
	sem  *semaphore.Weighted
	used atomic.Int64
}

// NewBodyBudget returns a budget of sizeBytes.
func NewBodyBudget(sizeBytes int64) *BodyBudget {
	return &BodyBudget{sem: semaphore.NewWeighted(sizeBytes)}
}

// UsedBytes returns how many bytes are taken.
func (b *BodyBudget) UsedBytes() int64 { return b.used.Load() }

// TryAllocate returns a body of n bytes, or nil where the budget has no room for it now.
func (b *BodyBudget) TryAllocate(n int) *Body {
	if !b.sem.TryAcquire(int64(n)) {
		return nil
	}
	return b.newBody(n)
}

// Allocate returns a body of n bytes as soon as the budget has room for it. The error is that of the context.
//
// It guards against a large body that waits while smaller ones take each byte that becomes free; that would show as
// large requests alone that time out. Callers are served in their order, TryAllocate included.
func (b *BodyBudget) Allocate(ctx context.Context, n int) (*Body, error) {
	if err := b.sem.Acquire(ctx, int64(n)); err != nil {
		return nil, err
	}
	return b.newBody(n), nil
}

// newBody makes a body whose bytes the semaphore has granted.
func (b *BodyBudget) newBody(n int) *Body {
	b.used.Add(int64(n))
	return &Body{
		Bytes:     make([]byte, n),
		budget:    b,
		sizeBytes: int64(n),
	}
}

// Body is the body of a request or response. One made by a BodyBudget counts there until Free, whatever Bytes is set
// to; one made as a literal counts nowhere.
type Body struct {
	Bytes []byte

	budget    *BodyBudget
	sizeBytes int64
	freed     atomic.Bool
}

// Free gives the bytes back to the budget. Further calls have no effect, nor has a call on nil.
func (b *Body) Free() {
	if b == nil || b.budget == nil || !b.freed.CompareAndSwap(false, true) {
		return
	}
	b.budget.used.Add(-b.sizeBytes)
	b.budget.sem.Release(b.sizeBytes)
}

// Len returns the number of bytes, 0 for nil.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return len(b.Bytes)
}

// AllocatedBytes returns how many bytes the body takes of its budget, 0 for nil.
func (b *Body) AllocatedBytes() int {
	if b == nil {
		return 0
	}
	return int(b.sizeBytes)
}
