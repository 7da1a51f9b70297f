package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// Owner is what the caller of Send or SendHealthCheck knows an attempt by; it comes back with the attempt's end.
type Owner interface{ OwnsUpstreamAttempt() }

// Attempt is a hop or a check on a link. What is not exported belongs to the link.
type Attempt struct {
	Owner Owner
	link  *Connection
	id    string
	head  []byte
	body  *request.Body
	txn   *request.Request // of a hop
	hop   bool

	repeatable bool // of a rule that may run again

	begun   bool      // some of it may be written
	end     int64     // the link's count of bytes after its last one
	written time.Time // when it was begun

	undone routing.AttemptResult // how it ends once its member has been told that it is given up
}

// Link is the link that carries the call.
func (c *Attempt) Connection() *Connection { return c.link }

// Link is one connection to a member.
type Connection struct {
	pool    *Pool
	member  string
	started float64 // the member's start for which it was made

	mu      sync.Mutex
	addr    string                // empty while several are tried
	plan    []address.PlannedDial // of a member with several addresses
	listed  map[address.Addr]bool // those that it still has; nil for any
	c       *netconn.Conn         // nil until it is up
	calls   map[string]*Attempt
	queue   []item
	undone  map[string]*Attempt // given up, and the member is yet to be told
	wake    chan struct{}
	used    time.Time // when a call last came or ended
	suspect time.Time // when a call was undone that had heard nothing for long
	dead    bool      // takes no more calls
	stop    context.CancelFunc
}

// item is what the writer has to write: a call, or the line that undoes one.
type item struct {
	call *Attempt
	text []byte // of the line that undoes it
}

// load is how many calls are open, and whether the link takes more. One that owes an answer to a call that was
// given up in silence is not used until it is heard again: its member may have vanished or be a new process. Nor is
// one on which an answer to a call that was given up is still to come whole.
func (l *Connection) load() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := len(l.calls) == 0 && l.c != nil && l.c.FrameStartUnixNano() != 0
	return len(l.calls), !l.dead && !l.silent() && !within
}

func (l *Connection) silent() bool {
	return !l.suspect.IsZero() && l.c != nil && l.c.LastReadUnixNano() < l.suspect.UnixNano()
}

// add takes a call, unless the link has ended or carries the same id already.
func (l *Connection) add(c *Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || l.calls[c.id] != nil || l.undone[c.id] != nil {
		return false
	}
	c.link, l.used = l, time.Now()
	l.calls[c.id] = c
	l.push(item{call: c})
	return true
}

