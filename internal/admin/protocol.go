// Package admin is the admin socket of a running program, over which operators query its state and send commands. It is
// a Unix socket with mode 0600.
//
// A client sends requests as lines of JSON and gets a line of JSON for each. The server reads the client's user id from
// the kernel (peer credentials); it accepts root and the program's own user and refuses others. The package manages the
// socket, its connections and their limits, and defines the names in the protocol (wirenames.go). The program registers
// the handlers that carry out requests.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Version is the version of the protocol.
const Version = 1

// The server's limits. They restrict how much memory and how many file descriptors of the program clients can use.
const (
	maxConnections     = 8
	maxRequestBytes    = 64 << 10
	maxConnectionBytes = 1 << 30 // received bytes after which a connection is closed
	maxResponseBytes   = 4 << 20
	requestTimeout     = 5 * time.Second
	acceptRetryDelay   = 10 * time.Millisecond
)

// Errors of opening the socket.
var (
	ErrNotASocket  = errors.New("file is not a socket")
	ErrSocketInUse = errors.New("in use by another process")
)

// Errors of requests. Their texts are sent to the client.
var (
	ErrUserNotAllowed     = errors.New("user is not allowed")
	ErrRequestTooLong     = errors.New("line is too long")
	ErrMalformedRequest   = errors.New("not a request in JSON")
	ErrUnsupportedVersion = errors.New("unsupported protocol version")
	ErrUnknownRequest     = errors.New("unknown request")
	ErrHandlerPanicked    = errors.New("panic")
	ErrResponseTooLong    = errors.New("response is too long")
)

// ResponseError is an error that the running program sent in a response.
type ResponseError struct{ Message string }

func (e *ResponseError) Error() string { return e.Message }

// Request is a request of a client, sent as a line of JSON.
type Request struct {
	Version int               `json:"v"`
	Name    RequestName       `json:"do"`
	Args    map[string]string `json:"args,omitempty"`
}

// Response is the response to a request, sent as a line of JSON.
type Response struct {
	Version int             `json:"v"`
	OK      bool            `json:"ok"`
	Error   string          `json:"error,omitempty"` // empty if OK
	Data    json.RawMessage `json:"data,omitempty"`  // result of the handler
}

// Handler carries out a request and returns the result, which is sent as JSON. It must return when its context is done.
type Handler func(ctx context.Context, args map[string]string) (any, error)
