package replication

import (
	"fmt"

	"cairnfront/internal/replication/history"
	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"

	"github.com/anishathalye/porcupine"
)

// requester names all clients in commands.
const requester = "c"

// request is a reservation or read of a client.
type request struct {
	operation int // index in the history
	startedAt float64
	key       string
	isRead    bool
	command   statemachine.Command // of a reservation
	answered  bool
}

// startRequest starts a request of some client, and sets the time of the next one.
func (s *simulation) startRequest() {
	s.lastRequest++
	number := s.lastRequest
	key := s.keys[s.scheduler.Rand.IntN(len(s.keys))]
	isRead := s.scheduler.Rand.IntN(3) == 0
	group := fmt.Sprint("g", s.scheduler.Rand.IntN(3))
	s.requests[number] = &request{
		operation: len(s.history),
		startedAt: s.scheduler.Now(),
		key:       key,
		isRead:    isRead,
		command: statemachine.Command{
			Op:              statemachine.OpReserve,
			Now:             clockStartUnixSeconds,
			Key:             key,
			Group:           group,
			LifetimeSeconds: reservationLifetimeSeconds,
			Requester:       requester,
			RequestNumber:   number,
		},
	}
	if isRead {
		s.result.Reads++
	} else {
		s.result.Reservations++
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: int(number),
		Input:    history.Input{Read: isRead, Key: key, Group: group},
		Output:   history.Output{},
		Call:     s.timestamp(),
		Return:   history.Unanswered,
	})
	s.submit(number)
	s.scheduler.After(s.scheduler.Rand.ExpFloat64()*meanRequestIntervalSeconds, s.startRequest)
}

// timestamp is the time of the history, in ns.
func (s *simulation) timestamp() int64 { return int64(s.scheduler.Now() * 1e9) }

// submit sends a request to a router that believes to be the leader, and again until it is answered
// or timed out.
func (s *simulation) submit(number uint64) {
	request := s.requests[number]
	if request.answered || s.scheduler.Now() > request.startedAt+requestTimeoutSeconds {
		return
	}
	shardNumber := placement.ShardOf(request.key)
	if leaders := s.leadersOf(shardNumber); len(leaders) > 0 {
		leader := leaders[s.scheduler.Rand.IntN(len(leaders))]
		s.handle(leader, func() { request.submitTo(leader.replicas[shardNumber], number) })
	}
	s.scheduler.After(retryIntervalSeconds, func() { s.submit(number) })
}

// submitTo proposes a request to a replica. Its error is ignored: a request that is refused is sent again later.
func (r *request) submitTo(replica *shard.Replica, number uint64) {
	switch {
	case replica == nil:
	case r.isRead:
		_ = replica.Read(statemachine.KindAttemptLocation, r.key, requester, number)
	default:
		_ = replica.Propose(r.command)
	}
}

// leadersOf are the routers that believe to be the leader of a shard, paused ones among them.
func (s *simulation) leadersOf(number int) []*router {
	var leaders []*router
	for _, r := range s.routers {
		if !r.up || r.replicas[number] == nil {
			continue
		}
		if isLeader, _ := r.replicas[number].Leadership(); isLeader {
			leaders = append(leaders, r)
		}
	}
	return leaders
}

// respond records a replica's response in the history. A request that was sent twice may have two
// responses; the first counts.
func (s *simulation) respond(response shard.Response) {
	request := s.requests[response.RequestNumber]
	if request == nil || request.answered {
		return
	}
	request.answered = true
	s.result.Answered++
	s.result.LatencySeconds = append(s.result.LatencySeconds, s.scheduler.Now()-request.startedAt)
	operation := &s.history[request.operation]
	operation.Output = history.Output{
		Answered: true,
		Granted:  response.Result.Granted,
		Group:    response.Result.Reservation.Group,
	}
	operation.Return = s.timestamp()
	if request.isRead || !response.Result.Granted {
		return
	}
	if group, ok := s.granted[request.key]; ok && group != request.command.Group {
		s.result.ConflictingGrants++
	}
	s.granted[request.key] = request.command.Group
}
