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

// answerInputRequest tells who waits for the reading goroutine that all input was taken. It is for that goroutine.
func (c *Conn) answerInputRequest() {
	if c.endInputRequest() {
		c.readDeadlineStale = true // the socket's deadline may be the one that interrupts
	}
}

// endInputRequest ends the wait for the reading goroutine, and says whether there was one.
func (c *Conn) endInputRequest() bool {
	request := c.inputRequest.Swap(nil)
	if request == nil {
		return false
	}
	close(request.ended)
	return true
}
