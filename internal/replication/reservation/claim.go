// Package claim decides what a router has to know before which hop: a keyed txn's hop goes out once the ledger holds where it
// may run, or goes by what the ledger tells of earlier ones. A txn that is not keyed never comes here. No I/O, no clock: what is
// asked of the ledger goes out as actions, and how it ended comes back as events. The decision loop never waits for it.
//
// Rule 2 is kept by each router alone, for its own hops; this adds what other routers' hops may have done.
package reservation

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"cairnfront/internal/replication/statemachine"
)

// Terms are what an installation may change.
type Config struct {
	MaxPending             int  // claims that may wait for an answer
	ProceedWhenUnavailable bool // go on without the ledger where it can't be reached; the price is that an order may run twice if a machine is lost
}

// Tuned values, with unit and reason.
const (
	askAgain             = 0.25  // s without an answer after which a claim is asked again elsewhere: an election takes 0.3 to 1.5 s
	askMost              = 1.0   // s between two askings at most
	enough               = 0.15  // s of a txn's time that must be left for its hop: with less the claim has come to nothing
	minRetryAfterSeconds = 0.5   // s that a client is told to stay away where the ledger can't be reached: an election
	maxRetryAfterSeconds = 2.0   // s
	givenMost            = 4096  // claims given up whose answer may still come, 100 bytes each
	doneMost             = 65536 // keys whose end is remembered, 120 bytes each: what is known is not asked again
	keepFresh            = 2.0   // s for which an own grant speaks for a further hop of the same txn
)

// Want is a hop that the decisions want to send.
type Attempt struct {
	RequestID      string
	Index          int
	Key, Group     string
	WindowSeconds  float64 // s for which its group drops a repeat
	Deadline       float64 // clock time of the txn's end
	PriorityWeight float64
}

// Ask goes to the ledger; its answer comes back by its number, or not at all.
type SubmitCommand struct {
	Number  uint64
	Command statemachine.Command
	Retry   int // which time, from 0: later ones go to another holder
}

// Go lets a hop out. Deny ends it without: it surely did not run. Known tells the decisions where the txn's key was before, which
// is a fact like an earlier hop of their own.
type (
	AllowAttempt struct {
		RequestID string
		Index     int
	}
	DenyAttempt struct {
		RequestID string
		Index     int
	}
	ReportLocation struct {
		RequestID string
		Group     string
		ExpiresAt float64 // clock time at which the group's window is over
		Completed bool    // it ran, and was answered
	}
	// Reject is for a txn whose hop was denied because nothing could be known in time: nothing ran, and so it may be said.
	RejectRequest struct {
		RequestID         string
		RetryAfterSeconds float64 // s to stay away
		Reason            string
	}
)

// Action is one of Ask, Go, Deny, Known and Reject.
type Action any

// waiting is a claim that is out. 300 bytes with its command.
type waiting struct {
	Attempt
	no   uint64
	at   float64 // of the last asking
	next float64
	try  int
	hops []hop // that wait for it: of its txn, and of others with its key and group
}

type hop struct {
	txn   string
	no    int
	limit float64
}

type group struct{ key, group string }

type done struct {
	group string
	until float64
	ended bool
	no    uint64 // of the own claim; 0: somebody else's
	at    float64
	users []string // txns whose hops went on the own claim and that have not ended as surely not run
}

// Core is one router's. It belongs to one goroutine.
type Core struct {
	config Config
	name   string
	rnd    *rand.Rand
	no     uint64
	can    bool // the standing lets it grant, and a holder is there to be asked

	pending map[uint64]*waiting
	byKey   map[string]*waiting // one claim a key at a time: later hops follow it
	given   map[uint64]group    // claims given up without an answer: one that is granted after all is settled as harmless
	known   map[string]done
	order   []string // of known, oldest first

	out []Action
	// Counts for operators.
	Granted, AlreadyReserved, Denied, Shed, Expired int
}

// New makes a router's claims. Start makes its numbers differ from those of earlier lives.
func New(t Config, name string, seed, start uint64) *Core {
	return &Core{config: t, name: name, rnd: rand.New(rand.NewPCG(seed, 0xc1a1)), no: start << 20, pending: map[uint64]*waiting{}, byKey: map[string]*waiting{},
		given: map[uint64]group{}, known: map[string]done{}}
}

func (c *Core) emit() []Action {
	out := c.out
	c.out = nil
	return out
}

// Reach says whether the ledger can be asked: the standing allows it, and holders are there.
func (c *Core) SetReachable(now float64, can bool) []Action {
	if c.can == can {
		return nil
	}
	if c.can = can; can {
		for _, w := range c.inOrder() {
			c.ask(now, w)
		}
	}
	return c.emit()
}

