package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"cairnfront/routing"
)

const (
	traceStart       = 1000.0 // s, initial clock value
	traceZone        = 2
	traceParentKind  = 1
	traceOriginKind  = 2
	traceObjects     = 250
	traceChunks      = 5
	traceGroups      = 8
	traceClasses     = 6
	cachedChunks     = 120   // capacity of a cache in chunks
	cancelDelay      = 0.001 // s from a cancel to the end of its attempt
	traceIdleGap     = 75.0  // s without traffic before the last requests, longer than any state is retained
	requestsAfterGap = 200

	purgedRequestInterval = 10 // every nth request follows a purge, in scenarios with purgesBeforeRequests
)

type traceAttempt struct {
	routing.StartAttempt
	endpoint, source *traceEndpoint
	sentAt           float64
	ended            bool
}

type traceRequest struct {
	class    routing.ClassIndex
	chunk    string
	sizeKB   float64
	deadline float64
	attempts []*traceAttempt
	done     bool
}

// scheduled is a function to run at a time. Functions at equal times run in the order in which they were scheduled.
type scheduled struct {
	at    float64
	order int
	run   func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || (s[i].at == s[j].at && s[i].order < s[j].order)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, mustSchedule(x)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// mustSchedule returns an item of a schedule from container/heap, which is untyped. It panics for any other type.
func mustSchedule(item any) scheduled {
	next, ok := item.(scheduled)
	if !ok {
		panic(fmt.Sprintf("a schedule has no %T", item))
	}
	return next
}

// simulation sends one router the events of a simulated deployment and carries out its actions.
type simulation struct {
	scenario  traceScenario
	random    *rand.Rand
	router    routing.Decider
	trace     *decisionTrace
	now       float64
	queue     schedule
	order     int
	endpoints []*traceEndpoint
	byID      map[routing.EndpointID]*traceEndpoint
	requests  map[routing.RequestID]*traceRequest
	arrived   int
}

func runScenario(scenario traceScenario, seed uint64) *decisionTrace {
	w := &simulation{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(seed, 0x7ace)),
		router:   routing.New(seed+scenario.moduleSeedOffset, scenario.settings),
		trace:    newDecisionTrace(),
		now:      traceStart,
		byID:     map[routing.EndpointID]*traceEndpoint{},
		requests: map[routing.RequestID]*traceRequest{},
	}
	w.addEndpoints()
	w.decide(routing.EndpointUpdate{Kind: routing.Restored, Endpoints: w.listed()})
	w.scheduleAll()
	for w.queue.Len() > 0 {
		next := mustSchedule(heap.Pop(&w.queue))
		w.now = max(w.now, next.at)
		next.run()
	}
	return w.trace
}

func (w *simulation) addEndpoints() {
	add := func(id string, zone, kind, cell int, weight float64) {
		e := &traceEndpoint{cached: map[string]bool{}}
		e.Endpoint = routing.Endpoint{ID: routing.EndpointID(id), Zone: zone, Kind: kind, Cell: cell, Weight: weight}
		w.endpoints = append(w.endpoints, e)
		w.byID[e.ID] = e
	}
	for i := range w.scenario.caches {
		weight := 5 + float64(i)
		if w.scenario.endpointsWithoutWeight && i >= w.scenario.caches/2 {
			weight = 0
		}
		add(fmt.Sprint("cache-", i), traceZone, 0, i/2, weight)
	}
	add("elsewhere", 1, 0, 0, 5)
	for i := range w.scenario.parents {
		add(fmt.Sprint("parent-", i), i%2, traceParentKind, 0, 12)
	}
	if w.scenario.origin {
		add("origin", 0, traceOriginKind, 0, 1)
	}
}

func (w *simulation) listed() []routing.Endpoint {
	var all []routing.Endpoint
	for _, e := range w.endpoints {
		all = append(all, e.Endpoint)
	}
	return all
}

func (w *simulation) at(at float64, run func()) {
	w.order++
	heap.Push(&w.queue, scheduled{at: at, order: w.order, run: run})
}

func (w *simulation) after(seconds float64, run func()) { w.at(w.now+seconds, run) }

// scheduleAll schedules the requests and the events of endpoints.
func (w *simulation) scheduleAll() {
	end := traceStart + w.scenario.seconds
	for at := traceStart; at < end; at += w.random.ExpFloat64() / w.scenario.requestsPerS {
		w.at(at, w.arrive)
	}
	for at := traceStart + 5; at < end; at += 1.5 + 2*w.random.Float64() {
		w.at(at, w.changeCondition)
	}
	for at := traceStart + 1; at < end; at += 0.4 + w.random.Float64() {
		w.at(at, w.sendRandomEvent)
	}
	if perSecond := w.scenario.observationsPerS; perSecond > 0 {
		for at := traceStart + 1; at < end; at += w.random.ExpFloat64() / perSecond {
			w.at(at, w.sendHealthObservation)
		}
	}
	if w.scenario.purges > 0 {
		w.at(traceStart+w.scenario.seconds*2/3, w.purgeMany)
	}
	for i := range requestsAfterGap {
		w.at(end+traceIdleGap+float64(i)/w.scenario.requestsPerS, w.arrive)
	}
}

