// Package take listens for clients and turns their frames into txns.
package take

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/admit"
	"cairnfront/internal/book"
	"cairnfront/internal/conn"
	"cairnfront/internal/frame"
	"cairnfront/internal/relay"
	"cairnfront/internal/txn"

	"golang.org/x/sync/errgroup"
)

// mostOpen is how many txns may be open on a connection, by the protocol.
const mostOpen = 32

// mostSparse is how many used streams are remembered above the lowest one not used; beyond that the lower half of
// what lies between counts as used.
const mostSparse = 4096

// How long a connection may be of no use. Clients close theirs after 4 s with nothing open; one that brings nothing
// whole is owed an end within 3 s.
const (
	sweepEvery = 200 * time.Millisecond

	idleAfter    = 6 * time.Second         // since it was heard, with nothing open
	muteAfter    = 2500 * time.Millisecond // since it came up, without a whole frame
	halfAfter    = 2 * time.Second         // since a frame began that is not whole
	stalledAfter = time.Second             // without a byte taken, while memory is short
	evictAfter   = 100 * time.Millisecond  // since it was heard, with nothing open, where its place is needed

	lingerMost  = 500 * time.Millisecond // for a client that still sends to read why its connection ends
	lingerBytes = 2 << 20
)

// Left says that the client of a txn waits no more.
type Left struct{ Txn *txn.Txn }

// Taker takes in what clients send. Post hands a *txn.Txn or a Left to the route stage.
type Taker struct {
	Rules map[string]int
	Gate  *admit.Gate
	Book  *book.Book
	Post  func(any)

	mu    sync.Mutex
	conns map[*relay.Outlet]*peer
}

// peer is a client's connection and what it has brought so far.
type peer struct {
	*conn.Conn
	whole, asked atomic.Bool // a whole frame; a txn
}

// Run accepts clients until the listener is closed, then waits for their connections to end.
func (k *Taker) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { _ = ln.Close() })()
	g.Go(func() error {
		for tick := time.NewTicker(sweepEvery); ; {
			select {
			case <-ctx.Done():
				tick.Stop()
				return nil
			case now := <-tick.C:
				k.Sweep(now)
			}
		}
	})
	for {
		raw, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return g.Wait()
			}
			// Out of descriptors, or a connection that went away: the listener itself goes on.
			k.Book.Log.Warn("accept", "err", err.Error())
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		in, tell := k.Gate.Client()
		if !in && tell {
			in = k.evict(time.Now())
		}
		if !in && !tell {
			_ = raw.Close()
			k.Book.Add("conn.client.turned-away", 1)
			continue
		}
		g.Go(func() error {
			defer k.Gate.ClientDone()
			k.client(ctx, raw, in)
			return nil
		})
	}
}

// Stop tells every client to bring no new txn on its connection.
func (k *Taker) Stop() {
	k.Gate.Stop()
	k.mu.Lock()
	defer k.mu.Unlock()
	for o := range k.conns {
		o.Say(frame.AppendHead(nil, frame.NoMore, 0, 0))
	}
}

// Sweep ends connections that are of no use: still, or without a whole frame for long. What is open on one is answered
// first. While the bodies' budget is full it also ends those that take nothing of what waits for them: few slow readers
// would hold all of it.
func (k *Taker) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	full := k.Gate.Full()
	before := func(at int64, most time.Duration) bool { return at < now.Add(-most).UnixNano() }
	for o, c := range k.conns {
		switch begun := c.Begun(); {
		case full && o.Waits() && before(c.Took(), stalledAfter):
			c.End(conn.Slow, nil)
		case begun != 0 && before(begun, halfAfter):
			c.Blame(conn.Half, nil)
			if o.Finish(); !o.Busy() {
				c.End(conn.Half, nil)
			}
		case o.Busy():
		case !c.whole.Load() && c.Age(now) > muteAfter:
			c.End(conn.Mute, nil)
		case before(c.Heard(), idleAfter):
			c.End(conn.Idle, nil)
		}
	}
}

