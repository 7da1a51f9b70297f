// Package admit owns what the router may hold: memory, descriptors, open txns; and whether it is ready or ends.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/request"
)

// Parts of the limits that each use gets. These are resources, not decisions: past them the answer is no.
const (
	bodyShare         = 0.35     // of memory for gathered bodies
	fullShare         = 0.9      // of the bodies' budget past which no txn is let in
	txnShare          = 0.1      // of memory for what is kept of open txns
	txnBytes          = 8 << 10  // kept of one: the txn, its hops, its timers
	heapShare         = 0.7      // of memory as the runtime's soft limit; the rest is stacks, the program, swings
	clientShare       = 0.45     // of descriptors for clients, who hold a third at most and overlap when they close
	memberShare       = 0.4      // of descriptors for members
	oneShare          = 0.25     // of those for one member with several addresses: a bad one must not take the others' place
	easyShare         = 0.75     // of those for connections that spare a hop from sharing one; the rest is for members without any
	GCPercent         = 400      // heap growth between collections: what is kept is small, the soft limit holds all the same
	ClientRingBytes   = 16 << 10 // bytes of each ring of a client's connection
	EndpointRingBytes = 16 << 10 // bytes of each ring of a member's connection
	megabyte          = 1 << 20  //
	tellShare         = 0.06     // of descriptors for clients over the limit, who are told so before they are closed
)

// Gate lets in what fits.
type Controller struct {
	Bodies *request.BodyBudget
	full   int64

	mostTxns, mostClients, mostMembers, tellBeyond int64

	txns, clients, members atomic.Int64
	ready, stopping        atomic.Bool

	mu   sync.Mutex
	idle chan struct{} // closed when the last txn is done, while somebody waits
}

// New divides the limits.
func New(memoryMB, sockets int) *Controller {
	memory := float64(memoryMB) * megabyte
	bodies := int64(bodyShare * memory)
	return &Controller{Bodies: request.NewBodyBudget(bodies), full: int64(fullShare * float64(bodies)),
		mostTxns: int64(txnShare * memory / txnBytes), mostClients: int64(clientShare * float64(sockets)),
		mostMembers: int64(memberShare * float64(sockets)), tellBeyond: int64(tellShare * float64(sockets))}
}

// HeapLimit is the runtime's soft limit in bytes.
func HeapLimitBytes(memoryMB int) int64 { return int64(heapShare * float64(memoryMB) * megabyte) }

// Full says that the bodies' budget is nearly spent.
func (g *Controller) BodiesNearlyFull() bool { return g.Bodies.UsedBytes() > g.full }

// Txn lets a txn in, or names what there is too much of. Its own bytes, which the budget holds already, do not count: one
// with a large body is let in as often as one with none. Each one let in ends with TxnDone.
func (g *Controller) AdmitRequest(own int) request.Reason {
	if g.Bodies.UsedBytes()-int64(own) > g.full {
		return request.ReasonMemoryShort
	}
	if g.txns.Add(1) > g.mostTxns {
		g.RequestDone()
		return request.ReasonTooManyRequests
	}
	return request.ReasonNone
}

// Enter counts a txn that is answered at once, whatever is open.
func (g *Controller) CountRequest() { g.txns.Add(1) }

// TxnDone says that a txn's answer is written, or owed no more.
func (g *Controller) RequestDone() {
	if g.txns.Add(-1) == 0 {
		g.mu.Lock()
		if g.idle != nil {
			close(g.idle)
			g.idle = nil
		}
		g.mu.Unlock()
	}
}

// Owed is how many txns are let in and not done.
func (g *Controller) OpenRequests() int64 { return g.txns.Load() }

// Client lets a client's connection in. Over the limit some are let in only to be told.
func (g *Controller) AdmitClient() (in, tell bool) {
	n := g.clients.Add(1)
	if n <= g.mostClients {
		return true, false
	}
	if n <= g.mostClients+g.tellBeyond {
		return false, true
	}
	g.clients.Add(-1)
	return false, false
}

// Clients is how many clients' connections are let in and have not ended.
func (g *Controller) OpenClients() int64 { return g.clients.Load() }

// ClientDone gives its place back.
func (g *Controller) ClientDone() { g.clients.Add(-1) }

// Member lets a connection to a member be made. One that is only to spare a hop from sharing another is let in while
// there is plenty of room.
func (g *Controller) AdmitEndpointConn(needed bool) bool {
	most := g.mostMembers
	if !needed {
		most = int64(easyShare * float64(most))
	}
	if g.members.Add(1) > most {
		g.members.Add(-1)
		return false
	}
	return true
}

// Share is how many connections to one member with several addresses may be open.
func (g *Controller) MaxConnsPerEndpoint() int { return max(int(oneShare*float64(g.mostMembers)), 2) }

// MemberDone gives its place back.
func (g *Controller) EndpointConnDone() { g.members.Add(-1) }

// Ready says whether txns are wanted: the members are known, the listener is up and no end is near.
func (g *Controller) Ready() bool { return g.ready.Load() && !g.stopping.Load() }

// SetReady says that all is up.
func (g *Controller) SetReady() { g.ready.Store(true) }

// Stop says that an end is near.
func (g *Controller) StartDraining() { g.stopping.Store(true) }

// Stopping says whether an end is near.
func (g *Controller) Draining() bool { return g.stopping.Load() }

// Drain waits until new txns can come no more and none is owed: least at the least, and no longer than most in all.
func (g *Controller) WaitDrained(ctx context.Context, least, most time.Duration) {
	end, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	select {
	case <-end.Done():
		return
	case <-time.After(least):
	}
	g.mu.Lock()
	idle := make(chan struct{})
	g.idle = idle
	g.mu.Unlock()
	if g.OpenRequests() == 0 {
		return
	}
	select {
	case <-end.Done():
	case <-idle:
	}
}
