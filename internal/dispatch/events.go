package dispatch

import (
	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/internal/upstream"
	"cairnfront/routing"
)

// event is what waits in the loop's queue: one of the types below, each of which has a method of Dispatcher that queues
// it. A request's cancellation does not go through the queue.
type event interface{ isDispatchEvent() }

type (
	// requestArrived brings an admitted request.
	requestArrived struct{ request *request.Request }
	// upstreamEvent is an event of a connection to an endpoint.
	upstreamEvent struct{ upstream.Event }
	// discoveryEvent is a change of the endpoint list, or a purge.
	discoveryEvent struct{ discovery.Event }
	// healthObserved is what other routers observed of an endpoint's health.
	healthObserved struct{ observation routing.HealthObservation }
	// shutdown aborts every open request.
	shutdown struct{}
	// livenessProbe calls done from the loop.
	livenessProbe struct{ done func() }
	// pause holds the loop until resume is closed.
	pause struct{ resume <-chan struct{} }
	// addressesReplaced brings the addresses of the configuration file read anew.
	addressesReplaced struct{ lookup AddressLookup }
	// addressStatusQuery asks for the state of all addresses.
	addressStatusQuery struct{ reply chan<- addressStatusReply }
	// addressCommand disables or reinstates an address.
	addressCommand struct {
		action   addressAction
		endpoint routing.EndpointID
		address  string
		reply    chan<- error
	}
)

func (requestArrived) isDispatchEvent()     {}
func (upstreamEvent) isDispatchEvent()      {}
func (discoveryEvent) isDispatchEvent()     {}
func (healthObserved) isDispatchEvent()     {}
func (shutdown) isDispatchEvent()           {}
func (livenessProbe) isDispatchEvent()      {}
func (pause) isDispatchEvent()              {}
func (addressesReplaced) isDispatchEvent()  {}
func (addressStatusQuery) isDispatchEvent() {}
func (addressCommand) isDispatchEvent()     {}

// RequestArrived queues an admitted request if there is room for it now, and reports whether there was. It never waits.
func (d *Dispatcher) RequestArrived(r *request.Request) bool {
	select {
	case d.queue <- requestArrived{r}:
		return true
	default:
		return false
	}
}

// RequestCancelled tells, ahead of all events in the queue, that the client of a request does not wait any more. It
// never waits, since the goroutine that reads a client's connection calls it.
func (d *Dispatcher) RequestCancelled(r *request.Request) {
	d.mu.Lock()
	d.cancelled = append(d.cancelled, r)
	d.mu.Unlock()
	select {
	case d.cancelledPending <- struct{}{}:
	default:
	}
}

// UpstreamEvent queues an event of the upstream pool. Like all methods below it waits while the queue is full, but not
// for a loop that has stopped.
func (d *Dispatcher) UpstreamEvent(ev upstream.Event) { d.post(upstreamEvent{ev}) }

// DiscoveryEvent queues an event of the discovery service.
func (d *Dispatcher) DiscoveryEvent(ev discovery.Event) { d.post(discoveryEvent{ev}) }

// HealthObserved queues what other routers observed of an endpoint's health.
func (d *Dispatcher) HealthObserved(observation routing.HealthObservation) {
	d.post(healthObserved{observation})
}

// AbortAll queues that every open request is aborted, because the process has to end.
func (d *Dispatcher) AbortAll() { d.post(shutdown{}) }

// ProbeLiveness queues a call of done, which shows that the loop handles events. Done must not block.
func (d *Dispatcher) ProbeLiveness(done func()) { d.post(livenessProbe{done}) }

// Pause queues that the loop stands still until resume is closed. It serves the tests of a stalled router.
func (d *Dispatcher) Pause(resume <-chan struct{}) { d.post(pause{resume}) }

// post queues an event. It waits while the queue is full, but not for a loop that has stopped.
func (d *Dispatcher) post(ev event) {
	select {
	case d.queue <- ev:
	case <-d.stopped:
	}
}

// handleCancelled handles the cancellations that came since the last call.
func (d *Dispatcher) handleCancelled() {
	d.mu.Lock()
	cancelled := d.cancelled
	d.cancelled = nil
	d.mu.Unlock()
	for _, r := range cancelled {
		d.recovering(func() { d.handleRequestCancelled(r) })
	}
}

// handle handles one event of the queue.
func (d *Dispatcher) handle(ev event) {
	d.advanceClock()
	switch ev := ev.(type) {
	case requestArrived:
		d.openRequest(ev.request)
	case upstreamEvent:
		d.handleUpstream(ev.Event)
	case discoveryEvent:
		d.applyDiscovery(ev.Event, routing.Incremental)
	case healthObserved:
		d.decide(ev.observation, nil)
	case shutdown:
		d.abortAll()
	case livenessProbe:
		ev.done()
	case pause:
		<-ev.resume
	case addressesReplaced:
		d.replaceAddresses(ev.lookup)
	case addressStatusQuery:
		ev.reply <- d.addressStatus()
	case addressCommand:
		ev.reply <- d.runAddressCommand(ev)
	}
}

// handleUpstream handles an event of the pool.
func (d *Dispatcher) handleUpstream(ev upstream.Event) {
	switch ev := ev.(type) {
	case upstream.DialEnded:
		d.Pool.HandleEvent(ev)
	case upstream.ConnectionClosed:
		d.Pool.RemoveConnection(ev.Connection)
	case upstream.AttemptEnded:
		d.Pool.HandleEvent(ev)
		switch owner := ev.Attempt.Owner.(type) {
		case *attempt:
			d.finishAttempt(owner, ev.End)
		case *probe:
			d.finishProbe(owner, ev.End)
		}
	}
}
