package netconn

import (
	"time"
)

// readerWait is a pending AwaitReader call.
type readerWait struct{ done chan struct{} }

// AwaitReader waits until the reading goroutine has processed all input that its reads returned before the call. It
// interrupts the read in progress to get there. It returns early when the timeout has passed or the connection is
// closed. Only one goroutine may call it at a time.
func (c *Conn) AwaitReader(timeout time.Duration) {
	wait := &readerWait{make(chan struct{})}
	c.readerWait.Store(wait)
	if c.IsClosed() { // Close may have run before the wait was stored
		return
	}
	_ = c.raw.SetReadDeadline(interruptDeadline) // fails only on a closed socket, which ends the wait
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-wait.done:
	case <-timer.C:
	}
}

// endReaderWait ends the pending AwaitReader call, if any. The reading goroutine calls it once it has processed all
// input, and Close calls it.
func (c *Conn) endReaderWait() {
	if wait := c.readerWait.Swap(nil); wait != nil {
		close(wait.done)
	}
}
