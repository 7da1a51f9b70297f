package membership

import "cairnfront/internal/membership/swim"

// carryOut does what a core asks for.
func (s *simulation) carryOut(i *instance, actions []swim.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case swim.Send:
			if i.hostile {
				s.falsify(i, &action)
			}
			s.send(i, action)
		case swim.StateChange:
			s.checkChange(i, action)
		case swim.NameConflict:
			s.result.NameConflicts++
		}
	}
	s.result.MaxQueueLength = max(s.result.MaxQueueLength, i.core.QueueLength())
}

// falsify changes a message in every way that its sender's own signature allows: it accuses at random, shows a table in
// which all others have failed, and gives a false view hash.
func (s *simulation) falsify(i *instance, send *swim.Send) {
	send.ViewHash = s.random.Uint64()
	send.Accusations = send.Accusations[:0]
	for len(send.Accusations) < hostileAccusations {
		accused := swim.MemberID(s.random.IntN(len(s.instances)))
		_, record := i.core.Lookup(accused)
		send.Accusations = append(send.Accusations, swim.Accusation{
			Accuser:     i.member(),
			Member:      accused,
			Incarnation: record.Incarnation,
			Dead:        s.config.SWIM.PublishedSWIM,
		})
	}
	if send.Kind == swim.PushPullRequest || send.Kind == swim.PushPullReply {
		for e := range send.Entries {
			send.Entries[e].State = swim.Failed
		}
	}
	ackForAnother := send.Kind == swim.Ack && send.Requester != i.member()
	if send.Kind == swim.IndirectAck || ackForAnother && s.random.IntN(2) == 0 {
		send.Kind = swim.Push // members that requested an indirect ping get no ack
	}
}

func (s *simulation) send(from *instance, send swim.Send) {
	s.bytes += headerBytes + recordBytes*len(send.Records) + accusationBytes*len(send.Accusations) +
		entryBytes*len(send.Entries)
	s.datagrams++
	link := s.config.Script.LinkAt(from.id, int(send.To), s.scheduler.Now())
	delays, corrupted := link.Deliver(s.scheduler.Rand)
	if corrupted || len(delays) == 0 {
		return // the signature of a corrupted datagram does not verify
	}
	// A second copy is refused as a replay.
	delay := delays[0] + latency + jitter*s.scheduler.Rand.Float64()
	s.scheduler.After(delay, func() { s.arrive(s.instances[send.To], from, send) })
}

func (s *simulation) arrive(to, from *instance, send swim.Send) {
	if !to.up {
		return
	}
	if to.paused {
		if len(to.waiting) < pausedQueue {
			to.waiting = append(to.waiting, func() { s.arrive(to, from, send) })
		}
		return
	}
	now := s.scheduler.Now()
	s.carryOut(to, to.core.HandleMessage(now, from.member(), send.Message))
	if to.core.NextDeadline() < now+earlyDeadline {
		s.setTimer(to)
	}
}