// decide sends an event to the router, records its actions and carries them out.
func (w *simulation) decide(event routing.Event) {
	w.trace.events++
	number := w.trace.events
	actions := append([]routing.Action(nil), w.router.Decide(w.now, event)...)
	for _, action := range actions {
		w.trace.record(w.now, number, action)
	}
	for _, action := range actions {
		w.carryOut(action)
	}
}

func (w *simulation) carryOut(action routing.Action) {
	switch a := action.(type) {
	case routing.StartAttempt:
		w.start(a)
	case routing.CancelAttempt:
		w.cancel(a)
	case routing.RejectRequest:
		w.requests[a.Request].done = true
	case routing.AbortRequest:
		w.requests[a.Request].done = true
	case routing.SetTimer:
		w.after(a.AfterSeconds, func() { w.decide(routing.TimerFired{Token: a.Token}) })
	}
}

// arrive sends a request for a random chunk; objects of low numbers are requested more often.
func (w *simulation) arrive() {
	w.arrived++
	id := routing.RequestID(fmt.Sprint("r", w.arrived))
	class := routing.ClassIndex(0)
	if w.random.Float64() < 0.5 {
		class = routing.ClassIndex(w.random.IntN(traceClasses))
	}
	object := int(traceObjects * w.random.Float64() * w.random.Float64() * w.random.Float64())
	chunk := w.random.IntN(traceChunks)
	size := 20 + 180*w.random.Float64()
	if w.random.IntN(20) == 0 {
		size = 0
	}
	request := &traceRequest{
		class:    class,
		chunk:    fmt.Sprint(object, "/", chunk),
		sizeKB:   size,
		deadline: w.now + 0.8 + 1.5*w.random.Float64(),
	}
	w.requests[id] = request
	if w.scenario.purgesBeforeRequests && w.arrived%purgedRequestInterval == 0 {
		w.decide(routing.Purge{ObjectGroup: object % traceGroups, Object: fmt.Sprint("object-", object)})
	}
	w.decide(routing.RequestArrived{
		Request:     id,
		Class:       class,
		Object:      fmt.Sprint("object-", object),
		Chunk:       chunk,
		ObjectGroup: object % traceGroups,
		Deadline:    request.deadline,
		SizeKB:      size,
		Write:       class != 0 && w.random.IntN(8) == 0,
	})
	if w.random.IntN(25) == 0 {
		w.after(w.random.Float64(), func() { w.disconnect(id) })
	}
}

func (w *simulation) disconnect(id routing.RequestID) {
	if request := w.requests[id]; !request.done {
		request.done = true
		w.decide(routing.ClientDisconnected{Request: id})
	}
}

// start simulates an attempt: its result and duration depend on the endpoint, its source and chance.
func (w *simulation) start(action routing.StartAttempt) {
	request := w.requests[action.Request]
	attempt := &traceAttempt{
		StartAttempt: action,
		endpoint:     w.byID[action.Endpoint],
		source:       w.byID[action.Source],
		sentAt:       w.now,
	}
	number := len(request.attempts)
	request.attempts = append(request.attempts, attempt)
	attempt.endpoint.inFlight++
	result, detail, took := w.simulateAttempt(request, attempt)
	if result == routing.TimedOut || w.now+took > action.Deadline {
		result, detail, took = routing.TimedOut, routing.NoDetail, action.Deadline-w.now
		if w.random.IntN(2) == 0 {
			w.after(0.3+0.3*w.random.Float64(), func() { w.stall(action.Request, number, attempt) })
		}
	}
	w.after(took, func() { w.end(action.Request, number, result, detail) })
}

func (w *simulation) stall(id routing.RequestID, number int, attempt *traceAttempt) {
	if !attempt.ended {
		w.decide(routing.AttemptStalled{Request: id, Attempt: number})
	}
}

func (w *simulation) cancel(action routing.CancelAttempt) {
	if w.random.IntN(4) > 0 { // otherwise it is answered before the cancel takes effect
		w.after(cancelDelay, func() { w.end(action.Request, action.Attempt, routing.Cancelled, routing.NoDetail) })
	}
}

func (w *simulation) end(id routing.RequestID, number int, result routing.AttemptResult, detail routing.ResultDetail) {
	request := w.requests[id]
	attempt := request.attempts[number]
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.endpoint.inFlight--
	if result == routing.Completed {
		request.done = true
	}
	took := w.now - attempt.sentAt
	w.decide(routing.AttemptEnded{
		Request:          id,
		Attempt:          number,
		Endpoint:         attempt.Endpoint,
		Result:           result,
		Detail:           detail,
		ElapsedSeconds:   took,
		FirstByteSeconds: took * (0.2 + 0.7*w.random.Float64()),
		RequestDone:      request.done,
		LoadReport:       []routing.LoadMetric{{Name: "inflight", Value: float64(attempt.endpoint.inFlight)}},
	})
}