func (l *Connection) push(x item) {
	l.queue = append(l.queue, x)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// undo gives a call up and says how it ends by that, and whether at once. One that the member may know of is over only
// when the socket has taken the line that tells it, or the connection has ended: a further hop sent before that line
// would be a second one out at the same time. Its end then comes like any other.
func (l *Connection) undo(c *Attempt, code routing.AttemptResult) (end routing.AttemptResult, atOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls[c.id] != c { // its end is on the way, or was lost with a panic
		if !c.begun {
			code = routing.NotSent
		}
		return code, true
	}
	delete(l.calls, c.id)
	now := time.Now()
	l.used = now
	if !c.begun {
		for i, x := range l.queue {
			if x.call == c {
				l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
				break
			}
		}
		return routing.NotSent, true
	}
	if l.dead || !c.hop {
		return code, true
	}
	c.undone, l.undone[c.id] = code, c
	l.push(item{c, cacheproto.AppendCancel(nil, c.id)})
	if l.c != nil && l.c.LastReadUnixNano() < c.written.UnixNano() && now.Sub(c.written) > l.pool.ConnectTimeout {
		l.suspect = now
	}
	return code, false
}

// told ends the calls of which the member has now been told that they are given up.
func (l *Connection) told(calls []*Attempt) {
	for _, c := range calls {
		l.mu.Lock()
		delete(l.undone, c.id)
		l.mu.Unlock()
		l.pool.OnEvent(AttemptEnded{c, request.AttemptEnd{Result: c.undone}})
	}
}

// endIf ends the link if nothing is open on it and was not since a time.
func (l *Connection) endIf(code netconn.EndCode, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || l.c == nil || len(l.calls) > 0 {
		return
	}
	if l.silent() {
		code = netconn.Unresponsive
	} else if l.used.After(since) {
		return
	}
	l.dead = true
	l.c.RequestClose(code)
}

// errRetired ends the reading of a link that carries nothing and will not.
var errRetired = errors.New("asked to end")

// may says whether the connection may end now: its link takes no more calls and has none, or the program ends.
func (l *Connection) may(ctx context.Context, code netconn.EndCode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() == nil && (!l.dead || len(l.calls) > 0) {
		return nil
	}
	l.c.SetEndCode(code, nil)
	return errRetired
}

// run makes the connection and serves it until it ends; then every open call gets its end.
func (l *Connection) run(ctx context.Context) {
	began := time.Now()
	raw, err := l.dial(ctx)
	peer := l.member + "@" + l.over()
	if err != nil {
		c := netconn.New(nowhere{}, 0, 0)
		code := netconn.ConnectFailed
		if ctx.Err() != nil {
			code = netconn.Shutdown
		} else if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS) {
			code = netconn.ResourceLimit // that is no fault of the member
		}
		c.SetStartTime(began)
		c.Close(code, err)
		if code == netconn.ResourceLimit {
			l.finish(nil, routing.NotSent)
		} else {
			l.finish(nil, routing.ConnectFailed)
		}
		c.LogEnd(l.pool.Telemetry, "member", peer)
		return
	}
	c := netconn.New(raw, admission.EndpointRingBytes, writeStall)
	c.SetFrameTimeout(max(l.pool.ConnectTimeout, stallLeast))
	g, ctx := errgroup.WithContext(ctx)
	ctx, l.stop = context.WithCancel(ctx)
	defer l.stop()
	c.OnCloseRequest, c.DiscardInput = func(code netconn.EndCode) error { return l.may(ctx, code) }, true // no call is open then: none waits for what is unread
	l.mu.Lock()
	l.c = c
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { c.RequestClose(netconn.Shutdown) })
	g.Go(func() error {
		defer l.caught(c)
		code, err := l.read(ctx, c)
		if errors.Is(err, errRetired) {
			c.CloseGracefully(netconn.Shutdown, nil, lingerMost, lingerBytes)
			return errEnded
		}
		if code == netconn.SlowReader {
			code = netconn.StalledResponse
		}
		c.Close(code, err)
		return errEnded
	})
	g.Go(func() error {
		defer l.caught(c)
		if err := l.write(ctx, c); ctx.Err() == nil { // else the reader ends it
			c.Close(netconn.ClassifyError(err), err)
		}
		return errEnded
	})
	_ = g.Wait()
	stop()
	l.finish(c, routing.ConnectFailed)
	c.LogEnd(l.pool.Telemetry, "member", peer)
}

var errEnded = errors.New("connection ended")

// nowhere stands for the socket of a connection that never came up.
type nowhere struct{ net.Conn }

func (nowhere) Close() error { return nil }

func (l *Connection) caught(c *netconn.Conn) {
	if p := recover(); p != nil {
		l.pool.Telemetry.Add("panics", 1)
		l.pool.Telemetry.Log.Error("panic", "where", "member", "what", fmt.Sprint(p), "stack", string(debug.Stack()))
		c.Close(netconn.Panic, nil)
		l.stop()
	}
}

// finish ends what is open: a call whose last byte the socket took may have run; any other surely did not. One of
// which nothing was written crossed the end of the connection, which may have been an idle one: that is no fault of
// the member. What is left ends by the code given.
func (l *Connection) finish(c *netconn.Conn, unrun routing.AttemptResult) {
	l.mu.Lock()
	l.dead = true
	calls, undone := l.calls, slices.Collect(maps.Values(l.undone))
	l.calls, l.queue = map[string]*Attempt{}, nil
	l.mu.Unlock()
	l.told(undone)
	for _, call := range calls {
		code := unrun
		if c != nil && !call.begun {
			code = routing.NotSent
		} else if c != nil && call.begun && call.end <= c.BytesWritten() {
			code = routing.ConnectionBroken
		}
		l.pool.OnEvent(AttemptEnded{call, request.AttemptEnd{Result: code}})
	}
	l.pool.OnEvent(ConnectionClosed{l})
}

