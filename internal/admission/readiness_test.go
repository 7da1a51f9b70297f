package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestReadyUntilDraining(t *testing.T) {
	c := New(192, 1024)
	assert.False(t, c.Ready())
	c.SetReady()
	assert.True(t, c.Ready())
	c.StartDraining()
	assert.False(t, c.Ready())
	assert.True(t, c.Draining())
}

func TestWaitDrainedWaitsForOpenRequests(t *testing.T) {
	c := New(192, 1024)
	c.WaitDrained(t.Context(), 0, time.Hour)
	c.CountRequest()
	done := make(chan bool)
	go func() {
		c.WaitDrained(t.Context(), 0, time.Hour)
		close(done)
	}()
	assert.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.drained != nil
	}, time.Minute, time.Millisecond)
	c.RequestDone()
	<-done
	c.CountRequest()
	c.WaitDrained(t.Context(), 0, time.Millisecond) // returns though a request is open
	assert.EqualValues(t, 1, c.OpenRequests())
}
