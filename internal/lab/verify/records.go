package verify

import (
	"cairnfront/internal/cacheproto"

	"cairnfront/internal/lab/standin"
)

// deadlineMarginSeconds is what the protocol adds to each deadline on sockets.
const deadlineMarginSeconds = 0.05

// Response is a client's response without its body, which is checked when it arrives.
type Response struct {
	standin.ClientResponse
	Bytes   int    // of the body
	Corrupt bool   // the body is not the origin's
	Version uint64 // of the object, as the body says
}

// Request is a command that an endpoint in this process received.
type Request struct {
	At       float64 // Unix s
	Endpoint string
	Command  cacheproto.Command
}

// Served is an answer that an endpoint in this process gave.
type Served struct {
	At        float64 // Unix s
	Endpoint  string
	RequestID string // of the attempt or fill; the fills of an edge cache begin with its own id
	Bytes     int
}

// Purge is a purge: whatever it covers has at least its version afterwards.
type Purge struct {
	EventIndex int // of the discovery server's event
	Object     uint64
	OfGroup    bool // the group is purged, not the object alone
	Group      uint64
	Version    uint64
}

// inTime says whether a request was answered within its deadline.
func (o *Response) inTime() bool {
	return o.Code != standin.NoAnswer && o.DoneAt <= o.SentAt+o.Deadline.Seconds()+deadlineMarginSeconds
}

// deliversContent says whether a response was completed in time and has a body that can be checked.
func (o *Response) deliversContent() bool {
	return o.inTime() && o.Code != standin.CodeRejected && o.Code != standin.CodeAborted && o.HasContent()
}

// LatencySeconds is the time to the answer; the request's deadline where none came.
func (o *Response) LatencySeconds() float64 {
	if o.Code == standin.NoAnswer {
		return o.Deadline.Seconds()
	}
	return o.DoneAt - o.SentAt
}
