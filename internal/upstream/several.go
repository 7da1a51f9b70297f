package upstream

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// Members with several addresses: reach decides, and here it is carried out. A hop waits on one link from the moment
// that it is sent; the link may try several addresses for its connection, and not a byte of the hop is written before
// one is up.

// Dialed says how an attempt to connect ended.
type Dialed struct {
	Member string
	Addr   address.Addr
	Why    address.Why
	Took   float64
}

// errNowhere says that every address of a member rests.
var errNowhere = errors.New("every address rests")

func unix(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }

// reaches takes a member's addresses from the list.
func (p *Pool) reaches(row discovery.Endpoint, m *member) {
	m.started = row.StartedAt
	if p.Reach == nil {
		return
	}
	if m.gone {
		p.Reach.Gone(row.ID)
		return
	}
	list := []address.Addr{address.Addr(row.Address)}
	if more := p.Addrs(row); len(more) > 0 {
		list = more
	}
	p.Reach.List(unix(time.Now()), row.ID, row.StartedAt, list)
	m.several = p.Reach.Several(row.ID)
	listed := map[address.Addr]bool{}
	for _, a := range list {
		listed[a] = true
	}
	for _, l := range m.links {
		l.mu.Lock()
		if l.listed = listed; l.started != m.started {
			l.listed = map[address.Addr]bool{}
		}
		l.mu.Unlock()
	}
}

// Relist asks Addrs anew for every member.
func (p *Pool) Relist() {
	for _, m := range p.members {
		if !m.gone {
			p.reaches(m.row, m)
		}
	}
}

// over is the address of a link; empty while several are tried.
func (l *Link) over() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// current says whether new hops may still be written on a link: its address and the member's start are those of the list.
func (p *Pool) current(m *member, l *Link) bool {
	addr := l.over()
	if !m.several {
		return addr == m.addr
	}
	if l.started != m.started {
		return false
	}
	_, ok := p.Reach.Usable(unix(time.Now()), l.member, address.Addr(addr), true)
	return ok || addr == "" || p.rested(l.member, addr)
}

// rested says whether an address is listed, and only rests: its links may end by themselves.
func (p *Pool) rested(id, addr string) bool {
	for _, s := range p.Reach.States(unix(time.Now())) {
		if s.Member == id && string(s.Addr) == addr {
			return true
		}
	}
	return false
}

// over starts a call to a member with several addresses: on a link without others over the best address that may be
// used, else on a new one, else on one that is shared.
func (p *Pool) over(id string, m *member, c *Call, avoid []*Link) *Call {
	now := unix(time.Now())
	var best *Link
	least, first := p.Streams, 0
	for _, l := range m.links {
		n, ok := l.load()
		if !ok || n >= p.Streams || l.started != m.started || contains(avoid, l) {
			continue
		}
		rank, ok := len(m.links), true // one that is not up yet: behind those that are
		if addr := l.over(); addr != "" {
			rank, ok = p.Reach.Usable(now, id, address.Addr(addr), c.repeatable)
		}
		if ok && (best == nil || min(n, 1) < min(least, 1) || min(n, 1) == min(least, 1) && (rank < first || rank == first && n < least)) {
			best, least, first = l, n, rank
		}
	}
	use := func() *Call {
		if best == nil || !best.add(c) {
			return nil
		}
		if addr := best.over(); addr != "" {
			p.Reach.Sent(now, id, address.Addr(addr))
		}
		return c
	}
	if best != nil && least == 0 && use() != nil {
		return c
	}
	if (best != nil && len(m.links) >= p.Gate.MaxConnsPerEndpoint()) || !p.Gate.AdmitEndpointConn(best == nil) {
		return use()
	}
	l := p.link(id, m)
	l.plan = p.Reach.Plan(now, id, c.repeatable)
	l.add(c)
	if len(l.plan) > 0 && l.plan[0].After == 0 {
		p.Reach.Sent(now, id, l.plan[0].Addr)
	}
	p.run(m, l)
	return c
}

// dial makes a link's connection: over its one address, or over the one of several that comes up first.
func (l *Link) dial(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	addr, plan := l.addr, l.plan
	l.mu.Unlock()
	if addr != "" {
		ctx, cancel := context.WithTimeout(ctx, l.pool.Connect)
		defer cancel()
		return l.pool.Dial(ctx, addr)
	}
	return l.race(ctx, plan)
}

type result struct {
	i    int
	c    net.Conn
	err  error
	took time.Duration
}

