package routing

import (
	"fmt"
	"strconv"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

const routerSeedStep = 977 // between the seeds of the routers' modules

// router is one simulated router: the decision module and what a service does around it.
type router struct {
	sim      *simulation
	module   routing.Decider
	zone     int
	open     map[routing.RequestID]*request
	gossip   *observation.Tracker // nil without gossip
	sequence uint32               // of false observations
}

type request struct {
	key       chunkKey
	sizeKB    float64
	arrivedAt float64
	objective float64 // s
	answers   int
	attempts  []*attempt
	answered  bool
	phase     string
}

type attempt struct {
	ended  bool
	sentAt float64
	target routing.EndpointID
}

func (s *simulation) addRouters(seed uint64, routers int, gossip Gossip) {
	for i := range routers {
		r := &router{sim: s, zone: i % zones, open: map[routing.RequestID]*request{}}
		r.module = routing.New(seed+uint64(i)*routerSeedStep, routerSettings(i, routers, r.zone))
		if gossip.Enabled {
			zoneName := fmt.Sprint("zone-", r.zone)
			r.gossip = observation.New(swim.MemberID(i), zoneName, gossip.FaultyRouters, 1)
		}
		s.routers = append(s.routers, r)
		r.decide(routing.EndpointUpdate{Kind: routing.Restored, Endpoints: s.listedAtStart})
	}
}

// accept takes a client's request.
func (r *router) accept(key chunkKey) {
	s := r.sim
	s.requests++
	id := routing.RequestID(strconv.Itoa(s.requests))
	sizeKB := s.chunkSizes[key]
	req := &request{
		key:       key,
		sizeKB:    sizeKB,
		arrivedAt: s.Now(),
		objective: objectiveBase + objectiveSendTimes*sizeKB/transferKBPerS,
		phase:     phaseAt(s.elapsed()),
	}
	r.open[id] = req
	s.result.Requests[req.phase]++
	s.result.arrivedBySecond[int(req.arrivedAt-startTime)]++
	r.decide(routing.RequestArrived{
		Request:     id,
		Object:      strconv.Itoa(key.object),
		Chunk:       key.chunk,
		ObjectGroup: key.object % objectGroups,
		Deadline:    req.arrivedAt + req.objective + clientPatience,
		SizeKB:      sizeKB,
	})
}

// decide hands an event to the module and then carries its actions out, as the service does.
func (r *router) decide(event routing.Event) {
	actions := append([]routing.Action(nil), r.module.Decide(r.sim.Now(), event)...)
	for _, action := range actions {
		r.carryOut(action)
	}
}

func (r *router) carryOut(action routing.Action) {
	switch a := action.(type) {
	case routing.StartAttempt:
		r.startAttempt(a)
	case routing.CancelAttempt:
		r.cancelAttempt(a)
	case routing.SetTimer:
		r.sim.After(a.AfterSeconds, func() { r.decide(routing.TimerFired{Token: a.Token}) })
	case routing.RejectRequest:
		r.answerWithout(a.Request, r.sim.result.Rejected)
	case routing.AbortRequest:
		r.answerWithout(a.Request, r.sim.result.Aborted)
	}
}

func (r *router) cancelAttempt(a routing.CancelAttempt) {
	req := r.open[a.Request]
	if req == nil || a.Attempt >= len(req.attempts) {
		return
	}
	r.sim.After(cancelLatency, func() {
		r.endAttempt(a.Request, a.Attempt, routing.Cancelled, routing.NoDetail)
	})
}

// answerWithout gives a request a final answer without a response, and counts it.
func (r *router) answerWithout(id routing.RequestID, count map[string]int) {
	req := r.open[id]
	req.answers++
	if req.answers > 1 {
		r.sim.result.AnsweredTwice++
		return
	}
	count[req.phase]++
	req.answered = true
	r.forgetIfEnded(id, req)
}

func (r *router) forgetIfEnded(id routing.RequestID, req *request) {
	for _, a := range req.attempts {
		if !a.ended {
			return
		}
	}
	if req.answered {
		delete(r.open, id)
	}
}

// endAttempt reports the end of an attempt to the module; the first completed one answers its request.
func (r *router) endAttempt(
	id routing.RequestID, number int, result routing.AttemptResult, detail routing.ResultDetail,
) {
	req := r.open[id]
	if req == nil || req.attempts[number].ended {
		return
	}
	a, now := req.attempts[number], r.sim.Now()
	a.ended = true
	r.observe(a.target, result, now-a.sentAt > req.objective)
	if result == routing.Completed && !req.answered {
		req.answered = true
		req.answers++
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
	r.forgetIfEnded(id, req)
}

func (s *simulation) countResponse(req *request) {
	if s.Now() > req.arrivedAt+req.objective {
		s.result.Late[req.phase]++
		return
	}
	s.result.OnTime[req.phase]++
	s.result.onTimeBySecond[int(req.arrivedAt-startTime)]++
}
