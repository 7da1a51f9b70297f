package replication

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/wal"

	pb "go.etcd.io/raft/v3/raftpb"
)

// maxDisksPerRouter is the multiplier of a router's index that gives each disk of each router its own seed.
const maxDisksPerRouter = 16

// router is a simulated router and its disk.
type router struct {
	index      int
	name       string
	zone       string
	rebalancer *placement.Rebalancer

	fs        *vfs.FaultFS
	diskCount int
	log       *wal.WAL
	replicaID uint64
	replicas  map[int]*shard.Replica // by shard number

	up        bool
	paused    bool
	postponed []func() // events to handle when a paused router resumes
	writing   bool     // whether a batch is being written to the disk
}

// sortedShards returns the numbers of the shards of which the router has a replica. The results depend on the order.
func (r *router) sortedShards() []int { return slices.Sorted(maps.Keys(r.replicas)) }

// bootstrapShard writes a shard's initial snapshot to disk and creates its replica.
func (r *router) bootstrapShard(number int, voters []uint64) error {
	snapshot := shard.InitialSnapshot(voters)
	if err := r.log.Write([]shard.Ready{{Shard: number, Snapshot: snapshot, MustSync: true}}); err != nil {
		return err
	}
	replica, err := shard.New(number, r.replicaID, shard.PersistentState{Snapshot: snapshot}, nil)
	if err != nil {
		return err
	}
	r.replicas[number] = replica
	return nil
}

// startWithEmptyDisk starts a router with a new, empty disk.
func (s *simulation) startWithEmptyDisk(r *router) {
	r.diskCount++
	r.fs = vfs.NewFaultFS(s.config.Script.Seed*1000 + uint64(r.index*maxDisksPerRouter+r.diskCount))
	s.start(r)
}

// start starts a router from the contents of its disk.
func (s *simulation) start(r *router) {
	log, saved, err := wal.Open(r.fs, r.name, func() uint64 { return s.scheduler.Rand.Uint64()>>1 | 1 })
	if err != nil {
		s.recordError(fmt.Errorf("%s: open its write-ahead log: %w", r.name, err))
		return
	}
	r.log = log
	r.replicaID = log.Identity().ID
	r.replicas = map[int]*shard.Replica{}
	r.up = true
	r.paused = false
	r.postponed = nil
	r.writing = false
	s.routersByReplica[r.replicaID] = r
	for _, number := range slices.Sorted(maps.Keys(saved)) { // in order: each new replica draws its election timeout
		if r.replicas[number], err = shard.New(number, r.replicaID, saved[number], nil); err != nil {
			s.recordError(err)
		}
	}
	s.announceStatus(r, true)
}

// stop stops a router. Unsynced writes are lost.
func (s *simulation) stop(r *router) {
	if !r.up {
		return
	}
	r.up = false
	r.paused = false
	r.log.Close()
	s.announceStatus(r, false)
}

// announceStatus updates, after the failure detection delay, whether all routers see a router as up.
func (s *simulation) announceStatus(r *router, up bool) {
	id := r.replicaID
	update := func() {
		isUp := up && r.up && r.replicaID == id
		if !up && !s.statuses[id].Up {
			return // already announced as down
		}
		s.statuses[id] = placement.ReplicaStatus{
			ID:       id,
			Node:     r.name,
			Zone:     r.zone,
			Up:       isUp,
			LastSeen: s.scheduler.Now(),
		}
	}
	if s.scheduler.Now() == 0 {
		update()
		return
	}
	s.scheduler.After(detectionSeconds, update)
}

// handle runs an event on a router. A paused router handles it after resuming; a router that is down drops it.
func (s *simulation) handle(r *router, event func()) {
	switch {
	case !r.up:
	case r.paused:
		if len(r.postponed) < maxPostponedEvents {
			r.postponed = append(r.postponed, event)
		}
	default:
		event()
		s.write(r)
	}
}

func (s *simulation) tick(r *router) {
	s.handle(r, func() {
		for _, number := range r.sortedShards() {
			r.replicas[number].Tick()
		}
	})
	s.scheduler.After(shard.TickSeconds, func() { s.tick(r) })
}