// race tries a plan's addresses. Each attempt beside another has a descriptor of its own while it lasts.
func (l *Link) race(ctx context.Context, plan []address.Try) (net.Conn, error) {
	if len(plan) == 0 {
		return nil, errNowhere
	}
	p, began := l.pool, time.Now()
	r := address.NewRace(unix(began), plan, unix(began.Add(p.Connect)))
	results := make(chan result, len(plan))
	ctx, cancel := context.WithDeadline(ctx, began.Add(p.Connect))
	defer cancel()
	out := 0
	var last error
	won := false
	done := func(x result) bool {
		out--
		p.Post(Dialed{l.member, plan[x.i].Addr, l.why(x.err), x.took.Seconds()})
		if x.err == nil && l.allows(plan[x.i].Addr) && r.Up(x.i, unix(time.Now())) {
			won = true
			return true
		}
		if x.err == nil {
			_ = x.c.Close()
		} else {
			last = x.err
		}
		if r.Down(x.i); out > 0 { // the link itself holds a descriptor for one
			p.Gate.EndpointConnDone()
		}
		return false
	}
	defer func() { // the others: closed when they come up, and nothing is held against one that was called off
		own := !won // the link's own descriptor is one of theirs
		for range out {
			first := own
			own = false
			p.group.Go(func() error {
				if x := <-results; x.err == nil {
					p.Post(Dialed{l.member, plan[x.i].Addr, address.Well, x.took.Seconds()})
					_ = x.c.Close()
				} else if why := l.why(x.err); why == address.Hung && !won {
					p.Post(Dialed{l.member, plan[x.i].Addr, why, x.took.Seconds()})
				}
				if !first {
					p.Gate.EndpointConnDone()
				}
				return nil
			})
		}
	}()
	for {
		now := unix(time.Now())
		for i := r.Due(now, func() bool { return p.Gate.AdmitEndpointConn(false) }); i >= 0; i = r.Due(now, func() bool { return p.Gate.AdmitEndpointConn(false) }) {
			out++
			go func() {
				from := time.Now()
				c, err := p.Dial(ctx, string(plan[i].Addr))
				results <- result{i, c, err, time.Since(from)}
			}()
		}
		if r.Lost(now) {
			if last == nil {
				last = context.DeadlineExceeded
			}
			return nil, last
		}
		next := time.NewTimer(time.Duration(max(r.Next(now)-now, 0.0005) * float64(time.Second)))
		select {
		case x := <-results:
			if done(x) {
				next.Stop()
				l.mu.Lock()
				l.addr = string(plan[x.i].Addr)
				l.mu.Unlock()
				return x.c, nil
			}
		case <-next.C:
		}
		next.Stop()
	}
}

// why names what an attempt's error says of its address; a shortage of our own says nothing.
func (l *Link) why(err error) address.Why {
	switch {
	case err == nil:
		return address.Well
	case errors.Is(err, context.Canceled), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.ENOBUFS):
		return address.ByHand // not blamed; see Heard
	case errors.Is(err, context.DeadlineExceeded):
		return address.Hung
	}
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return address.Hung
	}
	return address.Refused
}

// allows says whether an address is still the member's.
func (l *Link) allows(a address.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed == nil || l.listed[a]
}

// Heard tells reach what came of attempts and calls; the loop that owns the pool hands it what was posted.
func (p *Pool) Heard(ev any) {
	if p.Reach == nil {
		return
	}
	now := unix(time.Now())
	switch ev := ev.(type) {
	case Dialed:
		if ev.Why != address.ByHand {
			p.Reach.Dialed(now, ev.Member, ev.Addr, ev.Why, ev.Took)
		}
	case Ended:
		l := ev.Call.link
		addr := address.Addr(l.over())
		if l.plan == nil || addr == "" {
			return
		}
		switch ev.End.Code {
		case routing.Completed, routing.ServerError, routing.Overloaded, routing.CacheMiss:
			p.Reach.Answered(now, l.member, addr, time.Since(ev.Call.written).Seconds())
		case routing.ConnectionBroken, routing.ConnectFailed:
			p.Reach.Broke(now, l.member, addr)
		}
	}
}

// Watch looks for links on which a hop waits in silence, and at addresses whose rest is over. It returns the hops whose
// address is silent while their member answers over another.
func (p *Pool) Watch(now time.Time) (stuck []*Call) {
	if p.Reach == nil {
		return nil
	}
	for id, m := range p.members {
		if !m.several || len(m.links) == 0 {
			continue
		}
		for _, l := range m.links {
			wait, addr, calls := l.waits(now)
			if wait == 0 || !p.Reach.Waits(unix(now), id, address.Addr(addr), wait.Seconds()) {
				continue
			}
			p.Book.Add("reach.silent", 1)
			for _, c := range calls {
				if p.Reach.Elsewhere(unix(now), id, address.Addr(addr), unix(c.written)) {
					stuck = append(stuck, c)
				}
			}
		}
	}
	linked := func(id string, a address.Addr) bool {
		for _, l := range p.members[id].links {
			if l.over() == string(a) {
				return true
			}
		}
		return false
	}
	for _, look := range p.Reach.Looks(unix(now), linked) {
		m := p.members[look.Member]
		if m == nil || !p.Gate.AdmitEndpointConn(false) {
			continue
		}
		p.Book.Add("reach.looks", 1)
		l := p.link(look.Member, m)
		l.plan = []address.Try{{Addr: look.Addr}}
		if look.Probe {
			p.checks++
			tag := "look" + strconv.Itoa(p.checks)
			l.add(&Call{id: tag, head: cacheproto.AppendProbe(nil, tag, false)})
		}
		p.run(m, l)
	}
	return stuck
}

// waits is how long a written hop has waited on a link on which nothing at all came since, and which hops do.
func (l *Link) waits(now time.Time) (longest time.Duration, addr string, calls []*Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil || l.dead {
		return 0, "", nil
	}
	heard := time.Unix(0, l.c.Heard())
	for _, c := range l.calls {
		if c.begun && heard.Before(c.written) {
			longest = max(longest, now.Sub(c.written))
			calls = append(calls, c)
		}
	}
	return longest, l.addr, calls
}
