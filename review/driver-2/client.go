//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Types of frames between clients and routers.
const (
	frameRequest   = 100
	frameAnswer    = 101
	frameCancel    = 102
	frameReady     = 110
	frameReadiness = 111
	frameNoMore    = 120
)

// Codes of an answer.
const (
	codeRefused = 0
	codeServed  = 1
	codeFailed  = 9
)

const readyQueryTimeout = time.Second

// clientRequest is a request of a client. The times are zero until they have come.
type clientRequest struct {
	id       string
	stream   uint32
	ttl      time.Duration
	sentAt   time.Time // when the connection had taken its last byte
	answerAt time.Time
	code     byte
	answers  int
	body     string
}

// client is a connection of a client to the router.
type client struct {
	name   string
	conn   net.Conn
	record *record

	writing sync.Mutex

	mu       sync.Mutex
	requests map[uint32]*clientRequest
	endedAt  time.Time // when the router ended the connection
	noMore   bool      // the router asked for no new request on this connection
	errors   []string  // errors that belong to no request
}

func connect(rec *record, name, address string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, record: rec, requests: map[uint32]*clientRequest{}}
	go c.read()
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// frame returns a frame of a type on a stream.
func frame(frameType byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload)+5))
	b = append(b, frameType)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// appendFields appends a list of names and values.
func appendFields(b []byte, pairs ...string) []byte {
	b = append(b, byte(len(pairs)/2))
	for i := 0; i < len(pairs); i += 2 {
		b = append(b, byte(len(pairs[i])))
		b = append(b, pairs[i]...)
		b = binary.BigEndian.AppendUint16(b, uint16(len(pairs[i+1])))
		b = append(b, pairs[i+1]...)
	}
	return b
}

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send writes a request on a stream. It returns once the connection has taken its last byte. Further fields are given
// as names and values.
func (c *client) send(
	stream uint32, class, object string, ttl time.Duration, body []byte, more ...string,
) *clientRequest {
	r := &clientRequest{id: newID(), stream: stream, ttl: ttl}
	fields := append([]string{
		"op", class, "call", r.id, "ttl", fmt.Sprint(ttl.Milliseconds()), "row", object, "seg", "0", "bucket", "7",
	}, more...)
	payload := append(appendFields(nil, fields...), body...)
	c.mu.Lock()
	c.requests[stream] = r
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	if _, err := c.conn.Write(frame(frameRequest, stream, payload)); err != nil {
		c.record.printf("%s: request %s on stream %d was not sent: %v", c.name, r.id, stream, err)
		c.mu.Lock()
		delete(c.requests, stream)
		c.mu.Unlock()
		return nil
	}
	c.mu.Lock()
	r.sentAt = time.Now()
	c.mu.Unlock()
	c.record.printf("%s: sent %s on stream %d, ttl %v", c.name, r.id, stream, ttl)
	return r
}

// cancel tells the router that nobody waits for a stream any more, and returns when the connection has taken it.
func (c *client) cancel(stream uint32) time.Time {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := c.conn.Write(frame(frameCancel, stream, nil))
	c.record.printf("%s: cancelled stream %d, error %v", c.name, stream, err)
	return time.Now()
}

// read reads frames until the connection ends.
func (c *client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		frameType, stream, payload, err := readFrame(reader)
		if err != nil {
			c.mu.Lock()
			c.endedAt = time.Now()
			c.mu.Unlock()
			c.record.printf("%s: connection ended: %v", c.name, err)
			return
		}
		c.handle(frameType, stream, payload)
	}
}

func (c *client) handle(frameType byte, stream uint32, payload []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case frameType == frameNoMore:
		c.noMore = true
		c.record.printf("%s: the router asks for no new request", c.name)
	case frameType != frameAnswer || len(payload) == 0:
	case stream == 0:
		c.errors = append(c.errors, fmt.Sprintf("%q", payload))
		c.record.printf("%s: an error that belongs to no request: %q", c.name, payload)
	case c.requests[stream] == nil:
		c.record.printf("%s: an answer on stream %d, which has no request", c.name, stream)
	default:
		r := c.requests[stream]
		r.answers++
		r.code, r.body = payload[0], answerBody(payload[1:])
		if r.answers == 1 {
			r.answerAt = time.Now()
		}
		c.record.printf("%s: answer to %s on stream %d, code %d", c.name, r.id, stream, r.code)
	}
}

// snapshot returns a copy of a request as it stands.
func (c *client) snapshot(r *clientRequest) clientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *r
}

// connectionEnd returns when the router ended the connection; zero if it has not.
func (c *client) connectionEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedAt
}

// answerBody returns the body of an answer, which is behind its fields.
func answerBody(payload []byte) string {
	rest := payload[1:]
	for range payload[0] {
		rest = rest[1+int(rest[0]):]                       // the name
		rest = rest[2+int(binary.BigEndian.Uint16(rest)):] // the value
	}
	return string(rest)
}

var errFrameLength = errors.New("frame length out of bounds")

func readFrame(reader io.Reader) (frameType byte, stream uint32, payload []byte, err error) {
	header := make([]byte, 9)
	if _, err := io.ReadFull(reader, header); err != nil {
		return 0, 0, nil, err
	}
	length := binary.BigEndian.Uint32(header)
	if length < 5 || length > 262144 {
		return 0, 0, nil, errFrameLength
	}
	payload = make([]byte, length-5)
	_, err = io.ReadFull(reader, payload)
	return header[4], binary.BigEndian.Uint32(header[5:]), payload, err
}

// isReady reports whether the router at an address answers that it is ready.
func isReady(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(readyQueryTimeout)) // fails only on a closed connection
	if _, err := conn.Write(frame(frameReady, 1, []byte{0})); err != nil {
		return false
	}
	frameType, _, payload, err := readFrame(conn)
	return err == nil && frameType == frameReadiness && len(payload) > 0 && payload[0] == 1
}
