package edgecache

import (
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/edgecache/handler"
	"cairnfront/internal/upstream"

	"github.com/stretchr/testify/assert"
)

// A fetch can't be sent while the queue of the loop is full. The loop posted that into its own queue, and waited for
// ever for room that nobody else makes. It must go on, and handle the failed fetch next.
func TestLoopDoesNotWaitForItsOwnQueue(t *testing.T) {
	s := &Server{events: make(chan event, 1), loopDone: make(chan struct{}), pool: &upstream.Pool{}, now: clock.Now}
	s.Config.ID = "s-00000001"
	s.events <- clientGone{}
	fetched := make(chan struct{})
	go func() {
		defer close(fetched)
		s.fetch(handler.Fetch{Fill: 7, Source: "s-gone"})
	}()
	select {
	case <-fetched:
		assert.Equal(t, []event{fetchNotSent{7}}, s.next)
	case <-time.After(5 * time.Second):
		t.Error("the loop waits for itself")
		close(s.loopDone)
		<-fetched
	}
}
