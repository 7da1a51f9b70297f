package upstream

import (
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/routing"
)

// Owner is a value by which the caller of Send or SendHealthCheck identifies an attempt. It is returned with the
// attempt's end, and is nil for the health check of an address probe. It is not the pool's owner, which is a goroutine.
type Owner interface{ OwnsUpstreamAttempt() }

// Attempt is one attempt of a request at an endpoint, or one health check, on a connection. The connection's lock
// guards its unexported fields.
type Attempt struct {
	Owner Owner

	connection    *Connection
	id            string
	command       cacheproto.Attempt // unset for a health check
	bounds        Bounds
	head          []byte           // command line; formatted when it is written if the attempt is for a request
	body          *request.Body    // nil if there is no body
	request       *request.Request // nil for a health check
	isHealthCheck bool
	isIdempotent  bool // whether requests of its class may be repeated

	written   bool          // some bytes may have reached the socket
	writtenAt clock.Instant // time at which writing started
	endOffset int64         // total bytes buffered on the connection, up to the attempt's last byte

	inputOffset int64 // total bytes read from the connection when writing started
	delayed     bool  // not written immediately: the writer was busy, or the socket accepted no bytes

	requeued   bool          // the socket accepted no bytes in time, so the command line is formatted again
	lineMargin time.Duration // time subtracted from the deadline in the command line

	cancelResult routing.AttemptResult // result of the attempt once its cancel has been sent to the endpoint
}

// Connection returns the connection that carries the attempt.
func (a *Attempt) Connection() *Connection { return a.connection }

// wireBytes returns the size of the attempt on the wire, in bytes.
func (a *Attempt) wireBytes() int {
	if a.isHealthCheck {
		return len(a.head)
	}
	return len(a.head) + a.body.Len() + len(cacheproto.LineEnd)
}

// writeTo writes the attempt to the connection's write buffer.
func (a *Attempt) writeTo(conn *netconn.Conn) error {
	if err := conn.Write(a.head); err != nil || a.isHealthCheck {
		return err
	}
	if a.body != nil {
		if err := conn.Write(a.body.Bytes); err != nil {
			return err
		}
	}
	return conn.Write([]byte(cacheproto.LineEnd))
}

// wantsBody reports whether the body of a response is needed. The body is discarded if the attempt was cancelled, in
// which case a is nil, or if the response has no body for the client.
func (a *Attempt) wantsBody(response cacheproto.Response) bool {
	return a != nil && !a.isHealthCheck && response.Result == routing.Completed && !response.NotModified
}
