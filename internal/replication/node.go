// Package ledger is a router's part in the replicated record of promises: one goroutine that owns its slices, the keeper and the
// folder, and the connections to the others. What is decided is decided in the cores (record, slice, place, claim); here it is carried
// out, in the order that they need: first on the disk, then sent, then believed. Design note: docs/ledger.md.
package replication

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/transport"
	"cairnfront/internal/replication/wal"

	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// Bounds of the shell. What is tuned stands in the cores.
const (
	mostWaiting = 8192 // events that wait for the goroutine
	atOnce      = 256  // of them taken before the disk is written: what comes together is synced together
	mostOpen    = 65536
	forgetAfter = 5 * time.Second // an answer that nobody came for
	keepEvery   = 500 * time.Millisecond
	sweepEvery  = 2 * time.Second // between commands that let time pass in a slice that is otherwise still
)

// Plan is what a router is told of its ledger.
type Config struct {
	Name, Zone          string
	ReplicaCount        int      // holders of each slice
	InitialMembers      []string // who begins the ledger, all of whom have to be there once
	ReplaceAfterSeconds float64  // s after which a lost holder is replaced
	Transport           *transport.Transport
	Disk                vfs.FS
	Logger              *slog.Logger
	Clock               func() time.Time // of promises' ends; nil for the system's
}

// ErrOldFolder says that the folder is a copy from an earlier time: its word was already given otherwise.
var ErrStaleFolder = errors.New("the ledger's folder is an old copy: its disk was seen to start more often than it remembers")

// Ledger is one router's.
type Node struct {
	plan   Config
	folder *wal.WAL
	me     uint64
	slices map[int]*shard.Replica
	keeper *placement.Rebalancer
	rnd    *rand.Rand
	base   time.Time

	seen   map[uint64]placement.ReplicaStatus // holders by their disks
	boots  map[uint64]uint32
	voters map[int][]uint64 // of slices that others hold, as they said
	hints  map[int]uint64   // who leads
	empty  map[string]bool  // who said that it holds nothing
	up     map[string]bool

	asks    map[uint64]*ask
	no      uint64
	replies map[question]reply

	in     chan any
	gone   chan struct{}
	swept  time.Time
	failed error

	ProposalCount, SyncCount int64 // counts for operators
}

type question struct {
	asker string
	ask   uint64
}

// reply is who waits for a command's answer: another router, or somebody here.
type reply struct {
	to   string
	no   uint64
	then func(statemachine.Result, error)
	at   time.Time
}

// ask is a question of this router that is out.
type ask struct {
	frame transport.Frame
	slice int
	try   int
	at    time.Time
	until time.Time
	then  func(statemachine.Result, error)
}

type (
	took struct {
		from string
		f    transport.Frame
	}
	upped struct {
		name string
		up   bool
	}
	asked struct {
		f     transport.Frame
		until time.Time
		then  func(statemachine.Result, error)
	}
	looked struct{ f func() }
)

// Errors of questions.
var (
	ErrNoAnswer = errors.New("no holder of the slice answered in time")
	ErrStopped  = errors.New("the ledger has ended")
)

// New opens a router's folder. The Net's callbacks are taken over.
func New(p Config) (*Node, error) {
	f, saved, err := wal.Open(p.Disk, p.Name, rand.Uint64)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if p.Clock == nil {
		p.Clock = time.Now
	}
	l := &Node{plan: p, folder: f, me: f.Identity().ID, slices: map[int]*shard.Replica{}, keeper: placement.NewRebalancer(p.ReplicaCount, p.ReplaceAfterSeconds), base: time.Now(),
		rnd: rand.New(rand.NewPCG(f.Identity().ID, uint64(f.Identity().StartCount))), seen: map[uint64]placement.ReplicaStatus{}, boots: map[uint64]uint32{}, voters: map[int][]uint64{},
		hints: map[int]uint64{}, empty: map[string]bool{}, up: map[string]bool{}, asks: map[uint64]*ask{}, replies: map[question]reply{},
		in: make(chan any, mostWaiting), gone: make(chan struct{})}
	l.no = uint64(f.Identity().StartCount) << 40
	l.seen[l.me] = placement.ReplicaStatus{ID: l.me, Node: p.Name, Zone: p.Zone, Up: true}
	l.boots[l.me] = f.Identity().StartCount
	for no, s := range saved {
		x, err := shard.New(no, l.me, s, nil)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("ledger: %w", err)
		}
		l.slices[no] = x
	}
	p.Transport.OnFrame = func(from string, f transport.Frame) { l.post(took{from, f}) }
	p.Transport.OnPeerState = func(name string, up bool) { l.post(upped{name, up}) }
	return l, nil
}

