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

// openRequest is a request that has no response yet. The event loop owns it.
type openRequest struct {
	number     uint64
	conn       *clientConn
	command    cacheproto.Command
	key        eviction.Key
	body       *request.Body
	class      config.Class
	deadline   float64 // Unix seconds
	responding bool
}

// handleRequest admits a request and models its work.
func (s *Server) handleRequest(now float64, r *openRequest) {
	conn := r.conn
	if conn.gone {
		r.body.Free()
		return
	}
	if !conn.mayOpen(r.command.ID, s.Config.StreamsPerConnection) {
		r.body.Free()
		s.Telemetry.Inc(telemetry.CacheRequestsRejected)
		reply := cacheproto.AttemptReply{Result: routing.Overloaded}
		conn.send(outgoing{head: cacheproto.AppendAttemptReply(nil, r.command.ID, reply)})
		return
	}
	if s.OnRequest != nil {
		s.OnRequest(r.command)
	}
	s.lastRequest++
	r.number = s.lastRequest
	r.deadline = now + r.command.TimeoutSeconds
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
	doneAt, accepted := s.capacity.Process(now)
	if !accepted {
		s.Telemetry.Inc(telemetry.CacheOverloaded)
		s.respond(r, cacheproto.AttemptReply{Result: routing.Overloaded}, nil)
		return
	}
	s.handleAt(doneAt, workDone{r})
}

// mayOpen says whether a connection may open a request. The responses to two of one id could not be distinguished,
// and without the bound one client could hold all memory of the cache.
func (c *clientConn) mayOpen(id string, maxOpen int) bool {
	return c.requests[id] == nil && len(c.requests) < maxOpen
}

// isOpen reports whether a request has neither been answered nor cancelled.
func (s *Server) isOpen(r *openRequest) bool { return s.requests[r.number] == r }

// dispatch passes a request whose work is done to the origin or the handler.
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
		Source:        s.sourceOf(r),
		Rank:          command.RetentionRank,
		MaxAgeSeconds: command.MaxAgeSeconds,
		JoinFill:      command.JoinFill,
		CacheOnly:     command.CacheOnly,
		NoStore:       command.ParentNoStore,
		Revalidate:    command.Revalidate,
		ETag:          command.ETag,
	}))
}

// sourceOf is the endpoint that a request's miss is fetched from, empty for none.
func (s *Server) sourceOf(r *openRequest) string {
	source := r.command.FillSource
	if source == "" && s.Config.Role == roleParent && !r.command.CacheOnly {
		source = s.Config.DefaultSource
	}
	if source == s.Config.ID {
		return ""
	}
	return source
}

// serveFromOrigin responds with the origin's content, or executes a request of a class that is not cacheable.
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
	tag, group, body, ok := s.Origin.Get(r.key)
	if !ok {
		s.respond(r, cacheproto.AttemptReply{Result: routing.CacheMiss}, nil)
		return
	}
	reply := cacheproto.AttemptReply{
		Result:           routing.Completed,
		Detail:           routing.CacheHit,
		ETag:             tag,
		OriginUnixMillis: issuedAt,
		PurgeGroup:       int(group),
	}
	if tag == r.command.ETag {
		reply.NotModified = true
		body = nil
	}
	s.respond(r, reply, body)
}

// cancel ends a request that nobody waits for.
func (s *Server) cancel(now float64, r *openRequest) {
	if !s.isOpen(r) {
		return
	}
	s.remove(r)
	s.Telemetry.Inc(telemetry.CacheRequestsCancelled)
	s.perform(s.handler.HandleCancel(now, r.number, r.key))
}

func (s *Server) remove(r *openRequest) {
	delete(s.requests, r.number)
	delete(r.conn.requests, r.command.ID)
	r.body.Free()
}

// respond ends a request with a reply, which is sent when the modelled link has transmitted it.
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

// transmit hands a response to the connection's writer.
func (s *Server) transmit(due responseDue) {
	r := due.request
	if !s.isOpen(r) {
		return
	}
	if s.OnResponse != nil {
		s.OnResponse(r.command.ID, len(due.body))
	}
	s.remove(r)
	head := cacheproto.AppendAttemptReply(nil, r.command.ID, due.reply)
	r.conn.send(outgoing{head: head, body: due.body})
}
