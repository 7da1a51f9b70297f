// Package take listens for clients and turns their frames into txns.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/netconn"
	"cairnfront/internal/relay"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"

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

	lingerMost  = 500 * time.Millisecond // for a client to read what was written and to end its side
	lingerRoom  = 50 * time.Millisecond  // the same where its place is needed: a request that crosses the end comes by then
	lingerBytes = 2 << 20
	askEvery    = 10 * time.Millisecond // between looks for connections that may end, once no new ones come
)

// Left says that the client of a txn waits no more.
type RequestCancelled struct{ Request *request.Request }

// Taker takes in what clients send. Offer hands a *txn.Txn to the route stage if there is room for it now: one that reads a
// connection must not stand still, or it would not see its client go. Post hands on a Left.
type Server struct {
	ClassIndexes map[string]int
	Admission    *admission.Controller
	Book         *telemetry.Metrics
	Offer        func(any) bool
	Post         func(any)

	mu    sync.Mutex
	ln    net.Listener
	deaf  bool // the listener is closed
	conns map[*relay.Outlet]*clientConn
}

// clientConn is a client's connection and what it has brought so far.
type clientConn struct {
	*netconn.Conn
	o           *relay.Outlet
	whole, used atomic.Bool  // it brought a whole frame; a txn
	asOf        atomic.Int64 // Unix ns at which a look at it found it of no use
	told        atomic.Bool  // since it may know, to bring no new txn
	evicted     atomic.Bool  // asked to make room
}

// end asks a connection to end, for what was seen of it at a time.
func (c *clientConn) end(code netconn.EndCode, now time.Time) {
	c.asOf.Store(now.UnixNano())
	c.RequestClose(code)
}

// noMore tells a client to bring no new txn on its connection.
func (c *clientConn) noMore() { c.o.Say(clientproto.AppendHeader(nil, clientproto.TypeGoAway, 0, 0)) }

// errEnding ends the reading of a connection that was asked to end and may.
var errEnding = errors.New("asked to end")

// may says whether a connection may end now for a reason, and if so lets nothing more be said on it. It is asked by
// the goroutine that takes in txns, with nothing unread: what was seen of the connection may have passed since.
func (c *clientConn) may(code netconn.EndCode) error {
	asOf, begun := time.Unix(0, c.asOf.Load()), c.FrameStartUnixNano()
	still := true
	switch code {
	case netconn.PartialFrame:
		still = begun != 0 && before(asOf, begun, halfAfter)
	case netconn.NoFirstFrame:
		still = !c.whole.Load()
	case netconn.IdleTimeout:
		still = begun == 0 && before(asOf, c.LastReadUnixNano(), idleAfter)
	case netconn.Evicted:
		still = begun == 0 && before(asOf, c.LastReadUnixNano(), evictAfter)
	case netconn.Shutdown: // half a request is waited for: its client is told when it ends, not in the middle of it
		still = begun == 0 || before(asOf, begun, halfAfter)
	}
	if !still || !c.o.Shut() {
		c.evicted.Store(false)
		return nil
	}
	c.SetEndCode(code, nil)
	return errEnding
}

// before says whether a Unix time in nanoseconds lies further back than most.
func before(now time.Time, at int64, most time.Duration) bool { return at < now.Add(-most).UnixNano() }

// Run accepts clients until the listener is closed, then waits for their connections to end.
func (k *Server) Serve(ctx context.Context, ln net.Listener) error {
	k.mu.Lock()
	k.ln = ln
	k.mu.Unlock()
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
	for looked := false; ; {
		raw, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				k.mu.Lock()
				k.deaf = true
				k.mu.Unlock()
				return g.Wait()
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // Finish: what has come is accepted before the listener closes
				if looked {
					_ = ln.Close()
				}
				looked = true
				k.lastLook()
				continue
			}
			// Out of descriptors, or a connection that went away: the listener itself goes on, and one of no use makes room.
			k.Book.Log.Warn("accept", "err", err.Error())
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				k.evict(time.Now())
			}
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		looked = false
		in, tell := k.Admission.AdmitClient()
		if !in && tell {
			in = k.evict(time.Now())
		}
		if !in && !tell {
			_ = raw.Close()
			k.Book.Add("conn.client.turned-away", 1)
			continue
		}
		g.Go(func() error {
			defer k.Admission.ClientDone()
			k.client(ctx, raw, in)
			return nil
		})
	}
}

