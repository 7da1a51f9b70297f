package routing

import "cairnfront/routing"

// startAttempt simulates an attempt: a request to its target and, on a cache miss, a fill from the attempt's source.
func (r *router) startAttempt(action routing.StartAttempt) {
	s, req := r.sim, r.openRequests[action.Request]
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
	if target.rejectsAttempts() {
		s.After(zoneLatency, func() { end(routing.Overloaded, routing.NoDetail) })
		return
	}
	if cachedCopy := target.cached[req.key]; cachedCopy != nil {
		cachedCopy.lastUsed, cachedCopy.rank = s.Now(), max(cachedCopy.rank, action.RetentionRank)
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

// send transfers a chunk from an endpoint to the router and then calls sent.
func (s *simulation) send(from *endpoint, sizeKB float64, sent func()) {
	s.After(from.beginTransfer(sizeKB)+zoneLatency, func() {
		from.endTransfer()
		sent()
	})
}

// fillOrJoin starts a fill of the chunk at the target, or joins a running fill of it if the action allows that.
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
		for _, notifyJoined := range waiting {
			notifyJoined(filled)
		}
	})
}

func (s *simulation) countFill(stored bool) {
	s.result.Fills++
	if stored {
		s.result.StoredFills++
	}
}

// fill transfers a chunk over a zone's link from a peer cache, a parent cache or the origin. On a miss, a parent cache
// first fetches the chunk from the origin and stores a copy. A fill continues even if its request is abandoned.
func (s *simulation) fill(link, source *endpoint, req *request, done func(filled bool)) {
	if source.unresponsive {
		s.After(sourceTimeout, func() { done(false) })
		return
	}
	if source.rejectsAttempts() || link.rejectsAttempts() {
		s.After(zoneLatency, func() { done(false) })
		return
	}
	cachedCopy := source.cached[req.key]
	if source.kind != parentKind || cachedCopy != nil {
		if cachedCopy != nil {
			cachedCopy.lastUsed = s.Now()
		}
		s.transferOverLink(link, source, req, done)
		return
	}
	origin := s.endpoints[originID]
	if origin.rejectsAttempts() {
		s.After(zoneLatency+parentLatency, func() { done(false) })
		return
	}
	s.After(origin.beginTransfer(req.sizeKB)+originLatency, func() {
		origin.endTransfer()
		source.store(req.key, 1, s.Now(), req.sizeKB)
		s.transferOverLink(link, source, req, done)
	})
}

// transferOverLink transfers a chunk from its source over a zone's link and then calls done.
func (s *simulation) transferOverLink(link, source *endpoint, req *request, done func(filled bool)) {
	latency := parentLatency
	if source.id == originID {
		latency += originLatency
	}
	transferSeconds := max(source.beginTransfer(req.sizeKB), link.beginTransfer(req.sizeKB))
	s.After(transferSeconds+zoneLatency+latency, func() {
		source.endTransfer()
		link.endTransfer()
		done(true)
	})
}
