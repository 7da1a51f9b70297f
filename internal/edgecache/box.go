// Package box is a cache box of the product on sockets: the far side of the routers' lines, memory over a disk, fills
// from the source that the router names. What it does with each txn is decided in box/desk, what the disk keeps and
// what is believed in the tier; here that is carried out and each end told truly.
package edgecache

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/diskcache"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/edgecache/capacity"
	"cairnfront/internal/edgecache/handler"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// Resources of the shell.
const (
	mostBody   = cacheproto.MaxObjectBytes
	queued     = 4096
	tickEvery  = 20 * time.Millisecond
	ringSize   = 16 << 10
	writeStall = 2 * time.Second // for which an asker may take nothing
	connectFor = 400 * time.Millisecond
	memberMB   = 32 // least of the budget for bodies on their way
)

// believer tells what may be believed: the tier, or the same without a disk.
type believer interface {
	Evaluate(validity.Copy) validity.Verdict
	Epoch() uint16
	ResumeAfter() uint64
	Position() (uint64, bool)
	StreamOpened()
	Apply(validity.Event) bool
}

// Box is one. Fields are set before Run.
type Server struct {
	Config    config.EdgeCache
	Telemetry *telemetry.Metrics
	Disk      *diskcache.Cache // nil for none
	Origin    Origin           // of an origin

	// For the laboratory, where set: what was asked, and how many bytes were given under which id.
	OnRequest  func(cacheproto.Command)
	OnResponse func(id string, bytes int)

	rules   map[string]config.Class
	trust   believer
	desk    *handler.Handler
	pool    *upstream.Pool
	machine capacity.Model
	now     func() time.Time

	in     chan any
	gone   chan struct{}
	number uint64
	open   map[uint64]*asked
	calls  map[uint64]*upstream.Attempt // of fills
	conns  atomic.Int64
	first  atomic.Bool
}

// asked is a txn that is open.
type asked struct {
	no   uint64
	peer *peer
	line cacheproto.Command
	key  eviction.Key
	body *request.Body
	sent bool
}

// peer is a connection of an asker.
type peer struct {
	c    *netconn.Conn
	ids  map[string]*asked // owned by the loop
	over bool              // owned by the loop

	mu    sync.Mutex
	queue []item
	wake  chan struct{}
}

type item struct {
	head []byte
	body []byte
}

// What comes to the loop.
type (
	came   struct{ a *asked }
	undone struct {
		p  *peer
		id string
	}
	left    struct{ p *peer }
	checked struct {
		p    *peer
		tag  string
		load bool
	}
	fromDisk struct {
		key eviction.Key
		c   *handler.Copy
	}
	due   struct{ then func() }
	moved struct{ ev discovery.Event }
)

// Run serves on a listener until the context ends, then gives open txns their time.
func (b *Server) Run(ctx context.Context, ln net.Listener) error {
	b.now = time.Now
	b.rules = map[string]config.Class{}
	for _, r := range b.Config.Classes {
		b.rules[r.Name] = r
	}
	b.in, b.gone, b.open, b.calls = make(chan any, queued), make(chan struct{}), map[uint64]*asked{}, map[uint64]*upstream.Attempt{}
	if b.trust = newBare(b.now); b.Disk != nil {
		b.trust = b.Disk
	}
	b.first.Store(true)
	e := b.Config.Capacity
	b.machine = capacity.Model{StartedAt: seconds(b.now()), Params: capacity.Params{Cores: e.Cores, WorkSeconds: e.WorkMS / 1000,
		LinkKBps: e.LinkKBPerSecond, LatencySeconds: e.LatencyMS / 1000, ColdShare: e.ColdShare, ColdSeconds: e.ColdSeconds}}
	memory := int64(b.Config.MemoryMB * (1 << 20))
	b.desk = handler.New(b, handler.Limits{MemoryBytes: memory, MaxFills: b.Config.MaxFetches, FillTimeoutSeconds: float64(b.Config.FetchTimeout)})
	gate := admission.New(max(int(b.Config.MemoryMB), memberMB), max(b.Config.MaxConnections, 64))
	b.pool = &upstream.Pool{Admission: gate, Metrics: b.Telemetry, OnEvent: func(ev upstream.Event) { b.post(ev) }, ConnectTimeout: connectFor, EndpointIdleTimeout: b.Config.IdleTimeout.Duration(), MaxAttemptsPerConnection: 32}

	// What serves ends in steps: first the listener, then what is open, then all else.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	b.pool.Start(serving)
	disk := make(chan error, 1)
	if b.Disk != nil {
		go func() { disk <- b.Disk.Run(serving) }()
	} else {
		disk <- nil
	}
	g.Go(func() error { return b.loop(serving) })
	if b.Config.DiscoveryAddress != "" {
		news := &discovery.Client{Address: b.Config.DiscoveryAddress, Telemetry: b.Telemetry, OnRawEvent: b.notice, StartRevision: b.from}
		g.Go(func() error { return news.Run(serving) })
	}
	var peers sync.WaitGroup
	peers.Go(func() { b.accept(serving, ln, &peers) })
	b.Telemetry.Log.Info("serving", "listen", ln.Addr().String(), "id", b.Config.ID, "role", b.Config.Role)
	select {
	case <-ctx.Done():
	case <-serving.Done():
	}
	_ = ln.Close()
	b.drain(serving)
	stop()
	peers.Wait()
	return errors.Join(g.Wait(), b.pool.Wait(), <-disk)
}

