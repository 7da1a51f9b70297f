package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cairnfront/internal/telemetry"

	"golang.org/x/sync/errgroup"
)

// Server answers requests. Its exported fields are set before Run.
type Server struct {
	Handlers map[RequestName]Handler
	Metrics  *telemetry.Metrics // nil to disable counters

	allowed func(uid uint32) bool // if nil, root and the program's own user are allowed
}

// Listen opens the socket. It replaces a socket that cannot be connected to, such as the stale socket of a program that
// has ended, but no other file.
func Listen(ctx context.Context, path string) (net.Listener, error) {
	if err := removeStaleSocket(ctx, path); err != nil {
		return nil, fmt.Errorf("open admin socket: %w", err)
	}
	oldMask := syscall.Umask(0o177) // creates the socket with mode 0600, so that no other user can ever connect
	ln, err := new(net.ListenConfig).Listen(ctx, "unix", path)
	syscall.Umask(oldMask)
	if err != nil {
		return nil, fmt.Errorf("open admin socket: %w", err)
	}
	return ln, nil
}

// removeStaleSocket removes a socket that cannot be connected to, for whatever reason, and takes it for one on which no
// program listens.
func removeStaleSocket(ctx context.Context, path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil //nolint:nilerr // there is no file, or Listen reports the error
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s: %w", path, ErrNotASocket)
	}
	conn, err := (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, "unix", path)
	if err == nil {
		_ = conn.Close() // an error is irrelevant, as nothing was sent
		return fmt.Errorf("%s: %w", path, ErrSocketInUse)
	}
	return os.Remove(path)
}

// Run accepts connections until the context is done or the listener is closed. It serves each connection in a
// goroutine, closes the connections when the context is done, and returns after all these goroutines have ended.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	if s.allowed == nil {
		s.allowed = func(uid uint32) bool { return uid == 0 || int(uid) == os.Getuid() }
	}
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { _ = ln.Close() })()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return g.Wait()
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.count(telemetry.AdminConnectionsRejected)
			_ = conn.Close() // an error is irrelevant, as nothing was read or sent
			continue
		}
		g.Go(func() error {
			defer func() { <-slots }()
			s.serveConnection(ctx, conn)
			return nil
		})
	}
}

// serveConnection answers the requests of one client until the client closes the connection, exceeds a limit, or is
// idle for requestTimeout. Errors of Close and SetDeadline are ignored: they occur only on a connection that has ended,
// where the next read or write fails as well.
func (s *Server) serveConnection(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if err := s.authorize(conn); err != nil {
		s.count(telemetry.AdminUsersRefused)
		_ = respond(conn, nil, err) // an error is irrelevant, as the connection is closed next
		return
	}
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxConnectionBytes), maxRequestBytes)
	for {
		_ = conn.SetDeadline(time.Now().Add(requestTimeout))
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = fmt.Errorf("read request: %w: over %d bytes", ErrRequestTooLong, maxRequestBytes)
			_ = respond(conn, nil, err) // an error is irrelevant, as the connection is closed next
			return
		}
		if err != nil {
			return
		}
		data, err := s.handle(ctx, line)
		if err := respond(conn, data, err); err != nil {
			return
		}
	}
}

// authorize returns an error unless the client's user is allowed.
func (s *Server) authorize(conn net.Conn) error {
	uid, err := peerUID(conn)
	if err != nil {
		return fmt.Errorf("read peer credentials: %w", err)
	}
	if !s.allowed(uid) {
		return fmt.Errorf("authorize user %d: %w", uid, ErrUserNotAllowed)
	}
	return nil
}

// peerUID returns the user id of the client's process.
func peerUID(conn net.Conn) (uint32, error) {
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		return 0, fmt.Errorf("connection of type %T: %w", conn, ErrNotASocket)
	}
	raw, err := unixConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *syscall.Ucred
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		credentials, optionErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, optionErr); err != nil {
		return 0, err
	}
	return credentials.Uid, nil
}

// handle parses a line and calls the handler of its request. A panic of the handler is counted and returned as an
// error.
func (s *Server) handle(ctx context.Context, line []byte) (data any, err error) {
	var request Request
	if err := json.Unmarshal(line, &request); err != nil {
		return nil, fmt.Errorf("parse request: %w: %w", ErrMalformedRequest, err)
	}
	if request.Version != Version {
		return nil, fmt.Errorf("parse request: %w %d, not %d", ErrUnsupportedVersion, request.Version, Version)
	}
	handler := s.Handlers[request.Name]
	if handler == nil {
		return nil, fmt.Errorf("%w %.40q", ErrUnknownRequest, request.Name)
	}
	defer func() {
		if p := recover(); p != nil {
			s.count(telemetry.Panics)
			err = fmt.Errorf("handle request %q: %w: %v", request.Name, ErrHandlerPanicked, p)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s.count(telemetry.AdminRequests.With(request.Name.label()))
	return handler(ctx, request.Args)
}

// respond writes the response to a request: an error response if failure is not nil, or else one with data. It returns
// an error if writing fails.
func respond(conn net.Conn, data any, failure error) error {
	response := Response{Version: Version}
	if failure == nil {
		response.Data, failure = encodeData(data)
	}
	response.OK = failure == nil
	if failure != nil {
		response.Error = failure.Error()
	}
	text, err := json.Marshal(response)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(requestTimeout)) // if this fails, writing fails as well
	_, err = conn.Write(append(text, '\n'))
	return err
}

// encodeData encodes the result of a handler. It returns an error if the result exceeds maxResponseBytes.
func encodeData(data any) (json.RawMessage, error) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxResponseBytes {
		return nil, fmt.Errorf("encode response: %w: over %d bytes", ErrResponseTooLong, maxResponseBytes)
	}
	return encoded, nil
}

// count increments a counter if the server has metrics.
func (s *Server) count(c telemetry.Counter) {
	if s.Metrics != nil {
		s.Metrics.Inc(c)
	}
}