// post hands an event to the goroutine. It waits while too many do: a peer that sends too much is slowed by its connection.
func (l *Node) post(ev any) {
	select {
	case l.in <- ev:
	case <-l.gone:
	}
}

// Do puts a command to the ledger; then is called once, from the ledger's goroutine, with what it came to or why not. It must not wait.
// A command that is asked twice is carried out once, by its asker and number.
func (l *Node) Propose(c statemachine.Command, until time.Time, then func(statemachine.Result, error)) {
	text, err := c.Encode()
	if err != nil {
		then(statemachine.Result{}, err)
		return
	}
	l.put(asked{transport.Frame{Kind: transport.KindPropose, Shard: placement.ShardOf(c.Key), Payload: text}, until, then})
}

// Get reads a promise as it stands.
func (l *Node) Read(kind statemachine.Kind, key string, until time.Time, then func(statemachine.Result, error)) {
	l.put(asked{transport.Frame{Kind: transport.KindRead, Shard: placement.ShardOf(key), ReservationKind: kind, Key: key}, until, then})
}

// put never waits: one that finds no room is answered at once.
func (l *Node) put(a asked) {
	select {
	case <-l.gone:
		a.then(statemachine.Result{}, ErrStopped)
		return
	default:
	}
	select {
	case l.in <- a:
	default:
		a.then(statemachine.Result{}, shard.ErrBusy)
	}
}

// Look runs a function where the state is owned, and waits for it.
func (l *Node) Look(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.in <- looked{func() { f(); close(done) }}:
	case <-l.gone:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.gone:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run plays the router's part until the context ends, or its disk fails.
func (l *Node) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.plan.Transport.Run(ctx, ln) })
	g.Go(func() error {
		defer close(l.gone)
		defer l.folder.Close()
		return l.own(ctx)
	})
	return g.Wait()
}

func (l *Node) own(ctx context.Context) error {
	tick := time.NewTicker(time.Duration(shard.TickSeconds * float64(time.Second)))
	keep := time.NewTicker(keepEvery)
	defer tick.Stop()
	defer keep.Stop()
	l.begin()
	for {
		select {
		case <-ctx.Done():
			for _, a := range l.asks {
				a.then(statemachine.Result{}, ErrStopped)
			}
			return nil
		case ev := <-l.in:
			l.hear(ev)
			for n := 1; n < atOnce; n++ {
				select {
				case ev := <-l.in:
					l.hear(ev)
					continue
				default:
				}
				break
			}
		case <-tick.C:
			for _, s := range l.slices {
				s.Tick()
			}
			l.overdue()
		case <-keep.C:
			l.keep()
		}
		if err := l.work(); err != nil {
			l.plan.Logger.Error("ledger", "code", "ended", "err", err.Error())
			return err
		}
		if l.failed != nil {
			l.plan.Logger.Error("ledger", "code", "ended", "err", l.failed.Error())
			return l.failed
		}
	}
}

func (l *Node) now() float64 { return time.Since(l.base).Seconds() }

func (l *Node) hear(ev any) {
	switch ev := ev.(type) {
	case took:
		l.take(ev.from, ev.f)
	case upped:
		l.up[ev.name] = ev.up
		if ev.up {
			l.plan.Transport.Send(ev.name, l.hello())
		}
		for id, s := range l.seen {
			if s.Node == ev.name && id != l.me {
				if s.Up = ev.up && l.newest(ev.name) == id; !s.Up {
					s.LastSeen = l.now()
				}
				l.seen[id] = s
			}
		}
	case asked:
		l.no++
		if len(l.asks) >= mostOpen {
			ev.then(statemachine.Result{}, shard.ErrBusy)
			return
		}
		ev.f.Number = l.no
		a := &ask{frame: ev.f, slice: ev.f.Shard, until: ev.until, then: ev.then}
		l.asks[l.no] = a
		l.route(a)
	case looked:
		ev.f()
	}
}

// newest is the disk under a name that said hello last.
func (l *Node) newest(name string) (id uint64) {
	last := -1.0
	for _, s := range l.seen {
		if s.Node == name && s.LastSeen > last {
			id, last = s.ID, s.LastSeen
		}
	}
	return id
}

func (l *Node) hello() transport.Frame {
	f := transport.Frame{Kind: transport.KindHello, Replica: l.me, StartCount: l.folder.Identity().StartCount, Zone: l.plan.Zone, ShardVoters: map[int][]uint64{}, SeenStartCounts: l.boots}
	for no, s := range l.slices {
		f.ShardVoters[no], _ = s.Members()
	}
	return f
}

