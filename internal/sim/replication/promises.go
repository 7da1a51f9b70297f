// Package promises plays the ledger's cores on virtual time: holders with faulty disks in zones, a network with the fault scripts of
// the laboratory, clients that claim keys at any router and try again elsewhere. What clients were told is held against a record
// without faults: linearizable, and no promise that was given is lost.
package replication

import (
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/history"
	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/wal"
	"cairnfront/internal/sim/clock"
	"cairnfront/internal/sim/faults"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Sizes and times of a play.
const (
	zones      = 3
	copies     = 3
	latency    = 0.0005
	jitter     = 0.002
	syncTakes  = 0.002 // s that a batch is on its way to the disk
	seenAfter  = 2.0   // s until others know that a holder is gone or there, as peers find out
	goneAfter  = 4.0   // s for which it has to be away before it is replaced
	callEvery  = 0.05  // s between two claims or reads of all clients, in the mean
	callWaits  = 3.0   // s
	askAgain   = 0.4   // s
	keysOf     = 24    // keys that are asked for
	life       = 1e6   // s of a claim: none ends in a play
	clockStart = 1.7e9
)

// Plan is what is played. Power cuts hit in the middle of writes.
type Config struct {
	Script faults.Script
	Shards int // of the ledger's; the rest hold nothing
}

// Result is what came of it.
type Result struct {
	Reservations, Reads, Answered       int
	MachinesLost                        int // machines lost with their disks
	PowerCuts                           int // losses of power
	Linearizable                        bool
	Failure                             string // what went wrong beside that
	LatencySeconds                      []float64
	ConfChanges                         int
	ReservationsLost, ConflictingGrants int // claims that were granted and are not there at the end; keys granted to two groups
	LongestLeaderlessSeconds            float64
}

type node struct {
	i      int
	name   string
	zone   string
	fs     *vfs.FaultFS
	f      *wal.WAL
	id     uint64
	slices map[int]*shard.Replica
	up     bool
	paused bool
	held   []func()
	seen   bool // as others know
	since  float64
	keeper *placement.Rebalancer
	boots  int
	busy   bool // a batch is on its way to the disk
	disks  int
}

type call struct {
	op   int
	at   float64
	key  string
	read bool
	cmd  statemachine.Command
	done bool
	try  int
}

type player struct {
	w       *clock.World
	plan    Config
	nodes   []*node
	byID    map[uint64]*node
	seen    map[uint64]placement.ReplicaStatus
	calls   map[uint64]*call
	history []porcupine.Operation
	r       *Result
	keys    []string
	no      uint64
	err     error
	groups  map[string]string // by key, the group it was granted in
	ledless map[int]float64
}

// raft draws its election times from crypto/rand; a play gives it a reader of its own. Plays in one process take turns for it.
var reader = struct {
	sync.Mutex
	rnd *rand.Rand
}{}

type seeded struct{ rnd *rand.Rand }

func (s seeded) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.rnd.Uint32())
	}
	return len(p), nil
}

// Play plays a plan. Only one play runs at a time in a process.
func Run(p Config) (*Result, error) {
	if err := p.Script.Check(); err != nil {
		return nil, err
	}
	reader.Lock()
	defer reader.Unlock()
	before := crand.Reader
	crand.Reader = seeded{rand.New(rand.NewPCG(p.Script.Seed, 0x4af7))}
	defer func() { crand.Reader = before }()
	x := &player{w: clock.New(p.Script.Seed, 0x1ed6, 0), plan: p, byID: map[uint64]*node{}, seen: map[uint64]placement.ReplicaStatus{}, calls: map[uint64]*call{}, r: &Result{},
		groups: map[string]string{}, ledless: map[int]float64{}}
	for k := 0; len(x.keys) < keysOf; k++ {
		if key := fmt.Sprint("k", k); placement.ShardOf(key) < p.Shards {
			x.keys = append(x.keys, key)
		}
	}
	for i := range p.Script.Peers {
		n := &node{i: i, name: fmt.Sprint("r", i), zone: fmt.Sprint("z", i%zones), keeper: placement.NewRebalancer(copies, goneAfter)}
		x.nodes = append(x.nodes, n)
		x.fresh(n)
	}
	if err := x.begin(); err != nil {
		return nil, err
	}
	for _, m := range p.Script.Moments() {
		x.w.At(m.At, func() { x.moment(m) })
	}
	for _, n := range x.nodes {
		x.w.After(shard.TickSeconds*x.w.Rand.Float64(), func() { x.tick(n) })
		x.w.After(0.5*x.w.Rand.Float64(), func() { x.keep(n) })
	}
	x.w.After(1, x.client)
	x.w.Run(p.Script.Until)
	if x.err != nil {
		x.r.Failure = x.err.Error()
	}
	x.r.Linearizable = history.Linearizable(x.history, 30*time.Second)
	x.count()
	return x.r, nil
}

