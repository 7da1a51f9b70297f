package membership

import "cairnfront/internal/membership/swim"

// executeActions executes the actions returned by an instance's core.
func (s *simulation) executeActions(i *instance, actions []swim.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case swim.Send:
			if i.hostile {
				s.falsifyMessage(i, &action)
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

// falsifyMessage changes a message of a hostile instance in every way that the sender's own signature allows: it adds
// random accusations, marks all members in a push-pull table as failed, and sets a random view hash.
func (s *simulation) falsifyMessage(i *instance, send *swim.Send) {
	send.ViewHash = s.random.Uint64()
	send.Accusations = send.Accusations[:0]
	for len(send.Accusations) < falseAccusationsPerMessage {
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
		send.Kind = swim.Push // a member that requested an indirect ping gets no ack
	}
}

func (s *simulation) send(from *instance, send swim.Send) {
	s.bytes += headerBytes + recordBytes*len(send.Records) + accusationBytes*len(send.Accusations) +
		entryBytes*len(send.Entries)
	s.datagrams++
	link := s.config.Script.LinkAt(from.id, int(send.To), s.scheduler.Now())
	delays, corrupted := link.Deliver(s.scheduler.Rand)
	if corrupted || len(delays) == 0 {
		return // a corrupted datagram fails signature verification and is dropped
	}
	// Only the first copy is delivered: the receiver rejects a duplicate as a replay.
	delay := delays[0] + networkLatency + networkJitter*s.scheduler.Rand.Float64()
	s.scheduler.After(delay, func() { s.deliver(s.instances[send.To], from, send) })
}

func (s *simulation) deliver(to, from *instance, send swim.Send) {
	if !to.up {
		return
	}
	if to.paused {
		if len(to.postponed) < maxPausedDatagrams {
			to.postponed = append(to.postponed, func() { s.deliver(to, from, send) })
		}
		return
	}
	now := s.scheduler.Now()
	s.executeActions(to, to.core.HandleMessage(now, from.member(), send.Message))
	if to.core.NextDeadline() < now+timerResetThreshold {
		s.setTimer(to)
	}
}