func (l *Node) take(from string, f transport.Frame) {
	switch f.Kind {
	case transport.KindHello:
		if f.SeenStartCounts[l.me] > l.folder.Identity().StartCount {
			l.failed = ErrStaleFolder
			return
		}
		if l.boots[f.Replica] < f.StartCount {
			l.boots[f.Replica] = f.StartCount
		}
		for id, s := range l.seen { // another disk under the same name is gone
			if s.Node == from && id != f.Replica && s.Up {
				s.Up, s.LastSeen = false, l.now()
				l.seen[id] = s
			}
		}
		l.seen[f.Replica] = placement.ReplicaStatus{ID: f.Replica, Node: from, Zone: f.Zone, Up: true, LastSeen: l.now()}
		l.empty[from] = len(f.ShardVoters) == 0
		for no, v := range f.ShardVoters {
			if len(v) > 0 {
				l.voters[no] = v
			}
		}
		l.begin()
	case transport.KindRaft:
		l.raft(from, f)
	case transport.KindPropose, transport.KindRead:
		l.serve(f, reply{to: from, no: f.Number, at: time.Now()})
	case transport.KindResult:
		if a := l.asks[f.Number]; a != nil && f.Result != nil {
			delete(l.asks, f.Number)
			a.then(*f.Result, nil)
		}
	case transport.KindNotLeader:
		if a := l.asks[f.Number]; a != nil {
			if l.hints[a.slice] = f.Replica; f.Replica == 0 {
				delete(l.hints, a.slice)
			} else {
				l.route(a)
			}
		}
	}
}

func (l *Node) raft(from string, f transport.Frame) {
	m := &pb.Message{}
	if proto.Unmarshal(f.Payload, m) != nil || m.GetTo() != l.me || l.seen[m.GetFrom()].Node != from {
		return // for an earlier disk of this machine, or from nobody who said hello
	}
	s := l.slices[f.Shard]
	if s == nil {
		var err error
		if s, err = shard.New(f.Shard, l.me, shard.PersistentState{}, nil); err != nil {
			l.plan.Logger.Error("ledger", "code", "no-slice", "slice", f.Shard, "err", err.Error())
			return
		}
		l.slices[f.Shard] = s
	}
	s.Step(m)
}

// begin starts the ledger once all who are to begin it are there and none of them holds anything; or joins those who began already.
func (l *Node) begin() {
	if len(l.slices) > 0 || !slices.Contains(l.plan.InitialMembers, l.plan.Name) {
		return
	}
	var of []placement.Node
	ids := map[string]uint64{l.plan.Name: l.me}
	for _, name := range l.plan.InitialMembers {
		if name == l.plan.Name {
			of = append(of, placement.Node{Name: name, Zone: l.plan.Zone})
			continue
		}
		id := l.newest(name)
		if !l.empty[name] && l.voters[0] == nil && id != 0 || id == 0 || !l.seen[id].Up {
			return // somebody is missing, or holds a ledger that this one does not belong to
		}
		of, ids[name] = append(of, placement.Node{Name: name, Zone: l.seen[id].Zone}), id
	}
	var batches []shard.Ready
	born := map[int][]uint64{}
	for no := range placement.ShardCount {
		var voters []uint64
		for _, name := range placement.PreferredNodes(no, of, l.plan.ReplicaCount) {
			voters = append(voters, ids[name])
		}
		if v := l.voters[no]; v != nil && !same(v, voters) {
			return // those who began did so with another disk of this machine, or long ago: they take it in
		}
		if slices.Contains(voters, l.me) {
			born[no] = voters
			batches = append(batches, shard.Ready{Shard: no, Snapshot: shard.InitialSnapshot(voters), MustSync: true})
		}
		l.voters[no] = voters
	}
	if l.failed = l.folder.Write(batches); l.failed != nil {
		return
	}
	for no, voters := range born {
		s, err := shard.New(no, l.me, shard.PersistentState{Snapshot: shard.InitialSnapshot(voters)}, nil)
		if err != nil {
			l.failed = err
			return
		}
		l.slices[no] = s
	}
	l.plan.Logger.Info("ledger", "code", "began", "slices", len(born), "holder", l.me)
	l.greet()
}

func same(a, b []uint64) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// greet tells all others what is held here now.
func (l *Node) greet() {
	for name, up := range l.up {
		if up {
			l.plan.Transport.Send(name, l.hello())
		}
	}
}

