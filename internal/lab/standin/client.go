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

// ClientRequest is one request as a client sends it.
type ClientRequest struct {
	Class          string
	Object         uint64
	Part           uint32
	group          int    // purge group
	idempotencyKey string // of the classes that have one
	Body           []byte
	Deadline       time.Duration
}

// ClientResponse is what came of a request.
type ClientResponse struct {
	ClientRequest
	ID     string
	SentAt float64 // Unix s
	DoneAt float64 // Unix s; 0 where no response came
	Code   byte
	Body   []byte
	// retryAfter is how long the router asks the client to wait.
	RetryAfter time.Duration
}

// The codes of responses.
const (
	CodeRejected  = 0
	CodeCompleted = 1
	CodeAborted   = 9
	NoAnswer      = 255 // on the client's side alone: no response came
)

const (
	connectTimeout = time.Second
	// lateWindow is how long beyond the deadline a client waits, to see whether a response comes late.
	lateWindow = 500 * time.Millisecond
	// clientHeapMB is the size of the client's memory that each request states.
	clientHeapMB = "30"
)

// HasContent says whether completed responses of a request's class have a body that follows from the origin's seed.
func (request *ClientRequest) HasContent() bool {
	return request.Class != ClassPrintOrder && request.Class != ClassRecord
}

// clientConn is a client's connection to a router. It has one request at a time.
type clientConn struct {
	conn            net.Conn // nil between connections
	stream          uint32
	secondResponses int64 // responses to a stream that had its own already
}

// send sends a request and waits for its response until the deadline and a little longer. An error says that the
// request could not be sent; a connection that ends meanwhile leaves the code at noAnswer.
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
	// Fails on a closed connection alone, which the read finds.
	_ = client.conn.SetReadDeadline(time.Now().Add(request.Deadline + lateWindow))
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

// requestFrame is a request on the wire.
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

// readResponse reads frames until the response to the current stream and returns its payload.
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

// parse reads the payload of a response, which is not empty. One with broken fields counts as none.
func (response *ClientResponse) parse(payload []byte) {
	response.Code = payload[0]
	fields, body, err := clientproto.ParseFields(payload[1:])
	if err != nil {
		response.Code = NoAnswer
	}
	for _, field := range fields {
		if field.Name == "pushback" {
			var millis int64
			_, _ = fmt.Sscan(field.Value, &millis) // what is no number asks for no wait
			response.RetryAfter = time.Duration(millis) * time.Millisecond
		}
	}
	response.Body = body
}

// close ends the connection. The next request makes a new one.
func (client *clientConn) close() {
	if client.conn != nil {
		_ = client.conn.Close() // the answer that counts has come, or none will
		client.conn = nil
	}
}