func (x *player) fail(err error) {
	if x.err == nil {
		x.err = fmt.Errorf("at %.2f s: %w", x.w.Now(), err)
	}
}

// fresh gives a node an empty disk.
func (x *player) fresh(n *node) {
	n.disks++
	n.fs = vfs.NewFaultFS(x.plan.Script.Seed*1000 + uint64(n.i*16+n.disks))
	x.open(n)
}

// open starts a node on its disk.
func (x *player) open(n *node) {
	f, saved, err := wal.Open(n.fs, n.name, func() uint64 { return x.w.Rand.Uint64()>>1 | 1 })
	if err != nil {
		x.fail(fmt.Errorf("%s opens its folder: %w", n.name, err))
		return
	}
	n.f, n.id, n.up, n.paused, n.busy, n.held = f, f.Identity().ID, true, false, false, nil
	n.slices = map[int]*shard.Replica{}
	n.boots++
	x.byID[n.id] = n
	for no, s := range saved {
		if n.slices[no], err = shard.New(no, n.id, s, nil); err != nil {
			x.fail(err)
		}
	}
	x.known(n, true)
}

// known tells all others that a node is there or gone, some time later.
func (x *player) known(n *node, up bool) {
	id := n.id
	set := func() {
		s := x.seen[id]
		x.seen[id] = placement.ReplicaStatus{ID: id, Node: n.name, Zone: n.zone, Up: up && n.up && n.id == id, LastSeen: x.w.Now()}
		if !up && !s.Up {
			x.seen[id] = s
		}
	}
	if x.w.Now() == 0 {
		set()
		return
	}
	x.w.After(seenAfter, set)
}

func (x *player) begin() error {
	var of []placement.Node
	ids := map[string]uint64{}
	for _, n := range x.nodes {
		of, ids[n.name] = append(of, placement.Node{Name: n.name, Zone: n.zone}), n.id
	}
	for no := range x.plan.Shards {
		var voters []uint64
		for _, name := range placement.PreferredNodes(no, of, copies) {
			voters = append(voters, ids[name])
		}
		for _, v := range voters {
			n := x.byID[v]
			if err := n.f.Write([]shard.Ready{{Shard: no, Snapshot: shard.InitialSnapshot(voters), MustSync: true}}); err != nil {
				return err
			}
			s, err := shard.New(no, n.id, shard.PersistentState{Snapshot: shard.InitialSnapshot(voters)}, nil)
			if err != nil {
				return err
			}
			n.slices[no] = s
		}
	}
	return nil
}

// do lets a node act, or act later where it is stopped.
func (x *player) do(n *node, f func()) {
	switch {
	case !n.up:
	case n.paused:
		if len(n.held) < 500 {
			n.held = append(n.held, f)
		}
	default:
		f()
		x.work(n)
	}
}

func (x *player) tick(n *node) {
	x.do(n, func() {
		for _, no := range sorted(n.slices) {
			n.slices[no].Tick()
		}
	})
	x.w.After(shard.TickSeconds, func() { x.tick(n) })
}

func sorted(m map[int]*shard.Replica) []int {
	out := make([]int, 0, len(m))
	for no := range m {
		out = append(out, no)
	}
	slices.Sort(out)
	return out
}

