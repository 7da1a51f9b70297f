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

// event is what the event loop takes. The types below are all of them.
type event interface{ edgeCacheEvent() }

type (
	// requestReceived is a request with its complete body.
	requestReceived struct{ request *openRequest }
	// requestCancelled is a client's cancel of a request.
	requestCancelled struct {
		conn *clientConn
		id   string
	}
	// clientGone is the end of a client's connection.
	clientGone struct{ conn *clientConn }
	// probeReceived is a client's health probe.
	probeReceived struct {
		conn     *clientConn
		id       string
		withLoad bool
	}
	// workDone says that the modelled cores have done a request's work.
	workDone struct{ request *openRequest }
	// responseDue says that the modelled link has transmitted a response.
	responseDue struct {
		request *openRequest
		reply   cacheproto.AttemptReply
		body    []byte
	}
	// diskReadDone is the result of a disk read, nil for none.
	diskReadDone struct {
		key  eviction.Key
		copy *handler.Copy
	}
	// fetchNotSent says that a fetch could not be sent.
	fetchNotSent struct{ fill uint64 }
	// endpointsChanged is an event of the discovery service with endpoints.
	endpointsChanged struct{ event discovery.Event }
	// upstreamEvent is an event of the pool.
	upstreamEvent struct{ event upstream.Event }
	// openRequestsQuery asks for the number of open requests.
	openRequestsQuery struct{ reply chan int }
)

func (requestReceived) edgeCacheEvent()   {}
func (requestCancelled) edgeCacheEvent()  {}
func (clientGone) edgeCacheEvent()        {}
func (probeReceived) edgeCacheEvent()     {}
func (workDone) edgeCacheEvent()          {}
func (responseDue) edgeCacheEvent()       {}
func (diskReadDone) edgeCacheEvent()      {}
func (fetchNotSent) edgeCacheEvent()      {}
func (endpointsChanged) edgeCacheEvent()  {}
func (upstreamEvent) edgeCacheEvent()     {}
func (openRequestsQuery) edgeCacheEvent() {}

// post queues an event; after the end of the loop it is dropped.
func (s *Server) post(ev event) {
	select {
	case s.events <- ev:
	case <-s.loopDone:
	}
}

// handleNext has the loop handle an event after the one in hand. It is for the loop's own goroutine.
//
// It guards against a loop that waits for room in its own queue, which nobody else empties: the edge cache would answer
// nothing any more.
func (s *Server) handleNext(ev event) { s.next = append(s.next, ev) }

// handleAllNext handles the events of handleNext, also those that come meanwhile.
func (s *Server) handleAllNext() {
	for len(s.next) > 0 {
		ev := s.next[0]
		s.next = s.next[1:]
		s.recovering(func() { s.handle(ev) })
	}
}

// handleAt handles an event at a time in monotonic seconds, at once if that has passed. The timer's goroutine only
// posts the event, which is dropped after the end of the loop.
func (s *Server) handleAt(at float64, ev event) {
	if wait := at - s.now().Seconds(); wait > 0 {
		time.AfterFunc(time.Duration(wait*float64(time.Second)), func() { s.post(ev) })
		return
	}
	s.handle(ev)
}

// loop owns the handler, the pool and the open requests.
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
			s.recovering(func() { s.handle(ev) })
		case <-tick.C:
			s.recovering(func() { s.perform(s.handler.HandleTick(s.now().Seconds())) })
		case <-sweep.C:
			s.recovering(func() { s.pool.CloseIdle(s.now()) })
		}
		s.handleAllNext()
	}
}

// recovering calls f and logs a panic.
func (s *Server) recovering(f func()) {
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
	case clientGone:
		ev.conn.gone = true
		for _, r := range ev.conn.requests {
			s.cancel(now, r)
		}
	case probeReceived:
		ev.conn.send(outgoing{head: cacheproto.AppendProbeReply(nil, ev.id, true, s.loadReport(now, ev.withLoad))})
	case workDone:
		s.dispatch(ev.request)
	case responseDue:
		s.transmit(ev)
	case diskReadDone:
		s.perform(s.handler.HandleDiskRead(now, ev.key, ev.copy))
	case fetchNotSent:
		s.handleFetchNotSent(now, ev.fill)
	case endpointsChanged:
		s.pool.UpdateEndpoints(ev.event.Kind == discovery.Snapshot, ev.event.Endpoints)
	case upstreamEvent:
		s.handleUpstream(now, ev.event)
	case openRequestsQuery:
		ev.reply <- len(s.requests)
	}
}

// loadReport is the load that a probe reports, empty if it did not ask for it.
func (s *Server) loadReport(now float64, wanted bool) cacheproto.LoadReport {
	if !wanted {
		return ""
	}
	return cacheproto.NewLoadReport(len(s.requests), s.capacity.Utilization(now))
}
