// Package route is where one goroutine owns the decisions: it brings events to them in order, with a clock that
// never goes back, and carries out their actions. It decides nothing itself.
package dispatch

import (
	"container/heap"
	"context"
	"fmt"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/frontend"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/internal/upstream/retrybudget"
	"cairnfront/routing"
)

const (
	queued     = 4096                  // events that may wait for the loop
	sweepEvery = time.Second           // between looks for links that are idle
	watchEvery = 20 * time.Millisecond // between looks for hops that wait in silence, where members have several addresses
	guardAfter = 20 * time.Millisecond // past its time limit a txn is aborted here, if the decisions failed to end it
)

// Abandon ends every open txn: the process has to end.
type FailAll struct{}

// Loop owns the decisions. Post may be called from any goroutine, all else from the one that runs it.
type Dispatcher struct {
	Decider     routing.Decider
	Settings    routing.Settings
	Pool        *upstream.Pool
	Metrics     *telemetry.Metrics
	Clock       func() float64      // Unix seconds
	RetryBudget *retrybudget.Budget // the budget of further hops; nil for none

	// Saw hears how each hop ended and how long it took, s; nil for nobody. It must not wait.
	OnAttemptEnd func(member string, rule int, code routing.AttemptResult, took float64)

	in      chan any
	gone    chan struct{}
	mu      sync.Mutex
	leavers []frontend.RequestCancelled // not yet heard; each txn let in leaves once at the most, so their number is bounded
	nudge   chan struct{}               // there are leavers
	now     float64
	open    map[string]*open
	kinds   map[string]int // of members
	timers  timers
}

// open is a txn that is not answered, or has hops out.
type open struct {
	t     *request.Request
	hops  []*hop
	out   int
	ended bool // it had its final answer, or its client left
	gone  bool // its client left

	abandoned bool
}

type hop struct {
	o      *open
	no     int
	member string
	sent   float64
	call   *upstream.Attempt
	link   *upstream.Connection
	over   bool
	undone bool
	stuck  bool // the decisions know that its connection is silent
}

type check struct {
	member string
	sent   float64
	call   *upstream.Attempt
	over   bool
}

// OwnsUpstreamAttempt makes a hop an upstream.Owner.
func (*hop) OwnsUpstreamAttempt() {}

// OwnsUpstreamAttempt makes a check an upstream.Owner.
func (*check) OwnsUpstreamAttempt() {}

// New makes a loop that stands still.
func New(b routing.Decider, rec routing.Settings, p *upstream.Pool, k *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{Decider: b, Settings: rec, Pool: p, Metrics: k, in: make(chan any, queued), gone: make(chan struct{}), nudge: make(chan struct{}, 1),
		open: map[string]*open{}, kinds: map[string]int{},
		Clock: func() float64 { return float64(time.Now().UnixMicro()) / 1e6 }}
}

// Post hands an event to the loop. It waits while too many do, but not for a loop that has ended. Of a client that left it
// never waits, and those go before all else that waits: who reads a connection must not stand still because of it.
func (l *Dispatcher) Post(ev any) {
	if left, ok := ev.(frontend.RequestCancelled); ok {
		l.mu.Lock()
		l.leavers = append(l.leavers, left)
		l.mu.Unlock()
		select {
		case l.nudge <- struct{}{}:
		default:
		}
		return
	}
	select {
	case l.in <- ev:
	case <-l.gone:
	}
}

// Offer hands an event to the loop if there is room for it now.
func (l *Dispatcher) Offer(ev any) bool {
	select {
	case l.in <- ev:
		return true
	default:
		return false
	}
}

// partings hears of those that left.
func (l *Dispatcher) partings() {
	l.mu.Lock()
	left := l.leavers
	l.leavers = nil
	l.mu.Unlock()
	for _, ev := range left {
		l.safely(func() { l.Handle(ev) })
	}
}

