// Package faultproxy relays datagrams and connections between processes on the loopback interface, and injects the
// network faults of a script.
//
// It runs a proxy for each link and records how much each process sent. It injects only faults of links; callers kill
// and stop processes themselves.
package faultproxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/sim/faults"
)

const (
	recordedSeconds = 3600   // seconds since the network's creation for which traffic is recorded
	faultStream     = 0x2e1a // stream of the random number generator
)

// Network has the links between processes. It injects no faults before StartScript is called.
type Network struct {
	createdAt time.Time
	sent      []*traffic // by sending process

	mu        sync.Mutex
	script    faults.Script
	startedAt time.Time // when the script was started
	rnd       *rand.Rand

	closed  chan struct{} // closed when the network is closed
	closing sync.Once
	proxies sync.WaitGroup // goroutines of the proxies, which Close waits for
}

// traffic counts what one process sent in each second since the network's creation.
type traffic struct {
	datagrams [recordedSeconds]atomic.Int64
	bytes     [recordedSeconds]atomic.Int64
}

// New returns a network between the given number of processes, whose random faults are derived from the seed.
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

// StartScript replaces the fault script. Times in the script count from now on, which is the returned time.
func (n *Network) StartScript(script faults.Script) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.script = script
	n.startedAt = time.Now()
	return n.startedAt
}

// currentLink returns the current state of a link. The caller must hold n.mu.
func (n *Network) currentLink(from, to int) faults.Link {
	return n.script.LinkAt(from, to, time.Since(n.startedAt).Seconds())
}

// deliver draws at random how one datagram is delivered: the delay of each copy, and whether it is corrupted. A lost
// datagram has no copies.
func (n *Network) deliver(from, to int) (delays []float64, corrupt bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentLink(from, to).Deliver(n.rnd)
}

// connectionState returns whether a link is cut for connections, and by how much it delays their bytes.
func (n *Network) connectionState(from, to int) (cut bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := n.currentLink(from, to)
	return link.Cut, seconds(link.DelaySeconds)
}

func (n *Network) secondsSinceStart() int { return int(time.Since(n.createdAt).Seconds()) }

// SentBetween returns how much a process sent in the seconds from first up to, but not including, last, counted from
// the network's creation.
func (n *Network) SentBetween(from, first, last int) (datagrams, bytes int64) {
	sent := n.sent[from]
	for second := max(first, 0); second < min(last, recordedSeconds); second++ {
		datagrams += sent.datagrams[second].Load()
		bytes += sent.bytes[second].Load()
	}
	return datagrams, bytes
}

// Close stops all proxies and waits for their goroutines. Further calls only wait.
func (n *Network) Close() {
	n.closing.Do(func() { close(n.closed) })
	n.proxies.Wait()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
