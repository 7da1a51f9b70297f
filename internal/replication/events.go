package replication

import (
	"cairnfront/internal/replication/transport"
)

// event is an input to the node's goroutine.
type event interface{ isEvent() }

// frameReceived carries a frame that a peer sent.
type frameReceived struct {
	from  string
	frame transport.Frame
}

// peerStateChanged reports that a peer connected or disconnected.
type peerStateChanged struct {
	peer      string
	connected bool
}

// requestSubmitted carries a request that this router submits.
type requestSubmitted struct{ request *pendingRequest }

// reportRequested asks for a report. The channel must be buffered so that sending the report does
// not block.
type reportRequested struct{ report chan<- Report }

func (frameReceived) isEvent()    {}
func (peerStateChanged) isEvent() {}
func (requestSubmitted) isEvent() {}
func (reportRequested) isEvent()  {}

// post queues an event for the node's goroutine. It blocks while the queue is full, which applies
// backpressure to the connection of a peer that sends too much.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.stopped:
	}
}

func (n *Node) handle(e event) {
	switch e := e.(type) {
	case frameReceived:
		n.handleFrame(e.from, e.frame)
	case peerStateChanged:
		n.handlePeerState(e.peer, e.connected)
	case requestSubmitted:
		n.acceptRequest(e.request)
	case reportRequested:
		e.report <- n.buildReport()
	}
}

func (n *Node) handleFrame(from string, frame transport.Frame) {
	switch frame.Kind {
	case transport.KindHello:
		n.handleHello(from, frame)
	case transport.KindRaft:
		n.handleRaftMessage(from, frame)
	case transport.KindPropose, transport.KindRead:
		n.serve(frame, pendingRequester{peer: from, number: frame.Number})
	case transport.KindResult:
		if frame.Result != nil {
			n.complete(frame.Number, Outcome{Result: *frame.Result})
		}
	case transport.KindNotLeader:
		n.handleNotLeader(frame)
	case transport.KindHeartbeat: // handled by the transport and never passed to the node
	}
}
