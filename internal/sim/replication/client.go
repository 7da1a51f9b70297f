package replication

import (
	"fmt"

	"cairnfront/internal/replication/history"
	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"

	"github.com/anishathalye/porcupine"
)

// requesterName is the requester name of every client in commands.
const requesterName = "c"

// request is a client's request to reserve or read a key.
type request struct {
	operation int // index in simulation.history
	startedAt float64
	key       string
	isRead    bool
	command   statemachine.Command // used only for a reservation
	answered  bool
}

// startRequest sends a client's request for a random key and schedules the next request.
func (s *simulation) startRequest() {
	s.lastRequestNumber++
	number := s.lastRequestNumber
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
			Requester:       requesterName,
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

// timestamp returns the current virtual time in nanoseconds, as the history records it.
func (s *simulation) timestamp() int64 { return int64(s.scheduler.Now() * 1e9) }

// submit sends a request to a random router that considers itself the leader of the key's shard, and retries until
// the request is answered or times out.
func (s *simulation) submit(number uint64) {
	request := s.requests[number]
	if request.answered || s.scheduler.Now() > request.startedAt+requestTimeoutSeconds {
		return
	}
	shardNumber := placement.ShardOf(request.key)
	if leaders := s.leadersOf(shardNumber); len(leaders) > 0 {
		leader := leaders[s.scheduler.Rand.IntN(len(leaders))]
		s.handle(leader, func() { request.sendTo(leader.replicas[shardNumber], number) })
	}
	s.scheduler.After(retryIntervalSeconds, func() { s.submit(number) })
}

// sendTo proposes a request to a replica. The error is ignored because submit retries rejected requests.
func (r *request) sendTo(replica *shard.Replica, number uint64) {
	switch {
	case replica == nil:
	case r.isRead:
		_ = replica.Read(statemachine.KindAttemptLocation, r.key, requesterName, number)
	default:
		_ = replica.Propose(r.command)
	}
}

// leadersOf returns the routers that consider themselves the leader of a shard, including paused routers.
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

// respond records a replica's response in the history. A retried request may get two responses; only the first one
// is recorded.
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
