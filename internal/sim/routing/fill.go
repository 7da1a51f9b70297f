package routing

import "cairnfront/routing"

// startAttempt simulates an attempt: to its target and, for a miss there, over the zone's link to its source.
func (r *router) startAttempt(action routing.StartAttempt) {
	s, req := r.sim, r.open[action.Request]
	number := len(req.attempts)
	req.attempts = append(req.attempts, &attempt{sentAt: s.Now(), target: action.Endpoint})
	s.result.Attempts[req.phase]++
	end := func(result routing.AttemptResult, detail routing.ResultDetail) {
		r.endAttempt(action.Request, number, result, detail)
	}
	target := s.endpoints[action.Endpoint]
	if target.failing {
		s.result.FailingCacheAttempts++
		s.After(zoneLatency, func() { end(routing.ServerError, routing.NoDetail) })
		return
	}
	if target.refuses() {
		s.After(zoneLatency, func() { end(routing.Overloaded, routing.NoDetail) })
		return
	}
	if copied := target.cached[req.key]; copied != nil {
		copied.lastUsed, copied.rank = s.Now(), max(copied.rank, action.RetentionRank)
		s.send(target, req.sizeKB, func() { end(routing.Completed, routing.CacheHit) })
		return
	}
	noSource := action.Source == action.Endpoint
	if noSource || (action.CacheOnly && s.endpoints[action.Source].cached[req.key] == nil) {
		s.After(zoneLatency, func() { end(routing.CacheMiss, routing.NoDetail) })
		return
	}
	r.fillOrJoin(action, target, req, end)
}

// send transfers a chunk from an endpoint to the router.
func (s *simulation) send(from *endpoint, sizeKB float64, sent func()) {
	s.After(from.beginTransfer(sizeKB)+zoneLatency, func() {
		from.endTransfer()
		sent()
	})
}

// fillOrJoin fills a chunk at the target, or waits for a fill of it that runs.
func (r *router) fillOrJoin(
	action routing.StartAttempt, target *endpoint, req *request, end func(routing.AttemptResult, routing.ResultDetail),
) {
	s := r.sim
	if waiting, running := target.filling[req.key]; running && action.JoinFill {
		target.filling[req.key] = append(waiting, func(filled bool) {
			if !filled {
				end(routing.Overloaded, routing.NoDetail)
				return
			}
			s.send(target, req.sizeKB, func() { end(routing.Completed, routing.JoinedFill) })
		})
		return
	}
	target.filling[req.key] = nil
	s.fill(s.zoneLinks[r.zone], s.endpoints[action.Source], req, func(filled bool) {
		waiting := target.filling[req.key]
		delete(target.filling, req.key)
		if filled {
			s.countFill(action.RetentionRank > 0)
			target.store(req.key, action.RetentionRank, s.Now(), req.sizeKB)
			end(routing.Completed, routing.Filled)
		} else {
			end(routing.Overloaded, routing.NoDetail)
		}
		for _, joined := range waiting {
			joined(filled)
		}
	})
}

func (s *simulation) countFill(stored bool) {
	s.result.Fills++
	if stored {
		s.result.StoredFills++
	}
}

// fill brings a chunk over a zone's link from a peer cache, a parent or the origin. A parent that lacks it asks the
// origin first and keeps a copy. A fill runs on when its request is given up.
func (s *simulation) fill(link, source *endpoint, req *request, done func(filled bool)) {
	if source.lost {
		s.After(sourceTimeout, func() { done(false) })
		return
	}
	if source.refuses() || link.refuses() {
		s.After(zoneLatency, func() { done(false) })
		return
	}
	copied := source.cached[req.key]
	if source.kind != parentKind || copied != nil {
		if copied != nil {
			copied.lastUsed = s.Now()
		}
		s.carry(link, source, req, done)
		return
	}
	origin := s.endpoints[originID]
	if origin.refuses() {
		s.After(zoneLatency+parentLatency, func() { done(false) })
		return
	}
	s.After(origin.beginTransfer(req.sizeKB)+originLatency, func() {
		origin.endTransfer()
		source.store(req.key, 1, s.Now(), req.sizeKB)
		s.carry(link, source, req, done)
	})
}

// carry transfers a chunk from its source over a zone's link.
func (s *simulation) carry(link, source *endpoint, req *request, done func(filled bool)) {
	latency := parentLatency
	if source.id == originID {
		latency += originLatency
	}
	lasts := max(source.beginTransfer(req.sizeKB), link.beginTransfer(req.sizeKB))
	s.After(lasts+zoneLatency+latency, func() {
		source.endTransfer()
		link.endTransfer()
		done(true)
	})
}