// Run brings events to the decisions until the context ends.
func (l *Dispatcher) Run(ctx context.Context) error {
	defer close(l.gone)
	bell, sweep := time.NewTimer(0), time.NewTicker(sweepEvery)
	defer bell.Stop()
	defer sweep.Stop()
	var watch <-chan time.Time
	if l.Pool.AddressSelector != nil || l.RetryBudget != nil {
		watching := time.NewTicker(watchEvery)
		defer watching.Stop()
		watch = watching.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.nudge: // heard below, as before each other event
		case ev := <-l.in:
			l.partings()
			l.safely(func() { l.Handle(ev) })
		case <-bell.C:
		case <-sweep.C:
			l.safely(func() { l.Pool.CloseIdle(time.Now()) })
		case <-watch:
			l.safely(func() {
				l.tick()
				l.stuck(l.Pool.CheckAddresses(time.Now()))
				if l.RetryBudget != nil {
					l.RetryBudget.Advance(l.now)
					l.spare()
				}
			})
		}
		l.partings()
		l.safely(l.ring)
		if len(l.timers.list) > 0 {
			bell.Reset(time.Duration(max(l.timers.list[0].at-l.Clock(), 0) * float64(time.Second)))
		}
	}
}

// safely keeps the loop going after a panic of its own; the txn that it was about is aborted once overdue.
func (l *Dispatcher) safely(f func()) {
	defer func() {
		if p := recover(); p != nil {
			l.panicked("route", "", p)
		}
	}()
	f()
}

func (l *Dispatcher) panicked(where, event string, p any) {
	l.Metrics.Add("panics", 1)
	l.Metrics.Log.Error("panic", "where", where, "event", event, "what", fmt.Sprint(p), "stack", string(debug.Stack()))
}

// tick moves the clock on.
func (l *Dispatcher) tick() { l.now = max(l.now, l.Clock()) }

// Hear takes one event.
func (l *Dispatcher) Handle(ev any) {
	l.tick()
	switch ev := ev.(type) {
	case *request.Request:
		l.arrived(ev)
	case frontend.RequestCancelled:
		if o := l.open[ev.Request.ID]; o != nil && o.t == ev.Request {
			l.left(o)
		}
	case upstream.DialEnded:
		l.Pool.HandleEvent(ev)
	case func():
		ev()
	case routing.Event: // a fact from beside the txns
		l.decide(ev, nil)
	case upstream.AttemptEnded:
		l.Pool.HandleEvent(ev)
		switch owner := ev.Attempt.Owner.(type) {
		case *hop:
			l.ended(owner, ev.End)
		case *check:
			l.checked(owner, ev.End)
		}
	case upstream.ConnectionClosed:
		l.Pool.RemoveConnection(ev.Connection)
	case discovery.Event:
		l.noticed(ev, routing.Incremental)
	case FailAll:
		for _, o := range l.open {
			l.answer(o, request.Response{Result: request.Aborted, Reason: request.ReasonShutdown})
		}
	}
}

// Known takes the events that the router is told at its start.
func (l *Dispatcher) LoadBootstrap(events []discovery.Event) {
	l.tick()
	for i, ev := range events {
		kind := routing.Incremental
		if i == 0 {
			kind = routing.Restored
		}
		l.noticed(ev, kind)
	}
}

func (l *Dispatcher) noticed(ev discovery.Event, kind routing.UpdateKind) {
	if ev.IsPurge() {
		l.decide(routing.Purge{AgeSeconds: max(l.now-ev.Purge.PurgedAt, 0), ObjectGroup: ev.Purge.Group, Object: ev.Purge.Object}, nil)
		return
	}
	if ev.Kind == discovery.Snapshot && kind != routing.Restored {
		kind = routing.Snapshot
	}
	rows := make([]routing.Endpoint, len(ev.Endpoints))
	if ev.Kind == discovery.Snapshot {
		clear(l.kinds)
	}
	for i, row := range ev.Endpoints {
		rows[i] = row.Endpoint
		if l.kinds[string(row.ID)] = row.Kind; row.Status == routing.Removed {
			delete(l.kinds, string(row.ID))
		}
	}
	l.Pool.UpdateEndpoints(ev.Kind == discovery.Snapshot, ev.Endpoints)
	l.decide(routing.EndpointUpdate{Kind: kind, Endpoints: rows}, nil)
}

