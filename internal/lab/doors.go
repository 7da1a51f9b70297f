package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/report"
	"cairnfront/routing"
)

// mode is how an address of a stand-in behaves.
type mode int32

const (
	good   mode = iota
	silent      // accepts, reads all, says nothing
	resets      // accepts and resets once something has come
	half        // sends half an answer and stops
	shut        // nobody listens
)

// door is one address of a stand-in member.
type door struct {
	m     *manyDoors
	addr  string // host:port or unix:PATH
	mode  mode
	ln    net.Listener
	conns map[net.Conn]bool
}

// manyDoors is a stand-in member with several addresses. It notes every hop: from when it had come whole until its end
// was written, it was given up, or its connection ended.
type manyDoors struct {
	id    string
	delay time.Duration
	body  func(cacheproto.Command) []byte
	fails func(a cacheproto.Command, n int) bool // whether the nth hop of a txn here fails; nil for never
	hung  atomic.Int64                           // connections that came while their address was silent

	mu    sync.Mutex
	doors []*door
	hops  []*hopSeen
	all   sync.WaitGroup
}

type hopSeen struct {
	id, rule, key string
	door          int
	from, to      float64 // to is 0 while it is out
	mode          mode
}

// newDoors makes a member on a Unix socket, IPv6 and IPv4, as far as the machine has them.
func newDoors(id, folder string, delay time.Duration) (*manyDoors, error) {
	m := &manyDoors{id: id, delay: delay}
	for _, addr := range []string{"unix:" + filepath.Join(folder, id+".sock"), "[::1]:0", "127.0.0.1:0"} {
		d := &door{m: m, addr: addr, conns: map[net.Conn]bool{}}
		if err := d.open(); err != nil {
			if strings.HasPrefix(addr, "[") { // a machine without IPv6
				continue
			}
			return nil, err
		}
		m.doors = append(m.doors, d)
	}
	return m, nil
}

func (d *door) open() error {
	network, target := "tcp", d.addr
	if path, ok := strings.CutPrefix(d.addr, "unix:"); ok {
		network, target = "unix", path
		_ = os.Remove(path)
	}
	ln, err := net.Listen(network, target)
	if err != nil {
		return err
	}
	if network == "tcp" {
		d.addr = ln.Addr().String()
	}
	d.ln = ln
	d.m.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d.m.all.Go(func() { d.serve(c) })
		}
	})
	return nil
}

// set changes how an address behaves from now on. One that is shut ends its connections; a silent one keeps them.
func (d *door) set(to mode) error {
	d.m.mu.Lock()
	was := d.mode
	d.mode = to
	if to == shut {
		_ = d.ln.Close()
		for c := range d.conns {
			_ = c.Close()
		}
	}
	d.m.mu.Unlock()
	if was == shut && to != shut {
		return d.open()
	}
	return nil
}

func (m *manyDoors) close() {
	for _, d := range m.doors {
		_ = d.set(shut)
	}
	m.all.Wait()
}

// used says whether a hop came over an address after a time.
func (m *manyDoors) used(d *door, after float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.hops {
		if m.doors[h.door] == d && h.from > after {
			return true
		}
	}
	return false
}

func (m *manyDoors) lookup(d *door) int {
	for i, x := range m.doors {
		if x == d {
			return i
		}
	}
	return -1
}