// write writes a batch with the entries of all ready replicas to the disk. Their messages and responses are sent after
// the batch has been synced.
func (s *simulation) write(r *router) {
	if r.writing {
		return
	}
	var batch []shard.Ready
	for _, number := range r.sortedShards() {
		if ready, ok := r.replicas[number].Ready(); ok {
			batch = append(batch, ready)
		}
	}
	if len(batch) == 0 {
		return
	}
	if err := r.log.Write(batch); err != nil {
		if !errors.Is(err, vfs.ErrPowerLoss) {
			s.recordError(err)
		}
		s.stop(r)
		return
	}
	r.writing = true
	log := r.log
	s.scheduler.After(maxSyncSeconds*s.scheduler.Rand.Float64(), func() {
		if r.log != log || !r.up {
			return
		}
		r.writing = false
		s.handle(r, func() { s.advance(r, batch) })
	})
}

// advance sends the messages and responses of a batch that has been synced to disk.
func (s *simulation) advance(r *router, batch []shard.Ready) {
	for _, ready := range batch {
		replica := r.replicas[ready.Shard]
		for _, message := range ready.Messages {
			s.send(r, replica, message)
		}
		responses, err := replica.Advance(ready)
		if err != nil {
			s.recordError(err)
			return
		}
		for _, response := range responses {
			s.respond(response)
		}
	}
}

// send sends a message over the network, which may drop or delay it.
func (s *simulation) send(from *router, replica *shard.Replica, message *pb.Message) {
	id := message.GetTo()
	isSnapshot := message.GetType() == pb.MessageType_MsgSnap
	to := s.routersByReplica[id]
	if to == nil || to.replicaID != id {
		replica.ReportUnreachable(id)
		if isSnapshot {
			replica.ReportSnapshot(id, false)
		}
		return
	}
	link := s.config.Script.LinkAt(from.index, to.index, s.scheduler.Now())
	delays, corrupt := link.Deliver(s.scheduler.Rand)
	if len(delays) == 0 || corrupt {
		if isSnapshot {
			replica.ReportSnapshot(id, false)
		}
		return
	}
	s.scheduler.After(delays[0]+networkLatencySeconds+networkJitterSeconds*s.scheduler.Rand.Float64(), func() {
		s.handle(to, func() { s.receive(to, replica.Shard(), message) })
		if isSnapshot && from.up && from.replicas[replica.Shard()] == replica {
			replica.ReportSnapshot(id, true)
		}
	})
}

// receive delivers a message to the replica of its shard. It creates an empty replica if the router has none.
func (s *simulation) receive(r *router, number int, message *pb.Message) {
	if r.replicaID != message.GetTo() {
		return
	}
	if r.replicas[number] == nil {
		replica, err := shard.New(number, r.replicaID, shard.PersistentState{}, nil)
		if err != nil {
			s.recordError(err)
			return
		}
		r.replicas[number] = replica
	}
	r.replicas[number].Step(message)
}

// rebalance proposes the router's membership changes for the shards that it leads, and schedules the next run.
func (s *simulation) rebalance(r *router) {
	s.handle(r, func() {
		var led []placement.LedShard
		for _, number := range r.sortedShards() {
			if isLeader, _ := r.replicas[number].Leadership(); isLeader {
				voters, learners := r.replicas[number].Members()
				led = append(led, placement.LedShard{Shard: number, Voters: voters, Learners: learners})
			}
		}
		for _, change := range r.rebalancer.Changes(s.scheduler.Now(), placement.SortedByID(s.statuses), led) {
			if r.replicas[change.Shard].ProposeConfChange(change.Add, change.Remove) == nil {
				s.result.ConfChanges++
			}
		}
	})
	s.recordLeaderlessTime()
	s.scheduler.After(rebalanceIntervalSeconds, func() { s.rebalance(r) })
}

func (s *simulation) recordLeaderlessTime() {
	for number := range s.config.Shards {
		if s.hasLeader(number) {
			s.lastLeaderTime[number] = s.scheduler.Now()
		}
		leaderless := s.scheduler.Now() - s.lastLeaderTime[number]
		s.result.LongestLeaderlessSeconds = max(s.result.LongestLeaderlessSeconds, leaderless)
	}
}

// hasLeader reports whether a router that is up and not paused leads a shard.
func (s *simulation) hasLeader(number int) bool {
	for _, r := range s.routers {
		if !r.up || r.paused || r.replicas[number] == nil {
			continue
		}
		if isLeader, _ := r.replicas[number].Leadership(); isLeader {
			return true
		}
	}
	return false
}
