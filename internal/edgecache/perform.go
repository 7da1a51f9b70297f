package edgecache

import (
	"fmt"
	"slices"
	"strconv"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/edgecache/handler"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"
)

// perform executes the handler's actions. It iterates over a clone because a call of the handler reuses the slice; no
// action calls the handler before perform returns, but one that did would overwrite the remaining actions. Nothing
// waits for the goroutine of a disk read: it ends when the disk cache responds, at the latest after the read timeout,
// and its result is dropped if the event loop has ended by then.
func (s *Server) perform(actions []handler.Action) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case handler.Respond:
			s.respondWith(a)
		case handler.ReadDisk:
			go s.readDisk(a.Key) // bounded by the number of open requests
		case handler.Fetch:
			s.fetch(a)
		case handler.CancelFetch:
			s.cancelFetch(a.Fill)
		default:
			s.performOnDisk(action)
		}
	}
}

// performOnDisk executes an action that concerns the disk cache.
func (s *Server) performOnDisk(action handler.Action) {
	if a, ok := action.(handler.ConfirmOnDisk); ok {
		if s.Disk != nil {
			s.Disk.Confirm(a.Key, a.Seq, a.Epoch)
		}
		s.Telemetry.Inc(telemetry.CacheCopiesConfirmed)
		return
	}
	if s.Disk == nil {
		return
	}
	switch a := action.(type) {
	case handler.WriteDisk:
		if a.Copy.ETag != "" {
			s.Disk.Admit(diskMeta(a.Copy), a.Copy.Body, a.Epoch)
		}
	case handler.TouchDisk:
		if a.Copy.ETag != "" {
			s.Disk.Touch(diskMeta(a.Copy), a.Copy.Body, a.Copy.ConfirmedEpoch)
		}
	case handler.DeleteFromDisk:
		s.Disk.Delete(a.Key)
	}
}

func diskMeta(c *handler.Copy) diskcache.Meta {
	return diskcache.Meta{
		Key:      c.Key,
		Group:    c.Group,
		Rank:     uint8(c.Rank),
		IssuedAt: c.IssuedAt,
		ETag:     c.ETag,
	}
}

func (s *Server) respondWith(a handler.Respond) {
	r := s.requests[a.Request]
	if r == nil {
		return
	}
	reply := cacheproto.AttemptReply{
		Result:      a.Result,
		Detail:      a.Detail,
		NotModified: a.NotModified,
		PurgeGroup:  cacheproto.UnknownPurgeGroup,
	}
	var body []byte
	switch {
	case a.Copy != nil:
		c := a.Copy
		reply.ETag, reply.OriginUnixMillis, reply.PurgeGroup, body = c.ETag, c.IssuedAt, int(c.Group), c.Body
	case a.Forwarded != nil:
		f := a.Forwarded
		reply.ETag, reply.OriginUnixMillis, reply.PurgeGroup, body = f.ETag, f.IssuedAt, int(f.Group), f.Body
	}
	if a.NotModified {
		body = nil
	}
	s.respond(r, reply, body)
}

// readDisk reads a chunk from the disk cache and posts the result to the event loop.
func (s *Server) readDisk(key eviction.Key) {
	chunk, verdict, err := s.Disk.Get(key)
	if err != nil || verdict == validity.Invalidated {
		s.post(diskReadDone{key, nil})
		return
	}
	s.post(diskReadDone{key, &handler.Copy{
		Key:            key,
		ETag:           chunk.ETag,
		IssuedAt:       chunk.IssuedAt,
		Group:          chunk.Group,
		Rank:           int(chunk.Rank),
		Seq:            chunk.Seq,
		ConfirmedEpoch: chunk.ConfirmedEpoch,
		Body:           chunk.Body,
	}})
}

// fillOwner is the id of the fill that an upstream attempt belongs to. The pool stores it as the attempt's owner.
type fillOwner uint64

// OwnsUpstreamAttempt implements upstream.Owner.
func (fillOwner) OwnsUpstreamAttempt() {}

// fetch sends the request of a fill to its source endpoint. The request id consists of the digits of this cache's id,
// without the prefix "s-", and the fill's id.
func (s *Server) fetch(f handler.Fetch) {
	outbound := &request.Request{
		ID:        routing.RequestID(fmt.Sprintf("%s-%x", s.Config.ID[2:], f.Fill)),
		ClassName: f.Class,
		Object:    fmt.Sprintf("%016x", f.Key.Object),
		Part:      strconv.Itoa(int(f.Key.Chunk)),
		ETag:      f.ETag,
	}
	if r := s.requests[f.Request]; r != nil {
		outbound.IdempotencyKey, outbound.Body = r.command.IdempotencyKey, r.body
	}
	attempt := s.pool.Send(cacheproto.Attempt{
		Request: outbound,
		StartAttempt: routing.StartAttempt{
			Endpoint:      routing.EndpointID(f.Source),
			RetentionRank: f.Rank,
			MaxAgeSeconds: f.MaxAgeSeconds,
			JoinFill:      f.JoinFill,
			CacheOnly:     f.CacheOnly,
			ParentNoStore: f.NoStore,
		},
	}, upstream.Bounds{Deadline: clock.FromSeconds(s.now().Seconds() + f.TimeoutSeconds)}, nil, fillOwner(f.Fill))
	if attempt == nil {
		s.deferEvent(fetchNotSent{f.Fill})
		return
	}
	s.Telemetry.Inc(telemetry.CacheFetches)
	s.attempts[f.Fill] = attempt
}

func (s *Server) handleFetchNotSent(now float64, fill uint64) {
	s.perform(s.handler.HandleFetched(now, fill, handler.FetchResult{Result: routing.NotSent}))
}

func (s *Server) handleUpstream(now float64, ev upstream.Event) {
	switch ev := ev.(type) {
	case upstream.AttemptEnded:
		s.handleAttemptEnded(now, ev)
	case upstream.ConnectionClosed:
		s.pool.RemoveConnection(ev.Connection)
	}
}

// handleAttemptEnded passes the result of an upstream attempt to the handler as the result of its fill.
func (s *Server) handleAttemptEnded(now float64, ev upstream.AttemptEnded) {
	owner, _ := ev.Attempt.Owner.(fillOwner) // the pool has attempts of fills only; no fill has the id 0
	fill := uint64(owner)
	if s.attempts[fill] == nil {
		ev.End.Body.Free()
		return
	}
	delete(s.attempts, fill)
	result := handler.FetchResult{
		Result:      ev.End.Result,
		NotModified: ev.End.NotModified,
		ETag:        ev.End.ETag,
		IssuedAt:    ev.End.OriginUnixMillis,
		Group:       validity.UnknownGroup,
	}
	if ev.End.BodyDropped { // there was no memory for it
		result.Result = routing.ServerError
	}
	if ev.End.PurgeGroupPlusOne > 0 { // 0 if the source sent no purge group
		result.Group = uint16(ev.End.PurgeGroupPlusOne - 1)
	}
	if body := ev.End.Body; body != nil {
		result.Body = body.Bytes
		s.Telemetry.IncBy(telemetry.CacheFetchedBytes, int64(len(result.Body)))
		body.Free() // the memory cache's own limit accounts for the bytes from here on
	}
	s.perform(s.handler.HandleFetched(now, fill, result))
}

func (s *Server) cancelFetch(fill uint64) {
	if attempt := s.attempts[fill]; attempt != nil {
		delete(s.attempts, fill)
		s.pool.Cancel(attempt, routing.Cancelled)
	}
}
