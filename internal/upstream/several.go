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
type DialEnded struct {
	Endpoint string
	Addr     address.Addr
	Result   address.Condition
	Seconds  float64
}

// errNowhere says that every address of a member rests.
var errNowhere = errors.New("every address rests")

func unix(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }

// reaches takes a member's addresses from the list.
func (p *Pool) reaches(row discovery.Endpoint, m *member) {
	m.started = row.StartedAt
	if p.AddressSelector == nil {
		return
	}
	if m.gone {
		p.AddressSelector.RemoveEndpoint(string(row.ID))
		return
	}
	list := []address.Addr{address.Addr(row.Address)}
	if more := p.EndpointAddresses(row); len(more) > 0 {
		list = more
	}
	p.AddressSelector.SetAddresses(unix(time.Now()), string(row.ID), row.StartedAt, list)
	m.several = p.AddressSelector.HasAlternatives(string(row.ID))
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
func (p *Pool) RefreshAddresses() {
	for _, m := range p.members {
		if !m.gone {
			p.reaches(m.row, m)
		}
	}
}

// over is the address of a link; empty while several are tried.
func (l *Connection) over() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// current says whether new hops may still be written on a link: its address and the member's start are those of the list.
func (p *Pool) current(m *member, l *Connection) bool {
	addr := l.over()
	if !m.several {
		return addr == m.addr
	}
	if l.started != m.started {
		return false
	}
	_, ok := p.AddressSelector.Usable(unix(time.Now()), l.member, address.Addr(addr), true)
	return ok || addr == "" || p.rested(l.member, addr)
}

// rested says whether an address is listed, and only rests: its links may end by themselves.
func (p *Pool) rested(id, addr string) bool {
	for _, s := range p.AddressSelector.Status(unix(time.Now())) {
		if s.Endpoint == id && string(s.Addr) == addr {
			return true
		}
	}
	return false
}

// over starts a call to a member with several addresses: on a link without others over the best address that may be
// used, else on a new one, else on one that is shared.
func (p *Pool) over(id string, m *member, c *Attempt, avoid []*Connection) *Attempt {
	now := unix(time.Now())
	var best *Connection
	least, first := p.MaxAttemptsPerConnection, 0
	for _, l := range m.links {
		n, ok := l.load()
		if !ok || n >= p.MaxAttemptsPerConnection || l.started != m.started || contains(avoid, l) {
			continue
		}
		rank, ok := len(m.links), true // one that is not up yet: behind those that are
		if addr := l.over(); addr != "" {
			rank, ok = p.AddressSelector.Usable(now, id, address.Addr(addr), c.repeatable)
		}
		if ok && (best == nil || min(n, 1) < min(least, 1) || min(n, 1) == min(least, 1) && (rank < first || rank == first && n < least)) {
			best, least, first = l, n, rank
		}
	}
	use := func() *Attempt {
		if best == nil || !best.add(c) {
			return nil
		}
		if addr := best.over(); addr != "" {
			p.AddressSelector.AttemptSent(now, id, address.Addr(addr))
		}
		return c
	}
	if best != nil && least == 0 && use() != nil {
		return c
	}
	if (best != nil && len(m.links) >= p.Admission.MaxConnsPerEndpoint()) || !p.Admission.AdmitEndpointConn(best == nil) {
		return use()
	}
	l := p.link(id, m)
	l.plan = p.AddressSelector.Plan(now, id, c.repeatable)
	l.add(c)
	if len(l.plan) > 0 && l.plan[0].DelaySeconds == 0 {
		p.AddressSelector.AttemptSent(now, id, l.plan[0].Addr)
	}
	p.run(m, l)
	return c
}

// dial makes a link's connection: over its one address, or over the one of several that comes up first.
func (l *Connection) dial(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	addr, plan := l.addr, l.plan
	l.mu.Unlock()
	if addr != "" {
		ctx, cancel := context.WithTimeout(ctx, l.pool.ConnectTimeout)
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
func (l *Connection) race(ctx context.Context, plan []address.PlannedDial) (net.Conn, error) {
	if len(plan) == 0 {
		return nil, errNowhere
	}
	p, began := l.pool, time.Now()
	r := address.NewRace(unix(began), plan, unix(began.Add(p.ConnectTimeout)))
	results := make(chan result, len(plan))
	ctx, cancel := context.WithDeadline(ctx, began.Add(p.ConnectTimeout))
	defer cancel()
	out := 0
	var last error
	won := false
	done := func(x result) bool {
		out--
		p.OnEvent(DialEnded{l.member, plan[x.i].Addr, l.why(x.err), x.took.Seconds()})
		if x.err == nil && l.allows(plan[x.i].Addr) && r.Connected(x.i, unix(time.Now())) {
			won = true
			return true
		}
		if x.err == nil {
			_ = x.c.Close()
		} else {
			last = x.err
		}
		if r.Failed(x.i); out > 0 { // the link itself holds a descriptor for one
			p.Admission.EndpointConnDone()
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
					p.OnEvent(DialEnded{l.member, plan[x.i].Addr, address.Healthy, x.took.Seconds()})
					_ = x.c.Close()
				} else if why := l.why(x.err); why == address.TimedOut && !won {
					p.OnEvent(DialEnded{l.member, plan[x.i].Addr, why, x.took.Seconds()})
				}
				if !first {
					p.Admission.EndpointConnDone()
				}
				return nil
			})
		}
	}()
	for {
		now := unix(time.Now())
		for i := r.NextDial(now, func() bool { return p.Admission.AdmitEndpointConn(false) }); i >= 0; i = r.NextDial(now, func() bool { return p.Admission.AdmitEndpointConn(false) }) {
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
		next := time.NewTimer(time.Duration(max(r.NextDeadline(now)-now, 0.0005) * float64(time.Second)))
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
func (l *Connection) why(err error) address.Condition {
	switch {
	case err == nil:
		return address.Healthy
	case errors.Is(err, context.Canceled), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.ENOBUFS):
		return address.Disabled // not blamed; see Heard
	case errors.Is(err, context.DeadlineExceeded):
		return address.TimedOut
	}
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return address.TimedOut
	}
	return address.Refused
}

// allows says whether an address is still the member's.
func (l *Connection) allows(a address.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed == nil || l.listed[a]
}

// Heard tells reach what came of attempts and calls; the loop that owns the pool hands it what was posted.
func (p *Pool) HandleEvent(ev Event) {
	if p.AddressSelector == nil {
		return
	}
	now := unix(time.Now())
	switch ev := ev.(type) {
	case DialEnded:
		if ev.Result != address.Disabled {
			p.AddressSelector.DialEnded(now, ev.Endpoint, ev.Addr, ev.Result, ev.Seconds)
		}
	case AttemptEnded:
		l := ev.Attempt.link
		addr := address.Addr(l.over())
		if l.plan == nil || addr == "" {
			return
		}
		switch ev.End.Result {
		case routing.Completed, routing.ServerError, routing.Overloaded, routing.CacheMiss:
			p.AddressSelector.ResponseReceived(now, l.member, addr, time.Since(ev.Attempt.written).Seconds())
		case routing.ConnectionBroken, routing.ConnectFailed:
			p.AddressSelector.ConnectionBroken(now, l.member, addr)
		}
	}
}

// Watch looks for links on which a hop waits in silence, and at addresses whose rest is over. It returns the hops whose
// address is silent while their member answers over another.
func (p *Pool) CheckAddresses(now time.Time) (stuck []*Attempt) {
	if p.AddressSelector == nil {
		return nil
	}
	for id, m := range p.members {
		if !m.several || len(m.links) == 0 {
			continue
		}
		for _, l := range m.links {
			wait, addr, calls := l.waits(now)
			if wait == 0 || !p.AddressSelector.AwaitingResponse(unix(now), id, address.Addr(addr), wait.Seconds()) {
				continue
			}
			p.Telemetry.Add("reach.silent", 1)
			for _, c := range calls {
				if p.AddressSelector.ReachableElsewhere(unix(now), id, address.Addr(addr), unix(c.written)) {
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
	for _, look := range p.AddressSelector.DueProbes(unix(now), linked) {
		m := p.members[look.Endpoint]
		if m == nil || !p.Admission.AdmitEndpointConn(false) {
			continue
		}
		p.Telemetry.Add("reach.looks", 1)
		l := p.link(look.Endpoint, m)
		l.plan = []address.PlannedDial{{Addr: look.Addr}}
		if look.HealthCheck {
			p.checks++
			tag := "look" + strconv.Itoa(p.checks)
			l.add(&Attempt{id: tag, head: cacheproto.AppendProbe(nil, tag, false)})
		}
		p.run(m, l)
	}
	return stuck
}

// waits is how long a written hop has waited on a link on which nothing at all came since, and which hops do.
func (l *Connection) waits(now time.Time) (longest time.Duration, addr string, calls []*Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil || l.dead {
		return 0, "", nil
	}
	heard := time.Unix(0, l.c.LastReadUnixNano())
	for _, c := range l.calls {
		if c.begun && heard.Before(c.written) {
			longest = max(longest, now.Sub(c.written))
			calls = append(calls, c)
		}
	}
	return longest, l.addr, calls
}