// left takes in, once, that a client waits no more.
func (l *Dispatcher) left(o *open) {
	if !o.gone {
		o.gone, o.ended = true, true
		l.decide(routing.ClientDisconnected{Request: routing.RequestID(o.t.ID)}, o)
		l.tidy(o)
	}
}

func (l *Dispatcher) arrived(t *request.Request) {
	if t.Cancelled() { // while it waited for the loop: there is nothing to decide
		t.Body.Free()
		return
	}
	if l.open[t.ID] != nil { // the decisions know a txn by its id
		t.Body.Free()
		t.ResponseWriter.Respond(t, request.Response{Result: request.Rejected, Reason: request.ReasonDuplicateID})
		return
	}
	o := &open{t: t}
	l.open[t.ID] = o
	l.at(t.Deadline+guardAfter.Seconds(), timer{guard: o})
	l.decide(routing.RequestArrived{Request: routing.RequestID(t.ID), Class: routing.ClassIndex(t.Class), Object: strings.ToLower(t.Object), Chunk: t.PartNumber, ObjectGroup: t.PurgeGroup, Deadline: t.Deadline,
		SizeKB: t.SizeKB, Write: l.Settings.ListItem("uncacheable", t.Class) == "true"}, o)
}

// answer gives a txn its final answer, if it had none.
func (l *Dispatcher) answer(o *open, a request.Response) {
	if o.ended {
		a.Body.Free()
		return
	}
	o.ended = true
	o.t.ResponseWriter.Respond(o.t, a)
	l.tidy(o)
}

// tidy forgets a txn that is answered and has no hop out.
func (l *Dispatcher) tidy(o *open) {
	if o.ended && o.out == 0 && l.open[o.t.ID] == o {
		delete(l.open, o.t.ID)
		o.t.Body.Free()
		o.t.Body = nil // timers still to come know the txn
	}
}

var reasons = map[routing.AttemptResult]string{routing.Completed: "completed", routing.ServerError: "errored", routing.Overloaded: "busy",
	routing.TimedOut: "timed-out", routing.ConnectFailed: "no-connect", routing.ConnectionBroken: "broken", routing.Cancelled: "cancelled",
	routing.NotSent: "moot", routing.CacheMiss: "miss"}

// ended is the end of a hop. The first completed one answers its txn.
func (l *Dispatcher) ended(h *hop, end request.AttemptEnd) {
	if h.over {
		end.Body.Free()
		return
	}
	o := h.o
	h.over, h.call = true, nil // a call holds the body, and the hop's timer holds the hop
	o.out--
	l.Metrics.Add("hops."+o.t.ClassName+"."+reasons[end.Result], 1)
	if end.Result == routing.Completed {
		l.answer(o, request.Response{Result: request.Completed, Reason: request.ReasonAttemptCompleted, ETag: end.ETag, NotModified: end.NotModified, Body: end.Body})
	}
	if l.OnAttemptEnd != nil {
		l.OnAttemptEnd(h.member, o.t.Class, end.Result, l.now-h.sent)
	}
	l.decide(routing.AttemptEnded{Request: routing.RequestID(o.t.ID), Attempt: h.no, Endpoint: routing.EndpointID(h.member), Result: end.Result, Detail: end.Detail,
		ElapsedSeconds: l.now - h.sent, RequestDone: o.ended, LoadReport: end.LoadReport}, o)
	l.tidy(o)
}

func (l *Dispatcher) checked(c *check, end request.AttemptEnd) {
	if !c.over {
		c.over = true
		l.decide(routing.ProbeResult{Endpoint: routing.EndpointID(c.member), Result: end.Result, ElapsedSeconds: l.now - c.sent, LoadReport: end.LoadReport}, nil)
	}
}

