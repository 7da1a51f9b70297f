package edgecache

import (
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/config"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache/handler"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// openRequest is a request that has not been answered yet. The event loop owns it.
type openRequest struct {
	number     uint64
	conn       *clientConn
	command    cacheproto.Command
	key        eviction.Key
	body       *request.Body
	class      config.Class
	arrivedAt  float64 // Unix seconds at which its command line was read
	deadline   float64 // Unix seconds
	responding bool
}

// handleRequest admits or rejects a request and schedules its work in the capacity model.
func (s *Server) handleRequest(now float64, r *openRequest) {
	conn := r.conn
	if conn.closed {
		r.body.Free()
		return
	}
	if !conn.mayOpenRequest(r.command.ID, s.Config.StreamsPerConnection) {
		r.body.Free()
		conn.reject(s.Telemetry, r.command.ID)
		return
	}
	if s.OnRequest != nil {
		s.OnRequest(r.command)
	}
	s.lastRequestNumber++
	r.number = s.lastRequestNumber
	r.deadline = r.arrivedAt + r.command.TimeoutSeconds
	s.requests[r.number] = r
	conn.requests[r.command.ID] = r
	s.Telemetry.Inc(telemetry.CacheRequests.With(telemetry.Class(r.command.ClassName)))
	class, known := s.classes[r.command.ClassName]
	if !known {
		s.Telemetry.Inc(telemetry.CacheUnknownClass)
		s.respond(r, cacheproto.AttemptReply{Result: routing.ServerError}, nil)
		return
	}
	r.class = class
	doneAt, accepted := s.capacity.Process(now, r.deadline)
	if !accepted {
		s.Telemetry.Inc(telemetry.CacheOverloaded)
		s.respond(r, cacheproto.AttemptReply{Result: routing.Overloaded}, nil)
		return
	}
	s.handleAt(doneAt, modelledWorkDone{r})
}

// mayOpenRequest reports whether the connection may open a request with the given id. The id must be unused, since the
// responses to two requests with one id could not be distinguished. The limit on open requests prevents one client from
// using all memory of the cache.
func (c *clientConn) mayOpenRequest(id string, maxOpen int) bool {
	return c.requests[id] == nil && len(c.requests) < maxOpen
}

// isOpen reports whether a request has been neither answered nor cancelled.
func (s *Server) isOpen(r *openRequest) bool { return s.requests[r.number] == r }

// dispatch passes a request to the origin or the handler after the capacity model has finished its work.
func (s *Server) dispatch(r *openRequest) {
	if !s.isOpen(r) {
		return
	}
	if s.Origin != nil {
		s.serveFromOrigin(r)
		return
	}
	command := &r.command
	s.perform(s.handler.HandleRequest(s.now().Seconds(), handler.Request{
		ID:  r.number,
		Key: r.key,
		Class: handler.Class{
			Name:         r.class.Name,
			Cacheable:    r.class.Cacheable,
			FreshSeconds: r.class.FreshSeconds,
			StaleSeconds: r.class.StaleSeconds,
		},
		Deadline:      r.deadline,
		Source:        s.fillSource(r),
		Rank:          command.RetentionRank,
		MaxAgeSeconds: command.MaxAgeSeconds,
		JoinFill:      command.JoinFill,
		CacheOnly:     command.CacheOnly,
		NoStore:       command.ParentNoStore,
		Revalidate:    command.Revalidate,
		ETag:          command.ETag,
	}))
}

// fillSource returns the endpoint to fetch from if the request is a cache miss, or an empty string if there is none.
func (s *Server) fillSource(r *openRequest) string {
	source := r.command.FillSource
	if source == "" && s.Config.Role == roleParent && !r.command.CacheOnly {
		source = s.Config.DefaultSource
	}
	if source == s.Config.ID {
		return ""
	}
	return source
}

// serveFromOrigin responds with content from the origin, or has the origin execute a request that is not cacheable.
func (s *Server) serveFromOrigin(r *openRequest) {
	if !r.class.Cacheable {
		command := &r.command
		err := s.Origin.Execute(command.ID, command.ClassName, command.IdempotencyKey, r.key, r.class.Effect)
		if err != nil {
			s.respond(r, cacheproto.AttemptReply{Result: routing.ServerError}, nil)
			return
		}
		s.Telemetry.Inc(telemetry.CacheRequestsExecuted)
		s.respond(r, cacheproto.AttemptReply{Result: routing.Completed}, nil)
		return
	}
	issuedAt := s.now().UnixMillis()
	etag, group, body, ok := s.Origin.Get(r.key)
	if !ok {
		s.respond(r, cacheproto.AttemptReply{Result: routing.CacheMiss}, nil)
		return
	}
	reply := cacheproto.AttemptReply{
		Result:           routing.Completed,
		Detail:           routing.CacheHit,
		ETag:             etag,
		OriginUnixMillis: issuedAt,
		PurgeGroup:       int(group),
	}
	if etag == r.command.ETag {
		reply.NotModified = true
		body = nil
	}
	s.respond(r, reply, body)
}

// cancel ends a request without a response after its client cancelled it or disconnected.
func (s *Server) cancel(now float64, r *openRequest) {
	if !s.isOpen(r) {
		return
	}
	s.removeRequest(r)
	s.Telemetry.Inc(telemetry.CacheRequestsCancelled)
	s.perform(s.handler.HandleCancel(now, r.number, r.key))
}

func (s *Server) removeRequest(r *openRequest) {
	delete(s.requests, r.number)
	delete(r.conn.requests, r.command.ID)
	r.body.Free()
}

// respond schedules the response to a request. It is sent when the capacity model has transmitted it over its link.
func (s *Server) respond(r *openRequest, reply cacheproto.AttemptReply, body []byte) {
	if !s.isOpen(r) || r.responding {
		return
	}
	r.responding = true
	reply.BodyBytes = len(body)
	class, detail := telemetry.Class(r.command.ClassName), request.DetailLabel(reply.Detail)
	s.Telemetry.Inc(telemetry.CacheResponses.With(class, request.ResultLabel(reply.Result), detail))
	s.Telemetry.IncBy(telemetry.CacheResponseBytes.With(detail), int64(len(body)))
	transmittedAt := s.capacity.Transmit(s.now().Seconds(), len(body))
	s.handleAt(transmittedAt, responseDue{r, reply, body})
}

// sendResponse queues a scheduled response for its connection's writer and removes the request.
func (s *Server) sendResponse(due responseDue) {
	r := due.request
	if !s.isOpen(r) {
		return
	}
	if s.OnResponse != nil {
		s.OnResponse(r.command.ID, len(due.body))
	}
	s.removeRequest(r)
	head := cacheproto.AppendAttemptReply(nil, r.command.ID, due.reply)
	r.conn.writer.send(queuedResponse{head: head, body: due.body})
}
