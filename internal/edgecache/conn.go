package edgecache

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// acceptRetryPause is the delay before accepting again after an accept error.
const acceptRetryPause = 10 * time.Millisecond

// maxBodyWait is how long a request waits for memory for its body.
const maxBodyWait = 40 * time.Millisecond

// clientConn is a connection from a client, which is a router or another cache.
type clientConn struct {
	conn   *netconn.Conn
	writer *responseWriter

	// The event loop owns the following fields.
	requests map[string]*openRequest // by the request id that the client chose
	closed   bool
}

// accept accepts connections until the listener is closed. It serves each connection in a goroutine of the clients wait
// group, and Run waits for that group.
func (s *Server) accept(ctx context.Context, ln net.Listener, clients *sync.WaitGroup) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.Telemetry.Log.Warn("accept failed", "error", err.Error())
			time.Sleep(acceptRetryPause)
			continue
		}
		if s.connections.Add(1) > int64(s.Config.MaxConnections) {
			s.connections.Add(-1)
			s.Telemetry.Inc(telemetry.ConnectionsRejected.With(telemetry.SideCacheClient))
			_ = raw.Close() // an error is irrelevant: no data was read or written
			continue
		}
		s.Telemetry.ConnectionOpened(telemetry.SideCacheClient)
		clients.Go(func() {
			defer s.connections.Add(-1)
			s.serveConn(ctx, raw)
		})
	}
}

// serveConn serves one connection until it is closed. It starts one goroutine that reads and one that writes, and waits
// for both to return.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	conn := netconn.New(raw, ringBufferBytes, clientStallTimeout)
	c := &clientConn{
		conn:     conn,
		writer:   newResponseWriter(conn, &s.unwritten),
		requests: map[string]*openRequest{},
	}
	remote := telemetry.Remote{Side: telemetry.SideCacheClient, Address: c.conn.RemoteAddr()}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { c.conn.Close(netconn.Shutdown, nil) })
	var goroutines sync.WaitGroup
	run := func(f func() (netconn.EndCode, error)) {
		goroutines.Go(func() {
			defer cancel()
			defer func() {
				if cause := recover(); cause != nil {
					s.Telemetry.RecordPanic(telemetry.ComponentEdgeCache, cause)
					c.conn.Close(netconn.Panic, nil)
				}
			}()
			c.conn.Close(f())
		})
	}
	run(func() (netconn.EndCode, error) { return s.readCommands(ctx, c) })
	run(func() (netconn.EndCode, error) { return c.writer.run(ctx) })
	goroutines.Wait()
	stop()
	s.post(clientDisconnected{c})
	c.conn.LogEnd(s.Telemetry, remote)
}

// readCommands reads commands from a connection until it ends and returns the reason for the end.
func (s *Server) readCommands(ctx context.Context, c *clientConn) (netconn.EndCode, error) {
	idleTimeout := s.Config.IdleTimeout.Duration()
	for {
		c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		line, err := c.conn.ReadLine()
		if err != nil {
			// ClassifyError returns SlowReader for every timeout, but here the client was idle.
			if code := netconn.ClassifyError(err); code != netconn.SlowReader {
				return code, err
			}
			return netconn.IdleTimeout, nil
		}
		command, err := cacheproto.ParseCommand(line)
		if err != nil {
			return netconn.ProtocolError, err
		}
		switch command.Kind {
		case cacheproto.CommandCancel:
			s.post(requestCancelled{c, command.ID})
		case cacheproto.CommandProbe, cacheproto.CommandProbeLoad:
			s.post(probeReceived{c, command.ID, command.Kind == cacheproto.CommandProbeLoad})
		case cacheproto.CommandAttempt:
			if code, err := s.readRequest(ctx, c, command); err != nil {
				return code, err
			}
		}
		if err := c.writer.awaitRoom(ctx, s.Config.StreamsPerConnection+maxUnansweredProbes); err != nil {
			return netconn.Shutdown, err
		}
	}
}

var errNoLineEnd = errors.New("no line end after a body")

// readRequest reads a request's body and posts the request to the event loop. If there is no memory for the body in
// time, the request is rejected. If readRequest returns an error, the caller closes the connection with the returned
// code.
func (s *Server) readRequest(
	ctx context.Context, c *clientConn, command cacheproto.Command,
) (code netconn.EndCode, err error) {
	r := &openRequest{
		conn:      c,
		command:   command,
		key:       eviction.Key{Object: command.ObjectID, Chunk: command.PartNumber},
		arrivedAt: s.now().Seconds(),
	}
	hasMemory := true
	if command.BodyBytes > 0 {
		if r.body = s.allocateBody(ctx, command.BodyBytes); r.body != nil {
			err = c.conn.ReadFull(r.body.Bytes)
		} else {
			hasMemory = false
			err = c.conn.Discard(command.BodyBytes)
		}
	}
	var lineEnd [len(cacheproto.LineEnd)]byte
	if err == nil {
		err = c.conn.ReadFull(lineEnd[:])
	}
	if err != nil {
		r.body.Free()
		return netconn.ClassifyError(err), err
	}
	if string(lineEnd[:]) != cacheproto.LineEnd {
		r.body.Free()
		return netconn.ProtocolError, errNoLineEnd
	}
	if !hasMemory {
		c.reject(s.Telemetry, command.ID)
		return code, nil
	}
	s.post(requestReceived{r})
	return code, nil
}

// allocateBody returns memory for the body of a request, or nil if there is none within maxBodyWait.
//
// It guards against a connection that is not read on: cancellations of earlier requests would be seen late, and later
// requests would begin after their time.
func (s *Server) allocateBody(ctx context.Context, bodyBytes int) *request.Body {
	bodies := s.pool.Admission.Bodies
	if body := bodies.TryAllocateRequest(nil, bodyBytes); body != nil {
		return body
	}
	ctx, cancel := context.WithTimeout(ctx, maxBodyWait)
	defer cancel()
	body, err := bodies.AllocateRequest(ctx, nil, bodyBytes)
	if err != nil {
		return nil
	}
	return body
}

// reject responds that the cache is overloaded and that a request has not run.
func (c *clientConn) reject(metrics *telemetry.Metrics, id string) {
	metrics.Inc(telemetry.CacheRequestsRejected)
	reply := cacheproto.AttemptReply{Result: routing.Overloaded}
	c.writer.send(queuedResponse{head: cacheproto.AppendAttemptReply(nil, id, reply)})
}