// evict ends the connection that has been still for longest, if nothing is open on any: one that brought no txn
// before one that did. The place then goes to whoever comes.
func (k *Taker) evict(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out *peer
	least := now.Add(-evictAfter).UnixNano()
	for o, c := range k.conns {
		first := out == nil || !c.asked.Load() && out.asked.Load()
		same := out == nil || c.asked.Load() == out.asked.Load()
		if c.Heard() < least && (first || same && c.Heard() < out.Heard()) && !c.Ended() && !o.Busy() {
			out = c
		}
	}
	if out != nil {
		out.End(conn.Crowded, nil)
	}
	return out != nil
}

// client serves one connection until it ends.
func (k *Taker) client(ctx context.Context, raw net.Conn, in bool) {
	c := &peer{Conn: conn.New(raw, admit.ClientRing, relay.Stall)}
	o := relay.New(k.Book, k.Gate)
	k.Book.Began("client")
	k.mu.Lock()
	if k.conns == nil {
		k.conns = map[*relay.Outlet]*peer{}
	}
	k.conns[o] = c
	k.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { c.End(conn.Shutdown, nil) })()
	var unread atomic.Bool // nobody reads any more
	g.Go(func() (err error) {
		defer k.caught(c.Conn, &err)
		if !in {
			unread.Store(true)
			c.Blame(conn.Limit, nil)
			o.Say(errorFrame("too many connections"))
			o.Finish()
			return nil
		}
		r := reader{k: k, c: c, o: o, used: map[uint32]bool{}, next: 1}
		err = r.run()
		if bad := (*violation)(nil); errors.As(err, &bad) {
			// What was taken is still answered; only then does the connection end, under the code of the fault.
			unread.Store(true)
			c.Blame(conn.Protocol, bad)
			o.Say(errorFrame(bad.Error()))
			o.Finish()
			return nil
		}
		c.End(conn.Reason(err), err)
		return err
	})
	g.Go(func() (err error) {
		defer k.caught(c.Conn, &err)
		if err = o.Run(ctx, c.Conn); err == nil {
			if unread.Load() {
				c.Linger(lingerMost, lingerBytes)
			}
			c.End(conn.Protocol, nil)
		}
		return err
	})
	_ = g.Wait()
	k.mu.Lock()
	delete(k.conns, o)
	k.mu.Unlock()
	for _, t := range o.Close("connection-ended") {
		k.Post(Left{t})
	}
	c.Done(k.Book, "client", c.Peer())
}

func errorFrame(text string) []byte {
	return frame.AppendAnswer(nil, 0, txn.Answer{Verdict: txn.Aborted, Error: text})
}

var errPanic = errors.New("panic")

// caught ends a connection, not the process, after a panic in one of its goroutines.
func (k *Taker) caught(c *conn.Conn, err *error) {
	if p := recover(); p != nil {
		k.panicked(p)
		*err = errPanic
		c.End(conn.Panic, nil)
	}
}

func (k *Taker) panicked(p any) {
	k.Book.Add("panics", 1)
	k.Book.Log.Error("panic", "where", "client", "what", fmt.Sprint(p), "stack", string(debug.Stack()))
}

// violation is an error after which the frames of a connection can't be followed.
type violation struct{ text string }

func (v *violation) Error() string { return v.text }

func fault(format string, args ...any) error { return &violation{fmt.Sprintf(format, args...)} }

// reader follows the frames of one connection.
type reader struct {
	k    *Taker
	c    *peer
	o    *relay.Outlet
	used map[uint32]bool // streams used, from next on
	next uint32          // lowest stream not used
	told bool
}

