package replication

import (
	"time"

	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/transport"
)

// maxHintedAttempts is how often a request is sent to the replica that is said to lead, before
// others are tried.
const maxHintedAttempts = 2

// readRequesterPrefix distinguishes the requesters of reads from those of commands, which name themselves.
const readRequesterPrefix = "read/"

// pendingRequest is a request of this router without an outcome.
type pendingRequest struct {
	frame    transport.Frame
	deadline time.Time
	outcome  chan Outcome // has room for the one outcome
	attempts int
	sentAt   time.Time
}

// responseKey finds the requester of a replica's response.
type responseKey struct {
	requester string
	number    uint64
}

// pendingRequester is who waits for a replica's response: a peer, or this router where the peer is "".
type pendingRequester struct {
	peer       string
	number     uint64
	receivedAt time.Time
}

// Propose puts a command to its key's shard. The channel gets one outcome; the caller may leave it
// unread. A command that is proposed twice is carried out once, by its requester and number.
func (n *Node) Propose(command statemachine.Command, deadline time.Time) <-chan Outcome {
	payload, err := command.Encode()
	if err != nil {
		return completed(Outcome{Err: err})
	}
	return n.submit(deadline, transport.Frame{
		Kind:    transport.KindPropose,
		Shard:   placement.ShardOf(command.Key),
		Payload: payload,
	})
}

// Read asks for a reservation as it stands now. The channel gets one outcome; the caller may leave
// it unread.
func (n *Node) Read(kind statemachine.Kind, key string, deadline time.Time) <-chan Outcome {
	return n.submit(deadline, transport.Frame{
		Kind:            transport.KindRead,
		Shard:           placement.ShardOf(key),
		ReservationKind: kind,
		Key:             key,
	})
}

// submit hands a request to the node's goroutine. It never waits.
func (n *Node) submit(deadline time.Time, frame transport.Frame) <-chan Outcome {
	n.submitting.RLock()
	defer n.submitting.RUnlock()
	if n.ended {
		return completed(Outcome{Err: ErrStopped})
	}
	request := &pendingRequest{frame: frame, deadline: deadline, outcome: make(chan Outcome, 1)}
	select {
	case n.events <- requestSubmitted{request}:
		return request.outcome
	default:
		return completed(Outcome{Err: shard.ErrBusy})
	}
}

func completed(outcome Outcome) <-chan Outcome {
	outcomes := make(chan Outcome, 1)
	outcomes <- outcome
	return outcomes
}

// acceptRequest numbers a request of this router and sends it.
func (n *Node) acceptRequest(request *pendingRequest) {
	n.lastNumber++
	if len(n.pending) >= maxPendingRequests {
		request.outcome <- Outcome{Err: shard.ErrBusy}
		return
	}
	request.frame.Number = n.lastNumber
	n.pending[n.lastNumber] = request
	n.route(request)
}

// complete gives a pending request its outcome. A request that has one already is no longer pending.
func (n *Node) complete(number uint64, outcome Outcome) {
	request := n.pending[number]
	if request == nil {
		return
	}
	delete(n.pending, number)
	request.outcome <- outcome
}

// stopPending ends the requests that are still pending, and those that the node has not taken from its queue. None is
// submitted after it.
//
// It guards against a request without an outcome, whose caller waits until its own deadline, or for ever.
func (n *Node) stopPending() {
	n.submitting.Lock()
	n.ended = true
	n.submitting.Unlock()
	for number := range n.pending {
		n.complete(number, Outcome{Err: ErrStopped})
	}
	for {
		select {
		case event := <-n.events:
			if submitted, ok := event.(requestSubmitted); ok {
				submitted.request.outcome <- Outcome{Err: ErrStopped}
			}
		default:
			return
		}
	}
}

// retryPending sends requests again that have no outcome, and ends those whose deadline has passed.
func (n *Node) retryPending() {
	now := time.Now()
	for number, request := range n.pending {
		switch {
		case now.After(request.deadline):
			n.complete(number, Outcome{Err: ErrNoAnswer})
		case now.Sub(request.sentAt) > retryInterval:
			n.route(request)
		}
	}
	for key, requester := range n.requesters {
		if now.Sub(requester.receivedAt) > responseTimeout {
			delete(n.requesters, key)
		}
	}
}