// route puts a question to who leads its slice, as far as is known, else to one of its holders after the other.
func (l *Node) route(a *ask) {
	a.at = time.Now()
	if s := l.slices[a.slice]; s != nil {
		if leads, lead := s.Leadership(); leads {
			l.serve(a.frame, reply{no: a.frame.Number, then: a.then, at: a.at})
			return
		} else if lead != 0 && a.try == 0 {
			l.hints[a.slice] = lead
		}
	}
	a.try++
	to := l.hints[a.slice]
	if h := l.seen[to]; to == 0 || !h.Up || a.try > 2 {
		var able []uint64
		voters := l.voters[a.slice]
		if s := l.slices[a.slice]; s != nil {
			if v, _ := s.Members(); len(v) > 0 { // none while it is still coming in
				voters = v
			}
		}
		for _, v := range voters {
			if v != l.me && l.seen[v].Up {
				able = append(able, v)
			}
		}
		if len(able) == 0 {
			return // asked again when somebody is there
		}
		to = able[(a.try+l.rnd.IntN(len(able)))%len(able)]
	}
	l.plan.Transport.Send(l.seen[to].Node, a.frame)
}

// serve answers a question if this holder leads its slice.
func (l *Node) serve(f transport.Frame, r reply) {
	s := l.slices[f.Shard]
	lead := uint64(0)
	var err error
	if s == nil {
		err = shard.ErrNotLeader
	} else if _, lead = s.Leadership(); f.Kind == transport.KindRead {
		q := question{"read/" + r.to, r.no}
		if err = s.Read(f.ReservationKind, f.Key, q.asker, q.ask); err == nil {
			l.replies[q] = r
		}
	} else {
		var c statemachine.Command
		if c, err = statemachine.Decode(f.Payload); err == nil {
			c.Now = float64(l.plan.Clock().UnixMilli()) / 1000 // the leader's clock counts
			if err = s.Propose(c); err == nil {
				l.replies[question{c.Requester, c.RequestNumber}] = r
				l.ProposalCount++
			}
		}
	}
	if err != nil && r.to != "" {
		l.plan.Transport.Send(r.to, transport.Frame{Kind: transport.KindNotLeader, Number: r.no, Shard: f.Shard, Replica: lead})
	}
}

func (l *Node) answer(a shard.Response) {
	q := question{a.Requester, a.RequestNumber}
	r, ok := l.replies[q]
	if !ok {
		return
	}
	delete(l.replies, q)
	if r.to != "" {
		l.plan.Transport.Send(r.to, transport.Frame{Kind: transport.KindResult, Number: r.no, Result: &a.Result})
		return
	}
	if x := l.asks[r.no]; x != nil {
		delete(l.asks, r.no)
		x.then(a.Result, nil)
	}
}

// overdue asks again what was not answered, and gives up what has no time left.
func (l *Node) overdue() {
	now := time.Now()
	for no, a := range l.asks {
		switch {
		case now.After(a.until):
			delete(l.asks, no)
			a.then(statemachine.Result{}, ErrNoAnswer)
		case now.Sub(a.at) > 250*time.Millisecond:
			l.route(a)
		}
	}
	for q, r := range l.replies {
		if now.Sub(r.at) > forgetAfter {
			delete(l.replies, q)
		}
	}
}

// keep looks after the slices that are led here: their holders, their time, their logs.
func (l *Node) keep() {
	var led []placement.LedShard
	still := time.Since(l.swept) > sweepEvery
	for no, s := range l.slices {
		if leads, _ := s.Leadership(); leads {
			voters, learners := s.Members()
			led = append(led, placement.LedShard{Shard: no, Voters: voters, Learners: learners})
			if still {
				_ = s.Propose(statemachine.Command{Op: statemachine.OpAdvanceTime, Now: float64(l.plan.Clock().UnixMilli()) / 1000})
			}
		}
	}
	if still {
		l.swept = time.Now()
	}
	slices.SortFunc(led, func(a, b placement.LedShard) int { return a.Shard - b.Shard })
	for _, c := range l.keeper.Changes(l.now(), placement.SortedByID(l.seen), led) {
		if err := l.slices[c.Shard].ProposeConfChange(c.Add, c.Remove); err == nil {
			l.plan.Logger.Info("ledger", "code", "holders", "slice", c.Shard, "add", l.seen[c.Add].Node, "remove", l.seen[c.Remove].Node)
		}
	}
}

