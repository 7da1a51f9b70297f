package shard

import (
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"cairnfront/internal/replication/history"
	"cairnfront/internal/replication/statemachine"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// seededReader makes raft's election timeouts reproducible. Raft draws them from the reader of
// crypto/rand.
type seededReader struct{ *rand.Rand }

func (s seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func TestMain(m *testing.M) {
	crand.Reader = seededReader{rand.New(rand.NewPCG(1, 1))}
	os.Exit(m.Run())
}

// testReplica is a replica together with its disk, which remains when the replica is stopped.
type testReplica struct {
	id      uint64
	replica *Replica // nil while the replica is stopped
	disk    PersistentState
	synced  PersistentState // content of the disk that survives a power loss
}

// defect selects deliberately injected bugs, which the linearizability checks must detect.
type defect struct {
	reusesIDAfterDiskLoss bool
	readsWithoutQuorum    bool
	sendsBeforeSync       bool
}

// cluster runs replicas on a simulated network that drops, delays and partitions, and clients whose
// requests are recorded.
type cluster struct {
	t           *testing.T
	rnd         *rand.Rand
	defect      defect
	replicas    map[uint64]*testReplica
	ids         []uint64
	network     []*pb.Message
	partitioned map[uint64]bool // replicas on the minority side of a partition
	paused      uint64          // replica whose process is paused, 0 if none
	step        int64
	history     []porcupine.Operation
	unanswered  map[uint64]int // index in history, by request number
	lastRequest uint64
	trace       func(id uint64, ready Ready, responses []Response) // called after each step of a replica, if not nil
}

func newCluster(t *testing.T, seed uint64, size int, defect defect) *cluster {
	t.Helper()
	c := &cluster{
		t:           t,
		rnd:         rand.New(rand.NewPCG(seed, 2)),
		defect:      defect,
		replicas:    map[uint64]*testReplica{},
		partitioned: map[uint64]bool{},
		unanswered:  map[uint64]int{},
	}
	for i := range size {
		c.ids = append(c.ids, uint64(i+1))
	}
	for _, id := range c.ids {
		c.start(&testReplica{id: id}, c.ids)
	}
	return c
}

func (c *cluster) start(r *testReplica, voters []uint64) {
	replica, err := New(3, r.id, r.disk, voters)
	require.NoError(c.t, err)
	if r.disk.Snapshot == nil && len(voters) > 0 {
		r.disk.Snapshot = InitialSnapshot(voters)
		r.synced = r.disk
	}
	r.replica = replica
	c.replicas[r.id] = r
}

// running returns a replica, or nil if it is stopped or paused.
func (c *cluster) running(id uint64) *testReplica {
	r := c.replicas[id]
	if r == nil || r.replica == nil || id == c.paused {
		return nil
	}
	return r
}

// save writes a Ready to a disk.
func save(disk *PersistentState, ready Ready) {
	if ready.Snapshot != nil {
		disk.Snapshot = ready.Snapshot
		disk.Entries = nil
	}
	if ready.HardState != nil {
		disk.HardState = proto.CloneOf(ready.HardState)
	}
	for _, entry := range ready.Entries {
		disk.Entries = slices.DeleteFunc(slices.Clone(disk.Entries), func(old *pb.Entry) bool {
			return old.GetIndex() >= entry.GetIndex()
		})
		disk.Entries = append(disk.Entries, entry)
	}
}

// process writes a replica's pending state, sends its messages and records its responses.
func (c *cluster) process(r *testReplica) {
	for range 10 {
		ready, ok := r.replica.Ready()
		if !ok {
			return
		}
		save(&r.disk, ready)
		if !c.defect.sendsBeforeSync || c.rnd.IntN(4) == 0 {
			r.synced = r.disk
		}
		c.network = append(c.network, ready.Messages...)
		responses, err := r.replica.Advance(ready)
		require.NoError(c.t, err)
		if c.trace != nil {
			c.trace(r.id, ready, responses)
		}
		for _, response := range responses {
			c.recordResponse(response)
		}
	}
}

func (c *cluster) recordResponse(response Response) {
	i, ok := c.unanswered[response.RequestNumber]
	if !ok || response.Requester != "c" {
		return
	}
	delete(c.unanswered, response.RequestNumber)
	c.history[i].Output = history.Output{
		Answered: true,
		Granted:  response.Result.Granted,
		Group:    response.Result.Reservation.Group,
	}
	c.history[i].Return = c.step
}

// request sends a request to a random replica, which accepts it if it believes it is the leader.
func (c *cluster) request() { c.requestAt(c.ids[c.rnd.IntN(len(c.ids))], c.rnd.IntN(3) == 0) }

func (c *cluster) requestAt(id uint64, read bool) {
	r := c.running(id)
	if r == nil {
		return
	}
	in := history.Input{
		Read:  read,
		Key:   fmt.Sprint("k", c.rnd.IntN(6)),
		Group: fmt.Sprint("g", c.rnd.IntN(3)),
	}
	c.lastRequest++
	if c.submit(r.replica, in) != nil {
		return
	}
	c.unanswered[c.lastRequest] = len(c.history)
	c.history = append(c.history, porcupine.Operation{
		ClientId: int(c.lastRequest),
		Input:    in,
		Call:     c.step,
		Output:   history.Output{},
		Return:   history.Unanswered,
	})
	if in.Read && c.defect.readsWithoutQuorum {
		reservation, found := r.replica.State().Get(statemachine.KindAttemptLocation, in.Key)
		c.recordResponse(Response{"c", c.lastRequest, statemachine.Result{Granted: found, Reservation: reservation}})
	}
}

func (c *cluster) submit(replica *Replica, in history.Input) error {
	if in.Read {
		return replica.Read(statemachine.KindAttemptLocation, in.Key, "c", c.lastRequest)
	}
	return replica.Propose(statemachine.Command{
		Op:              statemachine.OpReserve,
		Now:             100,
		Key:             in.Key,
		Group:           in.Group,
		LifetimeSeconds: 1e6,
		Requester:       "c",
		RequestNumber:   c.lastRequest,
	})
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step++
		for _, id := range c.ids {
			if r := c.running(id); r != nil {
				if c.rnd.IntN(4) == 0 {
					r.replica.Tick()
				}
				c.process(r)
			}
		}
		for n := c.rnd.IntN(12); n > 0 && len(c.network) > 0; n-- {
			c.deliver(c.rnd.IntN(min(len(c.network), 8)))
		}
		if c.rnd.IntN(3) == 0 {
			c.request()
		}
	}
}

// deliver removes a message from the network and delivers or drops it.
func (c *cluster) deliver(i int) {
	message := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	to := c.running(message.GetTo())
	lost := to == nil || c.partitioned[message.GetFrom()] != c.partitioned[message.GetTo()] || c.rnd.IntN(40) == 0
	from := c.replicas[message.GetFrom()]
	if message.GetType() == pb.MessageType_MsgSnap && from != nil && from.replica != nil {
		from.replica.ReportSnapshot(message.GetTo(), !lost)
	}
	if lost {
		return
	}
	to.replica.Step(message)
	c.process(to)
}

// injectFault causes a random fault: a power loss, the loss of a router with its disk, a network
// partition, or a pause of the leader's process.
func (c *cluster) injectFault() {
	id := c.ids[c.rnd.IntN(len(c.ids))]
	switch c.rnd.IntN(4) {
	case 0:
		c.losePower(c.replicas[id])
	case 1:
		c.loseDisk(c.replicas[id])
	case 2:
		clear(c.partitioned)
		for _, other := range c.ids[:c.rnd.IntN(len(c.ids)/2+1)] {
			c.partitioned[other] = true
		}
		c.run(60)
		clear(c.partitioned)
	case 3:
		c.pauseLeader(id)
	}
}

func (c *cluster) losePower(r *testReplica) {
	r.replica = nil
	c.run(30)
	r.disk = r.synced
	c.start(r, nil)
}

// loseDisk stops a replica permanently. A new replica with an empty disk replaces it.
func (c *cluster) loseDisk(r *testReplica) {
	r.replica = nil
	c.run(30)
	if c.defect.reusesIDAfterDiskLoss {
		c.start(&testReplica{id: r.id}, slices.Clone(c.ids))
		return
	}
	added := slices.Max(c.ids) + 1
	delete(c.replicas, r.id)
	c.ids = append(slices.DeleteFunc(c.ids, func(id uint64) bool { return id == r.id }), added)
	c.start(&testReplica{id: added}, nil)
	c.replaceMember(r.id, added)
}

// pauseLeader pauses the leader, or the given replica if there is no leader, and reads from it as
// soon as it resumes.
func (c *cluster) pauseLeader(id uint64) {
	for _, other := range c.ids {
		r := c.replicas[other]
		if r == nil || r.replica == nil {
			continue
		}
		if isLeader, _ := r.replica.Leadership(); isLeader {
			id = other
		}
	}
	c.paused = id
	c.run(300)
	c.paused = 0
	for range 12 {
		c.requestAt(id, true)
	}
}

// replaceMember adds one member and removes another, as the rebalancer of the leader does.
func (c *cluster) replaceMember(removed, added uint64) {
	for range 4000 {
		c.run(1)
		for _, id := range c.ids {
			if id != added && c.advanceReplacement(id, removed, added) {
				return
			}
		}
	}
	c.t.Fatal("the new member was not added")
}

// advanceReplacement proposes the next membership change if the replica leads, and reports whether
// the replacement is complete.
func (c *cluster) advanceReplacement(id, removed, added uint64) bool {
	r := c.replicas[id]
	if r == nil || r.replica == nil {
		return false
	}
	if isLeader, _ := r.replica.Leadership(); !isLeader {
		return false
	}
	voters, _ := r.replica.Members()
	switch {
	case !slices.Contains(voters, added):
		_ = r.replica.ProposeConfChange(added, 0)
	case slices.Contains(voters, removed):
		_ = r.replica.ProposeConfChange(0, removed)
	default:
		return true
	}
	return false
}
