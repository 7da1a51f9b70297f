// Package meter bounds what goes out to peers and what comes in from them, by datagrams and bytes a second, for each and for
// all together. It has no clock and no I/O: each call brings the time.
package ratelimit

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// Terms are the bounds; all are a second.
type Limits struct {
	PerPeerDatagrams, PerPeerBytes float64 // for one peer, or one address while nobody knows who speaks
	TotalDatagrams, TotalBytes     float64
}

// Tuned values.
const (
	burst        = 1.0  // s of the rate that may come at once
	mostSources  = 4096 // addresses told apart; 150 bytes each
	reserved     = 0.3  // of the whole that only answers and checks may use: exchanges wait before the detection starves
	leastAtOnce  = 3.0  // datagrams of the longest size that always fit a burst
	longestBytes = 1400
)

type pair struct{ datagrams, bytes *rate.Limiter }

func newPair(datagrams, bytes float64) pair {
	return pair{rate.NewLimiter(rate.Limit(datagrams), int(max(datagrams*burst, leastAtOnce))),
		rate.NewLimiter(rate.Limit(bytes), int(max(bytes*burst, leastAtOnce*longestBytes)))}
}

// fits says whether a datagram of a size passes now and leaves so much of the burst.
func (p pair) fits(at time.Time, size int, leave float64) bool {
	return p.datagrams.TokensAt(at) >= 1+leave*float64(p.datagrams.Burst()) &&
		p.bytes.TokensAt(at) >= float64(size)+leave*float64(p.bytes.Burst())
}

func (p pair) take(at time.Time, size int) {
	p.datagrams.AllowN(at, 1)
	p.bytes.AllowN(at, size)
}

// Meter is one direction. It belongs to one goroutine.
type Limiter struct {
	terms Limits
	all   pair
	peers map[int]pair
	from  map[netip.AddrPort]pair
}

// New makes a meter.
func New(t Limits) *Limiter {
	return &Limiter{terms: t, all: newPair(t.TotalDatagrams, t.TotalBytes), peers: map[int]pair{}, from: map[netip.AddrPort]pair{}}
}

// at turns seconds of any clock into what the buckets reckon with.
func at(now float64) time.Time { return time.Unix(0, int64(now*1e9)) }

// Out says whether a datagram to a peer may go. Idle ones, which exchange tables, may not use the last of the whole.
func (m *Limiter) AllowSend(now float64, peer, size int, idle bool) bool {
	p, ok := m.peers[peer]
	if !ok {
		p = newPair(m.terms.PerPeerDatagrams, m.terms.PerPeerBytes)
		m.peers[peer] = p
	}
	leave := 0.0
	if idle {
		leave = reserved
	}
	t := at(now)
	if !p.fits(t, size, 0) || !m.all.fits(t, size, leave) {
		return false
	}
	p.take(t, size)
	m.all.take(t, size)
	return true
}

// In says whether a datagram from an address is looked into at all. One address that floods uses up its own part only.
func (m *Limiter) AllowReceive(now float64, from netip.AddrPort, size int) bool {
	p, ok := m.from[from]
	if !ok {
		if len(m.from) >= mostSources {
			for a := range m.from { // any: it begins with a full burst if it comes again
				delete(m.from, a)
				break
			}
		}
		p = newPair(m.terms.PerPeerDatagrams, m.terms.PerPeerBytes)
		m.from[from] = p
	}
	t := at(now)
	if !p.fits(t, size, 0) || !m.all.fits(t, size, 0) {
		return false
	}
	p.take(t, size)
	m.all.take(t, size)
	return true
}