// work writes what the slices want written, with one sync, then sends and answers what follows from it.
func (l *Node) work() error {
	for {
		var batches []shard.Ready
		for _, s := range l.slices {
			if b, ok := s.Ready(); ok {
				batches = append(batches, b)
			}
		}
		if len(batches) == 0 {
			return nil
		}
		if err := l.folder.Write(batches); err != nil {
			return err
		}
		l.SyncCount = l.folder.SyncCount
		moved := false
		for _, b := range batches {
			s := l.slices[b.Shard]
			for _, m := range b.Messages {
				l.send(s, m)
			}
			before, _ := s.Members()
			answers, err := s.Advance(b)
			if err != nil {
				return err
			}
			after, _ := s.Members()
			moved = moved || !slices.Equal(before, after)
			for _, a := range answers {
				l.answer(a)
			}
			snap, err := s.Compact()
			if err == nil && snap != nil {
				err = l.folder.SaveSnapshot(b.Shard, snap)
			}
			if err != nil {
				return err
			}
		}
		if moved {
			l.greet()
		}
	}
}

func (l *Node) send(s *shard.Replica, m *pb.Message) {
	to, ok := l.seen[m.GetTo()]
	text, err := proto.Marshal(m)
	ok = ok && err == nil && to.Up && l.plan.Transport.Send(to.Node, transport.Frame{Kind: transport.KindRaft, Shard: s.Shard(), Payload: text})
	if m.GetType() == pb.MessageType_MsgSnap {
		s.ReportSnapshot(m.GetTo(), ok)
	} else if !ok {
		s.ReportUnreachable(m.GetTo())
	}
}

// Line is a slice as operators see it.
type ShardReport struct {
	Shard               int      `json:"slice"`
	Leads               bool     `json:"leads"`
	Leader              string   `json:"leader"`
	Replicas            []string `json:"holders"`
	Learners            []string `json:"coming"`
	Lag                 uint64   `json:"lag"` // commands that the holder furthest behind lacks, where this one leads
	Reservations        int      `json:"promises"`
	TolerableNodeLosses int      `json:"bears_machines"`
	TolerableZoneLosses int      `json:"bears_zones"`
}

// Report is what a router knows of the ledger.
type Report struct {
	Name       string        `json:"name"`
	Replica    uint64        `json:"holder"`
	StartCount uint32        `json:"boots"`
	Health     string        `json:"health"` // what the loss of one more machine, or zone, would cost
	Up         []string      `json:"up"`
	Shards     []ShardReport `json:"slices"`
	Proposals  int64         `json:"claims"`
	Syncs      int64         `json:"syncs"`
}

// Report asks the ledger. It may be called from any goroutine.
func (l *Node) Report(ctx context.Context) (r Report, err error) {
	err = l.Look(ctx, func() { r = l.report() })
	return r, err
}

func (l *Node) report() Report {
	r := Report{Name: l.plan.Name, Replica: l.me, StartCount: l.folder.Identity().StartCount, Proposals: l.ProposalCount, Syncs: l.SyncCount, Up: []string{}, Shards: []ShardReport{}}
	for name, up := range l.up {
		if up {
			r.Up = append(r.Up, name)
		}
	}
	slices.Sort(r.Up)
	worstMachine, worstZone := 1<<30, 1<<30
	for no := range placement.ShardCount {
		s := l.slices[no]
		if s == nil {
			continue
		}
		x := ShardReport{Shard: no, Reservations: s.State().Len()}
		var lead uint64
		x.Leads, lead = s.Leadership()
		x.Leader = l.seen[lead].Node
		voters, learners := s.Members()
		var of []placement.Node
		for _, v := range voters {
			x.Replicas = append(x.Replicas, l.seen[v].Node)
			if l.seen[v].Up {
				of = append(of, placement.Node{Name: l.seen[v].Node, Zone: l.seen[v].Zone})
			}
		}
		for _, v := range learners {
			x.Learners = append(x.Learners, l.seen[v].Node)
		}
		for _, lag := range s.Lag() {
			x.Lag = max(x.Lag, lag)
		}
		x.TolerableNodeLosses, x.TolerableZoneLosses = placement.FaultTolerance(len(voters), of)
		worstMachine, worstZone = min(worstMachine, x.TolerableNodeLosses), min(worstZone, x.TolerableZoneLosses)
		r.Shards = append(r.Shards, x)
	}
	switch {
	case len(r.Shards) == 0:
		r.Health = "holds nothing"
	case worstMachine < 0:
		r.Health = "some slices have no majority: their promises can't be read or made"
	case worstMachine == 0:
		r.Health = "the loss of one more machine would stop some slices"
	case worstZone == 0:
		r.Health = "bears the loss of a machine, not of a zone"
	default:
		r.Health = "bears the loss of a zone"
	}
	return r
}
