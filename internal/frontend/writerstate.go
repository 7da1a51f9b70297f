package frontend

// writerState is the state of a responseWriter, which determines what it accepts. moveLocked makes all transitions and
// rejects any other:
//
//	from       to        when
//	accepting  quiesced  no request is open and all output is written, and either the reader closes the connection
//	                     (quiesce) or run returns after finish
//	accepting  closed    the connection has ended in another way (close)
//	quiesced   closed    the connection has ended (close)
type writerState uint8

const (
	// writerAccepting: responses to open requests and control frames are queued.
	writerAccepting writerState = iota

	// writerQuiesced: no request is open, all output is written, and control frames are no longer queued. The
	// connection may be closed.
	writerQuiesced

	// writerClosed: the connection has ended; nothing is queued any more.
	writerClosed
	writerStateCount
)

// writerTransitions lists the states that a responseWriter may enter from each state.
var writerTransitions = [writerStateCount][writerStateCount]bool{
	writerAccepting: {writerQuiesced: true, writerClosed: true},
	writerQuiesced:  {writerClosed: true},
}

// moveLocked changes the state if the table contains the transition, and reports whether it did.
func (w *responseWriter) moveLocked(to writerState) bool {
	if !writerTransitions[w.state][to] {
		return false
	}
	w.state = to
	return true
}

// quiesce reports whether no request is open and all output is written. If so, no control frame is queued any more.
//
// It guards against a request that arrives between this check and the close: its client would see the connection end
// without a response. The check and the change of state are one step, and the caller is the reader, which opens
// requests: therefore no request is opened after it.
func (w *responseWriter) quiesce() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiesceLocked()
	return w.state >= writerQuiesced
}

func (w *responseWriter) quiesceLocked() {
	if !w.busyLocked() {
		w.moveLocked(writerQuiesced)
	}
}
