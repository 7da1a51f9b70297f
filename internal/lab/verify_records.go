package lab

import "cairnfront/internal/cacheproto"

// deadlineMarginSeconds is what the protocol adds to each deadline on sockets.
const deadlineMarginSeconds = 0.05

// observedResponse is a client's response without its body, which is checked when it arrives.
type observedResponse struct {
	clientResponse
	bytes   int    // of the body
	corrupt bool   // the body is not the origin's
	version uint64 // of the object, as the body says
}

// requestRecord is a command that an endpoint in this process received.
type requestRecord struct {
	at       float64 // Unix s
	endpoint string
	command  cacheproto.Command
}

// servedRecord is an answer that an endpoint in this process gave.
type servedRecord struct {
	at        float64 // Unix s
	endpoint  string
	requestID string // of the attempt or fill; the fills of an edge cache begin with its own id
	bytes     int
}

// publishedPurge is a purge: whatever it covers has at least its version afterwards.
type publishedPurge struct {
	eventIndex int // of the discovery server's event
	object     uint64
	wholeGroup bool // the group is purged, not the object alone
	group      uint64
	version    uint64
}

// inTime says whether a request was answered within its deadline.
func (o *observedResponse) inTime() bool {
	return o.code != noAnswer && o.doneAt <= o.sentAt+o.deadline.Seconds()+deadlineMarginSeconds
}

// deliversContent says whether a response was completed in time and has a body that can be checked.
func (o *observedResponse) deliversContent() bool {
	return o.inTime() && o.code != codeRejected && o.code != codeAborted && o.hasContent()
}

// latencySeconds is the time to the answer; the request's deadline where none came.
func (o *observedResponse) latencySeconds() float64 {
	if o.code == noAnswer {
		return o.deadline.Seconds()
	}
	return o.doneAt - o.sentAt
}