// work brings what the slices want written to the disk; what follows comes once it is there.
func (x *player) work(n *node) {
	if n.busy {
		return
	}
	var batches []shard.Ready
	for _, no := range sorted(n.slices) {
		if b, ok := n.slices[no].Ready(); ok {
			batches = append(batches, b)
		}
	}
	if len(batches) == 0 {
		return
	}
	if err := n.f.Write(batches); err != nil {
		if !errors.Is(err, vfs.ErrPowerLoss) {
			x.fail(err)
		}
		x.down(n)
		return
	}
	n.busy = true
	f := n.f
	x.w.After(syncTakes*x.w.Rand.Float64(), func() {
		if n.f != f || !n.up {
			return
		}
		n.busy = false
		x.do(n, func() { x.written(n, batches) })
	})
}

func (x *player) written(n *node, batches []shard.Ready) {
	for _, b := range batches {
		s := n.slices[b.Shard]
		for _, m := range b.Messages {
			x.send(n, s, m)
		}
		answers, err := s.Advance(b)
		if err != nil {
			x.fail(err)
			return
		}
		for _, a := range answers {
			x.answered(n, a)
		}
	}
}

func (x *player) send(n *node, s *shard.Replica, m *pb.Message) {
	to := x.byID[m.GetTo()]
	snap := m.GetType() == pb.MessageType_MsgSnap
	if to == nil || to.id != m.GetTo() {
		s.ReportUnreachable(m.GetTo())
		if snap {
			s.ReportSnapshot(m.GetTo(), false)
		}
		return
	}
	delays, spoilt := x.plan.Script.Way(n.i, to.i, x.w.Now()).Passing(x.w.Rand)
	if len(delays) == 0 || spoilt {
		if snap {
			s.ReportSnapshot(m.GetTo(), false)
		}
		return
	}
	x.w.After(delays[0]+latency+jitter*x.w.Rand.Float64(), func() {
		x.do(to, func() {
			if to.id != m.GetTo() {
				return
			}
			if to.slices[s.Shard()] == nil {
				fresh, err := shard.New(s.Shard(), to.id, shard.PersistentState{}, nil)
				if err != nil {
					x.fail(err)
					return
				}
				to.slices[s.Shard()] = fresh
			}
			to.slices[s.Shard()].Step(m)
		})
		if snap && n.up && n.slices[s.Shard()] == s {
			s.ReportSnapshot(m.GetTo(), true)
		}
	})
}

// keep lets a node look after the slices that it leads.
func (x *player) keep(n *node) {
	x.do(n, func() {
		var led []placement.LedShard
		for _, no := range sorted(n.slices) {
			if leads, _ := n.slices[no].Leadership(); leads {
				v, l := n.slices[no].Members()
				led = append(led, placement.LedShard{Shard: no, Voters: v, Learners: l})
			}
		}
		for _, c := range n.keeper.Changes(x.w.Now(), placement.SortedByID(x.seen), led) {
			if n.slices[c.Shard].ProposeConfChange(c.Add, c.Remove) == nil {
				x.r.ConfChanges++
			}
		}
	})
	for no := range x.plan.Shards {
		leads := false
		for _, o := range x.nodes {
			if s := o.slices[no]; o.up && !o.paused && s != nil {
				l, _ := s.Leadership()
				leads = leads || l
			}
		}
		if leads {
			x.ledless[no] = x.w.Now()
		}
		x.r.LongestLeaderlessSeconds = max(x.r.LongestLeaderlessSeconds, x.w.Now()-x.ledless[no])
	}
	x.w.After(0.5, func() { x.keep(n) })
}

