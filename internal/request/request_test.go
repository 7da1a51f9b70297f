package request

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReasonTextsAreThePublishedLabels checks the label texts that operators read in the counter dump.
func TestReasonTextsAreThePublishedLabels(t *testing.T) {
	reasons := []string{
		"", "attempt_completed", "routing_decision", "duplicate_request_id", "deadline_exceeded", "malformed_request",
		"body_memory_exhausted", "too_many_requests", "too_many_streams", "queue_full",
		"panic", "shutdown",
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

// Guards against bodies that use more memory than the process may use, and against a body that is freed twice, after
// which the budget counts too little. Allocated bytes must be limited and returned once and in full, and a wait for
// them must end with its context.
func TestBodyBudgetBoundsBytesUntilFree(t *testing.T) {
	budget := NewBodyBudget(100)
	body := budget.TryAllocate(60)
	require.NotNil(t, body)
	assert.Equal(t, 60, body.Len())
	assert.EqualValues(t, 60, budget.UsedBytes())
	assert.Nil(t, budget.TryAllocate(41))
	body.Bytes = body.Bytes[:10]
	body.Free()
	body.Free()
	assert.Zero(t, budget.UsedBytes(), "all bytes of the body are returned, and only once")
	assert.NotNil(t, budget.TryAllocate(100))
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := budget.Allocate(canceled, 1)
	assert.ErrorIs(t, err, context.Canceled)
}

// A body is needed while the memory for bodies is used up. A caller that may wait must receive memory once another body
// is freed.
func TestAllocateWaitsForRoom(t *testing.T) {
	budget := NewBodyBudget(100)
	first := budget.TryAllocate(100)
	allocated := make(chan *Body)
	go func() {
		body, err := budget.Allocate(t.Context(), 50)
		assert.NoError(t, err)
		allocated <- body
	}()
	first.Free()
	assert.Equal(t, 50, (<-allocated).Len())
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
