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

// addressMode is how an address of a stand-in behaves.
type addressMode int32

const (
	healthy      addressMode = iota
	unresponsive             // accepts, reads all, says nothing
	resetting                // accepts and resets once something has come
	truncating               // sends half an answer and stops
	closed                   // nobody listens
)

// standInAddress is one address of a stand-in endpoint.
type standInAddress struct {
	standIn  *endpointStandIn
	addr     string // host:port or unix:PATH
	mode     addressMode
	listener net.Listener
	conns    map[net.Conn]bool
}

// endpointStandIn is a stand-in endpoint with several addresses. It notes every attempt: from when it had come
// whole until its end
// was written, it was given up, or its connection ended.
type endpointStandIn struct {
	id    string
	delay time.Duration
	body  func(cacheproto.Command) []byte
	// whether the nth attempt of a request here fails; nil for never
	failAttempt     func(a cacheproto.Command, n int) bool
	hungConnections atomic.Int64 // connections that came while their address was silent

	mu        sync.Mutex
	addresses []*standInAddress
	attempts  []*attemptRecord
	workers   sync.WaitGroup
}

type attemptRecord struct {
	id, class, key     string
	address            int
	startedAt, endedAt float64 // to is 0 while it is out
	mode               addressMode
}

// newEndpointStandIn makes a member on a Unix socket, IPv6 and IPv4, as far as the machine has them.
func newEndpointStandIn(id, folder string, delay time.Duration) (*endpointStandIn, error) {
	standIn := &endpointStandIn{id: id, delay: delay}
	for _, addr := range []string{"unix:" + filepath.Join(folder, id+".sock"), "[::1]:0", "127.0.0.1:0"} {
		address := &standInAddress{standIn: standIn, addr: addr, conns: map[net.Conn]bool{}}
		if err := address.listen(); err != nil {
			if strings.HasPrefix(addr, "[") { // a machine without IPv6
				continue
			}
			return nil, err
		}
		standIn.addresses = append(standIn.addresses, address)
	}
	return standIn, nil
}

func (address *standInAddress) listen() error {
	network, target := "tcp", address.addr
	if path, ok := strings.CutPrefix(address.addr, "unix:"); ok {
		network, target = "unix", path
		_ = os.Remove(path)
	}
	ln, err := net.Listen(network, target)
	if err != nil {
		return err
	}
	if network == "tcp" {
		address.addr = ln.Addr().String()
	}
	address.listener = ln
	address.standIn.workers.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			address.standIn.workers.Go(func() { address.serve(c) })
		}
	})
	return nil
}

// setMode changes how an address behaves from now on. One that is shut ends its connections; a silent one keeps them.
func (address *standInAddress) setMode(to addressMode) error {
	address.standIn.mu.Lock()
	was := address.mode
	address.mode = to
	if to == closed {
		_ = address.listener.Close()
		for c := range address.conns {
			_ = c.Close()
		}
	}
	address.standIn.mu.Unlock()
	if was == closed && to != closed {
		return address.listen()
	}
	return nil
}

func (standIn *endpointStandIn) close() {
	for _, address := range standIn.addresses {
		_ = address.setMode(closed)
	}
	standIn.workers.Wait()
}

// usedAfter says whether an attempt came over an address after a time.
func (standIn *endpointStandIn) usedAfter(address *standInAddress, after float64) bool {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	for _, attempt := range standIn.attempts {
		if standIn.addresses[attempt.address] == address && attempt.startedAt > after {
			return true
		}
	}
	return false
}

func (standIn *endpointStandIn) indexOf(address *standInAddress) int {
	for i, x := range standIn.addresses {
		if x == address {
			return i
		}
	}
	return -1
}