// serve speaks the members' lines.
func (d *door) serve(c net.Conn) {
	m := d.m
	m.mu.Lock()
	d.conns[c] = true
	if d.mode == silent {
		m.hung.Add(1)
	}
	m.mu.Unlock()
	open := map[string]*hopSeen{}
	var writing sync.Mutex
	end := func(id string) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		h := open[id]
		if h == nil {
			return false
		}
		delete(open, id)
		h.to = unix(time.Now())
		return true
	}
	defer func() {
		_ = c.Close()
		m.mu.Lock()
		delete(d.conns, c)
		for _, h := range open {
			h.to = unix(time.Now())
		}
		clear(open)
		m.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		a, err := cacheproto.ParseCommand([]byte(strings.TrimRight(text, "\r\n")))
		if err != nil {
			return
		}
		m.mu.Lock()
		now := d.mode
		m.mu.Unlock()
		switch a.Kind {
		case cacheproto.CommandCancel:
			end(a.ID)
			continue
		case cacheproto.CommandProbe, cacheproto.CommandProbeLoad:
			if now == good {
				writing.Lock()
				_, _ = c.Write(append(cacheproto.AppendProbeReply(nil, a.ID, true, ""), cacheproto.LineEnd...))
				writing.Unlock()
			}
			continue
		}
		if _, err := io.ReadFull(r, make([]byte, a.BodyBytes+len(cacheproto.LineEnd))); err != nil {
			return
		}
		h := &hopSeen{id: a.ID, rule: a.ClassName, key: a.IdempotencyKey, door: m.lookup(d), from: unix(time.Now()), mode: now}
		m.mu.Lock()
		m.hops = append(m.hops, h)
		open[a.ID] = h
		m.mu.Unlock()
		switch now {
		case silent, shut:
			continue
		case resets:
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		}
		time.AfterFunc(m.delay, func() {
			m.mu.Lock()
			n := 0
			for i := len(m.hops) - 1; i >= 0 && i > len(m.hops)-200; i-- {
				if m.hops[i].id == a.ID {
					n++
				}
			}
			m.mu.Unlock()
			if m.fails != nil && m.fails(a, n) {
				writing.Lock()
				defer writing.Unlock()
				if end(a.ID) {
					_, _ = c.Write(append(cacheproto.AppendAttemptReply(nil, a.ID, cacheproto.AttemptReply{Result: routing.ServerError}), cacheproto.LineEnd...))
				}
				return
			}
			body := m.body(a)
			out := cacheproto.AppendAttemptReply(nil, a.ID, cacheproto.AttemptReply{Result: routing.Completed, Detail: routing.CacheHit, ETag: "v1", OriginUnixMillis: time.Now().UnixMilli(), PurgeGroup: cacheproto.UnknownPurgeGroup, BodyBytes: len(body)})
			out = append(append(out, body...), cacheproto.LineEnd...)
			if now == half {
				out = out[:len(out)/2]
			}
			writing.Lock()
			defer writing.Unlock()
			if now == half || end(a.ID) {
				_, _ = c.Write(out)
			}
		})
	}
}

// readLag is how much later than another line, on another connection, a stand-in's goroutine may come to read one that
// was written before it, on a machine that has time: less is no overlap.
const readLag = 0.010

// lateness measures how late goroutines of this process come to run. A machine whose cores others use lets them wait
// tens of milliseconds, and what two of them saw can't be put in order more finely than that.
type lateness struct {
	mu   sync.Mutex
	most float64 // s
}

// watch measures until the context ends.
func (l *lateness) watch(ctx context.Context) {
	const step = time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(step)
		now := time.Now()
		l.mu.Lock()
		l.most = max(l.most, (now.Sub(last) - step).Seconds())
		l.mu.Unlock()
		last = now
	}
}

// lag is the time, s, within which two lines on two connections can't be put in order: one goroutine may have been as
// late as any was, and the other not at all, and each waits for a core and for a lock.
func (l *lateness) lag() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return readLag + 2*l.most
}

// overlaps counts txns of which two hops were out at the same time, and those of unrepeatable rules that came whole
// more than once.
func overlaps(members []*manyDoors, lag float64, unrepeatable map[string]bool) (overlapping, repeats int64, said []string) {
	byID := map[string][]*hopSeen{}
	for _, m := range members {
		m.mu.Lock()
		for _, h := range m.hops {
			byID[h.id] = append(byID[h.id], h)
		}
		m.mu.Unlock()
	}
	for _, id := range report.SortedKeys(byID) {
		list := byID[id]
		for i, a := range list {
			for _, b := range list[:i] {
				if (a.to == 0 || b.from < a.to-lag) && (b.to == 0 || a.from < b.to-lag) {
					overlapping++
					said = append(said, fmt.Sprintf("txn %s: two hops were out at the same time", id))
				}
			}
		}
		if unrepeatable[list[0].rule] && len(list) > 1 {
			repeats++
			said = append(said, fmt.Sprintf("unrepeatable txn %s came %d times", id, len(list)))
		}
	}
	return overlapping, repeats, said
}
