package upstream

import (
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/routing"
)

// Owner is what the caller of Send or SendHealthCheck knows an attempt by. It comes back with the attempt's end.
type Owner interface{ OwnsUpstreamAttempt() }

// Attempt is one try of a request at an endpoint, or one health check, on a connection. Its unexported fields belong
// to the connection and are guarded by its lock.
type Attempt struct {
	Owner Owner

	connection    *Connection
	id            string
	command       cacheproto.Attempt // of a request
	bounds        Bounds
	head          []byte           // the command line; that of a request is formatted as it is written
	body          *request.Body    // nil for none
	request       *request.Request // nil for a health check
	isHealthCheck bool
	isIdempotent  bool // its request's class may be repeated

	written   bool          // some of it may be in the socket
	writtenAt clock.Instant // when writing began
	endOffset int64         // the connection's count of buffered bytes after the attempt's last one

	inputOffset int64 // the connection's count of bytes read as writing began
	waits       bool  // it is not begun at once: the writing goroutine is at others, or the socket took nothing of it

	requeued   bool          // the socket took nothing of it in time, and its line is formatted anew
	lineMargin time.Duration // by how much the deadline in its line is shortened

	cancelResult routing.AttemptResult // with which it ends once its cancel was sent to the endpoint
}

// Connection returns the connection that carries the attempt.
func (a *Attempt) Connection() *Connection { return a.connection }

// wireBytes returns how many bytes the attempt has on the wire.
func (a *Attempt) wireBytes() int {
	if a.isHealthCheck {
		return len(a.head)
	}
	return len(a.head) + a.body.Len() + len(cacheproto.LineEnd)
}

// writeTo buffers the attempt for the socket.
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

// wantsBody says whether the body of a response is of use. It is dropped unread for a cancelled attempt, which is nil
// here, and where the response has none for the client.
func (a *Attempt) wantsBody(response cacheproto.Response) bool {
	return a != nil && !a.isHealthCheck && response.Result == routing.Completed && !response.NotModified
}
