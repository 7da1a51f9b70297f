package edgecache

import (
	"context"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache/handler"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
)

// event is an event for the event loop. The types below are its only implementations.
type event interface{ edgeCacheEvent() }

type (
	// requestReceived reports a request that was read completely, including its body.
	requestReceived struct{ request *openRequest }
	// requestCancelled reports that a client cancelled a request.
	requestCancelled struct {
		conn *clientConn
		id   string
	}
	// clientDisconnected reports that a client's connection has ended.
	clientDisconnected struct{ conn *clientConn }
	// probeReceived reports a health probe from a client.
	probeReceived struct {
		conn     *clientConn
		id       string
		withLoad bool
	}
	// modelledWorkDone reports that the capacity model has finished a request's work on its cores.
	modelledWorkDone struct{ request *openRequest }
	// responseDue reports that the capacity model has transmitted a response over its link.
	responseDue struct {
		request *openRequest
		reply   cacheproto.AttemptReply
		body    []byte
	}
	// diskReadDone reports the result of a disk read; copy is nil if no valid chunk was read.
	diskReadDone struct {
		key  eviction.Key
		copy *handler.Copy
	}
	// fetchNotSent reports that the request of a fill could not be sent to its source.
	fetchNotSent struct{ fill uint64 }
	// endpointsChanged carries a discovery event that contains endpoints.
	endpointsChanged struct{ event discovery.Event }
	// upstreamEvent carries an event of the upstream connection pool.
	upstreamEvent struct{ event upstream.Event }
	// openRequestsQuery requests the number of open requests and unwritten responses, which is sent to reply.
	openRequestsQuery struct{ reply chan int }
)

func (requestReceived) edgeCacheEvent()    {}
func (requestCancelled) edgeCacheEvent()   {}
func (clientDisconnected) edgeCacheEvent() {}
func (probeReceived) edgeCacheEvent()      {}
func (modelledWorkDone) edgeCacheEvent()   {}
func (responseDue) edgeCacheEvent()        {}
func (diskReadDone) edgeCacheEvent()       {}
func (fetchNotSent) edgeCacheEvent()       {}
func (endpointsChanged) edgeCacheEvent()   {}
func (upstreamEvent) edgeCacheEvent()      {}
func (openRequestsQuery) edgeCacheEvent()  {}

// post queues an event for the event loop. It drops the event if the loop has ended.
func (s *Server) post(ev event) {
	select {
	case s.events <- ev:
	case <-s.loopDone:
	}
}

// deferEvent schedules an event to be handled directly after the current one. It must be called only from the event
// loop's goroutine.
//
// It guards against a deadlock: only the loop empties its event queue, so a loop that posted to its own full queue
// would block forever and the edge cache would stop responding.
func (s *Server) deferEvent(ev event) { s.deferred = append(s.deferred, ev) }

// handleDeferredEvents handles the deferred events, including those that are deferred while it runs.
func (s *Server) handleDeferredEvents() {
	for len(s.deferred) > 0 {
		ev := s.deferred[0]
		s.deferred = s.deferred[1:]
		s.recoverPanics(func() { s.handle(ev) })
	}
}

// handleAt handles an event at the given time, or immediately if that time has passed. The time is in Unix seconds of
// the server's clock, which is monotonic. The timer's goroutine only posts the event, which is dropped if the loop has
// ended.
func (s *Server) handleAt(at float64, ev event) {
	if wait := at - s.now().Seconds(); wait > 0 {
		time.AfterFunc(time.Duration(wait*float64(time.Second)), func() { s.post(ev) })
		return
	}
	s.handle(ev)
}

// loop runs the event loop, which owns the handler, the upstream pool and the open requests.
func (s *Server) loop(ctx context.Context) error {
	defer close(s.loopDone)
	tick, sweep := time.NewTicker(tickInterval), time.NewTicker(idleSweepInterval)
	defer tick.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-s.events:
			s.recoverPanics(func() { s.handle(ev) })
		case <-tick.C:
			s.recoverPanics(func() { s.perform(s.handler.HandleTick(s.now().Seconds())) })
		case <-sweep.C:
			s.recoverPanics(func() { s.pool.CloseIdle(s.now()) })
		}
		s.handleDeferredEvents()
	}
}

// recoverPanics calls f, recovers from a panic in it and records the panic.
func (s *Server) recoverPanics(f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Telemetry.RecordPanic(telemetry.ComponentEdgeCache, cause)
		}
	}()
	f()
}

func (s *Server) handle(ev event) {
	now := s.now().Seconds()
	switch ev := ev.(type) {
	case requestReceived:
		s.handleRequest(now, ev.request)
	case requestCancelled:
		if r := ev.conn.requests[ev.id]; r != nil {
			s.cancel(now, r)
		}
	case clientDisconnected:
		ev.conn.closed = true
		for _, r := range ev.conn.requests {
			s.cancel(now, r)
		}
	case probeReceived:
		ev.conn.writer.send(queuedResponse{
			head: cacheproto.AppendProbeReply(nil, ev.id, true, s.loadReport(now, ev.withLoad)),
		})
	case modelledWorkDone:
		s.dispatch(ev.request)
	case responseDue:
		s.sendResponse(ev)
	case diskReadDone:
		s.perform(s.handler.HandleDiskRead(now, ev.key, ev.copy))
	case fetchNotSent:
		s.handleFetchNotSent(now, ev.fill)
	case endpointsChanged:
		s.pool.UpdateEndpoints(ev.event.Kind == discovery.Snapshot, ev.event.Endpoints)
	case upstreamEvent:
		s.handleUpstream(now, ev.event)
	case openRequestsQuery:
		ev.reply <- len(s.requests) + int(s.unwritten.Load())
	}
}

// loadReport returns the load report for a probe reply, or an empty report if the probe did not request one.
func (s *Server) loadReport(now float64, withLoad bool) cacheproto.LoadReport {
	if !withLoad {
		return ""
	}
	return cacheproto.NewLoadReport(len(s.requests), s.capacity.Utilization(now))
}
