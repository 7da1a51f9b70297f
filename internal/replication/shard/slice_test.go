package shard

import (
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"cairnfront/internal/replication/history"
	"cairnfront/internal/replication/statemachine"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// seeded makes raft's draws the same in each run: it takes them from crypto/rand's reader.
type seeded struct{ *rand.Rand }

func (s seeded) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func TestMain(m *testing.M) {
	crand.Reader = seeded{rand.New(rand.NewPCG(1, 1))}
	os.Exit(m.Run())
}

// holder is a Slice with its disk, which outlasts it.
type holder struct {
	id    uint64
	s     *Replica
	disk  PersistentState
	early PersistentState // what a loss of power leaves of it, where an acknowledgement goes out before the sync
}

// broken is code broken on purpose, which the histories have to show.
type broken struct{ emptied, lease, early bool }

// cluster is holders on a network that loses, delays and cuts, and clients whose calls are written down.
type cluster struct {
	t       *testing.T
	rnd     *rand.Rand
	bad     broken
	all     map[uint64]*holder
	ids     []uint64
	net     []*pb.Message
	cut     map[uint64]bool // holders on the smaller side
	stopped uint64          // a holder whose process stands still, 0 for none
	step    int64
	history []porcupine.Operation
	calls   map[string]int // by asker and number, the place in the history
	ask     uint64
	trace   func(id uint64, ready Ready, answers []Response) // hears each step of a replica; nil for nobody
}

func newCluster(t *testing.T, seed uint64, n int, bad broken) *cluster {
	c := &cluster{t: t, rnd: rand.New(rand.NewPCG(seed, 2)), bad: bad, all: map[uint64]*holder{}, cut: map[uint64]bool{}, calls: map[string]int{}}
	for i := range n {
		c.ids = append(c.ids, uint64(i+1))
	}
	for _, id := range c.ids {
		c.start(&holder{id: id}, c.ids)
	}
	return c
}

func (c *cluster) start(h *holder, voters []uint64) {
	s, err := New(3, h.id, h.disk, voters)
	require.NoError(c.t, err)
	if h.disk.Snapshot == nil && len(voters) > 0 {
		h.disk.Snapshot = InitialSnapshot(voters)
		h.early = h.disk
	}
	h.s = s
	c.all[h.id] = h
}

// save puts a batch on a holder's disk.
func save(d *PersistentState, b Ready) {
	if b.Snapshot != nil {
		d.Snapshot, d.Entries = b.Snapshot, nil
	}
	if b.HardState != nil {
		d.HardState = proto.Clone(b.HardState).(*pb.HardState)
	}
	for _, e := range b.Entries {
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(o *pb.Entry) bool { return o.GetIndex() >= e.GetIndex() })
		d.Entries = append(d.Entries, e)
	}
}

// work lets a holder write, send and answer.
func (c *cluster) work(h *holder) {
	for range 10 {
		b, ok := h.s.Ready()
		if !ok {
			return
		}
		save(&h.disk, b)
		if !c.bad.early || c.rnd.IntN(4) == 0 {
			h.early = h.disk
		}
		c.net = append(c.net, b.Messages...)
		answers, err := h.s.Advance(b)
		require.NoError(c.t, err)
		if c.trace != nil {
			c.trace(h.id, b, answers)
		}
		for _, a := range answers {
			c.answered(a)
		}
	}
}

func (c *cluster) answered(a Response) {
	i, ok := c.calls[fmt.Sprint(a.Requester, a.RequestNumber)]
	if !ok {
		return
	}
	delete(c.calls, fmt.Sprint(a.Requester, a.RequestNumber))
	c.history[i].Output = history.Output{Answered: true, Granted: a.Result.Granted, Group: a.Result.Reservation.Group}
	c.history[i].Return = c.step
}

// call asks a holder that believes that it leads, if there is one.
func (c *cluster) call() { c.callAt(c.ids[c.rnd.IntN(len(c.ids))], c.rnd.IntN(3) == 0) }