// drain waits for what is open, for no longer than the plan says.
func (b *Server) drain(ctx context.Context) {
	end, cancel := context.WithTimeout(ctx, b.Config.DrainTimeout.Duration())
	defer cancel()
	for tick := time.NewTicker(tickEvery); ; {
		open := make(chan int, 1)
		b.post(due{func() { open <- len(b.open) }})
		select {
		case <-end.Done():
			tick.Stop()
			return
		case n := <-open:
			if n == 0 {
				tick.Stop()
				return
			}
		}
		select {
		case <-end.Done():
		case <-tick.C:
		}
	}
}

func seconds(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }

func (b *Server) post(ev any) {
	select {
	case b.in <- ev:
	case <-b.gone:
	}
}

// loop owns the desk, the pool and the open txns.
func (b *Server) loop(ctx context.Context) error {
	defer close(b.gone)
	tick, sweep := time.NewTicker(tickEvery), time.NewTicker(time.Second)
	defer tick.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-b.in:
			b.safely(func() { b.hear(ev) })
		case <-tick.C:
			b.safely(func() { b.carry(b.desk.HandleTick(seconds(b.now()))) })
		case <-sweep.C:
			b.safely(func() { b.pool.CloseIdle(b.now()) })
		}
	}
}

func (b *Server) safely(f func()) {
	defer func() {
		if p := recover(); p != nil {
			b.Telemetry.Add("panics", 1)
			b.Telemetry.Log.Error("panic", "where", "box", "what", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	f()
}

func (b *Server) hear(ev any) {
	now := seconds(b.now())
	switch ev := ev.(type) {
	case came:
		b.came(now, ev.a)
	case undone:
		if a := ev.p.ids[ev.id]; a != nil {
			b.left(now, a)
		}
	case left:
		ev.p.over = true
		for _, a := range ev.p.ids {
			b.left(now, a)
		}
	case checked:
		load := ""
		if ev.load {
			load = "inflight:" + strconv.Itoa(len(b.open)) + ";util:" + strconv.FormatFloat(b.machine.Utilization(now), 'f', 3, 64)
		}
		ev.p.say(item{head: cacheproto.AppendProbeReply(nil, ev.tag, true, load)})
	case fromDisk:
		b.carry(b.desk.HandleDiskRead(now, ev.key, ev.c))
	case due:
		ev.then()
	case moved:
		b.pool.UpdateEndpoints(ev.ev.Kind == discovery.Snapshot, ev.ev.Endpoints)
	case upstream.AttemptEnded:
		b.fetched(now, ev)
	case upstream.ConnectionClosed:
		b.pool.RemoveConnection(ev.Connection)
	}
}

// came takes a txn.
func (b *Server) came(now float64, a *asked) {
	p := a.peer
	if p.over || p.ids[a.line.ID] != nil || len(p.ids) >= b.Config.StreamsPerConnection {
		a.body.Free()
		if !p.over {
			b.Telemetry.Add("box.turned-away", 1)
			p.say(item{head: cacheproto.AppendAttemptReply(nil, a.line.ID, cacheproto.AttemptReply{Result: routing.Overloaded})})
		}
		return
	}
	if b.OnRequest != nil {
		b.OnRequest(a.line)
	}
	b.number++
	a.no = b.number
	b.open[a.no], p.ids[a.line.ID] = a, a
	b.Telemetry.Add("box.txns."+a.line.ClassName, 1)
	rule, known := b.rules[a.line.ClassName]
	if !known {
		b.Telemetry.Add("box.unknown-rule", 1)
		b.finish(a, cacheproto.AttemptReply{Result: routing.ServerError}, nil)
		return
	}
	done, ok := b.machine.Process(now)
	if !ok {
		b.Telemetry.Add("box.overload", 1)
		b.finish(a, cacheproto.AttemptReply{Result: routing.Overloaded}, nil)
		return
	}
	b.after(done, func() {
		if b.open[a.no] != a {
			return
		}
		if b.Origin != nil {
			b.originate(a, rule)
			return
		}
		source := a.line.FillSource
		if source == "" && b.Config.Role == "parent" && !a.line.CacheOnly {
			source = b.Config.DefaultSource
		}
		if source == b.Config.ID {
			source = ""
		}
		b.carry(b.desk.HandleRequest(seconds(b.now()), handler.Request{ID: a.no, Key: a.key, Class: handler.Class{Name: rule.Name, Cacheable: rule.Cacheable, FreshSeconds: rule.FreshSeconds, StaleSeconds: rule.StaleSeconds},
			Deadline: now + a.line.TimeoutSeconds, Source: source, Rank: a.line.RetentionRank, MaxAge: a.line.MaxAgeSeconds, Join: a.line.JoinFill, NoFetch: a.line.CacheOnly,
			NoTrace: a.line.ParentNoStore, Renew: a.line.Revalidate, Tag: a.line.ETag}))
	})
}

// after does something at a time, at once if that has come.
func (b *Server) after(at float64, then func()) {
	if wait := at - seconds(b.now()); wait > 0 {
		time.AfterFunc(time.Duration(wait*float64(time.Second)), func() { b.post(due{then}) })
		return
	}
	then()
}

func (b *Server) originate(a *asked, rule config.Class) {
	if !rule.Cacheable {
		err := b.Origin.Execute(a.line.ID, a.line.ClassName, a.line.IdempotencyKey, a.key, rule.Effect)
		if err != nil {
			b.finish(a, cacheproto.AttemptReply{Result: routing.ServerError}, nil)
			return
		}
		b.Telemetry.Add("box.ran", 1)
		b.finish(a, cacheproto.AttemptReply{Result: routing.Completed}, nil)
		return
	}
	dated := b.now().UnixMilli()
	tag, group, body, ok := b.Origin.Get(a.key)
	switch {
	case !ok:
		b.finish(a, cacheproto.AttemptReply{Result: routing.CacheMiss}, nil)
	case tag == a.line.ETag:
		b.finish(a, cacheproto.AttemptReply{Result: routing.Completed, NotModified: true, Detail: routing.CacheHit, ETag: tag, OriginUnixMillis: dated, PurgeGroup: int(group)}, nil)
	default:
		b.finish(a, cacheproto.AttemptReply{Result: routing.Completed, Detail: routing.CacheHit, ETag: tag, OriginUnixMillis: dated, PurgeGroup: int(group)}, body)
	}
}

func (b *Server) left(now float64, a *asked) {
	if b.open[a.no] != a {
		return
	}
	b.close(a)
	b.Telemetry.Add("box.left", 1)
	b.carry(b.desk.HandleCancel(now, a.no, a.key))
}

func (b *Server) close(a *asked) {
	delete(b.open, a.no)
	delete(a.peer.ids, a.line.ID)
	a.body.Free()
}

// finish ends a txn with an answer; its bytes go out when the machine that is played has sent them.
func (b *Server) finish(a *asked, r cacheproto.AttemptReply, body []byte) {
	if b.open[a.no] != a || a.sent {
		return
	}
	a.sent = true
	r.BodyBytes = len(body)
	b.Telemetry.Add("box.answers."+a.line.ClassName+"."+codes[r.Result]+remarks[r.Detail], 1)
	b.Telemetry.Add("box.bytes."+remarks[r.Detail], int64(len(body)))
	b.after(b.machine.Transmit(seconds(b.now()), len(body)), func() {
		if b.open[a.no] != a {
			return
		}
		if b.OnResponse != nil {
			b.OnResponse(a.line.ID, len(body))
		}
		b.close(a)
		a.peer.say(item{head: cacheproto.AppendAttemptReply(nil, a.line.ID, r), body: body})
	})
}

var codes = map[routing.AttemptResult]string{routing.Completed: "completed", routing.ServerError: "errored", routing.Overloaded: "busy", routing.CacheMiss: "miss"}
var remarks = map[routing.ResultDetail]string{routing.CacheHit: ".hit", routing.Filled: ".filled", routing.JoinedFill: ".joined", routing.StaleHit: ".old"}

// carry carries out what the desk says.
func (b *Server) carry(acts []handler.Action) {
	for _, a := range append([]handler.Action(nil), acts...) { // carrying one out may ask the desk again
		switch a := a.(type) {
		case handler.Respond:
			b.answer(a)
		case handler.ReadDisk:
			go b.read(a.Key) // as many as there are txns at the most; the tier bounds the wait
		case handler.Fetch:
			b.fetch(a)
		case handler.CancelFetch:
			if call := b.calls[a.Fill]; call != nil {
				delete(b.calls, a.Fill)
				b.pool.Cancel(call, routing.Cancelled)
			}
		case handler.WriteDisk:
			if b.Disk != nil && a.Copy.Tag != "" {
				b.Disk.Admit(about(a.Copy), a.Copy.Body, a.Epoch)
			}
		case handler.TouchDisk:
			if b.Disk != nil && a.Copy.Tag != "" {
				b.Disk.Touch(about(a.Copy), a.Copy.Body, a.Copy.ConfirmedEpoch)
			}
		case handler.DeleteFromDisk:
			if b.Disk != nil {
				b.Disk.Delete(a.Key)
			}
		case handler.ConfirmOnDisk:
			if b.Disk != nil {
				b.Disk.Confirm(a.Key, a.Seq, a.Epoch)
			}
			b.Telemetry.Add("box.confirmed", 1)
		}
	}
}

func about(c *handler.Copy) diskcache.Meta {
	return diskcache.Meta{Key: c.Key, Group: c.Group, Rank: uint8(c.Rank), IssuedAt: c.IssuedAt, Tag: c.Tag}
}

func (b *Server) answer(a handler.Respond) {
	x := b.open[a.Request]
	if x == nil {
		return
	}
	r := cacheproto.AttemptReply{Result: a.Code, Detail: a.Remark, NotModified: a.NotModified, PurgeGroup: cacheproto.UnknownPurgeGroup}
	var body []byte
	if c := a.Copy; c != nil {
		r.ETag, r.OriginUnixMillis, r.PurgeGroup = c.Tag, c.IssuedAt, int(c.Group)
		if !a.NotModified {
			body = c.Body
		}
	}
	b.finish(x, r, body)
}

// read brings a part from the disk.
func (b *Server) read(k eviction.Key) {
	part, verdict, err := b.Disk.Get(k)
	if err != nil || verdict == validity.Invalidated {
		b.post(fromDisk{k, nil})
		return
	}
	b.post(fromDisk{k, &handler.Copy{Key: k, Tag: part.Tag, IssuedAt: part.IssuedAt, Group: part.Group, Rank: int(part.Rank), Seq: part.Seq,
		ConfirmedEpoch: part.ConfirmedEpoch, Body: part.Body}})
}

// fillOwner is the number of a fill, as the owner of its attempt.
type fillOwner uint64

// OwnsUpstreamAttempt makes it an upstream.Owner.
func (fillOwner) OwnsUpstreamAttempt() {}

// fetch asks a source.
func (b *Server) fetch(f handler.Fetch) {
	t := &request.Request{ID: routing.RequestID(fmt.Sprintf("%s-%x", b.Config.ID[2:], f.Fill)), ClassName: f.Class, Object: fmt.Sprintf("%016x", f.Key.Object), Part: strconv.Itoa(int(f.Key.Chunk)), ETag: f.Tag}
	if a := b.open[f.Request]; a != nil {
		t.IdempotencyKey, t.Body = a.line.IdempotencyKey, a.body
	}
	call := b.pool.Send(cacheproto.Attempt{Request: t, TimeoutSeconds: f.TimeoutSeconds, StartAttempt: routing.StartAttempt{Endpoint: routing.EndpointID(f.Source), RetentionRank: f.Rank, MaxAgeSeconds: f.MaxAge, JoinFill: f.Join,
		CacheOnly: f.NoFetch, ParentNoStore: f.NoTrace}}, nil, fillOwner(f.Fill))
	if call == nil {
		b.post(due{func() {
			b.carry(b.desk.HandleFetched(seconds(b.now()), f.Fill, handler.FetchResult{Code: routing.NotSent}))
		}})
		return
	}
	b.Telemetry.Add("box.fetches", 1)
	b.calls[f.Fill] = call
}

// fetched is the end of a call.
func (b *Server) fetched(now float64, ev upstream.AttemptEnded) {
	owner, _ := ev.Attempt.Owner.(fillOwner)
	no := uint64(owner)
	if b.calls[no] == nil {
		ev.End.Body.Free()
		return
	}
	delete(b.calls, no)
	e := handler.FetchResult{Code: ev.End.Result, NotModified: ev.End.NotModified, Tag: ev.End.ETag, IssuedAt: ev.End.OriginUnixMillis, Group: validity.UnknownGroup}
	if ev.End.PurgeGroupPlusOne > 0 {
		e.Group = uint16(ev.End.PurgeGroupPlusOne - 1)
	}
	if body := ev.End.Body; body != nil {
		e.Body = body.Bytes
		b.Telemetry.Add("box.fetched-bytes", int64(len(e.Body)))
		body.Free() // what is kept of it counts in the memory's bound from here on
	}
	b.carry(b.desk.HandleFetched(now, no, e))
}

// Judge, Doubts and OnDisk make a box the desk's world.
func (b *Server) Evaluate(c validity.Copy) validity.Verdict { return b.trust.Evaluate(c) }

// Doubts implements desk.World.
func (b *Server) Epoch() uint16 { return b.trust.Epoch() }

// OnDisk implements desk.World.
func (b *Server) OnDisk(k eviction.Key) bool { return b.Disk != nil && b.Disk.Contains(k) }

// from says after which number the board is asked: at a start for all, for the list of members is not kept; later
// for the last event once more.
func (b *Server) from() uint64 {
	b.trust.StreamOpened()
	if b.first.Load() {
		return 0
	}
	return b.trust.ResumeAfter()
}

// notice takes an event of the board.
func (b *Server) notice(ev discovery.Event) error {
	if len(ev.Endpoints) > 0 {
		b.post(moved{ev})
	}
	if ev.Kind == discovery.Heartbeat {
		b.first.Store(false)
	}
	if number, linked := b.trust.Position(); !linked && ev.Kind != discovery.Heartbeat && ev.Revision < number {
		return nil // heard before: only the list was wanted
	}
	n := validity.Event{
		Number:     ev.Revision,
		Checksum:   ev.Checksum,
		Heartbeat:  ev.Kind == discovery.Heartbeat,
		Purge:      ev.IsPurge(),
		WholeGroup: ev.Kind == discovery.PurgeGroup,
		Group:      uint16(ev.Purge.Group),
		PurgedAt:   int64(ev.Purge.PurgedAt*1000 + 0.5),
	}
	if n.Purge && !n.WholeGroup {
		n.Object, _ = strconv.ParseUint(ev.Purge.Object, 16, 64)
	}
	if b.trust.Apply(n) {
		b.Telemetry.Add("box.board-anew", 1)
		b.Telemetry.Log.Warn("box", "code", "board-anew", "event", ev.Revision)
		return discovery.ErrRevisionGap
	}
	if n.Purge {
		b.Telemetry.Add("box.purges", 1)
	}
	return nil
}

// accept takes connections until the listener is closed.
func (b *Server) accept(ctx context.Context, ln net.Listener, peers *sync.WaitGroup) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			b.Telemetry.Log.Warn("accept", "err", err.Error())
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if b.conns.Add(1) > int64(b.Config.MaxConnections) {
			b.conns.Add(-1)
			b.Telemetry.Add("conn.asker.turned-away", 1)
			_ = raw.Close()
			continue
		}
		b.Telemetry.ConnectionOpened("asker")
		peers.Go(func() {
			defer b.conns.Add(-1)
			b.serve(ctx, raw)
		})
	}
}

// serve follows one connection.
func (b *Server) serve(ctx context.Context, raw net.Conn) {
	p := &peer{c: netconn.New(raw, ringSize, writeStall), ids: map[string]*asked{}, wake: make(chan struct{}, 1)}
	who := p.c.RemoteAddr()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { p.c.Close(netconn.Shutdown, nil) })
	var both sync.WaitGroup
	run := func(f func() (netconn.EndCode, error)) {
		both.Go(func() {
			defer cancel()
			defer func() {
				if x := recover(); x != nil {
					b.Telemetry.Add("panics", 1)
					b.Telemetry.Log.Error("panic", "where", "asker", "what", fmt.Sprint(x), "stack", string(debug.Stack()))
					p.c.Close(netconn.Panic, nil)
				}
			}()
			p.c.Close(f())
		})
	}
	run(func() (netconn.EndCode, error) { return b.listen(ctx, p) })
	run(func() (netconn.EndCode, error) { return p.write(ctx) })
	both.Wait()
	stop()
	b.post(left{p})
	p.c.LogEnd(b.Telemetry, "asker", who)
}

