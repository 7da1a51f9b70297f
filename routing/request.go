package routing

import (
	"cmp"
	"slices"
)

// request is an open request with its desired state.
type request struct {
	RequestArrived
	token            uint64 // token of its timers
	arrivedAt        float64
	sizeKnown        bool    // the client named a size
	sendSeconds      float64 // expected sending time, from its size or the mean of its class
	priorityPerKB    float64
	objectiveSeconds float64 // latency objective for its size
	chunk            *chunk
	object           *object
	firstForChunk    bool // first request for the chunk that this router has received
	state            requestState
	attempts         []*attempt
	wakeAt           float64 // time of its next planning
	timerAt          float64 // time of its pending timer, 0 if none
	pausedUntil      float64 // end of the pause of an endpoint that it has tried, as of its last planning in the queue
}

// requestState is the state of a request between its arrival and its end. The table lists all transitions; only
// Router.moveRequest makes them:
//
//	from    to      when
//	open    queued  it may have another attempt and no endpoint has capacity
//	queued  open    it gets an attempt, or waits for its attempts in flight
//	open    ended   it has completed, its final action is emitted, or its client has disconnected
//	queued  ended   as for open to ended
type requestState uint8

const (
	requestOpen   requestState = iota // its attempts are selected or in flight
	requestQueued                     // it is in the queue; attempts presumed lost may be in flight
	requestEnded                      // it needs no answer; attempts may still be in flight
)

// moveRequest sets the state of a request, and adds it to the queue or removes it. An ended request stays ended.
func (r *Router) moveRequest(req *request, to requestState) {
	if req.state == to || req.state == requestEnded {
		return
	}
	at, _ := slices.BinarySearchFunc(r.queue, req, compareInQueue)
	switch {
	case to == requestQueued:
		r.queue = slices.Insert(r.queue, at, req)
	case req.state == requestQueued:
		r.queue = slices.Delete(r.queue, at, at+1)
	}
	req.state = to
}

// compareInQueue orders queued requests by priority per KB, highest first, then by age, oldest first.
func compareInQueue(a, b *request) int {
	return cmp.Or(cmp.Compare(b.priorityPerKB, a.priorityPerKB), cmp.Compare(a.token, b.token))
}

// addRequest registers a request under its ID and a new token, and assigns its object and chunk.
func (r *Router) addRequest(req *request) {
	r.sequence++
	req.token = r.sequence
	r.requests[req.Request] = req
	r.requestsByToken[req.token] = req
	req.object = r.findOrAddObject(req.Object, req.ObjectGroup)
	req.object.lastRequestAt = r.now
	req.chunk = r.findOrAddChunk(req.object, req.Chunk)
	req.firstForChunk = !req.chunk.requested
}

// removeUnlessInFlight removes an ended request once all its attempts have ended.
func (r *Router) removeUnlessInFlight(req *request) {
	if !slices.ContainsFunc(req.attempts, isInFlight) {
		r.rememberEnded(req)
		delete(r.requests, req.Request)
		delete(r.requestsByToken, req.token)
	}
}

// findAttempt returns an attempt and its request, or nils if they are not known.
func (r *Router) findAttempt(id RequestID, number int) (*request, *attempt) {
	req := r.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return nil, nil
	}
	return req, req.attempts[number]
}
