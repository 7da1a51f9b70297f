// Package relay stands between processes on loopback: each datagram and each connection from one to another passes it, and a
// fault script says what becomes of it. What it carried it records; that is what the laboratory judges by.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/sim/faults"
)

const (
	longest   = 64 << 10 // bytes of a datagram
	chunk     = 16 << 10 // bytes of a connection that pass at once
	lookEvery = 20 * time.Millisecond
)

// Net is the ways between processes. A script's clock starts with Play; before that all passes.
type Network struct {
	mu      sync.Mutex
	script  faults.Script
	began   time.Time
	rnd     *rand.Rand
	spoiled int64
	made    time.Time
	sent    []*traffic // by sender

	ctx  context.Context
	stop context.CancelFunc
	all  sync.WaitGroup
}

// traffic is what one sender put out, second by second since the net was made.
type traffic struct {
	datagrams, bytes [3600]atomic.Int64
}

// New makes the ways between so many processes.
func New(seed uint64, processes int) *Network {
	n := &Network{rnd: rand.New(rand.NewPCG(seed, 0x2e1a)), began: time.Now(), made: time.Now()}
	n.ctx, n.stop = context.WithCancel(context.Background())
	for range processes {
		n.sent = append(n.sent, &traffic{})
	}
	return n
}

// Play starts a script's clock.
func (n *Network) StartScript(s faults.Script) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.script, n.began = s, time.Now()
	return n.began
}

// fate is what becomes of one datagram now.
func (n *Network) fate(from, to int) (delays []float64, spoilt bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.script.LinkAt(from, to, time.Since(n.began).Seconds())
	delays, spoilt = w.Deliver(n.rnd)
	if spoilt {
		n.spoiled++
	}
	return delays, spoilt
}

func (n *Network) cut(from, to int) (bool, float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.script.LinkAt(from, to, time.Since(n.began).Seconds())
	return w.Cut, w.DelaySeconds
}

// Datagrams opens the way from one process to another, whose own address is given; what is sent to the address that comes
// back passes it.
func (n *Network) ForwardDatagrams(from, to int, at netip.AddrPort) (netip.AddrPort, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("a way from %d to %d: %w", from, to, err)
	}
	_ = c.SetReadBuffer(1 << 20)
	n.all.Go(func() { // ended by Close
		<-n.ctx.Done()
		_ = c.Close()
	})
	n.all.Go(func() {
		buf := make([]byte, longest)
		for {
			size, _, err := c.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue // nobody listens there just now
			}
			if s := int(time.Since(n.made).Seconds()); s < len(n.sent[from].bytes) {
				n.sent[from].datagrams[s].Add(1)
				n.sent[from].bytes[s].Add(int64(size))
			}
			delays, spoilt := n.fate(from, to)
			for _, d := range delays {
				text := append([]byte(nil), buf[:size]...)
				if spoilt && size > 0 {
					text[len(text)/2] ^= 0x10
				}
				if d <= 0 {
					_, _ = c.WriteToUDPAddrPort(text, at)
					continue
				}
				time.AfterFunc(time.Duration(d*float64(time.Second)), func() { _, _ = c.WriteToUDPAddrPort(text, at) })
			}
		}
	})
	return c.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// Stream opens a way for connections. While it is cut nothing passes and nothing is closed, as on a network; what waited
// passes afterwards, in its order.
func (n *Network) ForwardConnections(from, to int, at string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("a way from %d to %d: %w", from, to, err)
	}
	n.all.Go(func() {
		<-n.ctx.Done()
		_ = ln.Close()
	})
	n.all.Go(func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			n.all.Go(func() { n.carry(from, to, in, at) })
		}
	})
	return ln.Addr().String(), nil
}

func (n *Network) carry(from, to int, in net.Conn, at string) {
	defer in.Close()
	if !n.open(from, to) {
		return
	}
	var d net.Dialer
	out, err := d.DialContext(n.ctx, "tcp", at)
	if err != nil {
		return
	}
	defer out.Close()
	stop := context.AfterFunc(n.ctx, func() { _, _ = in.Close(), out.Close() })
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { n.pass(from, to, out, in) })
	both.Go(func() { n.pass(to, from, in, out) })
	both.Wait()
}

// open waits until a way is not cut; false once the net is closed.
func (n *Network) open(from, to int) bool {
	for {
		cut, _ := n.cut(from, to)
		if !cut {
			return true
		}
		select {
		case <-n.ctx.Done():
			return false
		case <-time.After(lookEvery):
		}
	}
}

func (n *Network) pass(from, to int, w, r net.Conn) {
	defer func() {
		if c, ok := w.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	}()
	buf := make([]byte, chunk)
	for {
		size, err := r.Read(buf)
		if size > 0 {
			if _, delay := n.cut(from, to); delay > 0 {
				select {
				case <-n.ctx.Done():
					return
				case <-time.After(time.Duration(delay * float64(time.Second))):
				}
			}
			if !n.open(from, to) {
				return
			}
			n.sent[from].bytes[min(int(time.Since(n.made).Seconds()), len(n.sent[from].bytes)-1)].Add(int64(size))
			if _, werr := w.Write(buf[:size]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = w.Close()
			}
			return
		}
	}
}

// Sent is what a process put out in some seconds since the net was made.
func (n *Network) SentBetween(from, first, last int) (datagrams, bytes int64) {
	t := n.sent[from]
	for s := max(first, 0); s < min(last, len(t.bytes)); s++ {
		datagrams += t.datagrams[s].Load()
		bytes += t.bytes[s].Load()
	}
	return datagrams, bytes
}

// Close ends all ways.
func (n *Network) Close() {
	n.stop()
	n.all.Wait()
}
