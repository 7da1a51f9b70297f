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
type Plan struct {
	Name, Zone string
	Copies     int      // holders of each slice
	First      []string // who begins the ledger, all of whom have to be there once
	GoneS      float64  // s after which a lost holder is replaced
	Net        *transport.Net
	Disk       vfs.FS
	Log        *slog.Logger
	Clock      func() time.Time // of promises' ends; nil for the system's
}

// ErrOldFolder says that the folder is a copy from an earlier time: its word was already given otherwise.
var ErrOldFolder = errors.New("the ledger's folder is an old copy: its disk was seen to start more often than it remembers")

// Ledger is one router's.
type Ledger struct {
	plan   Plan
	folder *wal.Folder
	me     uint64
	slices map[int]*shard.Slice
	keeper *placement.Keeper
	rnd    *rand.Rand
	base   time.Time

	seen   map[uint64]placement.Seen // holders by their disks
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

	Claims, Syncs int64 // counts for operators
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
	ErrUnanswered = errors.New("no holder of the slice answered in time")
	ErrEnded      = errors.New("the ledger has ended")
)

// New opens a router's folder. The Net's callbacks are taken over.
func New(p Plan) (*Ledger, error) {
	f, saved, err := wal.Open(p.Disk, p.Name, rand.Uint64)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if p.Clock == nil {
		p.Clock = time.Now
	}
	l := &Ledger{plan: p, folder: f, me: f.Me().ID, slices: map[int]*shard.Slice{}, keeper: placement.NewKeeper(p.Copies, p.GoneS), base: time.Now(),
		rnd: rand.New(rand.NewPCG(f.Me().ID, uint64(f.Me().Boots))), seen: map[uint64]placement.Seen{}, boots: map[uint64]uint32{}, voters: map[int][]uint64{},
		hints: map[int]uint64{}, empty: map[string]bool{}, up: map[string]bool{}, asks: map[uint64]*ask{}, replies: map[question]reply{},
		in: make(chan any, mostWaiting), gone: make(chan struct{})}
	l.no = uint64(f.Me().Boots) << 40
	l.seen[l.me] = placement.Seen{ID: l.me, Name: p.Name, Zone: p.Zone, Up: true}
	l.boots[l.me] = f.Me().Boots
	for no, s := range saved {
		x, err := shard.New(no, l.me, s, nil)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("ledger: %w", err)
		}
		l.slices[no] = x
	}
	p.Net.Took = func(from string, f transport.Frame) { l.post(took{from, f}) }
	p.Net.Up = func(name string, up bool) { l.post(upped{name, up}) }
	return l, nil
}

// post hands an event to the goroutine. It waits while too many do: a peer that sends too much is slowed by its connection.
func (l *Ledger) post(ev any) {
	select {
	case l.in <- ev:
	case <-l.gone:
	}
}

// Do puts a command to the ledger; then is called once, from the ledger's goroutine, with what it came to or why not. It must not wait.
// A command that is asked twice is carried out once, by its asker and number.
func (l *Ledger) Do(c statemachine.Command, until time.Time, then func(statemachine.Result, error)) {
	text, err := c.Encode()
	if err != nil {
		then(statemachine.Result{}, err)
		return
	}
	l.put(asked{transport.Frame{Kind: transport.Ask, Slice: placement.Of(c.Key), Text: text}, until, then})
}

// Get reads a promise as it stands.
func (l *Ledger) Get(kind statemachine.Kind, key string, until time.Time, then func(statemachine.Result, error)) {
	l.put(asked{transport.Frame{Kind: transport.Read, Slice: placement.Of(key), What: kind, Key: key}, until, then})
}

// put never waits: one that finds no room is answered at once.
func (l *Ledger) put(a asked) {
	select {
	case <-l.gone:
		a.then(statemachine.Result{}, ErrEnded)
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
func (l *Ledger) Look(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.in <- looked{func() { f(); close(done) }}:
	case <-l.gone:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.gone:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run plays the router's part until the context ends, or its disk fails.
func (l *Ledger) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.plan.Net.Run(ctx, ln) })
	g.Go(func() error {
		defer close(l.gone)
		defer l.folder.Close()
		return l.own(ctx)
	})
	return g.Wait()
}