// listen reads commands.
func (b *Server) listen(ctx context.Context, p *peer) (netconn.EndCode, error) {
	idle := b.Config.IdleTimeout.Duration()
	tail := make([]byte, len(cacheproto.LineEnd))
	for {
		p.c.SetReadDeadline(time.Now().Add(idle))
		text, err := p.c.ReadLine()
		if err != nil {
			if code := netconn.ClassifyError(err); code != netconn.SlowReader {
				return code, err
			}
			return netconn.IdleTimeout, nil
		}
		a, err := cacheproto.ParseCommand(text)
		if err != nil {
			return netconn.ProtocolError, err
		}
		switch a.Kind {
		case cacheproto.CommandCancel:
			b.post(undone{p, a.ID})
			continue
		case cacheproto.CommandProbe, cacheproto.CommandProbeLoad:
			b.post(checked{p, a.ID, a.Kind == cacheproto.CommandProbeLoad})
			continue
		}
		x := &asked{peer: p, line: a, key: eviction.Key{Object: a.ObjectID, Chunk: a.PartNumber}}
		if a.BodyBytes > 0 {
			if x.body, err = b.pool.Admission.Bodies.Allocate(ctx, a.BodyBytes); err != nil {
				return netconn.Shutdown, err
			}
			err = p.c.ReadFull(x.body.Bytes)
		}
		if err == nil {
			err = p.c.ReadFull(tail)
		}
		if err != nil || string(tail) != cacheproto.LineEnd {
			x.body.Free()
			if err == nil {
				return netconn.ProtocolError, errors.New("no line end after a body")
			}
			return netconn.ClassifyError(err), err
		}
		b.post(came{x})
	}
}