// Stop tells every client to bring no new txn on its connection; those that come from now on are told at once.
func (k *Server) BeginDrain() {
	k.Admission.StartDraining()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		if !c.told.Load() {
			c.noMore()
		}
	}
}

// Finish, after Stop, takes in what has connected already, closes the listener, and ends each connection once nothing is
// open on it and what its client has written is read. It returns when all have ended or the context has.
func (k *Server) FinishDrain(ctx context.Context) {
	for tick := time.NewTicker(askEvery); ; {
		k.mu.Lock()
		deaf, now := k.deaf, time.Now()
		for o, c := range k.conns {
			if !o.Busy() && c.EndCode() == netconn.NoEndCode { // one that is ending already has a reason
				c.end(netconn.Shutdown, now)
			}
		}
		k.mu.Unlock()
		if !deaf {
			k.lastLook()
		} else if k.Admission.OpenClients() == 0 {
			tick.Stop()
			return
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// lastLook lets the listener wait for one more moment.
func (k *Server) lastLook() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ln, ok := k.ln.(interface{ SetDeadline(time.Time) error }); ok {
		_ = ln.SetDeadline(time.Now().Add(time.Millisecond))
	}
}

// Sweep ends connections that are of no use: still, or without a whole frame for long. What is open on one is answered
// first, and what has come by then is taken in: it is for the goroutine that reads to say that nothing is under way.
// While the bodies' budget is full it also breaks those that take nothing of what waits for them: few slow readers would
// hold all of it, and there is nothing to end in order, as they read nothing.
func (k *Server) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	full := k.Admission.BodiesNearlyFull()
	for o, c := range k.conns {
		switch begun := c.FrameStartUnixNano(); {
		case full && o.Waits() && before(now, c.LastWriteUnixNano(), stalledAfter):
			c.Close(netconn.SlowReader, nil)
		case o.Busy():
		case begun != 0 && before(now, begun, halfAfter):
			c.end(netconn.PartialFrame, now)
		case !c.whole.Load() && c.Age(now) > muteAfter: // also in the middle of its first frame: it has had its time
			c.end(netconn.NoFirstFrame, now)
		case begun == 0 && before(now, c.LastReadUnixNano(), idleAfter):
			c.end(netconn.IdleTimeout, now)
		}
	}
}

// evict asks the connection that has been still for longest to end, if nothing is open on any: one that brought no txn
// before one that did. The place then goes to whoever comes; until the other has ended both are held, and the gate bounds
// how many such there are.
func (k *Server) evict(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out *clientConn
	least := now.Add(-evictAfter).UnixNano()
	for o, c := range k.conns {
		first := out == nil || !c.used.Load() && out.used.Load()
		same := out == nil || c.used.Load() == out.used.Load()
		if c.LastReadUnixNano() < least && (first || same && c.LastReadUnixNano() < out.LastReadUnixNano()) && !c.evicted.Load() && c.FrameStartUnixNano() == 0 && !c.IsClosed() && !o.Busy() {
			out = c
		}
	}
	if out != nil {
		out.evicted.Store(true)
		out.end(netconn.Evicted, now)
	}
	return out != nil
}

// client serves one connection until it ends.
func (k *Server) client(ctx context.Context, raw net.Conn, in bool) {
	o := relay.New(k.Book, k.Admission)
	c := &clientConn{Conn: netconn.New(raw, admission.ClientRingBytes, relay.Stall), o: o}
	c.OnCloseRequest = c.may
	k.Book.ConnectionOpened("client")
	k.mu.Lock()
	if k.conns == nil {
		k.conns = map[*relay.Outlet]*clientConn{}
	}
	k.conns[o] = c
	k.mu.Unlock()
	if k.Admission.Draining() && c.told.CompareAndSwap(false, true) { // Stop was before it, or sees it
		c.noMore()
	}
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { c.Close(netconn.Shutdown, nil) })()
	g.Go(func() (err error) {
		defer k.caught(c.Conn, &err)
		r := reader{k: k, c: c, o: o, used: map[uint32]bool{}, next: 1}
		if in {
			err = r.run()
		} else {
			c.SetEndCode(netconn.ResourceLimit, nil)
			err = fault("too many connections")
		}
		if bad := (*violation)(nil); errors.As(err, &bad) {
			// What was taken is still answered; only then does the connection end, under the code of the fault. Until then it
			// is read on, and all dropped: a client that goes is noticed.
			c.SetEndCode(netconn.ProtocolError, bad)
			o.Say(errorFrame(bad.Error()))
			o.Finish()
			err = c.DiscardUntilClosed(lingerBytes)
		}
		if errors.Is(err, errEnding) {
			most := lingerMost
			if c.EndCode() == netconn.Evicted {
				most = lingerRoom
			}
			c.CloseGracefully(netconn.Shutdown, nil, most, lingerBytes)
			return err
		}
		c.Close(netconn.ClassifyError(err), err)
		return err
	})
	g.Go(func() (err error) {
		defer k.caught(c.Conn, &err)
		if err = o.Run(ctx, c.Conn); err == nil {
			c.RequestClose(netconn.ProtocolError)
		}
		return err
	})
	_ = g.Wait()
	for _, t := range o.Close(request.ConnectionEnded) {
		k.Post(RequestCancelled{t})
	}
	k.mu.Lock()
	delete(k.conns, o)
	k.mu.Unlock()
	c.LogEnd(k.Book, "client", c.RemoteAddr())
}

