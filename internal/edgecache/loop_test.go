package edgecache

import (
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/edgecache/handler"
	"cairnfront/internal/upstream"

	"github.com/stretchr/testify/assert"
)

// TestLoopDoesNotWaitForItsOwnQueue covers a deadlock: a fetch cannot be sent while the event queue is full, and the
// loop reported that failure by posting to its own queue, which only the loop itself empties. The loop must not block;
// it must handle the failed fetch as its next event.
func TestLoopDoesNotWaitForItsOwnQueue(t *testing.T) {
	s := &Server{events: make(chan event, 1), loopDone: make(chan struct{}), pool: &upstream.Pool{}, now: clock.Now}
	s.Config.ID = "s-00000001"
	s.events <- clientDisconnected{}
	fetched := make(chan struct{})
	go func() {
		defer close(fetched)
		s.fetch(handler.Fetch{Fill: 7, Source: "s-gone"})
	}()
	select {
	case <-fetched:
		assert.Equal(t, []event{fetchNotSent{7}}, s.deferred)
	case <-time.After(5 * time.Second):
		t.Error("the event loop is blocked on its own queue")
		close(s.loopDone)
		<-fetched
	}
}
