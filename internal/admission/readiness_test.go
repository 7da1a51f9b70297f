package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a router that receives requests which it must reject, because it reports to be ready before it can
// serve or while it drains. It must be ready only between the two.
func TestReadyUntilDraining(t *testing.T) {
	c := New(192, 1024)
	assert.False(t, c.Ready())
	c.SetReady()
	assert.True(t, c.Ready())
	c.StartDraining()
	assert.False(t, c.Ready())
	assert.True(t, c.Draining())
}

// Guards against a process that ends while a request is open, whose response is lost, and against one that waits
// forever. The wait must last until the last request is done, at most until its timeout.
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

// Guards against a router that reports to be ready again, and attracts clients, while it drains: the startup completes
// only after the drain has begun. A late event must not revert a phase.
func TestPhaseOnlyAdvances(t *testing.T) {
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
