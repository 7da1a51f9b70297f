// Package admin lets the operators of a running program ask it for its state and give it commands, over a Unix socket
// of mode 0600.
//
// A client sends requests as lines of JSON and gets a line of JSON for each. The kernel tells who the client is (its
// peer credentials); root and the program's own user are served, others are refused. The package owns the socket, its
// connections and their bounds. What a request does is up to the handlers that the program registers.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Version is the version of the protocol.
const Version = 1

// The server's bounds: it must not burden the program that it is part of.
const (
	maxConnections     = 8
	maxRequestBytes    = 64 << 10
	maxConnectionBytes = 1 << 30 // received on one connection, after which it ends
	maxResponseBytes   = 4 << 20
	requestTimeout     = 5 * time.Second
	acceptRetryDelay   = 10 * time.Millisecond
)

// Errors that tell why a socket can't be opened or a client is not served.
var (
	ErrNotASocket     = errors.New("there and no socket")
	ErrSocketInUse    = errors.New("in use by another process")
	ErrUserNotAllowed = errors.New("may not ask here")
)

// Request is a line that a client sends.
type Request struct {
	Version int               `json:"v"`
	Command string            `json:"do"`
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