func (l *Ledger) own(ctx context.Context) error {
	tick := time.NewTicker(time.Duration(shard.TickS * float64(time.Second)))
	keep := time.NewTicker(keepEvery)
	defer tick.Stop()
	defer keep.Stop()
	l.begin()
	for {
		select {
		case <-ctx.Done():
			for _, a := range l.asks {
				a.then(statemachine.Result{}, ErrEnded)
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
			l.plan.Log.Error("ledger", "code", "ended", "err", err.Error())
			return err
		}
		if l.failed != nil {
			l.plan.Log.Error("ledger", "code", "ended", "err", l.failed.Error())
			return l.failed
		}
	}
}

func (l *Ledger) now() float64 { return time.Since(l.base).Seconds() }

func (l *Ledger) hear(ev any) {
	switch ev := ev.(type) {
	case took:
		l.take(ev.from, ev.f)
	case upped:
		l.up[ev.name] = ev.up
		if ev.up {
			l.plan.Net.Send(ev.name, l.hello())
		}
		for id, s := range l.seen {
			if s.Name == ev.name && id != l.me {
				if s.Up = ev.up && l.newest(ev.name) == id; !s.Up {
					s.Last = l.now()
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
		ev.f.No = l.no
		a := &ask{frame: ev.f, slice: ev.f.Slice, until: ev.until, then: ev.then}
		l.asks[l.no] = a
		l.route(a)
	case looked:
		ev.f()
	}
}

// newest is the disk under a name that said hello last.
func (l *Ledger) newest(name string) (id uint64) {
	last := -1.0
	for _, s := range l.seen {
		if s.Name == name && s.Last > last {
			id, last = s.ID, s.Last
		}
	}
	return id
}

func (l *Ledger) hello() transport.Frame {
	f := transport.Frame{Kind: transport.Hello, Holder: l.me, Boots: l.folder.Me().Boots, Zone: l.plan.Zone, Began: map[int][]uint64{}, Seen: l.boots}
	for no, s := range l.slices {
		f.Began[no], _ = s.Holders()
	}
	return f
}

func (l *Ledger) take(from string, f transport.Frame) {
	switch f.Kind {
	case transport.Hello:
		if f.Seen[l.me] > l.folder.Me().Boots {
			l.failed = ErrOldFolder
			return
		}
		if l.boots[f.Holder] < f.Boots {
			l.boots[f.Holder] = f.Boots
		}
		for id, s := range l.seen { // another disk under the same name is gone
			if s.Name == from && id != f.Holder && s.Up {
				s.Up, s.Last = false, l.now()
				l.seen[id] = s
			}
		}
		l.seen[f.Holder] = placement.Seen{ID: f.Holder, Name: from, Zone: f.Zone, Up: true, Last: l.now()}
		l.empty[from] = len(f.Began) == 0
		for no, v := range f.Began {
			if len(v) > 0 {
				l.voters[no] = v
			}
		}
		l.begin()
	case transport.Raft:
		l.raft(from, f)
	case transport.Ask, transport.Read:
		l.serve(f, reply{to: from, no: f.No, at: time.Now()})
	case transport.Answer:
		if a := l.asks[f.No]; a != nil && f.Result != nil {
			delete(l.asks, f.No)
			a.then(*f.Result, nil)
		}
	case transport.NotHere:
		if a := l.asks[f.No]; a != nil {
			if l.hints[a.slice] = f.Holder; f.Holder == 0 {
				delete(l.hints, a.slice)
			} else {
				l.route(a)
			}
		}
	}
}

func (l *Ledger) raft(from string, f transport.Frame) {
	m := &pb.Message{}
	if proto.Unmarshal(f.Text, m) != nil || m.GetTo() != l.me || l.seen[m.GetFrom()].Name != from {
		return // for an earlier disk of this machine, or from nobody who said hello
	}
	s := l.slices[f.Slice]
	if s == nil {
		var err error
		if s, err = shard.New(f.Slice, l.me, shard.Saved{}, nil); err != nil {
			l.plan.Log.Error("ledger", "code", "no-slice", "slice", f.Slice, "err", err.Error())
			return
		}
		l.slices[f.Slice] = s
	}
	s.Step(m)
}

// begin starts the ledger once all who are to begin it are there and none of them holds anything; or joins those who began already.
func (l *Ledger) begin() {
	if len(l.slices) > 0 || !slices.Contains(l.plan.First, l.plan.Name) {
		return
	}
	var of []placement.Holder
	ids := map[string]uint64{l.plan.Name: l.me}
	for _, name := range l.plan.First {
		if name == l.plan.Name {
			of = append(of, placement.Holder{Name: name, Zone: l.plan.Zone})
			continue
		}
		id := l.newest(name)
		if !l.empty[name] && l.voters[0] == nil && id != 0 || id == 0 || !l.seen[id].Up {
			return // somebody is missing, or holds a ledger that this one does not belong to
		}
		of, ids[name] = append(of, placement.Holder{Name: name, Zone: l.seen[id].Zone}), id
	}
	var batches []shard.Batch
	born := map[int][]uint64{}
	for no := range placement.Slices {
		var voters []uint64
		for _, name := range placement.Holders(no, of, l.plan.Copies) {
			voters = append(voters, ids[name])
		}
		if v := l.voters[no]; v != nil && !same(v, voters) {
			return // those who began did so with another disk of this machine, or long ago: they take it in
		}
		if slices.Contains(voters, l.me) {
			born[no] = voters
			batches = append(batches, shard.Batch{Slice: no, Snapshot: shard.Birth(voters), Sync: true})
		}
		l.voters[no] = voters
	}
	if l.failed = l.folder.Write(batches); l.failed != nil {
		return
	}
	for no, voters := range born {
		s, err := shard.New(no, l.me, shard.Saved{Snapshot: shard.Birth(voters)}, nil)
		if err != nil {
			l.failed = err
			return
		}
		l.slices[no] = s
	}
	l.plan.Log.Info("ledger", "code", "began", "slices", len(born), "holder", l.me)
	l.greet()
}

func same(a, b []uint64) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// greet tells all others what is held here now.
func (l *Ledger) greet() {
	for name, up := range l.up {
		if up {
			l.plan.Net.Send(name, l.hello())
		}
	}
}

// route puts a question to who leads its slice, as far as is known, else to one of its holders after the other.
func (l *Ledger) route(a *ask) {
	a.at = time.Now()
	if s := l.slices[a.slice]; s != nil {
		if leads, lead := s.Leads(); leads {
			l.serve(a.frame, reply{no: a.frame.No, then: a.then, at: a.at})
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
			if v, _ := s.Holders(); len(v) > 0 { // none while it is still coming in
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
	l.plan.Net.Send(l.seen[to].Name, a.frame)
}

// serve answers a question if this holder leads its slice.
func (l *Ledger) serve(f transport.Frame, r reply) {
	s := l.slices[f.Slice]
	lead := uint64(0)
	var err error
	if s == nil {
		err = shard.ErrNotLeader
	} else if _, lead = s.Leads(); f.Kind == transport.Read {
		q := question{"read/" + r.to, r.no}
		if err = s.Read(f.What, f.Key, q.asker, q.ask); err == nil {
			l.replies[q] = r
		}
	} else {
		var c statemachine.Command
		if c, err = statemachine.Decode(f.Text); err == nil {
			c.Now = float64(l.plan.Clock().UnixMilli()) / 1000 // the leader's clock counts
			if err = s.Propose(c); err == nil {
				l.replies[question{c.Asker, c.Ask}] = r
				l.Claims++
			}
		}
	}
	if err != nil && r.to != "" {
		l.plan.Net.Send(r.to, transport.Frame{Kind: transport.NotHere, No: r.no, Slice: f.Slice, Holder: lead})
	}
}

func (l *Ledger) answer(a shard.Answer) {
	q := question{a.Asker, a.Ask}
	r, ok := l.replies[q]
	if !ok {
		return
	}
	delete(l.replies, q)
	if r.to != "" {
		l.plan.Net.Send(r.to, transport.Frame{Kind: transport.Answer, No: r.no, Result: &a.Result})
		return
	}
	if x := l.asks[r.no]; x != nil {
		delete(l.asks, r.no)
		x.then(a.Result, nil)
	}
}

// overdue asks again what was not answered, and gives up what has no time left.
func (l *Ledger) overdue() {
	now := time.Now()
	for no, a := range l.asks {
		switch {
		case now.After(a.until):
			delete(l.asks, no)
			a.then(statemachine.Result{}, ErrUnanswered)
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
func (l *Ledger) keep() {
	var led []placement.Led
	still := time.Since(l.swept) > sweepEvery
	for no, s := range l.slices {
		if leads, _ := s.Leads(); leads {
			voters, learners := s.Holders()
			led = append(led, placement.Led{Slice: no, Voters: voters, Learners: learners})
			if still {
				_ = s.Propose(statemachine.Command{Op: statemachine.OpSweep, Now: float64(l.plan.Clock().UnixMilli()) / 1000})
			}
		}
	}
	if still {
		l.swept = time.Now()
	}
	slices.SortFunc(led, func(a, b placement.Led) int { return a.Slice - b.Slice })
	for _, c := range l.keeper.Changes(l.now(), placement.Sorted(l.seen), led) {
		if err := l.slices[c.Slice].Change(c.Add, c.Remove); err == nil {
			l.plan.Log.Info("ledger", "code", "holders", "slice", c.Slice, "add", l.seen[c.Add].Name, "remove", l.seen[c.Remove].Name)
		}
	}
}

// work writes what the slices want written, with one sync, then sends and answers what follows from it.
func (l *Ledger) work() error {
	for {
		var batches []shard.Batch
		for _, s := range l.slices {
			if b, ok := s.Work(); ok {
				batches = append(batches, b)
			}
		}
		if len(batches) == 0 {
			return nil
		}
		if err := l.folder.Write(batches); err != nil {
			return err
		}
		l.Syncs = l.folder.Syncs
		moved := false
		for _, b := range batches {
			s := l.slices[b.Slice]
			for _, m := range b.Messages {
				l.send(s, m)
			}
			before, _ := s.Holders()
			answers, err := s.Done(b)
			if err != nil {
				return err
			}
			after, _ := s.Holders()
			moved = moved || !slices.Equal(before, after)
			for _, a := range answers {
				l.answer(a)
			}
			snap, err := s.Shorten()
			if err == nil && snap != nil {
				err = l.folder.Snapshot(b.Slice, snap)
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

func (l *Ledger) send(s *shard.Slice, m *pb.Message) {
	to, ok := l.seen[m.GetTo()]
	text, err := proto.Marshal(m)
	ok = ok && err == nil && to.Up && l.plan.Net.Send(to.Name, transport.Frame{Kind: transport.Raft, Slice: s.No(), Text: text})
	if m.GetType() == pb.MessageType_MsgSnap {
		s.Sent(m.GetTo(), ok)
	} else if !ok {
		s.Unreachable(m.GetTo())
	}
}

// Line is a slice as operators see it.
type Line struct {
	Slice   int      `json:"slice"`
	Leads   bool     `json:"leads"`
	Leader  string   `json:"leader"`
	Holders []string `json:"holders"`
	Coming  []string `json:"coming"`
	Lag     uint64   `json:"lag"` // commands that the holder furthest behind lacks, where this one leads
	Held    int      `json:"promises"`
	Machine int      `json:"bears_machines"`
	Zones   int      `json:"bears_zones"`
}

// Report is what a router knows of the ledger.
type Report struct {
	Name   string   `json:"name"`
	Holder uint64   `json:"holder"`
	Boots  uint32   `json:"boots"`
	Health string   `json:"health"` // what the loss of one more machine, or zone, would cost
	Up     []string `json:"up"`
	Slices []Line   `json:"slices"`
	Claims int64    `json:"claims"`
	Syncs  int64    `json:"syncs"`
}

// Report asks the ledger. It may be called from any goroutine.
func (l *Ledger) Report(ctx context.Context) (r Report, err error) {
	err = l.Look(ctx, func() { r = l.report() })
	return r, err
}

func (l *Ledger) report() Report {
	r := Report{Name: l.plan.Name, Holder: l.me, Boots: l.folder.Me().Boots, Claims: l.Claims, Syncs: l.Syncs, Up: []string{}, Slices: []Line{}}
	for name, up := range l.up {
		if up {
			r.Up = append(r.Up, name)
		}
	}
	slices.Sort(r.Up)
	worstMachine, worstZone := 1<<30, 1<<30
	for no := range placement.Slices {
		s := l.slices[no]
		if s == nil {
			continue
		}
		x := Line{Slice: no, Held: s.State().Len()}
		var lead uint64
		x.Leads, lead = s.Leads()
		x.Leader = l.seen[lead].Name
		voters, learners := s.Holders()
		var of []placement.Holder
		for _, v := range voters {
			x.Holders = append(x.Holders, l.seen[v].Name)
			if l.seen[v].Up {
				of = append(of, placement.Holder{Name: l.seen[v].Name, Zone: l.seen[v].Zone})
			}
		}
		for _, v := range learners {
			x.Coming = append(x.Coming, l.seen[v].Name)
		}
		for _, lag := range s.Lag() {
			x.Lag = max(x.Lag, lag)
		}
		x.Machine, x.Zones = placement.Bears(len(voters), of)
		worstMachine, worstZone = min(worstMachine, x.Machine), min(worstZone, x.Zones)
		r.Slices = append(r.Slices, x)
	}
	switch {
	case len(r.Slices) == 0:
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
