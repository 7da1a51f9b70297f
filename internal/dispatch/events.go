package dispatch

import (
	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/internal/upstream"
	"cairnfront/routing"
)

// event is an entry of the loop's queue: one of the types below, each of which has a Dispatcher method that queues it.
// Cancellations of requests bypass the queue (RequestCancelled).
type event interface{ isDispatchEvent() }

type (
	// requestArrived is the arrival of an admitted request.
	requestArrived struct{ request *request.Request }
	// upstreamEvent is an event of the upstream pool, such as the end of an attempt.
	upstreamEvent struct{ upstream.Event }
	// discoveryEvent is a change of the endpoint list, or a purge.
	discoveryEvent struct{ discovery.Event }
	// healthObserved is a health observation of an endpoint by other routers.
	healthObserved struct{ observation routing.HealthObservation }
	// shutdown aborts every open request.
	shutdown struct{}
	// livenessProbe calls done on the loop's goroutine.
	livenessProbe struct{ done func() }
	// pause blocks the loop until resume is closed.
	pause struct{ resume <-chan struct{} }
	// addressesReplaced replaces the configured addresses after a reload of the configuration file.
	addressesReplaced struct{ lookup AddressLookup }
	// addressStatusQuery requests the state of all addresses.
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

// RequestArrived queues an admitted request. It never blocks, and returns false if the queue is full.
func (d *Dispatcher) RequestArrived(r *request.Request) bool {
	select {
	case d.queue <- requestArrived{r}:
		return true
	default:
		return false
	}
}

// RequestCancelled notifies the loop that a client cancelled a request or disconnected. The loop handles cancellations
// before all queued events. It never blocks, because the goroutine that reads the client's connection calls it.
func (d *Dispatcher) RequestCancelled(r *request.Request) {
	d.mu.Lock()
	d.cancelled = append(d.cancelled, r)
	d.mu.Unlock()
	select {
	case d.cancelledPending <- struct{}{}:
	default:
	}
}

// UpstreamEvent queues an event of the upstream pool. Like all methods below it blocks while the queue is full, and
// drops the event if the loop has stopped.
func (d *Dispatcher) UpstreamEvent(ev upstream.Event) { d.enqueue(upstreamEvent{ev}) }

// DiscoveryEvent queues an event of the discovery service.
func (d *Dispatcher) DiscoveryEvent(ev discovery.Event) { d.enqueue(discoveryEvent{ev}) }

// HealthObserved queues a health observation of an endpoint by other routers.
func (d *Dispatcher) HealthObserved(observation routing.HealthObservation) {
	d.enqueue(healthObserved{observation})
}

// AbortAll queues an event that aborts every open request, for the shutdown of the process.
func (d *Dispatcher) AbortAll() { d.enqueue(shutdown{}) }

// ProbeLiveness queues an event that calls done, which shows that the loop handles events. The function must not block.
func (d *Dispatcher) ProbeLiveness(done func()) { d.enqueue(livenessProbe{done}) }

// Pause queues an event that blocks the loop until resume is closed. It is used in tests of a stalled router.
func (d *Dispatcher) Pause(resume <-chan struct{}) { d.enqueue(pause{resume}) }

// enqueue queues an event. It blocks while the queue is full, and drops the event if the loop has stopped.
func (d *Dispatcher) enqueue(ev event) {
	select {
	case d.queue <- ev:
	case <-d.stopped:
	}
}

// handleCancelled handles the cancellations that were reported since the last call.
func (d *Dispatcher) handleCancelled() {
	d.mu.Lock()
	cancelled := d.cancelled
	d.cancelled = nil
	d.mu.Unlock()
	for _, r := range cancelled {
		d.recoverPanics(func() { d.handleRequestCancelled(r) })
	}
}

// handle handles one queued event.
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

// handleUpstream handles an event of the upstream pool.
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
