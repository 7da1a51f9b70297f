package verify

import (
	"cairnfront/internal/cacheproto"

	"cairnfront/internal/lab/standin"
)

// deadlineMarginSeconds is the margin that the protocol adds to each deadline on sockets.
const deadlineMarginSeconds = 0.05

// Response is a client's response without its body. The body is checked when it arrives.
type Response struct {
	standin.ClientResponse
	Bytes   int    // size of the body
	Corrupt bool   // the body differs from the origin's content
	Version uint64 // version of the object that the body states
}

// Request is a command that an endpoint in this process received.
type Request struct {
	At       float64 // Unix time in seconds
	Endpoint string
	Command  cacheproto.Command
}

// Served is a response that an endpoint in this process sent.
type Served struct {
	At        float64 // Unix time in seconds
	Endpoint  string
	RequestID string // id of the attempt or fill; ids of an edge cache's fills start with the id of the cache
	Bytes     int
}

// Purge is a purge. Afterwards every object that it covers has at least the purge's version.
type Purge struct {
	EventIndex int // index of the discovery server's event
	Object     uint64
	OfGroup    bool // the purge covers the purge group, not only the object
	Group      uint64
	Version    uint64
}

// metDeadline reports whether a request got a response within its deadline.
func (o *Response) metDeadline() bool {
	return o.Code != standin.NoAnswer && o.DoneAt <= o.SentAt+o.Deadline.Seconds()+deadlineMarginSeconds
}

// hasVerifiableBody reports whether a response was completed in time and has a body that can be checked.
func (o *Response) hasVerifiableBody() bool {
	return o.metDeadline() && o.Code != standin.CodeRejected && o.Code != standin.CodeAborted && o.HasContent()
}

// LatencySeconds returns the time until the response, or the request's deadline if it got none.
func (o *Response) LatencySeconds() float64 {
	if o.Code == standin.NoAnswer {
		return o.Deadline.Seconds()
	}
	return o.DoneAt - o.SentAt
}