// write brings out calls and undos in order.
func (l *Connection) write(ctx context.Context, c *netconn.Conn) error {
	var undone []*Attempt
	for {
		l.mu.Lock()
		var x item
		ok := len(l.queue) > 0
		if ok {
			x = l.queue[0]
			if l.queue = l.queue[1:]; x.text == nil && x.call.txn != nil && x.call.txn.Cancelled() {
				// Its client went while it waited here, for the connection or its turn: it never begins.
				delete(l.calls, x.call.id)
				l.mu.Unlock()
				l.pool.OnEvent(AttemptEnded{x.call, request.AttemptEnd{Result: routing.NotSent}})
				continue
			}
			if x.text == nil {
				x.call.begun, x.call.written = true, time.Now()
				x.call.end = c.BytesBuffered() + int64(len(x.call.head))
				if x.call.hop {
					x.call.end += int64(x.call.body.Len() + len(cacheproto.LineEnd))
				}
			}
		}
		l.mu.Unlock()
		if !ok {
			if err := c.Flush(); err != nil {
				return err
			}
			l.told(undone)
			undone = undone[:0]
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-l.wake:
			}
			continue
		}
		text, do := x.text, x.text == nil
		if do {
			text = x.call.head
		} else {
			undone = append(undone, x.call)
		}
		err := c.Write(text)
		if err == nil && do && x.call.hop {
			if x.call.body != nil {
				err = c.Write(x.call.body.Bytes)
			}
			if err == nil {
				err = c.Write([]byte(cacheproto.LineEnd))
			}
		}
		if err != nil {
			return err
		}
	}
}

var errStep = errors.New("no line end after a body")

// read follows the member's answers. Bodies are gathered whole before the route stage hears of them; that of a
// hop that was given up is dropped unread.
func (l *Connection) read(ctx context.Context, c *netconn.Conn) (netconn.EndCode, error) {
	for tail := make([]byte, len(cacheproto.LineEnd)); ; {
		text, err := c.ReadLine()
		if err != nil {
			return netconn.ClassifyError(err), err
		}
		a, err := cacheproto.ParseResponse(text)
		if err != nil {
			return netconn.ProtocolError, err
		}
		l.mu.Lock()
		call := l.calls[a.ID]
		l.mu.Unlock()
		if call == nil {
			l.pool.Telemetry.Add("member.late-answers", 1)
		}
		if call != nil && call.hop && a.Result == routing.Completed && !a.NotModified {
			if a.Body, err = l.pool.Admission.Bodies.Allocate(ctx, a.BodyBytes); err != nil {
				return netconn.Shutdown, err
			}
			err = c.ReadFull(a.Body.Bytes)
		} else {
			err = c.Discard(a.BodyBytes)
		}
		if err == nil {
			if err = c.ReadFull(tail); err == nil && !bytes.Equal(tail, []byte(cacheproto.LineEnd)) {
				a.Body.Free()
				return netconn.ProtocolError, errStep
			}
		}
		if err != nil {
			a.Body.Free()
			return netconn.ClassifyError(err), err
		}
		c.FrameComplete()
		l.answered(call, a)
	}
}

// answered ends a call, unless it was undone since.
func (l *Connection) answered(call *Attempt, a cacheproto.Response) {
	if call == nil {
		return
	}
	l.mu.Lock()
	open := l.calls[call.id] == call
	if open {
		delete(l.calls, call.id)
		l.used = time.Now()
	}
	l.mu.Unlock()
	if !open {
		a.Body.Free()
		return
	}
	if a.IsProbeReply == call.hop { // an answer of the other kind: what it is about can't be known
		a.Body.Free()
		a.AttemptEnd = request.AttemptEnd{Result: routing.ServerError}
	}
	l.pool.OnEvent(AttemptEnded{call, a.AttemptEnd})
}