func (c *cluster) callAt(id uint64, reads bool) {
	h := c.all[id]
	if h == nil || h.s == nil || id == c.stopped {
		return
	}
	x := history.Input{Read: reads, Key: fmt.Sprint("k", c.rnd.IntN(6)), Group: fmt.Sprint("g", c.rnd.IntN(3))}
	c.ask++
	var err error
	if x.Read {
		err = h.s.Read(statemachine.KindAttemptLocation, x.Key, "c", c.ask)
	} else {
		err = h.s.Propose(statemachine.Command{Op: statemachine.OpReserve, Now: 100, Key: x.Key, Group: x.Group, LifetimeSeconds: 1e6, Requester: "c", RequestNumber: c.ask})
	}
	if err != nil {
		return
	}
	c.calls[fmt.Sprint("c", c.ask)] = len(c.history)
	c.history = append(c.history, porcupine.Operation{ClientId: int(c.ask), Input: x, Call: c.step, Output: history.Output{}, Return: history.Unanswered})
	if x.Read && c.bad.lease { // answered at once from what it has, as one who was stopped would
		p, ok := h.s.State().Get(statemachine.KindAttemptLocation, x.Key)
		c.answered(Response{"c", c.ask, statemachine.Result{Granted: ok, Reservation: p}})
	}
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step++
		for _, id := range c.ids {
			if h := c.all[id]; h != nil && h.s != nil && id != c.stopped {
				if c.rnd.IntN(4) == 0 {
					h.s.Tick()
				}
				c.work(h)
			}
		}
		for n := c.rnd.IntN(12); n > 0 && len(c.net) > 0; n-- {
			i := c.rnd.IntN(min(len(c.net), 8))
			m := c.net[i]
			c.net = slices.Delete(c.net, i, i+1)
			to := c.all[m.GetTo()]
			lost := to == nil || to.s == nil || to.id == c.stopped || c.cut[m.GetFrom()] != c.cut[m.GetTo()] || c.rnd.IntN(40) == 0
			if from := c.all[m.GetFrom()]; m.GetType() == pb.MessageType_MsgSnap && from != nil && from.s != nil {
				from.s.ReportSnapshot(m.GetTo(), !lost)
			}
			if lost {
				continue
			}
			to.s.Step(m)
			c.work(to)
		}
		if c.rnd.IntN(3) == 0 {
			c.call()
		}
	}
}

// trouble is one of the faults: a loss of power, a machine lost with its disk, a cut, a process that is stopped.
func (c *cluster) trouble() {
	id := c.ids[c.rnd.IntN(len(c.ids))]
	h := c.all[id]
	switch c.rnd.IntN(4) {
	case 3: // one who leads is stopped, and asked as soon as it wakes up
		for _, o := range c.ids {
			if x := c.all[o]; x != nil && x.s != nil {
				if leads, _ := x.s.Leadership(); leads {
					id = o
				}
			}
		}
		c.stopped = id
		c.run(300)
		c.stopped = 0
		for range 12 {
			c.callAt(id, true)
		}
	case 0: // power
		h.s = nil
		c.run(30)
		h.disk = h.early
		c.start(h, nil)
	case 1: // the machine, with its disk; it comes back empty
		h.s = nil
		c.run(30)
		if c.bad.emptied { // and takes its old number and the first holders
			c.start(&holder{id: id}, slices.Clone(c.ids))
			return
		}
		fresh := slices.Max(c.ids) + 1
		delete(c.all, id)
		c.ids = append(slices.DeleteFunc(c.ids, func(o uint64) bool { return o == id }), fresh)
		c.start(&holder{id: fresh}, nil)
		c.replace(id, fresh)
	case 2:
		clear(c.cut)
		for _, o := range c.ids[:c.rnd.IntN(len(c.ids)/2+1)] {
			c.cut[o] = true
		}
		c.run(60)
		clear(c.cut)
	}
}