// decide brings an event to the decisions and carries out what they say, with what follows from that at once.
// About is the txn that the event is of, if any: it is aborted if the decisions panic.
func (l *Dispatcher) decide(ev routing.Event, about *open) {
	for _, a := range l.guarded(ev, about) {
		l.act(a)
	}
}

// guarded keeps a panic of the decisions from the process: the stack is logged and the txn aborted.
func (l *Dispatcher) guarded(ev routing.Event, about *open) (acts []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.panicked("decisions", fmt.Sprintf("%T", ev), p)
			acts = nil
			if about != nil {
				l.abandon(about, request.ReasonPanic)
			}
		}
	}()
	// The slice is good until the next call, which an action may cause.
	return append(acts, l.Decider.Decide(l.now, ev)...)
}

// abandon aborts a txn that the decisions failed to end, and gives up its hops.
func (l *Dispatcher) abandon(o *open, reason request.Reason) {
	l.answer(o, request.Response{Result: request.Aborted, Reason: reason})
	for _, h := range o.hops {
		l.undo(h, routing.Cancelled)
	}
	if !o.abandoned {
		o.abandoned = true
		l.later(func() { l.decide(routing.ClientDisconnected{Request: routing.RequestID(o.t.ID)}, o) })
	}
}

// act carries out one action.
func (l *Dispatcher) act(a routing.Action) {
	switch a := a.(type) {
	case routing.StartAttempt:
		if o := l.open[string(a.Request)]; o != nil {
			l.hop(o, a)
		}
	case routing.CancelAttempt:
		if o := l.open[string(a.Request)]; o != nil && a.Attempt >= 0 && a.Attempt < len(o.hops) {
			l.undo(o.hops[a.Attempt], routing.Cancelled)
		}
	case routing.RejectRequest:
		if o := l.open[string(a.Request)]; o != nil {
			l.answer(o, request.Response{Result: request.Rejected, Reason: request.ReasonDecided, RetryAfterSeconds: a.RetryAfterSeconds})
		}
	case routing.AbortRequest:
		if o := l.open[string(a.Request)]; o != nil {
			l.answer(o, request.Response{Result: request.Aborted, Reason: request.ReasonDecided})
		}
	case routing.SetTimer:
		l.at(l.now+a.AfterSeconds, timer{token: a.Token})
	case routing.Probe:
		c := &check{member: string(a.Endpoint), sent: l.now}
		if c.call = l.Pool.SendHealthCheck(a.Endpoint, c); c.call == nil {
			l.later(func() { l.checked(c, request.AttemptEnd{Result: routing.ConnectFailed}) })
			return
		}
		l.at(l.now+l.Pool.ConnectTimeout.Seconds(), timer{check: c})
	case routing.LogNote:
		l.Metrics.Log.Info("note", "text", a.Message)
	}
}

func (l *Dispatcher) hop(o *open, a routing.StartAttempt) {
	h := &hop{o: o, no: len(o.hops), member: string(a.Endpoint), sent: l.now}
	o.hops = append(o.hops, h)
	o.out++
	var avoid []*upstream.Connection // what was said of the txn there may be said again
	for _, x := range o.hops[:h.no] {
		if x.link != nil {
			avoid = append(avoid, x.link)
		}
	}
	until := o.t.Deadline
	if a.Deadline > 0 {
		until = min(until, a.Deadline)
	}
	d := cacheproto.Attempt{Request: o.t, TimeoutSeconds: until - l.now, FillSource: l.fill(a), StartAttempt: a}
	if l.RetryBudget != nil {
		l.RetryBudget.RecordAttempt(l.now, routing.ClassIndex(o.t.Class), a.Endpoint, h.no > 0)
		l.later(l.spare)
	}
	switch {
	case o.t.Cancelled(): // the news of it is still in the queue
		l.later(func() { l.left(o) })
	case !o.ended && until > l.now:
		l.Metrics.Add("hops."+o.t.ClassName+".sent", 1)
		h.call = l.Pool.Send(d, avoid, h)
	}
	if h.call == nil {
		l.later(func() { l.ended(h, request.AttemptEnd{Result: routing.NotSent}) })
		return
	}
	h.link = h.call.Connection()
	l.at(until, timer{hop: h})
}