// say hands an answer to the connection's writer. At most as many wait as txns may be open.
func (p *peer) say(x item) {
	p.mu.Lock()
	p.queue = append(p.queue, x)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) write(ctx context.Context) (netconn.EndCode, error) {
	for {
		p.mu.Lock()
		batch := p.queue
		p.queue = nil
		p.mu.Unlock()
		if len(batch) == 0 {
			if err := p.c.Flush(); err != nil {
				return netconn.ClassifyError(err), err
			}
			select {
			case <-ctx.Done():
				return netconn.Shutdown, ctx.Err()
			case <-p.wake:
			}
			continue
		}
		for _, x := range batch {
			err := p.c.Write(x.head)
			if err == nil {
				err = p.c.Write(x.body)
			}
			if err == nil {
				err = p.c.Write([]byte(cacheproto.LineEnd))
			}
			if err != nil {
				return netconn.ClassifyError(err), err
			}
		}
	}
}

// bare is trust without a disk.
type bare struct {
	mu   sync.Mutex
	core *validity.Tracker
	now  func() time.Time
}

func newBare(now func() time.Time) *bare { return &bare{core: validity.NewTracker(0), now: now} }

func (x *bare) Evaluate(c validity.Copy) validity.Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.core.Evaluate(x.now().UnixMilli(), c)
}
func (x *bare) Epoch() uint16       { x.mu.Lock(); defer x.mu.Unlock(); return x.core.Epoch() }
func (x *bare) ResumeAfter() uint64 { x.mu.Lock(); defer x.mu.Unlock(); return x.core.ResumeAfter() }
func (x *bare) Position() (uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.core.Position()
}
func (x *bare) StreamOpened() { x.mu.Lock(); defer x.mu.Unlock(); x.core.StreamOpened() }
func (x *bare) Apply(n validity.Event) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, again := x.core.Apply(x.now().UnixMilli(), 1, n)
	return again
}
