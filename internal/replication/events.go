package replication

import (
	"cairnfront/internal/replication/transport"
)

// event is what the node's goroutine handles.
type event interface{ isEvent() }

// frameReceived is a frame of a peer.
type frameReceived struct {
	from  string
	frame transport.Frame
}

// peerStateChanged says that a peer was connected, or its connection ended.
type peerStateChanged struct {
	peer      string
	connected bool
}

// requestSubmitted is a request of this router.
type requestSubmitted struct{ request *pendingRequest }

// reportRequested asks for a report. The channel has room for it.
type reportRequested struct{ report chan<- Report }

func (frameReceived) isEvent()    {}
func (peerStateChanged) isEvent() {}
func (requestSubmitted) isEvent() {}
func (reportRequested) isEvent()  {}

// post hands an event to the node's goroutine. It waits while its queue is full, so that a peer
// that sends too much is slowed by its connection.
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
	case transport.KindHeartbeat: // the transport keeps these
	}
}
