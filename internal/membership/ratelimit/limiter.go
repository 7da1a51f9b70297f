// Package ratelimit bounds the datagrams and bytes a second that a member sends to others and takes from them, for
// each and for all together. It owns the token buckets. It has no clock and no I/O: each call brings the time.
package ratelimit

import (
	"net/netip"
	"time"

	"cairnfront/internal/membership/swim"

	"golang.org/x/time/rate"
)

// Limits are rates a second.
type Limits struct {
	// For one member when sending, for one source address when receiving.
	PerPeerDatagrams, PerPeerBytes float64
	TotalDatagrams, TotalBytes     float64
}

const (
	burstSeconds      = 1.0  // of the rate that may come at once
	maxSources        = 4096 // source addresses distinguished; 150 bytes each
	reservedShare     = 0.3  // of the total that only probes and acks may use: push-pull has to yield to the detection
	minBurstDatagrams = 3.0  // of the longest size, which always fit a burst
	maxDatagramBytes  = 1400
)

// buckets are the token buckets of one sender, one receiver, or the total.
type buckets struct{ datagrams, bytes *rate.Limiter }

func newBuckets(datagrams, bytes float64) buckets {
	datagramBurst := max(datagrams*burstSeconds, minBurstDatagrams)
	byteBurst := max(bytes*burstSeconds, minBurstDatagrams*maxDatagramBytes)
	return buckets{
		datagrams: rate.NewLimiter(rate.Limit(datagrams), int(datagramBurst)),
		bytes:     rate.NewLimiter(rate.Limit(bytes), int(byteBurst)),
	}
}

// allows reports whether a datagram of a size passes and leaves a share of the burst.
func (b buckets) allows(at time.Time, size int, reserve float64) bool {
	return b.datagrams.TokensAt(at) >= 1+reserve*float64(b.datagrams.Burst()) &&
		b.bytes.TokensAt(at) >= float64(size)+reserve*float64(b.bytes.Burst())
}

func (b buckets) take(at time.Time, size int) {
	b.datagrams.AllowN(at, 1)
	b.bytes.AllowN(at, size)
}

// Limiter bounds one direction. It belongs to one goroutine.
type Limiter struct {
	limits  Limits
	total   buckets
	members map[swim.MemberID]buckets  // when sending
	sources map[netip.AddrPort]buckets // when receiving
}

// New makes a limiter with full buckets.
func New(limits Limits) *Limiter {
	return &Limiter{
		limits:  limits,
		total:   newBuckets(limits.TotalDatagrams, limits.TotalBytes),
		members: map[swim.MemberID]buckets{},
		sources: map[netip.AddrPort]buckets{},
	}
}

// timeOf turns seconds of any clock into the time that the buckets expect.
func timeOf(now float64) time.Time { return time.Unix(0, int64(now*float64(time.Second))) }

// AllowSend reports whether a datagram may be sent to a member. One of low priority must leave the reserved share
// of the total.
func (l *Limiter) AllowSend(now float64, member swim.MemberID, size int, lowPriority bool) bool {
	b, ok := l.members[member]
	if !ok {
		b = newBuckets(l.limits.PerPeerDatagrams, l.limits.PerPeerBytes)
		l.members[member] = b
	}
	reserve := 0.0
	if lowPriority {
		reserve = reservedShare
	}
	return l.take(timeOf(now), b, size, reserve)
}

// AllowReceive reports whether a datagram from an address is looked into. An address that floods uses up only its
// own share.
func (l *Limiter) AllowReceive(now float64, source netip.AddrPort, size int) bool {
	b, ok := l.sources[source]
	if !ok {
		if len(l.sources) >= maxSources {
			l.dropAnySource()
		}
		b = newBuckets(l.limits.PerPeerDatagrams, l.limits.PerPeerBytes)
		l.sources[source] = b
	}
	return l.take(timeOf(now), b, size, 0)
}

// dropAnySource forgets one source; it begins with full buckets if it comes again.
func (l *Limiter) dropAnySource() {
	for source := range l.sources {
		delete(l.sources, source)
		return
	}
}

// take takes a datagram from both buckets if both allow it.
func (l *Limiter) take(at time.Time, own buckets, size int, reserve float64) bool {
	if !own.allows(at, size, 0) || !l.total.allows(at, size, reserve) {
		return false
	}
	own.take(at, size)
	l.total.take(at, size)
	return true
}