func (r *reader) run() error {
	for head := make([]byte, frame.HeadSize); ; {
		if err := r.c.ReadFull(head); err != nil {
			return err
		}
		h, err := frame.ParseHead(head)
		if err != nil {
			return fault("%s", err)
		}
		switch h.Type {
		case frame.Txn:
			err = r.txn(h)
		case frame.Leave:
			if err = r.c.Skip(h.Size); err == nil {
				if t := r.o.Leave(h.Stream, "cancelled"); t != nil {
					r.k.Post(Left{t})
				}
			}
		case frame.AskReady:
			if err = r.c.Skip(h.Size); err == nil {
				r.o.Say(frame.AppendReady(nil, h.Stream, r.k.Gate.Ready()))
			}
		default:
			return fault("unknown type %d", h.Type)
		}
		if err == nil && r.o.Full() {
			r.c.Blame(conn.Slow, relay.ErrSlow)
			err = relay.ErrSlow
		}
		if err != nil {
			return err
		}
		r.c.Whole()
		r.c.whole.Store(true)
	}
}

// use marks a stream as used and says whether it was new.
func (r *reader) use(stream uint32) bool {
	if stream < r.next || r.used[stream] {
		return false
	}
	if r.used[stream] = true; len(r.used) > mostSparse {
		all := slices.Sorted(maps.Keys(r.used))
		r.next = all[len(all)/2]
		maps.DeleteFunc(r.used, func(s uint32, _ bool) bool { return s < r.next })
	}
	for r.used[r.next] {
		delete(r.used, r.next)
		r.next++
	}
	return true
}

// txn takes one in. Whatever is wrong with it alone is answered on its stream.
func (r *reader) txn(h frame.Head) error {
	if h.Stream == 0 {
		return fault("a txn on stream 0")
	}
	if !r.use(h.Stream) {
		return fault("stream %d is not new", h.Stream)
	}
	t := &txn.Txn{Stream: h.Stream, Name: "unknown", To: r.o}
	atOnce := func(v txn.Verdict, reason, text string) {
		r.k.Gate.Enter() // it is owed its answer like any other
		r.o.Open(t)
		r.o.Answer(t, txn.Answer{Verdict: v, Reason: reason, Error: text})
	}
	if h.Size > frame.MostAsked {
		if err := r.c.Skip(h.Size); err != nil {
			return err
		}
		atOnce(txn.Aborted, "malformed", "txn too large")
		return nil
	}
	body := r.k.Gate.Budget.Try(h.Size)
	if body == nil {
		if err := r.c.Skip(h.Size); err != nil {
			return err
		}
		atOnce(txn.Rejected, "memory", "")
		return nil
	}
	if err := r.c.ReadFull(body.Bytes); err != nil {
		body.Free()
		return err
	}
	r.admit(t, body, float64(time.Now().UnixMicro())/1e6, atOnce)
	if r.k.Gate.Stopping() && !r.told {
		r.told = true
		r.o.Say(frame.AppendHead(nil, frame.NoMore, 0, 0))
	}
	return nil
}

// admit reads a txn that has come whole and hands it on. A panic there costs this txn only.
func (r *reader) admit(t *txn.Txn, body *txn.Body, now float64, atOnce func(txn.Verdict, string, string)) {
	defer func() {
		if p := recover(); p != nil {
			r.k.panicked(p)
			if !r.o.Answer(t, txn.Answer{Verdict: txn.Aborted, Reason: "panic"}) {
				atOnce(txn.Aborted, "panic", "")
			}
		}
	}()
	a, err := frame.ParseTxn(body.Bytes)
	rule, known := r.k.Rules[a.Name]
	if err == nil && !known {
		err = fmt.Errorf("unknown remap rule %.40q", a.Name)
	}
	if err != nil {
		body.Free()
		atOnce(txn.Aborted, "malformed", err.Error())
		return
	}
	a.Stream, a.To, a.Rule, a.Came, a.Limit = t.Stream, r.o, rule, now, now+a.TTL
	*t = a.Txn
	if body.Bytes = a.Rest; len(a.Rest) > 0 {
		t.Body = body
	} else {
		body.Free()
	}
	r.c.asked.Store(true)
	reason := ""
	if r.o.Count() >= mostOpen {
		reason = "streams"
	} else if reason = r.k.Gate.Txn(); reason == "" {
		r.o.Open(t)
		r.k.Post(t)
	}
	if reason != "" {
		t.Body.Free()
		atOnce(txn.Rejected, reason, "")
	}
}
