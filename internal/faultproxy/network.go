// Package faultproxy carries datagrams and connections between processes on loopback, with the faults that a script
// asks for.
//
// It owns a proxy for each link and the record of what each process sent. It carries out the faults of links alone:
// processes are killed and stopped by its callers.
package faultproxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/sim/faults"
)

const (
	recordedSeconds = 3600   // of traffic, from the network's start
	faultStream     = 0x2e1a // stream of randomness
)

// Network is the links between processes. Everything passes until StartScript.
type Network struct {
	createdAt time.Time
	sent      []*traffic // by sender

	mu        sync.Mutex
	script    faults.Script
	startedAt time.Time // of the script
	rnd       *rand.Rand

	closed  chan struct{} // closed by Close
	closing sync.Once
	all     sync.WaitGroup // the goroutines of the proxies; Close waits for them
}

// traffic is what one process sent, by second since the network's start.
type traffic struct {
	datagrams [recordedSeconds]atomic.Int64
	bytes     [recordedSeconds]atomic.Int64
}

// New returns a network between so many processes, which draws from a seed.
func New(seed uint64, processes int) *Network {
	now := time.Now()
	n := &Network{
		createdAt: now,
		startedAt: now,
		rnd:       rand.New(rand.NewPCG(seed, faultStream)),
		closed:    make(chan struct{}),
	}
	for range processes {
		n.sent = append(n.sent, &traffic{})
	}
	return n
}

// StartScript replaces the script, starts its clock and returns the time of the start.
func (n *Network) StartScript(script faults.Script) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.script = script
	n.startedAt = time.Now()
	return n.startedAt
}

// linkNow is the state of a link. The caller holds the lock.
func (n *Network) linkNow(from, to int) faults.Link {
	return n.script.LinkAt(from, to, time.Since(n.startedAt).Seconds())
}

// deliver draws how one datagram is delivered.
func (n *Network) deliver(from, to int) (delays []float64, corrupt bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkNow(from, to).Deliver(n.rnd)
}

// connectionState is what a link does to connections.
func (n *Network) connectionState(from, to int) (cut bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := n.linkNow(from, to)
	return link.Cut, seconds(link.DelaySeconds)
}

func (n *Network) secondsSinceStart() int { return int(time.Since(n.createdAt).Seconds()) }

// SentBetween is what a process sent from one second to before another, counted from the network's start.
func (n *Network) SentBetween(from, first, last int) (datagrams, bytes int64) {
	sent := n.sent[from]
	for second := max(first, 0); second < min(last, recordedSeconds); second++ {
		datagrams += sent.datagrams[second].Load()
		bytes += sent.bytes[second].Load()
	}
	return datagrams, bytes
}

// Close ends all proxies and waits for their goroutines. Further calls only wait.
func (n *Network) Close() {
	n.closing.Do(func() { close(n.closed) })
	n.all.Wait()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