// replace brings a holder in and takes another out, as the one who leads would.
func (c *cluster) replace(gone, fresh uint64) {
	for range 4000 {
		c.run(1)
		in := false
		for _, id := range c.ids {
			h := c.all[id]
			if h == nil || h.s == nil || id == fresh {
				continue
			}
			voters, _ := h.s.Members()
			if leads, _ := h.s.Leadership(); !leads {
				continue
			}
			if slices.Contains(voters, fresh) {
				if !slices.Contains(voters, gone) {
					in = true
					break
				}
				_ = h.s.ProposeConfChange(0, gone)
			} else {
				_ = h.s.ProposeConfChange(fresh, 0)
			}
		}
		if in {
			return
		}
	}
	c.t.Fatal("a new holder was not taken in")
}

func play(t *testing.T, seed uint64, troubles int, bad broken) (linear bool, c *cluster) {
	c = newCluster(t, seed, 3+2*int(seed%2), bad)
	c.run(200)
	for range troubles {
		c.trouble()
		c.run(80)
	}
	return history.Linearizable(c.history, 20*time.Second), c
}

// TestHistoriesAreLinearizable plays losses of power, machines lost with their disks and cuts, and checks what clients were told.
func TestHistoriesAreLinearizable(t *testing.T) {
	answered, asked := 0, 0
	for seed := range uint64(12) {
		linear, c := play(t, seed, 6, broken{})
		assert.True(t, linear, "seed %d", seed)
		for _, o := range c.history {
			asked++
			if o.Output.(history.Output).Answered {
				answered++
			}
		}
	}
	t.Logf("%d of %d calls were answered", answered, asked)
	assert.Greater(t, answered, asked/2)
}

// TestBrokenHoldersAreFound: a vote after an emptied disk, a read that nobody confirmed, an acknowledgement before the sync.
func TestBrokenHoldersAreFound(t *testing.T) {
	for name, bad := range map[string]broken{"emptied": {emptied: true}, "lease": {lease: true}, "early": {early: true}} {
		found := func() (found bool) {
			for seed := range uint64(60) {
				func() {
					defer func() { found = found || recover() != nil }() // raft itself refuses some of what can't be
					linear, _ := play(t, 100+seed, 8, bad)
					found = found || !linear
				}()
				if found {
					return true
				}
			}
			return false
		}()
		assert.True(t, found, name)
	}
}

func TestSnapshotBringsANewcomerUp(t *testing.T) {
	c := newCluster(t, 5, 3, broken{})
	c.run(300)
	for range 40_000 {
		c.run(1)
		for _, id := range c.ids {
			if leads, _ := c.all[id].s.Leadership(); leads && c.ask < snapshotInterval+1000 {
				c.ask++
				_ = c.all[id].s.Propose(statemachine.Command{Op: statemachine.OpReserve, Now: 100, Key: fmt.Sprint(c.ask), Group: "g", LifetimeSeconds: 60, Requester: "x", RequestNumber: c.ask})
			}
			if snap, err := c.all[id].s.Compact(); assert.NoError(t, err) && snap != nil {
				h := c.all[id]
				h.disk.Snapshot = snap
				h.disk.Entries = slices.DeleteFunc(h.disk.Entries, func(e *pb.Entry) bool { return e.GetIndex() <= snap.GetMetadata().GetIndex() })
			}
		}
		if c.all[1].s.applied > snapshotInterval+500 && c.all[2].s.applied > snapshotInterval+500 && c.all[3].s.applied > snapshotInterval+500 {
			break
		}
	}
	require.Greater(t, c.all[1].s.snapshotIndex, uint64(snapshotInterval))
	c.all[2].s = nil
	delete(c.all, 2)
	c.ids = []uint64{1, 3, 4}
	c.start(&holder{id: 4}, nil)
	c.replace(2, 4)
	c.run(200)
	assert.Equal(t, c.all[1].s.State().Len(), c.all[4].s.State().Len())
}
