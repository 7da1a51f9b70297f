package replication

import (
	"time"

	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/transport"
)

// maxHintedAttempts is the number of attempts that may use the leader hint before other replicas
// are tried.
const maxHintedAttempts = 2

// readRequesterPrefix separates the requesters of reads from those of commands, whose requester is
// in the command itself.
const readRequesterPrefix = "read/"

// pendingRequest is a request of this router that has no outcome yet.
type pendingRequest struct {
	frame    transport.Frame
	deadline time.Time
	outcome  chan Outcome // buffered for the single outcome
	attempts int
	sentAt   time.Time
}

// responseKey identifies the request that a replica's response belongs to.
type responseKey struct {
	requester string
	number    uint64
}

// pendingRequester waits for a replica's response: a peer, or this router if peer is empty.
type pendingRequester struct {
	peer       string
	number     uint64
	receivedAt time.Time
}

// Propose submits a command to the shard of its key. The channel receives exactly one outcome and
// is buffered, so the caller may ignore it.
//
// A command may be applied more than once, because it is sent again if no outcome arrives. Until a
// reservation is settled, a repeated OpReserve command with the same requester and number adds no
// grant and does not extend the window. A repeated OpPut command writes the reservation again, with
// a new expiry time.
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

// Read requests the current state of a reservation with a linearizable read. The channel receives
// exactly one outcome and is buffered, so the caller may ignore it.
func (n *Node) Read(kind statemachine.Kind, key string, deadline time.Time) <-chan Outcome {
	return n.submit(deadline, transport.Frame{
		Kind:            transport.KindRead,
		Shard:           placement.ShardOf(key),
		ReservationKind: kind,
		Key:             key,
	})
}

// submit queues a request for the node's goroutine. It never blocks.
func (n *Node) submit(deadline time.Time, frame transport.Frame) <-chan Outcome {
	n.submitMutex.RLock()
	defer n.submitMutex.RUnlock()
	if n.closed {
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

// acceptRequest assigns a number to a request of this router and sends it.
func (n *Node) acceptRequest(request *pendingRequest) {
	n.lastRequestNumber++
	if len(n.pending) >= maxPendingRequests {
		request.outcome <- Outcome{Err: shard.ErrBusy}
		return
	}
	request.frame.Number = n.lastRequestNumber
	n.pending[n.lastRequestNumber] = request
	n.route(request)
}

// complete delivers the outcome of a pending request. It does nothing if the request already has an
// outcome.
func (n *Node) complete(number uint64, outcome Outcome) {
	request := n.pending[number]
	if request == nil {
		return
	}
	delete(n.pending, number)
	request.outcome <- outcome
}

// stopPending ends all pending requests, and the requests still in the event queue, with
// ErrStopped. No request is accepted afterwards.
//
// Otherwise a request could be left without an outcome, and its caller would wait until its own
// deadline, or forever.
func (n *Node) stopPending() {
	n.submitMutex.Lock()
	n.closed = true
	n.submitMutex.Unlock()
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

// retryPending sends requests without an outcome again, and ends those whose deadline has passed.
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

// route sends a request to the replica that is believed to lead its shard, or else to a random
// voter that is up.
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
			return // retried by retryPending once a replica is up
		}
		to = candidates[(request.attempts+n.rnd.IntN(len(candidates)))%len(candidates)]
	}
	n.config.Transport.Send(n.statuses[to].Node, request.frame)
}

// mayFollowHint reports whether a request may be sent to the hinted leader. Without the limit on
// attempts, two replicas that each believe the other one is the leader would forward a request to
// each other until its deadline.
func mayFollowHint(hintedIsUp bool, attempts int) bool {
	return hintedIsUp && attempts <= maxHintedAttempts
}

// reachableVoters returns the voters of a shard that are up, excluding this router's replica.
func (n *Node) reachableVoters(number int) []uint64 {
	voters := n.shardVoters[number]
	if replica := n.replicas[number]; replica != nil {
		if known, _ := replica.Members(); len(known) > 0 { // a replica that was just created knows no members yet
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

// serve passes a command or read to this router's replica. If that fails for any reason, a peer is
// sent the ID of the leader that is known here, which may be this replica, or 0 if none is known; a
// request of this router is retried later.
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

// respond delivers a replica's response to its requester, if the requester is still known.
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

// handleNotLeader redirects a request to the replica named as leader. If none is named, the request
// is retried later.
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