// route sends a request to who leads its shard as far as is known, else to one of its replicas
// after the other.
func (n *Node) route(request *pendingRequest) {
	request.sentAt = time.Now()
	number := request.frame.Shard
	if replica := n.replicas[number]; replica != nil {
		isLeader, leader := replica.Leadership()
		if isLeader {
			n.serve(request.frame, pendingRequester{number: request.frame.Number})
			return
		}
		if leader != 0 && request.attempts == 0 {
			n.leaderHints[number] = leader
		}
	}
	request.attempts++
	to := n.leaderHints[number]
	if !mayFollowHint(to != 0 && n.statuses[to].Up, request.attempts) {
		candidates := n.reachableVoters(number)
		if len(candidates) == 0 {
			return // sent again once a replica is up
		}
		to = candidates[(request.attempts+n.rnd.IntN(len(candidates)))%len(candidates)]
	}
	n.config.Transport.Send(n.statuses[to].Node, request.frame)
}

// mayFollowHint says whether a request is sent to the replica that is said to lead. Two replicas that each take the
// other for the leader would hand a request to and fro until its deadline.
func mayFollowHint(hintedIsUp bool, attempts int) bool {
	return hintedIsUp && attempts <= maxHintedAttempts
}

// reachableVoters are the voters of a shard that are up, without this router's replica.
func (n *Node) reachableVoters(number int) []uint64 {
	voters := n.shardVoters[number]
	if replica := n.replicas[number]; replica != nil {
		if known, _ := replica.Members(); len(known) > 0 { // a replica that is new to the shard knows none
			voters = known
		}
	}
	var reachable []uint64
	for _, voter := range voters {
		if voter != n.replicaID && n.statuses[voter].Up {
			reachable = append(reachable, voter)
		}
	}
	return reachable
}

// serve proposes a command or read to this router's replica. Where that does not lead, a peer is
// sent the leader's name; a request of this router is sent again later.
func (n *Node) serve(frame transport.Frame, requester pendingRequester) {
	requester.receivedAt = time.Now()
	err := shard.ErrNotLeader
	leader := uint64(0)
	if replica := n.replicas[frame.Shard]; replica != nil {
		_, leader = replica.Leadership()
		if frame.Kind == transport.KindRead {
			err = n.serveRead(replica, frame, requester)
		} else {
			err = n.serveCommand(replica, frame, requester)
		}
	}
	if err != nil && requester.peer != "" {
		n.config.Transport.Send(requester.peer, transport.Frame{
			Kind:    transport.KindNotLeader,
			Number:  requester.number,
			Shard:   frame.Shard,
			Replica: leader,
		})
	}
}

func (n *Node) serveRead(replica *shard.Replica, frame transport.Frame, requester pendingRequester) error {
	key := responseKey{readRequesterPrefix + requester.peer, requester.number}
	if err := replica.Read(frame.ReservationKind, frame.Key, key.requester, key.number); err != nil {
		return err
	}
	n.requesters[key] = requester
	return nil
}

func (n *Node) serveCommand(replica *shard.Replica, frame transport.Frame, requester pendingRequester) error {
	command, err := statemachine.Decode(frame.Payload)
	if err != nil {
		return err
	}
	command.Now = n.commandTime(frame.Shard)
	if err := replica.Propose(command); err != nil {
		return err
	}
	n.requesters[responseKey{command.Requester, command.RequestNumber}] = requester
	n.proposalCount++
	return nil
}

// respond hands a replica's response to its requester, if it still waits.
func (n *Node) respond(response shard.Response) {
	key := responseKey{response.Requester, response.RequestNumber}
	requester, ok := n.requesters[key]
	if !ok {
		return
	}
	delete(n.requesters, key)
	if requester.peer == "" {
		n.complete(requester.number, Outcome{Result: response.Result})
		return
	}
	n.config.Transport.Send(requester.peer, transport.Frame{
		Kind:   transport.KindResult,
		Number: requester.number,
		Result: &response.Result,
	})
}

// handleNotLeader sends a request on to the replica that is said to lead. Where none is known, it
// is sent again later.
func (n *Node) handleNotLeader(frame transport.Frame) {
	request := n.pending[frame.Number]
	if request == nil {
		return
	}
	if frame.Replica == 0 {
		delete(n.leaderHints, request.frame.Shard)
		return
	}
	n.leaderHints[request.frame.Shard] = frame.Replica
	n.route(request)
}
