package netconn

import (
	"time"
)

// inputRequest is a wait for the reading goroutine.
type inputRequest struct{ ended chan struct{} }

// AwaitReader waits until the reading goroutine has taken all that its reads had brought before the call, and
// interrupts the read under way for that. It waits no longer than the timeout, nor on a closed connection. One
// goroutine at a time may call it.
func (c *Conn) AwaitReader(timeout time.Duration) {
	request := &inputRequest{make(chan struct{})}
	c.inputRequest.Store(request)
	if c.IsClosed() { // the end of the request may have been missed
		return
	}
	_ = c.raw.SetReadDeadline(interruptDeadline) // fails on a closed socket only, which ends the request
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-request.ended:
	case <-timer.C:
	}
}

// endInputRequest ends the wait for the reading goroutine, if there is one. That goroutine calls it with all input
// taken, and the end of the connection does.
func (c *Conn) endInputRequest() {
	if request := c.inputRequest.Swap(nil); request != nil {
		close(request.ended)
	}
}
