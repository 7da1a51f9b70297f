package standin

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/lab/timing"
)

// ClientRequest is a request that a client sends.
type ClientRequest struct {
	Class          string
	Object         uint64
	Part           uint32
	group          int    // purge group
	idempotencyKey string // empty for classes without idempotency keys
	Body           []byte
	Deadline       time.Duration
}

// ClientResponse is the outcome of a request.
type ClientResponse struct {
	ClientRequest
	ID     string
	SentAt float64 // Unix time in seconds
	DoneAt float64 // Unix time in seconds; 0 if no response arrived
	Code   byte
	Body   []byte
	// RetryAfter is how long the router asks the client to wait before the next request.
	RetryAfter time.Duration
}

// Response codes.
const (
	CodeRejected  = 0
	CodeCompleted = 1
	CodeAborted   = 9
	NoAnswer      = 255 // never on the wire: the client received no response
)

const (
	connectTimeout = time.Second
	// lateResponseWindow is how long a client waits after the deadline to detect a late response.
	lateResponseWindow = 500 * time.Millisecond
	// clientHeapMB is the client memory size that each request states, in MB.
	clientHeapMB = "30"
)

// HasContent reports whether completed responses of the request's class have a body that is derived from the origin's
// seed.
func (request *ClientRequest) HasContent() bool {
	return request.Class != ClassPrintOrder && request.Class != ClassRecord
}

// clientConn is a client's connection to a router. It carries one request at a time.
type clientConn struct {
	conn            net.Conn // nil while not connected
	stream          uint32
	secondResponses int64 // further responses on streams that already got a response
}

// send sends a request and waits for its response until lateResponseWindow after the deadline. It returns an error only
// if the request could not be sent. If the connection ends later, the response's code is NoAnswer.
func (client *clientConn) send(addr string, request ClientRequest, id string) (ClientResponse, error) {
	response := ClientResponse{ClientRequest: request, ID: id, Code: NoAnswer}
	if client.conn == nil {
		//nolint:noctx // has its own limit; a request that has begun is finished also where the load ends
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return response, err
		}
		client.conn, client.stream = conn, 0
	}
	client.stream++
	frame := requestFrame(request, id, client.stream)
	response.SentAt = timing.UnixSeconds(time.Now())
	if _, err := client.conn.Write(frame); err != nil {
		client.close()
		return response, err
	}
	// Fails only on a closed connection, which the read detects.
	_ = client.conn.SetReadDeadline(time.Now().Add(request.Deadline + lateResponseWindow))
	payload, err := client.readResponse()
	if err != nil {
		client.close()
		return response, nil //nolint:nilerr // the request was sent; NoAnswer says that its connection ended
	}
	response.DoneAt = timing.UnixSeconds(time.Now())
	if len(payload) == 0 {
		client.close()
		return response, nil
	}
	response.parse(payload)
	return response, nil
}

// requestFrame encodes a request as a frame of the client protocol.
func requestFrame(request ClientRequest, id string, stream uint32) []byte {
	fields := []clientproto.Field{
		{Name: "op", Value: request.Class},
		{Name: "call", Value: id},
		{Name: "ttl", Value: strconv.FormatInt(request.Deadline.Milliseconds(), 10)},
		{Name: "row", Value: fmt.Sprintf("%016x", request.Object)},
		{Name: "seg", Value: strconv.FormatUint(uint64(request.Part), 10)},
		{Name: "bucket", Value: strconv.Itoa(request.group)},
		{Name: "heap", Value: clientHeapMB},
	}
	if request.idempotencyKey != "" {
		fields = append(fields, clientproto.Field{Name: "dedupe", Value: request.idempotencyKey})
	}
	payload := append(clientproto.AppendFields(nil, fields...), request.Body...)
	return append(clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, len(payload)), payload...)
}

// readResponse reads frames until the response on the current stream arrives and returns its payload.
func (client *clientConn) readResponse() ([]byte, error) {
	for {
		head := make([]byte, clientproto.HeaderSize)
		if _, err := io.ReadFull(client.conn, head); err != nil {
			return nil, err
		}
		header, err := clientproto.ParseHeader(head)
		if err != nil {
			return nil, err
		}
		payload := make([]byte, header.PayloadBytes)
		if _, err := io.ReadFull(client.conn, payload); err != nil {
			return nil, err
		}
		if header.Type != clientproto.TypeResponse {
			continue
		}
		if header.StreamID == client.stream {
			return payload, nil
		}
		client.secondResponses++
	}
}

// parse decodes the non-empty payload of a response. A response with malformed fields is treated as missing.
func (response *ClientResponse) parse(payload []byte) {
	response.Code = payload[0]
	fields, body, err := clientproto.ParseFields(payload[1:])
	if err != nil {
		response.Code = NoAnswer
	}
	for _, field := range fields {
		if field.Name == "pushback" {
			var millis int64
			_, _ = fmt.Sscan(field.Value, &millis) // a value that is not a number means no wait
			response.RetryAfter = time.Duration(millis) * time.Millisecond
		}
	}
	response.Body = body
}

// close closes the connection. The next request opens a new one.
func (client *clientConn) close() {
	if client.conn != nil {
		_ = client.conn.Close() // the response has been received, or will not arrive
		client.conn = nil
	}
}
