package routing

import (
	"fmt"
	"strconv"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

const routerSeedStep = 977 // difference between the seeds of consecutive routers

// router is one simulated router: the decision module and a simplified version of the service around it.
type router struct {
	sim          *simulation
	module       routing.Decider
	zone         int
	openRequests map[routing.RequestID]*request
	gossip       *observation.Tracker // nil if gossip is disabled
	sequence     uint32               // sequence number of the last false observation
}

type request struct {
	key         chunkKey
	sizeKB      float64
	arrivedAt   float64
	objective   float64 // latency objective in seconds
	answerCount int
	attempts    []*attempt
	answered    bool
	phase       string
}

type attempt struct {
	ended  bool
	sentAt float64
	target routing.EndpointID
}

func (s *simulation) addRouters(seed uint64, routers int, gossip Gossip) {
	for i := range routers {
		r := &router{sim: s, zone: i % zones, openRequests: map[routing.RequestID]*request{}}
		r.module = routing.New(seed+uint64(i)*routerSeedStep, routerSettings(i, routers, r.zone))
		if gossip.Enabled {
			zoneName := fmt.Sprint("zone-", r.zone)
			r.gossip = observation.New(swim.MemberID(i), zoneName, gossip.FaultyRouters, 1)
		}
		s.routers = append(s.routers, r)
		r.decide(routing.EndpointUpdate{Kind: routing.Restored, Endpoints: s.initialEndpoints})
	}
}

// acceptRequest registers a client's request and passes it to the module.
func (r *router) acceptRequest(key chunkKey) {
	s := r.sim
	s.requests++
	id := routing.RequestID(strconv.Itoa(s.requests))
	sizeKB := s.chunkSizes[key]
	req := &request{
		key:       key,
		sizeKB:    sizeKB,
		arrivedAt: s.Now(),
		objective: objectiveBase + objectiveTransfers*sizeKB/transferKBPerS,
		phase:     phaseAt(s.elapsed()),
	}
	r.openRequests[id] = req
	s.result.Requests[req.phase]++
	s.result.arrivedBySecond[int(req.arrivedAt-startTime)]++
	r.decide(routing.RequestArrived{
		Request:     id,
		Object:      strconv.Itoa(key.object),
		Chunk:       key.chunk,
		ObjectGroup: key.object % objectGroups,
		Deadline:    req.arrivedAt + req.objective + deadlineMargin,
		SizeKB:      sizeKB,
	})
}

// decide passes an event to the module and then executes the returned actions, as the service does.
func (r *router) decide(event routing.Event) {
	actions := append([]routing.Action(nil), r.module.Decide(r.sim.Now(), event)...)
	for _, action := range actions {
		r.execute(action)
	}
}

func (r *router) execute(action routing.Action) {
	switch a := action.(type) {
	case routing.StartAttempt:
		r.startAttempt(a)
	case routing.CancelAttempt:
		r.cancelAttempt(a)
	case routing.SetTimer:
		r.sim.After(a.AfterSeconds, func() { r.decide(routing.TimerFired{Token: a.Token}) })
	case routing.RejectRequest:
		r.answerWithoutResponse(a.Request, r.sim.result.Rejected)
	case routing.AbortRequest:
		r.answerWithoutResponse(a.Request, r.sim.result.Aborted)
	}
}

func (r *router) cancelAttempt(a routing.CancelAttempt) {
	req := r.openRequests[a.Request]
	if req == nil || a.Attempt >= len(req.attempts) {
		return
	}
	r.sim.After(cancelLatency, func() {
		r.endAttempt(a.Request, a.Attempt, routing.Cancelled, routing.NoDetail)
	})
}

// answerWithoutResponse ends a request without a response and counts it in the given map, by phase.
func (r *router) answerWithoutResponse(id routing.RequestID, count map[string]int) {
	req := r.openRequests[id]
	req.answerCount++
	if req.answerCount > 1 {
		r.sim.result.AnsweredTwice++
		return
	}
	count[req.phase]++
	req.answered = true
	r.deleteIfEnded(id, req)
}

func (r *router) deleteIfEnded(id routing.RequestID, req *request) {
	for _, a := range req.attempts {
		if !a.ended {
			return
		}
	}
	if req.answered {
		delete(r.openRequests, id)
	}
}

// endAttempt reports the end of an attempt to the module. The first completed attempt answers the request.
func (r *router) endAttempt(
	id routing.RequestID, number int, result routing.AttemptResult, detail routing.ResultDetail,
) {
	req := r.openRequests[id]
	if req == nil || req.attempts[number].ended {
		return
	}
	a, now := req.attempts[number], r.sim.Now()
	a.ended = true
	r.observeResult(a.target, result, now-a.sentAt > req.objective)
	if result == routing.Completed && !req.answered {
		req.answered = true
		req.answerCount++
		r.sim.countResponse(req)
	}
	r.decide(routing.AttemptEnded{
		Request:        id,
		Attempt:        number,
		Result:         result,
		Detail:         detail,
		ElapsedSeconds: now - a.sentAt,
		RequestDone:    req.answered,
	})
	r.deleteIfEnded(id, req)
}

func (s *simulation) countResponse(req *request) {
	if s.Now() > req.arrivedAt+req.objective {
		s.result.Late[req.phase]++
		return
	}
	s.result.OnTime[req.phase]++
	s.result.onTimeBySecond[int(req.arrivedAt-startTime)]++
}