func (c *Core) inOrder() []*waiting {
	list := make([]*waiting, 0, len(c.pending))
	for _, w := range c.pending {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *waiting) int { return cmp.Compare(a.no, b.no) })
	return list
}

// Hop takes a hop that the decisions want to send, and says at once whether it may go, or later.
func (c *Core) RequestAttempt(now float64, w Attempt) []Action {
	if d, ok := c.known[w.Key]; ok && now < d.until {
		switch {
		case d.ended || d.group != w.Group:
			c.deny(w.RequestID, w.Index)
			c.out = append(c.out, ReportLocation{w.RequestID, d.group, d.until, d.ended})
			return c.emit()
		case d.no != 0 && now < d.at+keepFresh: // granted to this router just now: a further hop into the same group
			c.use(w.Key, d, w.RequestID)
			c.out = append(c.out, AllowAttempt{w.RequestID, w.Index})
			return c.emit()
		}
	}
	if x := c.byKey[w.Key]; x != nil {
		if x.Group == w.Group {
			x.hops = append(x.hops, hop{w.RequestID, w.Index, w.Deadline})
		} else { // a second try of the same key here while the first is being claimed is told where that goes
			c.deny(w.RequestID, w.Index)
			c.out = append(c.out, ReportLocation{w.RequestID, x.Group, now + x.WindowSeconds, false})
		}
		return c.emit()
	}
	if !c.can {
		if c.config.ProceedWhenUnavailable {
			c.out = append(c.out, AllowAttempt{w.RequestID, w.Index})
		} else {
			c.reject(w.RequestID, w.Index, "the ledger can't be reached")
		}
		return c.emit()
	}
	if now+enough > w.Deadline {
		c.reject(w.RequestID, w.Index, "too little time for a claim")
		return c.emit()
	}
	c.no++
	x := &waiting{Attempt: w, no: c.no, hops: []hop{{w.RequestID, w.Index, w.Deadline}}}
	if len(c.pending) >= c.config.MaxPending && !c.shed(x) {
		return c.emit()
	}
	c.pending[x.no], c.byKey[w.Key] = x, x
	c.ask(now, x)
	return c.emit()
}

// shed makes room for a claim by giving up one of less importance, the youngest of them, or refuses it.
func (c *Core) shed(x *waiting) bool {
	var least *waiting
	for _, w := range c.pending {
		if least == nil || w.PriorityWeight < least.PriorityWeight || w.PriorityWeight == least.PriorityWeight && w.no > least.no {
			least = w
		}
	}
	c.Shed++
	if least == nil || least.PriorityWeight >= x.PriorityWeight {
		c.reject(x.RequestID, x.Index, "too many claims wait")
		return false
	}
	c.giveUp(least, "claims of more importance wait")
	return true
}

func (c *Core) drop(w *waiting) {
	delete(c.pending, w.no)
	if c.byKey[w.Key] == w {
		delete(c.byKey, w.Key)
	}
}

func (c *Core) deny(txn string, hop int) {
	c.Denied++
	c.out = append(c.out, DenyAttempt{txn, hop})
}

func (c *Core) reject(txn string, hop int, why string) {
	c.deny(txn, hop)
	c.out = append(c.out, RejectRequest{txn, minRetryAfterSeconds + (maxRetryAfterSeconds-minRetryAfterSeconds)*c.rnd.Float64(), why})
}

// giveUp ends a claim whose answer was not had: its hops never went, so their txns may be rejected.
func (c *Core) giveUp(w *waiting, why string) {
	c.drop(w)
	if len(c.given) >= givenMost {
		clear(c.given) // their whereabouts stay to the windows' ends
	}
	c.given[w.no] = group{w.Key, w.Group}
	c.refuse(w.hops, why)
}

func (c *Core) refuse(hops []hop, why string) {
	told := map[string]bool{}
	for _, h := range hops {
		c.deny(h.txn, h.no)
		if !told[h.txn] {
			told[h.txn] = true
			c.out = append(c.out, RejectRequest{h.txn, minRetryAfterSeconds + (maxRetryAfterSeconds-minRetryAfterSeconds)*c.rnd.Float64(), why})
		}
	}
}

// ask puts a claim to the ledger. Asked again it is the same command, which is carried out once.
func (c *Core) ask(now float64, w *waiting) {
	wait := min(askAgain*float64(int(1)<<min(w.try, 4)), askMost)
	w.at, w.next = now, now+wait*(0.75+0.5*c.rnd.Float64())
	c.out = append(c.out, SubmitCommand{Number: w.no, Retry: w.try, Command: statemachine.Command{Op: statemachine.OpReserve, Key: w.Key, Group: w.Group, LifetimeSeconds: w.WindowSeconds, Requester: c.name, RequestNumber: w.no}})
	w.try++
}