// serve speaks the members' lines.
func (address *standInAddress) serve(c net.Conn) {
	standIn := address.standIn
	standIn.mu.Lock()
	address.conns[c] = true
	if address.mode == unresponsive {
		standIn.hungConnections.Add(1)
	}
	standIn.mu.Unlock()
	open := map[string]*attemptRecord{}
	var writing sync.Mutex
	end := func(id string) bool {
		standIn.mu.Lock()
		defer standIn.mu.Unlock()
		attempt := open[id]
		if attempt == nil {
			return false
		}
		delete(open, id)
		attempt.endedAt = unixSeconds(time.Now())
		return true
	}
	defer func() {
		_ = c.Close()
		standIn.mu.Lock()
		delete(address.conns, c)
		for _, attempt := range open {
			attempt.endedAt = unixSeconds(time.Now())
		}
		clear(open)
		standIn.mu.Unlock()
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
		standIn.mu.Lock()
		now := address.mode
		standIn.mu.Unlock()
		switch a.Kind {
		case cacheproto.CommandCancel:
			end(a.ID)
			continue
		case cacheproto.CommandProbe, cacheproto.CommandProbeLoad:
			if now == healthy {
				writing.Lock()
				_, _ = c.Write(append(cacheproto.AppendProbeReply(nil, a.ID, true, ""), cacheproto.LineEnd...))
				writing.Unlock()
			}
			continue
		}
		if _, err := io.ReadFull(r, make([]byte, a.BodyBytes+len(cacheproto.LineEnd))); err != nil {
			return
		}
		attempt := &attemptRecord{
			id:        a.ID,
			class:     a.ClassName,
			key:       a.IdempotencyKey,
			address:   standIn.indexOf(address),
			startedAt: unixSeconds(time.Now()),
			mode:      now,
		}
		standIn.mu.Lock()
		standIn.attempts = append(standIn.attempts, attempt)
		open[a.ID] = attempt
		standIn.mu.Unlock()
		switch now {
		case unresponsive, closed:
			continue
		case resetting:
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		}
		time.AfterFunc(standIn.delay, func() {
			standIn.mu.Lock()
			n := 0
			for i := len(standIn.attempts) - 1; i >= 0 && i > len(standIn.attempts)-200; i-- {
				if standIn.attempts[i].id == a.ID {
					n++
				}
			}
			standIn.mu.Unlock()
			if standIn.failAttempt != nil && standIn.failAttempt(a, n) {
				writing.Lock()
				defer writing.Unlock()
				if end(a.ID) {
					_, _ = c.Write(append(cacheproto.AppendAttemptReply(
						nil,
						a.ID,
						cacheproto.AttemptReply{Result: routing.ServerError},
					), cacheproto.LineEnd...))
				}
				return
			}
			body := standIn.body(a)
			out := cacheproto.AppendAttemptReply(
				nil,
				a.ID,
				cacheproto.AttemptReply{
					Result:           routing.Completed,
					Detail:           routing.CacheHit,
					ETag:             "v1",
					OriginUnixMillis: time.Now().UnixMilli(),
					PurgeGroup:       cacheproto.UnknownPurgeGroup,
					BodyBytes:        len(body),
				},
			)
			out = append(append(out, body...), cacheproto.LineEnd...)
			if now == truncating {
				out = out[:len(out)/2]
			}
			writing.Lock()
			defer writing.Unlock()
			if now == truncating || end(a.ID) {
				_, _ = c.Write(out)
			}
		})
	}
}

// minOrderingMargin is how much later than another line, on another connection, a stand-in's goroutine may come to
// read one that
// was written before it, on a machine that has time: less is no overlap.
const minOrderingMargin = 0.010

// schedulingDelay measures how late goroutines of this process come to run. A machine whose cores others use lets
// them wait
// tens of milliseconds, and what two of them saw can't be put in order more finely than that.
type schedulingDelay struct {
	mu         sync.Mutex
	maxSeconds float64 // s
}

// watch measures until the context ends.
func (delay *schedulingDelay) watch(ctx context.Context) {
	const step = time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(step)
		now := time.Now()
		delay.mu.Lock()
		delay.maxSeconds = max(delay.maxSeconds, (now.Sub(last) - step).Seconds())
		delay.mu.Unlock()
		last = now
	}
}

// orderingMargin is the time, s, within which two lines on two connections can't be put in order: one goroutine may
// have been as
// late as any was, and the other not at all, and each waits for a core and for a lock.
func (delay *schedulingDelay) orderingMargin() float64 {
	delay.mu.Lock()
	defer delay.mu.Unlock()
	return minOrderingMargin + 2*delay.maxSeconds
}

// findOverlappingAttempts counts requests of which two attempts were out at the same time, and those of
// non-idempotent rules that came whole
// more than once.
func findOverlappingAttempts(
	members []*endpointStandIn, lag float64, unrepeatable map[string]bool,
) (overlapping, repeats int64, said []string) {
	byID := map[string][]*attemptRecord{}
	for _, standIn := range members {
		standIn.mu.Lock()
		for _, attempt := range standIn.attempts {
			byID[attempt.id] = append(byID[attempt.id], attempt)
		}
		standIn.mu.Unlock()
	}
	for _, id := range report.SortedKeys(byID) {
		list := byID[id]
		for i, a := range list {
			for _, b := range list[:i] {
				if (a.endedAt == 0 || b.startedAt < a.endedAt-lag) && (b.endedAt == 0 || a.startedAt < b.endedAt-lag) {
					overlapping++
					said = append(said, fmt.Sprintf("txn %s: two hops were out at the same time", id))
				}
			}
		}
		if unrepeatable[list[0].class] && len(list) > 1 {
			repeats++
			said = append(said, fmt.Sprintf("unrepeatable txn %s came %d times", id, len(list)))
		}
	}
	return overlapping, repeats, said
}
