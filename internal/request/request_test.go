package request

import (
	"context"
	"testing"

	"cairnfront/internal/fairshare"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReasonTextsAreThePublishedLabels checks the label texts that operators read in the counter dump.
func TestReasonTextsAreThePublishedLabels(t *testing.T) {
	reasons := []string{
		"", "attempt_completed", "routing_decision", "duplicate_request_id", "deadline_exceeded", "malformed_request",
		"body_memory_exhausted", "too_many_requests", "too_many_streams", "queue_full",
		"panic", "shutdown", "output_backlog", "read_late",
	}
	for i, want := range reasons {
		assert.Equal(t, want, Reason(i).String())
	}
	assert.Len(t, reasonTexts, len(reasons))
	assert.Equal(t, "client_cancelled", CancelledByClient.String())
	assert.Equal(t, "connection_closed", ConnectionEnded.String())
	assert.Len(t, cancelReasonTexts, 2)
	for i, want := range []string{"completed", "rejected", "aborted"} {
		assert.Equal(t, want, Result(i).String())
	}
}

// A client disconnects while its request is queued or being sent. The cancellation must be visible to every goroutine
// with a reference to the request.
func TestCancelIsVisibleToAllGoroutines(t *testing.T) {
	r := &Request{}
	assert.False(t, r.Cancelled())
	r.Cancel()
	assert.True(t, r.Cancelled())
}

// expired returns a context that is done, with which an allocation does not wait.
func expired(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// Guards against bodies that use more memory than the process may use, and against a body that is freed twice, after
// which the budget counts too little. Allocated bytes must be limited and returned once and in full, and a wait for
// them must end with its context.
func TestBodyBudgetBoundsBytesUntilFree(t *testing.T) {
	budget := NewBodyBudget(1000)
	body := budget.TryAllocateResponse(nil, 90) // small responses may use 150
	require.NotNil(t, body)
	assert.Equal(t, 90, body.Len())
	assert.EqualValues(t, 90, budget.UsedBytes())
	assert.Nil(t, budget.TryAllocateResponse(nil, 61))
	body.Bytes = body.Bytes[:10]
	body.Free()
	body.Free()
	assert.Zero(t, budget.UsedBytes(), "all bytes of the body are returned, and only once")
	assert.NotNil(t, budget.TryAllocateResponse(nil, 150))
	_, err := budget.AllocateResponse(expired(t), nil, 1)
	require.ErrorIs(t, err, context.Canceled)
	_, err = budget.AllocateRequest(t.Context(), nil, 101)
	assert.ErrorIs(t, err, fairshare.ErrTooLarge)
}

// A body is needed while the memory for bodies is used up. A caller that may wait must receive memory once another body
// is freed.
func TestAllocateWaitsForRoom(t *testing.T) {
	budget := NewBodyBudget(1000)
	first := budget.TryAllocateResponse(nil, 150)
	allocated := make(chan *Body)
	go func() {
		body, err := budget.AllocateResponse(t.Context(), nil, 50)
		assert.NoError(t, err)
		allocated <- body
	}()
	first.Free()
	assert.Equal(t, 50, (<-allocated).Len())
}

// Guards against a large body of each of many clients holding up the small ones of others, and against requests that
// leave no room for the responses that they need to complete.
func TestKindsOfBodiesDoNotHoldUpEachOther(t *testing.T) {
	budget := NewBodyBudget(1 << 20)
	for {
		if body := budget.TryAllocateResponse(&Share{}, 100<<10); body == nil {
			break
		}
	}
	for err := error(nil); err == nil; {
		_, err = budget.AllocateRequest(expired(t), &Share{}, 50<<10)
	}
	assert.True(t, budget.UsedOver(0.9))
	small, err := budget.AllocateRequest(expired(t), &Share{}, 100)
	require.NoError(t, err)
	assert.NotNil(t, budget.TryAllocateResponse(&Share{}, 100))
	small.Free()
}

// Guards against memory that the budget counts as free while it is still in use, and against a body whose bytes change
// while they are written. A buffer must return to the budget with the last of Free and Release, and be used again only
// then.
func TestHeldBodyStaysInTheBudget(t *testing.T) {
	budget := NewBodyBudget(1 << 20)
	body := budget.TryAllocateResponse(&Share{}, 20_000)
	bytes := body.Bytes
	require.True(t, body.Hold())
	body.Free()
	assert.False(t, body.Hold(), "a freed body is not begun to be used")
	assert.EqualValues(t, 24<<10, budget.UsedBytes())
	other := budget.TryAllocateResponse(&Share{}, 20_000)
	assert.NotSame(t, &bytes[0], &other.Bytes[0])
	body.Release()
	assert.EqualValues(t, 24<<10, budget.UsedBytes())
	assert.Nil(t, body.Bytes)
	again := budget.TryAllocateResponse(&Share{}, 17_000)
	assert.Same(t, &bytes[0], &again.Bytes[0], "the buffer is used again")
}

// Guards against an edge cache whose stored copies change: it stores the bytes of bodies that it has freed.
func TestBytesOfABodyWithoutAShareAreNotUsedAgain(t *testing.T) {
	budget := NewBodyBudget(1 << 20)
	body := budget.TryAllocateResponse(nil, 20_000)
	stored := body.Bytes
	body.Free()
	assert.NotSame(t, &stored[0], &budget.TryAllocateResponse(nil, 20_000).Bytes[0])
	assert.NotSame(t, &stored[0], &budget.TryAllocateResponse(&Share{}, 20_000).Bytes[0])
}

// Guards against idle buffers that exceed the budget together with the bodies in use.
func TestIdleBuffersStayWithinTheBudget(t *testing.T) {
	budget := NewBodyBudget(1 << 20)
	for _, size := range []int{200_000, 100_000, 60_000, 20_000, 200_000} {
		var bodies []*Body
		allocate := func() *Body { return budget.TryAllocateResponse(&Share{}, size) }
		for body := allocate(); body != nil; body = allocate() {
			bodies = append(bodies, body)
		}
		require.NotEmpty(t, bodies)
		assert.LessOrEqual(t, budget.idle.idleBytes+budget.UsedBytes(), budget.SizeBytes())
		for _, body := range bodies {
			body.Free()
		}
		assert.LessOrEqual(t, budget.idle.idleBytes, budget.SizeBytes())
	}
	budget.TrimIdle()
	budget.TryAllocateResponse(&Share{}, 200_000).Free()
	budget.TrimIdle()
	assert.LessOrEqual(t, budget.idle.idleBytes, int64(240<<10), "only what was used since the last call stays")
	budget.TrimIdle()
	assert.Zero(t, budget.idle.idleBytes)
}

// A request has no body, or one that counts against no budget. Freeing it must do nothing.
func TestFreeOfNilAndOfBodyWithoutBudget(t *testing.T) {
	var none *Body
	none.Free()
	assert.Zero(t, none.Len())
	literal := &Body{Bytes: []byte("abc")}
	literal.Free()
	assert.Equal(t, 3, literal.Len())
}
