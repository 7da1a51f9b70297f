package routing

import (
	"cmp"
	"slices"
)

// request is an open request with what is wanted for it.
type request struct {
	RequestArrived
	token            uint64 // of its timers
	arrivedAt        float64
	sendSeconds      float64 // of its size, or its class's mean
	sendTimeLearned  bool    // sendSeconds is from answers, as the size is not known
	priorityPerKB    float64
	objectiveSeconds float64 // s, of its size
	chunk            *chunk
	object           *object
	firstOfChunk     bool // no request for the chunk was seen before
	state            requestState
	attempts         []*attempt
	wakeAt           float64 // when it is to be planned again
	timerAt          float64 // when its next timer fires, 0 for none
}

// requestState is where a request is between its arrival and its end. These are all transitions; Router.moveRequest
// makes them and no other:
//
//	from    to      when
//	open    queued  it may have another attempt and no endpoint has room
//	queued  open    it gets an attempt, or its attempts are awaited
//	open    ended   it has completed, its final action is emitted, or its client has disconnected
//	queued  ended   likewise
type requestState uint8

const (
	requestOpen   requestState = iota // its attempts are chosen or in flight
	requestQueued                     // it is in the queue; attempts that were taken for lost may be in flight
	requestEnded                      // no answer is owed; the ends of its attempts may be awaited
)

// moveRequest takes a request to another state, and into the queue or out of it. An ended one stays ended.
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

// compareInQueue orders queued requests: the highest priority a KB first, then the oldest.
func compareInQueue(a, b *request) int {
	return cmp.Or(cmp.Compare(b.priorityPerKB, a.priorityPerKB), cmp.Compare(a.token, b.token))
}

// addRequest enters a request under its id and a new token, and finds its chunk.
func (r *Router) addRequest(req *request) {
	r.sequence++
	req.token = r.sequence
	r.requests[req.Request] = req
	r.requestsByToken[req.token] = req
	req.object = r.findOrAddObject(req.Object, req.ObjectGroup)
	req.object.lastRequestAt = r.now
	req.chunk = req.object.findOrAddChunk(req.Chunk)
	req.firstOfChunk = !req.chunk.requested
}

// removeUnlessInFlight forgets a request that has ended, once the ends of all its attempts are known.
func (r *Router) removeUnlessInFlight(req *request) {
	if !slices.ContainsFunc(req.attempts, isInFlight) {
		delete(r.requests, req.Request)
		delete(r.requestsByToken, req.token)
	}
}

// findAttempt finds an attempt of an open request, nil where there is none.
func (r *Router) findAttempt(id RequestID, number int) (*request, *attempt) {
	req := r.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return nil, nil
	}
	return req, req.attempts[number]
}