// stuck tells the decisions of hops whose connection is silent while their member answers elsewhere, each once.
func (l *Dispatcher) stuck(calls []*upstream.Attempt) {
	for _, c := range calls {
		if h, ok := c.Owner.(*hop); ok && !h.over && !h.stuck {
			h.stuck = true
			l.Metrics.Add("reach.stuck", 1)
			l.decide(routing.AttemptStalled{Request: routing.RequestID(h.o.t.ID), Attempt: h.no}, h.o)
		}
	}
}

// spare tells the decisions which budgets of further hops are spent, and which are open again.
func (l *Dispatcher) spare() {
	for _, c := range l.RetryBudget.TakeChanges() {
		if l.Metrics.Add("spend.changes", 1); !c.Available {
			l.Metrics.Add("spend.spent", 1)
		}
		l.decide(routing.RetryBudgetChanged{Class: c.Class, Endpoint: c.Endpoint, Available: c.Available}, nil)
	}
}

// fill is the source as the members hear it: a cache that is its own source fills nothing and none is named; a
// parent or the origin is named all the same.
func (l *Dispatcher) fill(a routing.StartAttempt) string {
	kind := l.kinds[string(a.Endpoint)]
	if a.Source == a.Endpoint && kind != int(l.Settings.Float("parent_kind", -1)) && kind != int(l.Settings.Float("origin_kind", -1)) {
		return ""
	}
	return string(a.Source)
}

// undo gives a hop up. Its end is heard once its member has been told; that of a hop which its member can't know of
// after the actions in hand are done.
func (l *Dispatcher) undo(h *hop, code routing.AttemptResult) {
	if h.over || h.undone || h.call == nil { // without a call its end is on the way
		return
	}
	h.undone = true
	if code, atOnce := l.Pool.Cancel(h.call, code); atOnce {
		l.later(func() { l.ended(h, request.AttemptEnd{Result: code}) })
	}
}

// later does something once the event in hand is done with.
func (l *Dispatcher) later(f func()) { l.at(l.now, timer{then: f}) }

// timer is something that comes due.
type timer struct {
	at    float64
	seq   int
	token uint64
	hop   *hop
	check *check
	guard *open
	then  func()
}

func (l *Dispatcher) at(at float64, t timer) {
	t.at = at
	if l.timers.seq++; t.then != nil {
		t.at = 0 // before all others
	}
	t.seq = l.timers.seq
	heap.Push(&l.timers, t)
}

// ring brings what has come due.
func (l *Dispatcher) ring() {
	l.tick()
	for l.timers.Len() > 0 && l.timers.list[0].at <= l.now {
		t := heap.Pop(&l.timers).(timer)
		if t.at > 0 {
			l.Metrics.Max("loop.late.most-us", int64((l.now-t.at)*1e6))
		}
		switch {
		case t.then != nil:
			t.then()
		case t.hop != nil:
			l.undo(t.hop, routing.TimedOut)
		case t.check != nil:
			if !t.check.over {
				l.Pool.Cancel(t.check.call, routing.TimedOut)
				l.checked(t.check, request.AttemptEnd{Result: routing.TimedOut})
			}
		case t.guard != nil:
			if !t.guard.ended {
				l.Metrics.Log.Error("overdue", "txn", t.guard.t.ID)
				l.abandon(t.guard, request.ReasonDeadlineExceeded)
			}
		default:
			l.decide(routing.TimerFired{Token: t.token}, nil)
		}
	}
}

// timers is a heap by time, then by the order in which they were set.
type timers struct {
	list []timer
	seq  int
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := &t.list[i], &t.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }
func (t *timers) Push(x any)    { t.list = append(t.list, x.(timer)) }
func (t *timers) Pop() any {
	n := len(t.list) - 1
	x := t.list[n]
	t.list[n] = timer{}
	t.list = t.list[:n]
	return x
}
