package request

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReasonTextsAreThePublishedLabels holds the texts that operators read in the dump of the counters.
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

// A client disconnects while its request is queued or being sent. Whoever looks at the request from then on sees that
// it was cancelled.
func TestCancelIsSeenByAllHolders(t *testing.T) {
	r := &Request{}
	assert.False(t, r.Cancelled())
	r.Cancel()
	assert.True(t, r.Cancelled())
}

// Bodies take more memory than the process may use, or one that is freed twice makes the budget count too little. Bytes
// are bounded, given back once and in full, and a wait for them ends with its context.
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
	assert.Zero(t, budget.UsedBytes(), "all of the body is given back, and once")
	assert.NotNil(t, budget.TryAllocate(100))
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := budget.Allocate(canceled, 1)
	assert.ErrorIs(t, err, context.Canceled)
}

// A body is needed while the memory for bodies is taken. A caller that may wait gets its memory once a body is freed.
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

// A request has no body, or one that no budget counts. Freeing it must do nothing.
func TestBodyOfNilAndOfALiteral(t *testing.T) {
	var none *Body
	none.Free()
	assert.Zero(t, none.Len())
	literal := &Body{Bytes: []byte("abc")}
	literal.Free()
	assert.Equal(t, 3, literal.Len())
}
