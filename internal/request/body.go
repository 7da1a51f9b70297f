package request

import (
	"context"
	"slices"
	"sync/atomic"

	"cairnfront/internal/fairshare"
)

// maxSmallBytes is the size up to which a body counts as small.
const maxSmallBytes = 16 << 10

// bodyPool is one of the pools of a BodyBudget.
type bodyPool int

const (
	smallRequests bodyPool = iota
	largeRequests
	smallResponses
	largeResponses
	bodyPoolCount
)

// bodyPoolShares are the shares of the budget. Requests and responses have pools of their own: a request that holds its
// body needs room for that of its response to complete. Small and large bodies have pools of their own, so that many
// clients with one large body each do not hold up others with a small one.
var bodyPoolShares = [bodyPoolCount]float64{
	smallRequests: 0.1, largeRequests: 0.3, smallResponses: 0.15, largeResponses: 0.45,
}

// Share is what one client connection holds of the resources that all connections share. Its zero value holds nothing.
type Share struct {
	places fairshare.Account // open requests
	bodies [bodyPoolCount]fairshare.Account
}

// PlacesAccount returns the account of open requests, nil for a nil share.
func (s *Share) PlacesAccount() *fairshare.Account {
	if s == nil {
		return nil
	}
	return &s.places
}

// bodiesAccount returns the account of a pool, nil for a nil share.
func (s *Share) bodiesAccount(pool bodyPool) *fairshare.Account {
	if s == nil {
		return nil
	}
	return &s.bodies[pool]
}

// BodyBudget limits the bytes of all bodies in memory. Its methods are safe for concurrent use.
type BodyBudget struct {
	pools [bodyPoolCount]*fairshare.Pool
	idle  *bufferCache
}

// NewBodyBudget returns a budget of sizeBytes.
func NewBodyBudget(sizeBytes int64) *BodyBudget {
	b := &BodyBudget{idle: newBufferCache()}
	for i, share := range bodyPoolShares {
		b.pools[i] = fairshare.New(int64(share * float64(sizeBytes)))
	}
	return b
}

// SizeBytes returns the size of the budget.
func (b *BodyBudget) SizeBytes() int64 {
	total := int64(0)
	for _, pool := range b.pools {
		total += pool.Size()
	}
	return total
}

// UsedBytes returns the number of allocated bytes.
func (b *BodyBudget) UsedBytes() int64 {
	total := int64(0)
	for _, pool := range b.pools {
		total += pool.Used()
	}
	return total
}

// UsedOver reports whether more than a share of any of the pools is in use.
func (b *BodyBudget) UsedOver(share float64) bool {
	return slices.ContainsFunc(b.pools[:], func(pool *fairshare.Pool) bool {
		return float64(pool.Used()) > share*float64(pool.Size())
	})
}

// AllocateRequest returns a body of n bytes for a request. It waits until the budget has room, and until the share of
// its connection has; a nil share is not limited. It fails with the context's error, or with fairshare.ErrTooLarge.
//
// It guards against starvation of large bodies by smaller ones that take each byte that becomes free; that would show
// as timeouts of large requests only. Callers within their share are served in order.
func (b *BodyBudget) AllocateRequest(ctx context.Context, share *Share, n int) (*Body, error) {
	return b.allocate(ctx, poolFor(smallRequests, largeRequests, n), share, n)
}

// AllocateResponse is like AllocateRequest, for the body of a response.
func (b *BodyBudget) AllocateResponse(ctx context.Context, share *Share, n int) (*Body, error) {
	return b.allocate(ctx, poolFor(smallResponses, largeResponses, n), share, n)
}

// TryAllocateRequest is like AllocateRequest, and returns nil in place of waiting.
func (b *BodyBudget) TryAllocateRequest(share *Share, n int) *Body {
	return b.tryAllocate(poolFor(smallRequests, largeRequests, n), share, n)
}

// Reservation is room in the budget for the body of a response that is expected. Its bytes count against the budget,
// and against the share of its connection, until Release.
type Reservation struct {
	pool     *fairshare.Pool
	account  *fairshare.Account
	bytes    int64
	released atomic.Bool
}

// ReserveResponse reserves room for the body of a response, or returns nil if there is none.
func (b *BodyBudget) ReserveResponse(share *Share, n int) *Reservation {
	pool := poolFor(smallResponses, largeResponses, n)
	r := &Reservation{pool: b.pools[pool], account: share.bodiesAccount(pool), bytes: int64(bufferSize(n))}
	if !r.pool.TryReserve(r.account, r.bytes) {
		return nil
	}
	return r
}