func errorFrame(text string) []byte {
	return clientproto.AppendResponse(nil, 0, request.Response{Result: request.Aborted, ErrorText: text})
}

var errPanic = errors.New("panic")

// caught ends a connection, not the process, after a panic in one of its goroutines.
func (k *Server) caught(c *netconn.Conn, err *error) {
	if p := recover(); p != nil {
		k.panicked(p)
		*err = errPanic
		c.Close(netconn.Panic, nil)
	}
}

func (k *Server) panicked(p any) {
	k.Book.Add("panics", 1)
	k.Book.Log.Error("panic", "where", "client", "what", fmt.Sprint(p), "stack", string(debug.Stack()))
}

// violation is an error after which the frames of a connection can't be followed.
type violation struct{ text string }

func (v *violation) Error() string { return v.text }

func fault(format string, args ...any) error { return &violation{fmt.Sprintf(format, args...)} }

// reader follows the frames of one connection.
type reader struct {
	k    *Server
	c    *clientConn
	o    *relay.Outlet
	used map[uint32]bool // streams used, from next on
	next uint32          // lowest stream not used
}

func (r *reader) run() error {
	for head := make([]byte, clientproto.HeaderSize); ; {
		if err := r.c.ReadFull(head); err != nil {
			return err
		}
		h, err := clientproto.ParseHeader(head)
		if err != nil {
			return fault("%s", err)
		}
		switch h.Type {
		case clientproto.TypeRequest:
			err = r.txn(h)
		case clientproto.TypeCancel:
			if err = r.c.Discard(h.PayloadBytes); err == nil {
				if t := r.o.Leave(h.StreamID, request.CancelledByClient); t != nil {
					r.k.Post(RequestCancelled{t})
				}
			}
		case clientproto.TypeReadinessQuery:
			if err = r.c.Discard(h.PayloadBytes); err == nil {
				r.o.Say(clientproto.AppendReadinessReply(nil, h.StreamID, r.k.Admission.Ready()))
			}
		default:
			return fault("unknown type %d", h.Type)
		}
		if err == nil && r.o.Full() {
			r.c.SetEndCode(netconn.SlowReader, relay.ErrSlow)
			err = relay.ErrSlow
		}
		if err != nil {
			return err
		}
		r.c.FrameComplete()
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
func (r *reader) txn(h clientproto.Header) error {
	if h.StreamID == 0 {
		return fault("a txn on stream 0")
	}
	if !r.use(h.StreamID) {
		return fault("stream %d is not new", h.StreamID)
	}
	t := &request.Request{StreamID: h.StreamID, ClassName: "unknown", ResponseWriter: r.o}
	atOnce := func(v request.Result, reason request.Reason, text string) {
		r.k.Admission.CountRequest() // it is owed its answer like any other
		r.o.Open(t)
		r.o.Respond(t, request.Response{Result: v, Reason: reason, ErrorText: text})
	}
	if h.PayloadBytes > clientproto.MaxRequestBytes {
		if err := r.c.Discard(h.PayloadBytes); err != nil {
			return err
		}
		atOnce(request.Aborted, request.ReasonMalformed, "txn too large")
		return nil
	}
	body := r.k.Admission.Bodies.TryAllocate(h.PayloadBytes)
	if body == nil {
		if err := r.c.Discard(h.PayloadBytes); err != nil {
			return err
		}
		atOnce(request.Rejected, request.ReasonMemoryShort, "")
		return nil
	}
	if err := r.c.ReadFull(body.Bytes); err != nil {
		body.Free()
		return err
	}
	r.admit(t, body, float64(time.Now().UnixMicro())/1e6, atOnce)
	if r.k.Admission.Draining() && r.c.told.CompareAndSwap(false, true) { // this one may have crossed the word
		r.c.noMore()
	}
	return nil
}

// admit reads a txn that has come whole and hands it on. A panic there costs this txn only.
func (r *reader) admit(t *request.Request, body *request.Body, now float64, atOnce func(request.Result, request.Reason, string)) {
	defer func() {
		if p := recover(); p != nil {
			r.k.panicked(p)
			if !r.o.Respond(t, request.Response{Result: request.Aborted, Reason: request.ReasonPanic}) {
				atOnce(request.Aborted, request.ReasonPanic, "")
			}
		}
	}()
	a, err := clientproto.ParseRequest(body.Bytes)
	rule, known := r.k.ClassIndexes[a.ClassName]
	if err == nil && !known {
		err = fmt.Errorf("unknown remap rule %.40q", a.ClassName)
	}
	if err != nil {
		body.Free()
		atOnce(request.Aborted, request.ReasonMalformed, err.Error())
		return
	}
	a.StreamID, a.ResponseWriter, a.Class, a.ArrivedAt, a.Deadline = t.StreamID, r.o, rule, now, now+a.TimeoutSeconds
	*t = a.Request
	size := 0
	if n := len(body.Bytes); len(a.RawBody) > 0 {
		body.Bytes, t.Body, size = a.RawBody, body, n
	} else {
		body.Free()
	}
	r.c.used.Store(true)
	reason := request.ReasonNone
	if r.o.Count() >= mostOpen {
		reason = request.ReasonTooManyStreams
	} else if reason = r.k.Admission.AdmitRequest(size); reason == request.ReasonNone {
		if r.o.Open(t); !r.k.Offer(t) { // the decisions are far behind: what is given up is answered at once
			t.Body.Free()
			r.o.Respond(t, request.Response{Result: request.Rejected, Reason: request.ReasonQueueFull})
		}
	}
	if reason != request.ReasonNone {
		t.Body.Free()
		atOnce(request.Rejected, reason, "")
	}
}