// client asks for a key somewhere, and asks again until it is answered or tired.
func (x *player) client() {
	x.no++
	k := x.keys[x.w.Rand.IntN(len(x.keys))]
	in := history.Input{Read: x.w.Rand.IntN(3) == 0, Key: k, Group: fmt.Sprint("g", x.w.Rand.IntN(3))}
	c := &call{op: len(x.history), at: x.w.Now(), key: k, read: in.Read,
		cmd: statemachine.Command{Op: statemachine.OpReserve, Now: clockStart, Key: k, Group: in.Group, LifetimeSeconds: life, Requester: "c", RequestNumber: x.no}}
	if in.Read {
		x.r.Reads++
	} else {
		x.r.Reservations++
	}
	x.calls[x.no] = c
	x.history = append(x.history, porcupine.Operation{ClientId: int(x.no), Input: in, Output: history.Output{}, Call: x.stamp(), Return: history.Unanswered})
	x.ask(x.no)
	x.w.After(x.w.Rand.ExpFloat64()*callEvery, x.client)
}

func (x *player) stamp() int64 { return int64(x.w.Now() * 1e9) }

func (x *player) ask(no uint64) {
	c := x.calls[no]
	if c.done || x.w.Now() > c.at+callWaits {
		return
	}
	c.try++
	slc := placement.ShardOf(c.key)
	var leads []*node // who believes so, stopped ones that wake up too
	for _, n := range x.nodes {
		if n.up && n.slices[slc] != nil {
			if l, _ := n.slices[slc].Leadership(); l {
				leads = append(leads, n)
			}
		}
	}
	if len(leads) > 0 {
		n := leads[x.w.Rand.IntN(len(leads))]
		x.do(n, func() {
			s := n.slices[slc]
			if s == nil {
				return
			}
			if c.read {
				_ = s.Read(statemachine.KindAttemptLocation, c.key, "c", no)
			} else {
				_ = s.Propose(c.cmd)
			}
		})
	}
	x.w.After(askAgain, func() { x.ask(no) })
}

func (x *player) answered(_ *node, a shard.Response) {
	c := x.calls[a.RequestNumber]
	if c == nil || c.done {
		return
	}
	c.done = true
	x.r.Answered++
	x.r.LatencySeconds = append(x.r.LatencySeconds, x.w.Now()-c.at)
	h := &x.history[c.op]
	h.Output, h.Return = history.Output{Answered: true, Granted: a.Result.Granted, Group: a.Result.Reservation.Group}, x.stamp()
	if !c.read && a.Result.Granted {
		if g, ok := x.groups[c.key]; ok && g != c.cmd.Group {
			x.r.ConflictingGrants++
		}
		x.groups[c.key] = c.cmd.Group
	}
}

// count looks whether what was granted is still there, where most of a slice's holders are.
func (x *player) count() {
	for _, key := range x.keys {
		g, ok := x.groups[key]
		if !ok {
			continue
		}
		for _, n := range x.nodes {
			s := n.slices[placement.ShardOf(key)]
			if !n.up || s == nil {
				continue
			}
			if leads, _ := s.Leadership(); !leads {
				continue
			}
			if p, ok := s.State().Get(statemachine.KindAttemptLocation, key); !ok || p.Group != g {
				x.r.ReservationsLost++
			}
		}
	}
}

func (x *player) down(n *node) {
	if n.up {
		n.up, n.paused = false, false
		n.f.Close()
		x.known(n, false)
	}
}

// moment begins or ends a fault of machines. A loss of power hits in the middle of the disk's operations.
func (x *player) moment(m faults.Moment) {
	for _, i := range m.Act.From {
		if m.Act.OfWay() || i >= len(x.nodes) {
			continue
		}
		n := x.nodes[i]
		switch m.Act.Do {
		case faults.Kill:
			if !m.End {
				x.r.PowerCuts++
				n.fs.PowerLossAfter = n.fs.OpCount() + 1 + x.w.Rand.IntN(6)
				x.w.After(0.3, func() { x.down(n) }) // at the latest
			} else if x.down(n); !n.up {
				n.fs.Restart()
				x.open(n)
			}
		case faults.Wipe:
			if !m.End {
				x.r.MachinesLost++
				x.down(n)
			} else if !n.up {
				x.fresh(n)
			}
		case faults.Pause:
			if !m.End {
				n.paused = n.up
			} else if n.paused {
				n.paused = false
				held := n.held
				n.held = nil
				for _, f := range held {
					x.do(n, f)
				}
			}
		}
	}
}
