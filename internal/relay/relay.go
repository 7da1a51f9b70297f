// Package relay brings answers to clients: at most one a txn, in any order, by one writer a connection.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
)

// Bounds of what waits for a reader that is slow.
const (
	Stall      = 5 * time.Second  // without a byte taken
	mostTime   = 10 * time.Second // for one answer, after its time limit
	mostQueued = 1024             // answers a connection
	lateLogged = 0.02             // s past the time limit from which a written answer is logged
)

// ErrSlow ends the connection of a client that does not read.
var ErrSlow = errors.New("too many answers wait")

// Outlet is the answering side of one client's connection.
type Outlet struct {
	book *telemetry.Metrics
	gate *admission.Controller

	mu      sync.Mutex
	open    map[uint32]*request.Request
	queue   []item
	closed  bool // takes no answers any more
	shut    bool // nothing is open, nothing more is said: the connection may end
	closing bool // the writer ends once nothing is open and all is written
	writing bool // the writer has something in hand that the socket has not taken
	wake    chan struct{}
}

type item struct {
	t    *request.Request // nil for what answers no txn
	head []byte
	body *request.Body
}

// New makes the outlet of a connection.
func New(b *telemetry.Metrics, g *admission.Controller) *Outlet {
	return &Outlet{book: b, gate: g, open: map[uint32]*request.Request{}, wake: make(chan struct{}, 1)}
}

func (o *Outlet) nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Open says that a txn was taken: from here on it is owed an answer.
func (o *Outlet) Open(t *request.Request) {
	o.book.RequestReceived(t.ClassName)
	o.mu.Lock()
	o.open[t.StreamID] = t
	o.mu.Unlock()
}

// Count is how many txns are open.
func (o *Outlet) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// Busy says whether a txn is open or something is not wholly written.
func (o *Outlet) Busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.busy()
}

func (o *Outlet) busy() bool { return len(o.open)+len(o.queue) > 0 || o.writing }

// Shut says whether nothing is open and all is written, and from then on takes nothing more to say: looking and ending
// are one step. It is called by the goroutine that opens txns, so none is opened after it.
func (o *Outlet) Shut() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shut = o.shut || !o.busy()
	return o.shut
}

// Answer gives a txn its final answer, unless it had one or its client left.
func (o *Outlet) Respond(t *request.Request, a request.Response) bool {
	o.mu.Lock()
	if o.closed || o.open[t.StreamID] != t {
		o.mu.Unlock()
		a.Body.Free()
		return false
	}
	delete(o.open, t.StreamID)
	o.queue = append(o.queue, item{t, clientproto.AppendResponse(nil, t.StreamID, a), a.Body})
	o.mu.Unlock()
	o.book.RequestAnswered(t.ClassName, a.Result.String(), a.Reason.String())
	o.nudge()
	return true
}

// Say writes a frame that answers no txn.
func (o *Outlet) Say(head []byte) {
	o.mu.Lock()
	if !o.closed && !o.shut {
		o.queue = append(o.queue, item{head: head})
	}
	o.mu.Unlock()
	o.nudge()
}

// Waits says whether an answer is not wholly written.
func (o *Outlet) Waits() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing || len(o.queue) > 0
}

// Full says that more waits to be written than any sound client leaves unread.
func (o *Outlet) Full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) > mostQueued
}

// Leave says that nobody waits for a stream any more. It returns its txn if that was open; an answer that
// nobody has begun to write is dropped. From here on no attempt of the txn begins.
func (o *Outlet) Leave(stream uint32, reason request.CancelReason) *request.Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.open[stream]
	if t != nil {
		delete(o.open, stream)
		o.left(t, reason)
		return t
	}
	for i, x := range o.queue {
		if x.t != nil && x.t.StreamID == stream {
			o.queue = append(o.queue[:i:i], o.queue[i+1:]...)
			x.body.Free()
			o.gate.RequestDone()
			break
		}
	}
	return nil
}

func (o *Outlet) left(t *request.Request, reason request.CancelReason) {
	t.Cancel()
	o.book.RequestCancelled(t.ClassName, reason.String())
	o.gate.RequestDone()
}

// Finish lets the writer end once nothing is open and all is written.
func (o *Outlet) Finish() {
	o.mu.Lock()
	o.closing = true
	o.mu.Unlock()
	o.nudge()
}

// Close ends the outlet and returns the txns that were still open.
func (o *Outlet) Close(reason request.CancelReason) []*request.Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	var out []*request.Request
	for _, t := range o.open {
		o.left(t, reason)
		out = append(out, t)
	}
	for _, x := range o.queue {
		o.drop(x)
	}
	o.open, o.queue = nil, nil
	return out
}

func (o *Outlet) drop(x item) {
	x.body.Free()
	if x.t != nil {
		o.gate.RequestDone()
	}
}

// next takes the next answer to write.
func (o *Outlet) next() (x item, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return x, false
	}
	x, o.writing = o.queue[0], true
	o.queue[0] = item{}
	if o.queue = o.queue[1:]; len(o.queue) == 0 {
		o.queue = nil
	}
	return x, true
}

// flushed says that the socket has taken all that was handed to it: whether more waits, and whether the writer ends.
func (o *Outlet) flushed() (more, end bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = len(o.queue) > 0
	end = o.closing && !o.busy()
	o.shut = o.shut || end
	return o.writing, end
}

// Run writes answers until the context ends, the socket fails, or all is written after Finish. Answers that wait
// together go out together: the ring is flushed when it is full or nothing more waits.
func (o *Outlet) Run(ctx context.Context, c *netconn.Conn) error {
	var unflushed []*request.Request
	defer func() {
		for range unflushed {
			o.gate.RequestDone()
		}
	}()
	for {
		x, ok := o.next()
		if ok {
			if x.t != nil {
				unflushed = append(unflushed, x.t)
			}
			if err := o.write(c, x); err != nil {
				return err
			}
			continue
		}
		if err := c.Flush(); err != nil {
			c.Close(netconn.ClassifyError(err), err)
			return err
		}
		for _, t := range unflushed {
			o.written(t)
		}
		unflushed = unflushed[:0]
		if more, end := o.flushed(); end {
			return nil
		} else if more {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		}
	}
}

// write brings one answer into the ring; its body counts until then.
func (o *Outlet) write(c *netconn.Conn, x item) error {
	defer x.body.Free()
	by := time.Now()
	if x.t != nil {
		if limit := time.UnixMicro(int64(x.t.Deadline * 1e6)); limit.After(by) {
			by = limit
		}
	}
	c.SetWriteDeadline(by.Add(mostTime))
	err := c.Write(x.head)
	if err == nil && x.body != nil {
		err = c.Write(x.body.Bytes)
	}
	if err != nil {
		c.Close(netconn.ClassifyError(err), err)
	}
	return err
}

// written books an answer that the socket has taken.
func (o *Outlet) written(t *request.Request) {
	o.gate.RequestDone()
	if t.Deadline == 0 {
		return
	}
	if late := float64(time.Now().UnixMicro())/1e6 - t.Deadline; late > 0 {
		o.book.Add("answers.after-limit", 1)
		if o.book.Max("answers.after-limit.most-us", int64(late*1e6)); late > lateLogged {
			o.book.Log.Warn("late answer", "txn", t.ID, "rule", t.ClassName, "by_s", late)
		}
	}
}
