package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A router that calls itself ready before it can serve, or while it drains, gets requests that it has to reject. It is
// ready only between the two.
func TestReadyUntilDraining(t *testing.T) {
	c := New(192, 1024)
	assert.False(t, c.Ready())
	c.SetReady()
	assert.True(t, c.Ready())
	c.StartDraining()
	assert.False(t, c.Ready())
	assert.True(t, c.Draining())
}

// A process that ends while a request is open loses its answer, and one that waits without bound never ends. The wait
// lasts until the last request is done, or until its time is over.
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

// The start ends late, while the router drains already. It would call itself ready again, and clients would come to a
// process that ends. A phase is never undone by what comes late.
func TestPhaseOnlyGoesForward(t *testing.T) {
	c := New(192, 1024)
	for _, step := range []struct {
		enter                   func()
		ready, draining, ending bool
	}{
		{func() {}, false, false, false},
		{c.SetReady, true, false, false},
		{c.StartDraining, false, true, false},
		{c.SetReady, false, true, false},
		{c.StartEnding, false, true, true},
		{c.StartDraining, false, true, true},
		{c.SetReady, false, true, true},
	} {
		step.enter()
		assert.Equal(t, []bool{step.ready, step.draining, step.ending}, []bool{c.Ready(), c.Draining(), c.Ending()})
	}
}