// Release returns the room. Further calls have no effect, nor has a call on nil.
func (r *Reservation) Release() {
	if r != nil && r.released.CompareAndSwap(false, true) {
		r.pool.Release(r.account, r.bytes)
	}
}

// TryAllocateResponse is like AllocateResponse, and returns nil in place of waiting.
func (b *BodyBudget) TryAllocateResponse(share *Share, n int) *Body {
	return b.tryAllocate(poolFor(smallResponses, largeResponses, n), share, n)
}

func (b *BodyBudget) tryAllocate(pool bodyPool, share *Share, n int) *Body {
	if !b.pools[pool].TryAcquire(share.bodiesAccount(pool), int64(bufferSize(n))) {
		return nil
	}
	return b.newBody(pool, share, n)
}

// poolFor returns the pool for a body of n bytes.
func poolFor(small, large bodyPool, n int) bodyPool {
	if n <= maxSmallBytes {
		return small
	}
	return large
}

func (b *BodyBudget) allocate(ctx context.Context, pool bodyPool, share *Share, n int) (*Body, error) {
	if err := b.pools[pool].Acquire(ctx, share.bodiesAccount(pool), int64(bufferSize(n))); err != nil {
		return nil, err
	}
	return b.newBody(pool, share, n), nil
}

// newBody returns a body whose bytes the pool has granted. Its bytes may have any value.
func (b *BodyBudget) newBody(pool bodyPool, share *Share, n int) *Body {
	buffer := b.idle.take(n, b.SizeBytes()-b.UsedBytes())
	return &Body{Bytes: buffer[:n], buffer: buffer, budget: b, pool: pool, share: share}
}

// TrimIdle drops buffers that were not used since the last call. It is called at intervals of about a second.
func (b *BodyBudget) TrimIdle() { b.idle.trim() }

// OverShare reports whether the responses of a connection hold more than the share that they may have. It is false for
// a nil share.
func (b *BodyBudget) OverShare(share *Share) bool {
	return share != nil && (b.pools[smallResponses].OverShare(&share.bodies[smallResponses]) ||
		b.pools[largeResponses].OverShare(&share.bodies[largeResponses]))
}

// release returns the buffer of a body to the budget.
func (b *BodyBudget) release(body *Body) {
	size := int64(cap(body.buffer))
	if body.share != nil { // a body without a share may stay in use: an edge cache stores the bytes
		b.idle.put(body.buffer)
	}
	b.pools[body.pool].Release(body.share.bodiesAccount(body.pool), size)
	body.buffer, body.Bytes = nil, nil
}

// Body is the body of a request or response. A body from a BodyBudget counts against it until Free, even if Bytes is
// changed, and until each Hold has its Release. A body made as a literal counts against no budget.
//
// The owner frees a body; whoever reads it on another goroutine meanwhile holds it, as the buffer of a body with a
// share is used again for another body.
type Body struct {
	Bytes []byte

	buffer []byte // all of the allocated bytes; Bytes is a part of them
	budget *BodyBudget
	pool   bodyPool
	share  *Share       // of the connection that the body belongs to; nil if it belongs to none
	freed  atomic.Bool  // set by the first Free
	holds  atomic.Int32 // calls of Hold without a Release; releasedHolds once the buffer is returned
}

// releasedHolds is far below any number of holds.
const releasedHolds = -1 << 30

// Hold keeps the buffer of the body until Release, and reports whether it could: false after the body was freed.
func (b *Body) Hold() bool {
	if b == nil || b.budget == nil {
		return true
	}
	if b.holds.Add(1) <= 0 || b.freed.Load() {
		b.Release()
		return false
	}
	return true
}

// Release ends a Hold.
func (b *Body) Release() {
	if b != nil && b.budget != nil {
		b.holds.Add(-1)
		b.releaseIfUnused()
	}
}

// Free returns the bytes to the budget, once no Hold is left. Further calls have no effect, nor has a call on nil.
func (b *Body) Free() {
	if b == nil || b.budget == nil || !b.freed.CompareAndSwap(false, true) {
		return
	}
	b.releaseIfUnused()
}

func (b *Body) releaseIfUnused() {
	if b.freed.Load() && b.holds.CompareAndSwap(0, releasedHolds) {
		b.budget.release(b)
	}
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
	return cap(b.buffer)
}
