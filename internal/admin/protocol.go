// Package admin lets operators read the state of a running program and send it commands, over a Unix socket of mode
// 0600.
//
// A client sends requests as lines of JSON and gets a line of JSON for each. The kernel names the client's user (its
// peer credentials); root and the program's own user are served, others are refused. The package owns the socket, its
// connections and their limits, and the names on the wire (wirenames.go). What a request does is up to the handlers
// that the program registers.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Version is the version of the protocol.
const Version = 1

// The server's limits. They bound what clients of the admin socket can use of the program's memory and descriptors.
const (
	maxConnections     = 8
	maxRequestBytes    = 64 << 10
	maxConnectionBytes = 1 << 30 // received on one connection, which is closed then
	maxResponseBytes   = 4 << 20
	requestTimeout     = 5 * time.Second
	acceptRetryDelay   = 10 * time.Millisecond
)

// Errors of opening the socket.
var (
	ErrNotASocket  = errors.New("file is not a socket")
	ErrSocketInUse = errors.New("in use by another process")
)

// Errors of requests. The client gets their texts.
var (
	ErrUserNotAllowed     = errors.New("user is not allowed")
	ErrRequestTooLong     = errors.New("line is too long")
	ErrMalformedRequest   = errors.New("not a request in JSON")
	ErrUnsupportedVersion = errors.New("unsupported protocol version")
	ErrUnknownRequest     = errors.New("unknown request")
	ErrHandlerPanicked    = errors.New("panic")
	ErrResponseTooLong    = errors.New("response is too long")
)

// ResponseError is the error in a response, as the running program sent it.
type ResponseError struct{ Message string }

func (e *ResponseError) Error() string { return e.Message }

// Request is a line that a client sends.
type Request struct {
	Version int               `json:"v"`
	Name    RequestName       `json:"do"`
	Args    map[string]string `json:"args,omitempty"`
}

// Response is the line that answers a request.
type Response struct {
	Version int             `json:"v"`
	OK      bool            `json:"ok"`
	Error   string          `json:"error,omitempty"` // empty if OK
	Data    json.RawMessage `json:"data,omitempty"`  // what the handler returned
}

// Handler carries out a request and returns what is sent as JSON. It must return by the end of its context.
type Handler func(ctx context.Context, args map[string]string) (any, error)