// Answered is what the ledger said to a claim. Answers to one that was asked twice come twice.
func (c *Core) HandleResult(now float64, no uint64, r statemachine.Result) []Action {
	w := c.pending[no]
	if w == nil {
		if g, ok := c.given[no]; ok && r.Granted { // nothing went on it, and nothing will
			delete(c.given, no)
			c.settle(g.key, g.group, no, statemachine.StatusNotExecuted)
		}
		return c.emit()
	}
	c.drop(w)
	p := r.Reservation
	left := max(r.RemainingSeconds, 0) // of the window, by the leader's clock when it looked: no other clock counts
	if !r.Granted {
		c.AlreadyReserved++
		ended := p.Status == statemachine.StatusCompleted
		c.remember(w.Key, done{group: p.Group, until: now + left + statemachine.RetentionSeconds, ended: ended, at: now})
		told := map[string]bool{}
		for _, h := range w.hops {
			c.deny(h.txn, h.no)
			if !told[h.txn] {
				told[h.txn] = true
				c.out = append(c.out, ReportLocation{h.txn, p.Group, now + left, ended})
			}
		}
		return c.emit()
	}
	var late []hop
	d := done{group: w.Group, until: now + left, no: w.no, at: now}
	for _, h := range w.hops {
		if now+enough > h.limit {
			late = append(late, h)
			continue
		}
		if !slices.Contains(d.users, h.txn) {
			d.users = append(d.users, h.txn)
		}
		c.out = append(c.out, AllowAttempt{h.txn, h.no})
	}
	c.refuse(late, "the ledger answered too late")
	if len(d.users) == 0 {
		c.Expired++
		c.settle(w.Key, w.Group, w.no, statemachine.StatusNotExecuted)
		return c.emit()
	}
	c.Granted++
	c.remember(w.Key, d)
	return c.emit()
}

func (c *Core) use(key string, d done, txn string) {
	if !slices.Contains(d.users, txn) {
		d.users = append(slices.Clip(d.users), txn)
		c.known[key] = d
	}
}

func (c *Core) settle(key, group string, no uint64, state uint8) {
	c.out = append(c.out, SubmitCommand{Command: statemachine.Command{Op: statemachine.OpSettle, Key: key, Group: group, Status: state, Requester: c.name, RequestNumber: no}})
}

// Ended takes how a keyed txn ended: completed, or with every hop that was let out surely not run.
func (c *Core) RequestEnded(now float64, txn, key string, completed, surelyNotRun bool) []Action {
	if w := c.byKey[key]; w != nil { // its client has gone, or it was given up: none of its hops is to go any more
		w.hops = slices.DeleteFunc(w.hops, func(h hop) bool { return h.txn == txn })
		if len(w.hops) == 0 {
			c.giveUp(w, "")
		}
	}
	d, ok := c.known[key]
	if !ok || d.no == 0 {
		return c.emit()
	}
	switch {
	case completed:
		d.ended = true
		c.known[key] = d
		c.settle(key, d.group, d.no, statemachine.StatusCompleted)
	case surelyNotRun:
		d.users = slices.DeleteFunc(slices.Clone(d.users), func(u string) bool { return u == txn })
		if c.known[key] = d; len(d.users) > 0 {
			break // another txn's hop went on the same claim
		}
		delete(c.known, key)
		c.settle(key, d.group, d.no, statemachine.StatusNotExecuted)
	}
	return c.emit()
}

func (c *Core) remember(key string, d done) {
	if _, ok := c.known[key]; !ok {
		if len(c.order) >= doneMost {
			delete(c.known, c.order[0])
			c.order = c.order[1:]
		}
		c.order = append(c.order, key)
	}
	c.known[key] = d
}

// Tick asks again what was not answered, and gives up what has no time left.
func (c *Core) Tick(now float64) []Action {
	for _, w := range c.inOrder() {
		switch {
		case now+enough > w.Deadline:
			c.Expired++
			c.giveUp(w, "the ledger did not answer in time")
		case now >= w.next && c.can:
			c.ask(now, w)
		}
	}
	return c.emit()
}

// Next is when a tick is wanted, 0 for none.
func (c *Core) NextTick() (at float64) {
	for _, w := range c.pending {
		for _, t := range []float64{w.next, w.Deadline - enough} {
			if at == 0 || t < at {
				at = t
			}
		}
	}
	return at
}

// Waiting is how many claims are out.
func (c *Core) PendingCount() int { return len(c.pending) }
